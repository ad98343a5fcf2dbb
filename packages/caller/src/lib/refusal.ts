/** Final answers other than success, and what each promises. */

/** Why a request got no normal answer. */
export enum RefusalCode {
  UnknownKey = 'unknown-key',
  ClassNotAllowed = 'class-not-allowed',
  UnknownClass = 'unknown-class',
  UnknownPath = 'unknown-path',
  Malformed = 'malformed',
  BodyTooLarge = 'body-too-large',
  KeyRequired = 'idempotency-key-required',
  KeyReused = 'idempotency-key-reused',
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

/** What is known of the run of a refused request. */
export enum RunState {
  NotRun = 'not-run',
  /** It ran, at least in part; asking again is safe. */
  Incomplete = 'incomplete',
  Running = 'running',
  Unknown = 'unknown',
}

/** What a refusal says to the caller. */
export interface RefusalRule {
  status: number;
  run: RunState;
  message: string;
  /** When to come back, in milliseconds; 0 for never. */
  retryAfterMs: number;
}

const {NotRun, Incomplete, Running, Unknown} = RunState;

function rule(
  status: number,
  run: RunState,
  retryAfterMs: number,
  message: string,
): RefusalRule {
  return {status, run, retryAfterMs, message};
}

/** The answers by code. */
export const REFUSALS: Record<RefusalCode, RefusalRule> = {
  [RefusalCode.UnknownKey]: rule(401, NotRun, 0, 'unknown API key'),
  [RefusalCode.ClassNotAllowed]: rule(
    403,
    NotRun,
    0,
    'the account may not use this class',
  ),
  [RefusalCode.UnknownClass]: rule(404, NotRun, 0, 'no such class'),
  [RefusalCode.UnknownPath]: rule(404, NotRun, 0, 'no such path'),
  [RefusalCode.Malformed]: rule(400, NotRun, 0, 'malformed request'),
  [RefusalCode.BodyTooLarge]: rule(413, NotRun, 0, 'body too large'),
  [RefusalCode.KeyRequired]: rule(
    428,
    NotRun,
    0,
    'this class needs an Idempotency-Key',
  ),
  [RefusalCode.KeyReused]: rule(
    422,
    NotRun,
    0,
    'this Idempotency-Key was used with another body',
  ),
  [RefusalCode.BudgetExhausted]: rule(
    429,
    NotRun,
    30_000,
    'the budget has too little left',
  ),
  [RefusalCode.BudgetUnavailable]: rule(
    503,
    NotRun,
    2_000,
    'the budget can not be asked now',
  ),
  [RefusalCode.Overloaded]: rule(
    503,
    NotRun,
    1_000,
    'the target can not be met now',
  ),
  [RefusalCode.AccountOverShare]: rule(
    429,
    NotRun,
    1_000,
    'the account uses more than its part while others wait',
  ),
  [RefusalCode.NoUpstream]: rule(503, NotRun, 1_000, 'no upstream is free'),
  [RefusalCode.NotConfigured]: rule(
    503,
    NotRun,
    1_000,
    'no configuration is in force yet',
  ),
  [RefusalCode.Draining]: rule(503, NotRun, 1_000, 'this entry is stopping'),
  [RefusalCode.CrashesUpstreams]: rule(
    422,
    Incomplete,
    0,
    'upstreams failed twice while they ran this request',
  ),
  [RefusalCode.RecordUnavailable]: rule(
    503,
    NotRun,
    2_000,
    'the order can not be recorded now',
  ),
  [RefusalCode.InProgress]: rule(409, Running, 1_000, 'still running'),
  [RefusalCode.OutcomeUnknown]: rule(
    502,
    Unknown,
    5_000,
    'it may have run; it will not be run again',
  ),
  [RefusalCode.UpstreamFailed]: rule(
    502,
    Incomplete,
    1_000,
    'the upstream failed before the whole answer',
  ),
};
