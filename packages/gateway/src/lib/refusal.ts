/** Responses that the gateway sends instead of an upstream's response. */
import type {Millis} from '@citrontrestle/decisions';

/** Why a request is refused; the value is sent as the `error` of the body. */
export enum RefusalReason {
  BadRequest = 'bad-request',
  BodyTooLarge = 'body-too-large',
  NoConfiguration = 'no-configuration',
  NoRoute = 'no-route',
  NoAccount = 'no-account',
  BudgetExhausted = 'budget-exhausted',
  BudgetUnavailable = 'budget-unavailable',
  NoUpstream = 'no-upstream',
  Overloaded = 'overloaded',
  CrashesUpstreams = 'crashes-upstreams',
  Stopping = 'stopping',
  MachineBusy = 'machine-busy',
  UpstreamFailed = 'upstream-failed',
  TimedOut = 'timed-out',
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
  [RefusalReason.BudgetExhausted]: {status: 402, retryAfter: undefined},
  [RefusalReason.BudgetUnavailable]: {status: 503, retryAfter: 2_000},
  [RefusalReason.NoUpstream]: {status: 503, retryAfter: 500},
  [RefusalReason.Overloaded]: {status: 503, retryAfter: 500},
  [RefusalReason.CrashesUpstreams]: {status: 503, retryAfter: 5_000},
  [RefusalReason.Stopping]: {status: 503, retryAfter: 100},
  [RefusalReason.MachineBusy]: {status: 503, retryAfter: 20},
  [RefusalReason.UpstreamFailed]: {status: 502, retryAfter: undefined},
  [RefusalReason.TimedOut]: {status: 504, retryAfter: undefined},
};
