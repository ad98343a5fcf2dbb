/** Compares what clients saw with what upstreams ran and what was billed. */
import {build} from 'hdr-histogram-js';
import {AnswerFault, checkAnswer} from './answer.js';
import {RequestOutcome} from './client.js';
import type {BudgetView} from '@citrontrestle/operator';
import type {FinishedRequest} from './driver.js';
import type {Millis} from '@citrontrestle/decisions';
import type {RunRecord} from '@citrontrestle/stand_ins';

/** Percentiles of a duration. */
export interface Percentiles {
  p50: Millis;
  p95: Millis;
  p99: Millis;
}

/** Results of a class in a run; counts of requests. */
export interface ClassRow {
  name: string;
  asked: number;
  answered: number;
  refused: number;
  failed: number;
  /** Fraction of the requests that were answered within both targets. */
  inTarget: number;
  /** Of the answered requests, from the intended start to the first text. */
  firstTokenMs: Percentiles;
  /** Of the answered requests, from the intended start to the end. */
  wholeMs: Percentiles;
  /** Target for the first text; 0 if there is none. */
  firstTokenTarget: Millis;
  /** Target for the complete answer. */
  wholeTarget: Millis;
}

/** Results of a budget in a run, in tokens. */
export interface BudgetRow {
  name: string;
  granted: number;
  billed: number;
  /** Tokens of the answers that clients received. */
  answered: number;
  /** Tokens held by entries and not billed. */
  out: number;
  /** Number of requests refused because of the budget. */
  refused: number;
  /** Fraction of the grant in use at the first false refusal; 1 for none. */
  usable: number;
}

/** Counts of a run and violations of guarantees. */
export interface Verdict {
  requests: number;
  answered: number;
  refused: number;
  failed: number;
  /** Tokens billed above the grants plus tokens answered above the grants. */
  overspendTokens: number;
  /** Requests refused because of a budget that had enough tokens. */
  falseRefusals: number;
  /** Number of budgets billed for more tokens than clients received. */
  billedTwice: number;
  /** Tokens that clients received and that were not billed. */
  unbilledTokens: number;
  /** Non-idempotent requests that ran more than once. */
  ranTwice: number;
  /** Requests that ran although their refusal said that they did not. */
  ranAfterNotRun: number;
  /** Answers with the content of another request. */
  foreignAnswers: number;
  /** Answers sent as complete in which output tokens are missing. */
  truncatedAsWhole: number;
  /** Number of refusals by error code. */
  refusals: Record<string, number>;
  classes: ClassRow[];
  budgets: BudgetRow[];
}

/** Evaluates a run. All entries must have settled their charges before. */
export function evaluateRun(
  finished: FinishedRequest[],
  runs: RunRecord[],
  budgets: BudgetView[],
): Verdict {
  const runCounts = countRunsByMarker(runs);
  const budgetRows = budgets.map(view => createBudgetRow(view, finished));
  const verdict: Verdict = {
    requests: finished.length,
    answered: countOutcome(finished, RequestOutcome.Answered),
    refused: countOutcome(finished, RequestOutcome.Refused),
    failed: countOutcome(finished, RequestOutcome.Failed),
    overspendTokens: 0,
    falseRefusals: finished.filter(request => request.isFalseRefusal).length,
    billedTwice: 0,
    unbilledTokens: 0,
    ranTwice: 0,
    ranAfterNotRun: 0,
    foreignAnswers: 0,
    truncatedAsWhole: 0,
    refusals: {},
    classes: createClassRows(finished),
    budgets: budgetRows,
  };
  for (const row of budgetRows) {
    verdict.overspendTokens += Math.max(0, row.billed - row.granted);
    verdict.overspendTokens += Math.max(0, row.answered - row.granted);
    verdict.billedTwice += row.billed > row.answered ? 1 : 0;
    verdict.unbilledTokens += Math.max(0, row.answered - row.billed);
  }
  for (const request of finished) {
    evaluateRequest(
      request,
      runCounts.get(request.planned.marker) ?? 0,
      verdict,
    );
  }
  return verdict;
}

/** Whether no guarantee was violated; false refusals do not count as such. */
export function allGuaranteesHold(verdict: Verdict): boolean {
  const {overspendTokens, billedTwice, unbilledTokens, ranTwice} = verdict;
  const {ranAfterNotRun, foreignAnswers, truncatedAsWhole} = verdict;
  const violations =
    overspendTokens +
    billedTwice +
    unbilledTokens +
    ranTwice +
    ranAfterNotRun +
    foreignAnswers +
    truncatedAsWhole;
  return violations === 0;
}

