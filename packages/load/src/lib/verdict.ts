/** Compares what callers saw with what really ran and what was billed. */
import {build} from 'hdr-histogram-js';
import {AnswerFault, checkAnswer} from './answer.js';
import {Seen} from './client.js';
import type {BudgetView} from '@citrontrestle/operator';
import type {Finished} from './driver.js';
import type {Millis} from '@citrontrestle/decisions';
import type {RunRecord} from '@citrontrestle/stand_ins';

/** Percentiles of a span, in milliseconds. */
export interface Percentiles {
  p50: Millis;
  p95: Millis;
  p99: Millis;
}

/** One class of one run. */
export interface ClassRow {
  name: string;
  asked: number;
  answered: number;
  refused: number;
  failed: number;
  /** Part of the asked requests answered within their targets. */
  inTarget: number;
  firstTokenMs: Percentiles;
  wholeMs: Percentiles;
  /** Targets; 0 when there is none. */
  firstTokenTarget: Millis;
  wholeTarget: Millis;
}

/** One budget of one run, in tokens. */
export interface BudgetRow {
  name: string;
  granted: number;
  billed: number;
  /** Tokens of the answers that callers saw. */
  answered: number;
  out: number;
  refused: number;
  /** Part of the grant in use at the first false refusal; 1 for none. */
  usable: number;
}

/** Promises and counts of one run. */
export interface Verdict {
  requests: number;
  answered: number;
  refused: number;
  failed: number;
  overspendTokens: number;
  falseRefusals: number;
  /** Budgets billed above the answers that callers saw. */
  billedTwice: number;
  /** Tokens answered and not billed. */
  unbilledTokens: number;
  ranTwice: number;
  ranAfterNotRun: number;
  foreignAnswers: number;
  truncatedAsWhole: number;
  /** Budget refusals by code. */
  refusals: Record<string, number>;
  classes: ClassRow[];
  budgets: BudgetRow[];
}

/** Judges a run after all entries have settled. */
export function judge(
  finished: Finished[],
  runs: RunRecord[],
  budgets: BudgetView[],
): Verdict {
  const ran = countRuns(runs);
  const rows = budgets.map(view => budgetRow(view, finished));
  const verdict: Verdict = {
    requests: finished.length,
    answered: countOf(finished, Seen.Answered),
    refused: countOf(finished, Seen.Refused),
    failed: countOf(finished, Seen.Failed),
    overspendTokens: 0,
    falseRefusals: finished.filter(one => one.hadRoom).length,
    billedTwice: 0,
    unbilledTokens: 0,
    ranTwice: 0,
    ranAfterNotRun: 0,
    foreignAnswers: 0,
    truncatedAsWhole: 0,
    refusals: {},
    classes: classRows(finished),
    budgets: rows,
  };
  for (const row of rows) {
    verdict.overspendTokens += Math.max(0, row.billed - row.granted);
    verdict.overspendTokens += Math.max(0, row.answered - row.granted);
    verdict.billedTwice += row.billed > row.answered ? 1 : 0;
    verdict.unbilledTokens += Math.max(0, row.answered - row.billed);
  }
  for (const one of finished) {
    judgeOne(one, ran.get(one.planned.marker) ?? 0, verdict);
  }
  return verdict;
}

/** Whether a run kept every promise. */
export function kept(verdict: Verdict): boolean {
  const {overspendTokens, billedTwice, unbilledTokens, ranTwice} = verdict;
  const {ranAfterNotRun, foreignAnswers, truncatedAsWhole} = verdict;
  const broken =
    overspendTokens +
    billedTwice +
    unbilledTokens +
    ranTwice +
    ranAfterNotRun +
    foreignAnswers +
    truncatedAsWhole;
  return broken === 0;
}

function judgeOne(one: Finished, ran: number, verdict: Verdict): void {
  const {planned, sight} = one;
  if (!planned.workClass.idempotent && ran > 1) {
    verdict.ranTwice += 1;
  }
  if (sight.seen === Seen.Refused) {
    verdict.refusals[sight.code] = (verdict.refusals[sight.code] ?? 0) + 1;
    // A request sent again may have run before the entry was lost.
    const claimed = sight.run === 'not-run' && one.sent === 1;
    verdict.ranAfterNotRun += claimed && ran > 0 ? 1 : 0;
  }
  if (sight.seen === Seen.Answered) {
    const fault = checkAnswer(planned, sight.content);
    verdict.foreignAnswers += fault === AnswerFault.Foreign ? 1 : 0;
    verdict.truncatedAsWhole += fault === AnswerFault.Truncated ? 1 : 0;
  }
}

function countRuns(runs: RunRecord[]): Map<string, number> {
  const ran = new Map<string, number>();
  for (const {marker} of runs) {
    ran.set(marker, (ran.get(marker) ?? 0) + 1);
  }
  return ran;
}

function countOf(finished: Finished[], seen: Seen): number {
  return finished.filter(one => one.sight.seen === seen).length;
}

function budgetRow(view: BudgetView, finished: Finished[]): BudgetRow {
  const own = finished.filter(one => one.planned.budget === view.name);
  const whole = own.filter(one => one.sight.seen === Seen.Answered);
  const answered = whole.reduce(
    (sum, {sight, planned}) =>
      sum + (sight.tokens || planned.workClass.priceTokens),
    0,
  );
  const {name, granted, billed, out} = view;
  const refused = own.filter(one => one.sight.code.startsWith('budget-'));
  const early = own.find(one => one.hadRoom);
  const usable = early === undefined ? 1 : early.usedThen / granted;
  const counts = {granted, billed, answered, out, refused: refused.length};
  return {name, ...counts, usable};
}

function classRows(finished: Finished[]): ClassRow[] {
  const byClass = new Map<string, Finished[]>();
  for (const one of finished) {
    const {name} = one.planned.workClass;
    byClass.set(name, [...(byClass.get(name) ?? []), one]);
  }
  return [...byClass.values()].map(classRow);
}

function classRow(finished: Finished[]): ClassRow {
  const {workClass} = (finished[0] as Finished).planned;
  const whole = finished.filter(one => one.sight.seen === Seen.Answered);
  const {firstTokenMs, wholeMs, name} = workClass;
  const timely = whole.filter(
    one =>
      one.wholeMs <= wholeMs &&
      (firstTokenMs === 0 || (one.firstTokenMs ?? Infinity) <= firstTokenMs),
  );
  return {
    name,
    asked: finished.length,
    answered: whole.length,
    refused: countOf(finished, Seen.Refused),
    failed: countOf(finished, Seen.Failed),
    inTarget: timely.length / finished.length,
    firstTokenMs: percentiles(whole.map(one => one.firstTokenMs ?? 0)),
    wholeMs: percentiles(whole.map(one => one.wholeMs)),
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
