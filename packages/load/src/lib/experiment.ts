/** Runs a scenario once for each pair of policies, on embedded fleets. */
import {dirname, resolve} from 'node:path';
import {
  readDeclarations,
  readLedger,
  viewLedger,
} from '@citrontrestle/operator';
import {formatSettingsError, readSettings} from '@citrontrestle/runtime';
import VError from 'verror';
import {Driver} from './driver.js';
import {EmbeddedFleet, PARTITION_COUNT} from './embedded_fleet.js';
import {planRequests} from './plan.js';
import {KEYS_SCHEMA, SCENARIO_SCHEMA} from './scenario.js';
import {scheduleFaults} from './faults.js';
import {evaluateRun} from './verdict.js';
import type {BudgetView} from '@citrontrestle/operator';
import type {Declarations, Millis} from '@citrontrestle/decisions';
import type {Policies} from './embedded_fleet.js';
import type {Scenario} from './scenario.js';
import type {SettingsResult} from '@citrontrestle/runtime';
import type {TopUpTotals} from './faults.js';
import type {Verdict} from './verdict.js';

/** A scenario with the contents of the files that it names. */
export interface Experiment {
  scenario: Scenario;
  declarations: Declarations;
  /** API keys by account. */
  apiKeys: Record<string, string>;
}

/** Result of a run; printed as JSON. */
export interface RunResult {
  policies: Policies;
  verdict: Verdict;
  keyValueCalls: {reads: number; writes: number; watches: number};
  /** Key-value reads and writes per request. */
  callsPerRequest: number;
}

/** Receives lines that show the progress of a run to the user. */
export type ReportProgress = (line: string) => void;

/** Wait after the last request, for the platform and the copies of charges. */
const SETTLE_WAIT: Millis = 500;

/**
 * Wait after a run in which an entry was killed; the longest time that its
 * peers need to settle the charges of which they hold copies.
 */
const CHARGE_COPIES_WAIT: Millis = 17_000;

function valueOrThrow<T>(result: SettingsResult<T>): T {
  if (result.ok) {
    return result.value;
  }
  throw new VError(result.errors.map(formatSettingsError).join('\n'));
}

/**
 * Reads a scenario and the files that it names, with paths relative to it. The
 * grants of the scenario replace the initial tokens of the declared budgets.
 * Throws an error that lists the invalid settings of the first invalid file.
 */
export function readExperiment(file: string): Experiment {
  const scenario = valueOrThrow(readSettings<Scenario>(file, SCENARIO_SCHEMA));
  const folder = dirname(file);
  const declarations = valueOrThrow(
    readDeclarations(resolve(folder, scenario.declarations)),
  );
  const apiKeys = valueOrThrow(
    readSettings<Record<string, string>>(
      resolve(folder, scenario.keys),
      KEYS_SCHEMA,
    ),
  );
  for (const budget of declarations.budgets) {
    const grant = scenario.grants[budget.name];
    budget.initialTokens = grant ?? budget.initialTokens;
  }
  return {scenario, declarations, apiKeys};
}

/** Runs a scenario once for each pair of policies, one after the other. */
export async function runExperiment(
  experiment: Experiment,
  seed: number,
  reportProgress: ReportProgress,
): Promise<RunResult[]> {
  const results: RunResult[] = [];
  const {budgetPolicies, routingPolicies} = experiment.scenario;
  for (const budget of budgetPolicies) {
    for (const routing of routingPolicies) {
      reportProgress(`${budget} / ${routing}`);
      const policies = {budget, routing};
      results.push(await runOnce(experiment, policies, seed, reportProgress));
    }
  }
  return results;
}

/** Runs a scenario once on a new embedded fleet. */
export async function runOnce(
  experiment: Experiment,
  policies: Policies,
  seed: number,
  reportProgress: ReportProgress,
): Promise<RunResult> {
  const {scenario, declarations, apiKeys} = experiment;
  const requests = planRequests(scenario, declarations, apiKeys, seed);
  const fleet = await EmbeddedFleet.start(
    scenario.fleet,
    declarations,
    policies,
  );
  const topUpTotals: TopUpTotals = new Map();
  const driver = new Driver(
    {
      liveAddresses: () =>
        fleet.entries
          .filter(entry => entry.isLive)
          .map(entry => entry.addresses.callers),
    },
    budget => sumGrantedTokens(budget, declarations, topUpTotals),
    throttleProgress(reportProgress),
  );
  const countersBefore = {...fleet.standIns.platform.counters};
  const stopFaults = scheduleFaults(fleet, scenario.faults, topUpTotals);
  await driver.run(requests);
  const {reads, writes, watches} = fleet.standIns.platform.counters;
  stopFaults();
  await settleCharges(fleet, scenario);
  const budgets = await readBudgets(fleet);
  const verdict = evaluateRun(
    driver.finished,
    fleet.standIns.runRecorder.runs,
    budgets,
  );
  await fleet.stop();
  const keyValueCalls = {
    reads: reads - countersBefore.reads,
    writes: writes - countersBefore.writes,
    watches: watches - countersBefore.watches,
  };
  const calls = keyValueCalls.reads + keyValueCalls.writes;
  const callsPerRequest = calls / Math.max(1, requests.length);
  return {policies, verdict, keyValueCalls, callsPerRequest};
}

function sumGrantedTokens(
  budget: string,
  declarations: Declarations,
  topUpTotals: TopUpTotals,
): number {
  const declaration = declarations.budgets.find(
    budgetDeclaration => budgetDeclaration.name === budget,
  );
  return (declaration?.initialTokens ?? 0) + (topUpTotals.get(budget) ?? 0);
}

/** Ends platform faults and drains the live entries, so that they settle. */
async function settleCharges(
  fleet: EmbeddedFleet,
  scenario: Scenario,
): Promise<void> {
  fleet.standIns.platform.setFaults({down: false, delayMs: 0, lostAnswers: 0});
  await sleep(SETTLE_WAIT);
  const anyEntryKilled = scenario.faults.some(
    fault => fault.kind === 'entry-killed',
  );
  if (anyEntryKilled) {
    await sleep(CHARGE_COPIES_WAIT);
  }
  const liveEntries = fleet.entries.filter(
    embeddedEntry => embeddedEntry.isLive,
  );
  await Promise.all(
    liveEntries.map(embeddedEntry => embeddedEntry.entry.drain()),
  );
}

async function readBudgets(fleet: EmbeddedFleet): Promise<BudgetView[]> {
  const views: BudgetView[] = [];
  for (let partition = 0; partition < PARTITION_COUNT; partition++) {
    const ledger = await readLedger(fleet.keyValue, partition);
    views.push(...(ledger === undefined ? [] : viewLedger(ledger)));
  }
  return views;
}

/** Limits progress lines to one per second, plus those at completion. */
function throttleProgress(
  reportProgress: ReportProgress,
): (done: number, total: number) => void {
  let lastReportAt = 0;
  return (done, total) => {
    const now = Date.now();
    if (now - lastReportAt >= 1_000 || done === total) {
      lastReportAt = now;
      reportProgress(`  ${done}/${total}`);
    }
  };
}

function sleep(duration: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
