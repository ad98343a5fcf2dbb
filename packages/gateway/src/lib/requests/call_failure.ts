/** How calls to upstreams fail. */

/** How a call can fail. */
export enum CallFailure {
  /** No connection was established, so no byte of the request was sent. */
  NotSent = 'not-sent',
  /**
   * The peer that was to forward the request did not do so; no byte of it was
   * sent to the upstream.
   */
  ProxyFailed = 'proxy-failed',
  /** The upstream refuses connections, so no byte of the request was sent. */
  ConnectionRefused = 'connection-refused',
  /** The upstream states that it did not run the request. */
  NotExecuted = 'not-executed',
  /**
   * A different upstream than the expected one has the address now; the request
   * did not run.
   */
  Replaced = 'replaced',
  /**
   * The request may have been sent, and no complete response was received; it
   * may have run.
   */
  ResponseLost = 'lost',
  /**
   * The response is malformed or belongs to another request; the request may
   * have run.
   */
  InvalidResponse = 'spoiled',
}
