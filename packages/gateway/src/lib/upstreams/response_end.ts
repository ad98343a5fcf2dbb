/** How responses of upstreams end that have neither a length nor chunks. */

/** How the connection ended that delimits the body of a response. */
export enum ResponseEnd {
  /** In the ordinary way; the process was not asked or still listens. */
  Closed = 'closed',
  /** It was reset, also if the reset came together with the last bytes. */
  Reset = 'reset',
  /** In the ordinary way, and the process accepts no connections any more. */
  ProcessGone = 'process-gone',
}
