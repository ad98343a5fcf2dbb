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
import {EmbeddedFleet, PARTITIONS} from './embedded_fleet.js';
import {plan} from './plan.js';
import {KEYS_SCHEMA, SCENARIO_SCHEMA} from './scenario.js';
import {scheduleFaults} from './faults.js';
import {judge} from './verdict.js';
import type {BudgetView} from '@citrontrestle/operator';
import type {Declarations, Millis} from '@citrontrestle/decisions';
import type {Policies} from './embedded_fleet.js';
import type {Scenario} from './scenario.js';
import type {SettingsResult} from '@citrontrestle/runtime';
import type {TopUps} from './faults.js';
import type {Verdict} from './verdict.js';

/** A scenario with the files that it names. */
export interface Experiment {
  scenario: Scenario;
  declarations: Declarations;
  keys: Record<string, string>;
}

/** Result of one run. */
export interface RunResult {
  policies: Policies;
  verdict: Verdict;
  keyValueCalls: {reads: number; writes: number; watches: number};
  /** Writes and reads for each request. */
  callsPerRequest: number;
}

/** Shows progress to a person. */
export type Progress = (line: string) => void;

/** Wait for the platform and the copies after the last request. */
const SETTLE_WAIT: Millis = 500;

/** Longest wait for copies of a killed entry's charges to be settled. */
const COPIES_WAIT: Millis = 17_000;

function must<T>(read: SettingsResult<T>): T {
  if (read.ok) {
    return read.value;
  }
  throw new VError(read.errors.map(formatSettingsError).join('\n'));
}

/** Reads a scenario and the files that it names. */
export function readExperiment(file: string): Experiment {
  const scenario = must(readSettings<Scenario>(file, SCENARIO_SCHEMA));
  const folder = dirname(file);
  const declarations = must(
    readDeclarations(resolve(folder, scenario.declarations)),
  );
  const keys = must(
    readSettings<Record<string, string>>(
      resolve(folder, scenario.keys),
      KEYS_SCHEMA,
    ),
  );
  for (const budget of declarations.budgets) {
    const grant = scenario.grants[budget.name];
    budget.initialTokens = grant ?? budget.initialTokens;
  }
  return {scenario, declarations, keys};
}

/** Runs a scenario for each pair of policies. */
export async function runExperiment(
  experiment: Experiment,
  seed: number,
  progress: Progress,
): Promise<RunResult[]> {
  const results: RunResult[] = [];
  const {budgetPolicies, routingPolicies} = experiment.scenario;
  for (const budget of budgetPolicies) {
    for (const routing of routingPolicies) {
      progress(`${budget} / ${routing}`);
      const policies = {budget, routing};
      results.push(await runOnce(experiment, policies, seed, progress));
    }
  }
  return results;
}

/** Runs a scenario once. */
export async function runOnce(
  experiment: Experiment,
  policies: Policies,
  seed: number,
  progress: Progress,
): Promise<RunResult> {
  const {scenario, declarations, keys} = experiment;
  const planned = plan(scenario, declarations, keys, seed);
  const fleet = await EmbeddedFleet.start(
    scenario.fleet,
    declarations,
    policies,
  );
  const topUps: TopUps = new Map();
  const driver = new Driver(
    {
      live: () =>
        fleet.entries.filter(one => one.live).map(one => one.addresses.callers),
    },
    budget => grantedTo(budget, declarations, topUps),
    throttled(progress),
  );
  const before = {...fleet.group.platform.counters};
  const stopFaults = scheduleFaults(fleet, scenario.faults, topUps);
  await driver.run(planned);
  const {reads, writes, watches} = fleet.group.platform.counters;
  stopFaults();
  await settle(fleet, scenario);
  const budgets = await readBudgets(fleet);
  const verdict = judge(driver.finished, fleet.group.truth.runs, budgets);
  await fleet.stop();
  const keyValueCalls = {
    reads: reads - before.reads,
    writes: writes - before.writes,
    watches: watches - before.watches,
  };
  const calls = keyValueCalls.reads + keyValueCalls.writes;
  const callsPerRequest = calls / Math.max(1, planned.length);
  return {policies, verdict, keyValueCalls, callsPerRequest};
}

function grantedTo(
  budget: string,
  declarations: Declarations,
  topUps: TopUps,
): number {
  const declared = declarations.budgets.find(one => one.name === budget);
  return (declared?.initialTokens ?? 0) + (topUps.get(budget) ?? 0);
}

/** Drains what lives, so that everything is billed. */
async function settle(fleet: EmbeddedFleet, scenario: Scenario): Promise<void> {
  fleet.group.platform.setFaults({down: false, delayMs: 0, lostAnswers: 0});
  await pause(SETTLE_WAIT);
  const killed = scenario.faults.some(one => one.kind === 'entry-killed');
  if (killed) {
    await pause(COPIES_WAIT);
  }
  const live = fleet.entries.filter(one => one.live);
  await Promise.all(live.map(one => one.entry.drain()));
}

async function readBudgets(fleet: EmbeddedFleet): Promise<BudgetView[]> {
  const views: BudgetView[] = [];
  for (let number = 0; number < PARTITIONS; number++) {
    const ledger = await readLedger(fleet.keyValue, number);
    views.push(...(ledger === undefined ? [] : viewLedger(ledger)));
  }
  return views;
}

function throttled(progress: Progress): (done: number, of: number) => void {
  let last = 0;
  return (done, of) => {
    const now = Date.now();
    if (now - last >= 1_000 || done === of) {
      last = now;
      progress(`  ${done}/${of}`);
    }
  };
}

function pause(span: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span));
}