function evaluateRequest(
  request: FinishedRequest,
  runCount: number,
  verdict: Verdict,
): void {
  const {planned, result} = request;
  if (!planned.workClass.idempotent && runCount > 1) {
    verdict.ranTwice += 1;
  }
  if (result.outcome === RequestOutcome.Refused) {
    verdict.refusals[result.errorCode] =
      (verdict.refusals[result.errorCode] ?? 0) + 1;
    // If the request was sent again, an earlier attempt may have run before
    // its entry failed.
    const claimedNotRun =
      result.runStatus === 'not-run' && request.attempts === 1;
    verdict.ranAfterNotRun += claimedNotRun && runCount > 0 ? 1 : 0;
  }
  if (result.outcome === RequestOutcome.Answered) {
    const answerFault = checkAnswer(planned, result.content);
    verdict.foreignAnswers += answerFault === AnswerFault.Foreign ? 1 : 0;
    verdict.truncatedAsWhole += answerFault === AnswerFault.Truncated ? 1 : 0;
  }
}

function countRunsByMarker(runs: RunRecord[]): Map<string, number> {
  const runCounts = new Map<string, number>();
  for (const {marker} of runs) {
    runCounts.set(marker, (runCounts.get(marker) ?? 0) + 1);
  }
  return runCounts;
}

function countOutcome(
  finished: FinishedRequest[],
  outcome: RequestOutcome,
): number {
  return finished.filter(request => request.result.outcome === outcome).length;
}

function createBudgetRow(
  view: BudgetView,
  finished: FinishedRequest[],
): BudgetRow {
  const requests = finished.filter(
    request => request.planned.budget === view.name,
  );
  const answeredRequests = requests.filter(
    request => request.result.outcome === RequestOutcome.Answered,
  );
  const answered = answeredRequests.reduce(
    (sum, {result, planned}) =>
      sum + (result.usedTokens || planned.workClass.priceTokens),
    0,
  );
  const {name, granted, billed, out} = view;
  const refusedRequests = requests.filter(request =>
    request.result.errorCode.startsWith('budget-'),
  );
  const firstFalseRefusal = requests.find(request => request.isFalseRefusal);
  const usable =
    firstFalseRefusal === undefined
      ? 1
      : firstFalseRefusal.budgetTokensInUse / granted;
  const counts = {
    granted,
    billed,
    answered,
    out,
    refused: refusedRequests.length,
  };
  return {name, ...counts, usable};
}

function createClassRows(finished: FinishedRequest[]): ClassRow[] {
  const byClass = new Map<string, FinishedRequest[]>();
  for (const request of finished) {
    const {name} = request.planned.workClass;
    byClass.set(name, [...(byClass.get(name) ?? []), request]);
  }
  return [...byClass.values()].map(createClassRow);
}

function createClassRow(finished: FinishedRequest[]): ClassRow {
  const {workClass} = (finished[0] as FinishedRequest).planned;
  const answeredRequests = finished.filter(
    request => request.result.outcome === RequestOutcome.Answered,
  );
  const {firstTokenMs, wholeMs, name} = workClass;
  const requestsInTarget = answeredRequests.filter(
    request =>
      request.totalMs <= wholeMs &&
      (firstTokenMs === 0 ||
        (request.firstTokenMs ?? Infinity) <= firstTokenMs),
  );
  return {
    name,
    asked: finished.length,
    answered: answeredRequests.length,
    refused: countOutcome(finished, RequestOutcome.Refused),
    failed: countOutcome(finished, RequestOutcome.Failed),
    inTarget: requestsInTarget.length / finished.length,
    firstTokenMs: percentiles(
      answeredRequests.map(request => request.firstTokenMs ?? 0),
    ),
    wholeMs: percentiles(answeredRequests.map(request => request.totalMs)),
    firstTokenTarget: firstTokenMs,
    wholeTarget: wholeMs,
  };
}

function percentiles(values: Millis[]): Percentiles {
  const histogram = build();
  for (const value of values) {
    histogram.recordValue(Math.max(0, Math.round(value)));
  }
  return {
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}
