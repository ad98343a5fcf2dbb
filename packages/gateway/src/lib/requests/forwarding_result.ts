/**
 * How the forwarding of a request ends, and what a failed call means for the
 * upstream and for the caller.
 */
import {PlacementOutcome, promisesNotRun} from '@citrontrestle/decisions';
import {REFUSAL_RESPONSES, RefusalReason} from './refusal.js';
import {CallFailure} from './call_failure.js';
import type {ResponseEnd} from '../upstreams/response_end.js';
import type {Millis} from '@citrontrestle/decisions';

/** How the forwarding of a request ended. */
export interface ForwardingResult {
  /** Outcome as shown in logs and metrics. */
  outcome: string;
  /** Identifier of the last upstream tried; undefined if none was. */
  upstream: string | undefined;
  /** Version of that upstream's software. */
  upstreamVersion: string | undefined;
  /**
   * Time from the last attempt to the first event that placement expected;
   * undefined if there was no attempt.
   */
  expectedFirst?: Millis;
  attempts: number;
  /** Whether an upstream may have begun to run the request. */
  mayHaveRun: boolean;
  /** Number of stream events written to the caller. */
  deliveredEvents: number;
  /** Whether the caller got a successful body that is no stream, or a part of it. */
  deliveredBody: boolean;
  /** When the first byte was written; undefined if none was. */
  firstByteAt: Millis | undefined;
  /**
   * How the upstream's response ended; undefined unless the end of its connection
   * delimited the body.
   */
  responseEnd?: ResponseEnd | undefined;
  /** Time for which a refused request waited for tokens, if it did. */
  waitedForTokens?: Millis | undefined;
}

/** Outcome of a request with a complete, successful upstream response. */
export const ANSWERED = 'answered';

/** Outcome of a request whose caller disconnected. */
export const CALLER_DISCONNECTED = 'caller-left';

/**
 * Outcome of a request whose response was aborted after its head had been sent
 * to the caller; in logs and metrics the reason follows after a colon.
 */
export const RESPONSE_ABORTED = 'broken-off';

/** How each failure of a call counts for its upstream. */
export const FAILURE_OUTCOMES: Readonly<Record<CallFailure, PlacementOutcome>> =
  {
    [CallFailure.NotSent]: PlacementOutcome.Failed,
    [CallFailure.ConnectionRefused]: PlacementOutcome.Failed,
    [CallFailure.ProxyFailed]: PlacementOutcome.Cancelled,
    [CallFailure.NotExecuted]: PlacementOutcome.Rejected,
    [CallFailure.Replaced]: PlacementOutcome.Rejected,
    [CallFailure.ResponseLost]: PlacementOutcome.Failed,
    [CallFailure.InvalidResponse]: PlacementOutcome.Failed,
  };

/** Failures before which no byte of the request was sent. */
export const UNSENT_FAILURES = new Set([
  CallFailure.NotSent,
  CallFailure.ConnectionRefused,
  CallFailure.ProxyFailed,
]);

/** Failures that prove that the upstream did not run the request. */
export const NOT_EXECUTED_FAILURES = new Set([
  CallFailure.NotExecuted,
  CallFailure.Replaced,
]);

/** Reasons whose responses promise that the request never runs. */
const NOT_EXECUTED_REASONS = new Set(
  Object.values(RefusalReason).filter(reason =>
    promisesNotRun(REFUSAL_RESPONSES[reason].status),
  ),
);

/**
 * Returns the reason to give to the caller. A refusal that promises that the
 * request never runs is replaced if an upstream may have run it. A timeout
 * before any upstream could run it becomes such a refusal, which tells the
 * caller that it may send the request again.
 */
export function reasonForCaller(
  reason: RefusalReason,
  mayHaveRun: boolean,
): RefusalReason {
  if (mayHaveRun && NOT_EXECUTED_REASONS.has(reason)) {
    return RefusalReason.UpstreamFailed;
  }
  const isSafeToRetry = !mayHaveRun && reason === RefusalReason.TimedOut;
  return isSafeToRetry ? RefusalReason.Overloaded : reason;
}
