/** Answers that the gateway gives itself. */
import type {Millis} from '@citrontrestle/decisions';

/** Why the gateway answers a request itself. */
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

/** Status and waiting time of one kind of refusal. */
export interface RefusalResponse {
  status: number;
  /** When to come back; undefined where coming back is of no use. */
  retryAfter: Millis | undefined;
}

/** Answers by reason. 429 and 503 promise that the request never runs. */
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
