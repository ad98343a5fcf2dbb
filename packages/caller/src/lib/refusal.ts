/** Error answers to callers, with their status and retry advice. */

/** Reason why a request was refused; sent to the caller as `code`. */
export enum RefusalCode {
  UnknownApiKey = 'unknown-key',
  ClassNotAllowed = 'class-not-allowed',
  UnknownClass = 'unknown-class',
  UnknownPath = 'unknown-path',
  Malformed = 'malformed',
  BodyTooLarge = 'body-too-large',
  IdempotencyKeyRequired = 'idempotency-key-required',
  IdempotencyKeyReused = 'idempotency-key-reused',
  BudgetExhausted = 'budget-exhausted',
  BudgetUnavailable = 'budget-unavailable',
  Overloaded = 'overloaded',
  AccountOverShare = 'account-over-share',
  NoUpstream = 'no-upstream',
  NotConfigured = 'not-configured',
  Draining = 'draining',
  CrashesUpstreams = 'crashes-upstreams',
  RecordUnavailable = 'record-unavailable',
  InProgress = 'in-progress',
  OutcomeUnknown = 'outcome-unknown',
  UpstreamFailed = 'upstream-failed',
}

/** Whether an upstream ran a refused request; sent to the caller as `run`. */
export enum RunState {
  NotRun = 'not-run',
  /** It ran at least in part; repeating the request is safe. */
  Incomplete = 'incomplete',
  Running = 'running',
  /** It may have run, and must not be run again. */
  Unknown = 'unknown',
}

/** Status, body and retry advice of a refusal. */
export interface RefusalRule {
  status: number;
  run: RunState;
  message: string;
  /** Delay before a retry, in milliseconds; 0 if a retry is no use. */
  retryAfterMs: number;
}

const {NotRun, Incomplete, Running, Unknown} = RunState;

function createRule(
  status: number,
  run: RunState,
  retryAfterMs: number,
  message: string,
): RefusalRule {
  return {status, run, retryAfterMs, message};
}

/** What the caller is sent for each refusal code. */
export const REFUSAL_RULES: Record<RefusalCode, RefusalRule> = {
  [RefusalCode.UnknownApiKey]: createRule(401, NotRun, 0, 'unknown API key'),
  [RefusalCode.ClassNotAllowed]: createRule(
    403,
    NotRun,
    0,
    'the account may not use this class',
  ),
  [RefusalCode.UnknownClass]: createRule(404, NotRun, 0, 'no such class'),
  [RefusalCode.UnknownPath]: createRule(404, NotRun, 0, 'no such path'),
  [RefusalCode.Malformed]: createRule(400, NotRun, 0, 'malformed request'),
  [RefusalCode.BodyTooLarge]: createRule(413, NotRun, 0, 'body too large'),
  [RefusalCode.IdempotencyKeyRequired]: createRule(
    428,
    NotRun,
    0,
    'this class needs an Idempotency-Key',
  ),
  [RefusalCode.IdempotencyKeyReused]: createRule(
    422,
    NotRun,
    0,
    'this Idempotency-Key was used with another body',
  ),
  [RefusalCode.BudgetExhausted]: createRule(
    429,
    NotRun,
    30_000,
    'the budget has too little left',
  ),
  [RefusalCode.BudgetUnavailable]: createRule(
    503,
    NotRun,
    2_000,
    'the budget can not be asked now',
  ),
  [RefusalCode.Overloaded]: createRule(
    503,
    NotRun,
    1_000,
    'the target can not be met now',
  ),
  [RefusalCode.AccountOverShare]: createRule(
    429,
    NotRun,
    1_000,
    'the account uses more than its part while others wait',
  ),
  [RefusalCode.NoUpstream]: createRule(
    503,
    NotRun,
    1_000,
    'no upstream is free',
  ),
  [RefusalCode.NotConfigured]: createRule(
    503,
    NotRun,
    1_000,
    'no configuration is in force yet',
  ),
  [RefusalCode.Draining]: createRule(
    503,
    NotRun,
    1_000,
    'this entry is stopping',
  ),
  [RefusalCode.CrashesUpstreams]: createRule(
    422,
    Incomplete,
    0,
    'upstreams failed twice while they ran this request',
  ),
  [RefusalCode.RecordUnavailable]: createRule(
    503,
    NotRun,
    2_000,
    'the order can not be recorded now',
  ),
  [RefusalCode.InProgress]: createRule(409, Running, 1_000, 'still running'),
  [RefusalCode.OutcomeUnknown]: createRule(
    502,
    Unknown,
    5_000,
    'it may have run; it will not be run again',
  ),
  [RefusalCode.UpstreamFailed]: createRule(
    502,
    Incomplete,
    1_000,
    'the upstream failed before the whole answer',
  ),
};
