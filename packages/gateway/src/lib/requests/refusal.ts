/** Responses that the gateway sends instead of an upstream's response. */
import type {Millis} from '@citrontrestle/decisions';

/** Why a request is refused; the value is sent as the `error` of the body. */
export enum RefusalReason {
  /** The request has no identifier. */
  BadRequest = 'bad-request',
  BodyTooLarge = 'body-too-large',
  /** The instance has not received a configuration yet. */
  NoConfiguration = 'no-configuration',
  NoRoute = 'no-route',
  /** The route needs an API key, and the request has no known one. */
  NoAccount = 'no-account',
  /** The name of the account can't be told to upstreams. */
  AccountUnusable = 'account-unusable',
  /** The remaining prepaid tokens of the account don't cover the request. */
  BudgetExhausted = 'budget-exhausted',
  /** It could not be determined in time whether tokens remain. */
  BudgetUnavailable = 'budget-unavailable',
  /** No usable upstream is left to try. */
  NoUpstream = 'no-upstream',
  /** All usable upstreams are in zones that the operator has evacuated. */
  ZoneEvacuated = 'zone-evacuated',
  /** The homes of the route and the account exclude all usable upstreams. */
  OutsideHomes = 'outside-homes',
  /** All upstreams that are left are cold, and get no more for now. */
  ColdUpstreams = 'cold-upstreams',
  /**
   * The request takes up a stream of which it is not known which software
   * version began it.
   */
  UnknownStream = 'unknown-stream',
  /**
   * Upstreams rejected the request without running it, or its deadline passed
   * before one could run it.
   */
  Overloaded = 'overloaded',
  /** Too many upstreams crashed while they ran the request. */
  CrashesUpstreams = 'crashes-upstreams',
  /** The instance is stopping. */
  Stopping = 'stopping',
  /** The network link of the machine is saturated. */
  MachineBusy = 'machine-busy',
  /** An upstream failed and may have run the request. */
  UpstreamFailed = 'upstream-failed',
  /** The deadline passed; an upstream may have run the request. */
  TimedOut = 'timed-out',
  /** A step of the gateway threw an exception. */
  InternalError = 'internal-error',
}

/** HTTP status and retry delay of one kind of refusal. */
export interface RefusalResponse {
  status: number;
  /** Time to wait before a retry; undefined if a retry would not help. */
  retryAfter: Millis | undefined;
}

/**
 * Responses by reason. Status 429 and 503 promise that the request has not run
 * and never will.
 */
export const REFUSAL_RESPONSES: Readonly<
  Record<RefusalReason, RefusalResponse>
> = {
  [RefusalReason.BadRequest]: {status: 400, retryAfter: undefined},
  [RefusalReason.BodyTooLarge]: {status: 413, retryAfter: undefined},
  [RefusalReason.NoConfiguration]: {status: 503, retryAfter: 500},
  [RefusalReason.NoRoute]: {status: 404, retryAfter: undefined},
  [RefusalReason.NoAccount]: {status: 401, retryAfter: undefined},
  [RefusalReason.AccountUnusable]: {status: 503, retryAfter: 5_000},
  [RefusalReason.BudgetExhausted]: {status: 402, retryAfter: undefined},
  [RefusalReason.BudgetUnavailable]: {status: 503, retryAfter: 500},
  [RefusalReason.NoUpstream]: {status: 503, retryAfter: 500},
  // No instance knows when the operator takes the zone back.
  [RefusalReason.ZoneEvacuated]: {status: 503, retryAfter: 5_000},
  [RefusalReason.OutsideHomes]: {status: 503, retryAfter: 5_000},
  // Used only if the time until the next permit is not known.
  [RefusalReason.ColdUpstreams]: {status: 503, retryAfter: 20},
  [RefusalReason.UnknownStream]: {status: 503, retryAfter: 1_000},
  [RefusalReason.Overloaded]: {status: 503, retryAfter: 500},
  [RefusalReason.CrashesUpstreams]: {status: 503, retryAfter: 5_000},
  [RefusalReason.Stopping]: {status: 503, retryAfter: 100},
  [RefusalReason.MachineBusy]: {status: 503, retryAfter: 20},
  [RefusalReason.UpstreamFailed]: {status: 502, retryAfter: undefined},
  [RefusalReason.TimedOut]: {status: 504, retryAfter: undefined},
  [RefusalReason.InternalError]: {status: 503, retryAfter: 1_000},
};
