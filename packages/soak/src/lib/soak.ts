/**
 * Executes a run: starts real gateways, sends load, injects faults and checks.
 */
import {fileURLToPath} from 'node:url';
import {seededRandom} from '@citrontrestle/runtime';
import {HostedFleet, pause, waitUntil} from '@citrontrestle/stand_ins';
import {Callers} from './callers.js';
import {findViolations} from './checks.js';
import {findDrainNotices} from './drain_notices.js';
import {FaultInjector} from './faults.js';
import type {Account} from './faults/context.js';
import type {SentRequest, Violation} from './observations.js';
import type {RunPlan} from './plan.js';
import type {Millis} from '@citrontrestle/decisions';
import type {HostedServer, ServerRun} from '@citrontrestle/stand_ins';

/** Summary of one run. */
export interface RunResult {
  plan: RunPlan;
  /** Requests sent, retries included. */
  sentCount: number;
  /** Requests answered with status 200. */
  servedCount: number;
  /** Requests answered with an error status other than 502. */
  refusedCount: number;
  /** Requests answered with status 502 or not at all. */
  failedCount: number;
  /** Copies of refusals that upstreams wrote. */
  copiedRefusals: number;
  violations: Violation[];
  /**
   * Log lines of the gateways about the requests of the violations, as JSON.
   */
  logLines: string[];
}

/** Path of the gateway's main module. */
const GATEWAY_PROGRAM = fileURLToPath(
  import.meta.resolve('@citrontrestle/hosting/main'),
);

/**
 * Time after the load during which upstreams may still start to run requests.
 */
const LATE_RUN_WAIT: Millis = 500;

/** Client accounts of the callers. */
const ACCOUNT_NAMES = ['club', 'school'];

/** Executes a planned run and stops all its processes. */
export async function executeRun(plan: RunPlan): Promise<RunResult> {
  const fleet = new HostedFleet(GATEWAY_PROGRAM, true);
  const accounts: Account[] = ACCOUNT_NAMES.map(name => ({
    name,
    apiKeys: [`${name}-1`, `${name}-2`],
    grantedTokens: plan.initialGrant,
  }));
  const faultInjector = new FaultInjector(
    fleet,
    accounts,
    seededRandom(plan.seed + 2),
  );
  try {
    await startFleet(fleet, faultInjector, plan);
    const callers = new Callers(fleet, accounts, plan, faultInjector.upstreams);
    const injections = plan.faults.map(async fault => {
      await pause(fault.startsAfter);
      await faultInjector.inject(fault);
    });
    const [sentRequests] = await Promise.all([callers.run(), ...injections]);
    await pause(LATE_RUN_WAIT);
    return summarizeRun(plan, sentRequests, fleet, accounts, faultInjector);
  } finally {
    await fleet.stop();
  }
}

/**
 * Starts upstreams and gateways; resolves when all gateways serve and each has
 * heard of a peer.
 */
async function startFleet(
  fleet: HostedFleet,
  faultInjector: FaultInjector,
  plan: RunPlan,
): Promise<void> {
  faultInjector.operator.configure();
  for (let index = 1; index <= plan.upstreamsPerService; index++) {
    await faultInjector.upstreams.addUpstream('desk');
    await faultInjector.upstreams.addUpstream('models');
  }
  for (let index = 0; index < plan.gatewayCount; index++) {
    await fleet.addGateway();
  }
  for (const gateway of fleet.gateways) {
    await fleet.waitUntilServing(gateway);
  }
  await waitUntil(
    () =>
      fleet.gateways.every(
        gateway => gateway.eventLines('peer.heard').length > 0,
      ),
    'every gateway has heard of a peer',
  );
}

/** Checks the guarantees and counts the results by status. */
function summarizeRun(
  plan: RunPlan,
  sentRequests: SentRequest[],
  fleet: HostedFleet,
  accounts: Account[],
  faultInjector: FaultInjector,
): RunResult {
  const observed = (runsOf: (server: HostedServer) => ServerRun[]) =>
    fleet.servers.flatMap(server => {
      const {id, zone} = server.settings;
      return runsOf(server).map(run => ({upstream: id, zone, run}));
    });
  const {upstreamDrains} = faultInjector.record;
  const grantedTokens = new Map(
    accounts.map(account => [account.name, account.grantedTokens]),
  );
  const unchanged = accounts.filter(
    account => account.grantedTokens === plan.initialGrant,
  );
  const hasClosedEntries = fleet.gateways.some(
    gateway => gateway.eventLines('budget.closed').length > 0,
  );
  const violations = findViolations({
    sentRequests,
    upstreamRuns: observed(server => server.runs),
    refusedRuns: observed(server => server.refusedRuns),
    drainNotices: fleet.gateways.flatMap(gateway =>
      findDrainNotices(gateway, upstreamDrains),
    ),
    grantedTokens,
    exactAccounts: hasClosedEntries
      ? new Set()
      : new Set(unchanged.map(({name}) => name)),
    ...faultInjector.record,
  });
  const violatingIds = new Set(
    violations.flatMap(violation => violation.requestIds),
  );
  const logLines = fleet.gateways
    .flatMap(gateway => gateway.logLines)
    .filter(line => violatingIds.has(String(line['request'])))
    .map(line => JSON.stringify(line));
  const countByStatus = (matches: (status: number) => boolean) =>
    sentRequests.filter(({result}) => matches(result.status)).length;
  return {
    plan,
    sentCount: sentRequests.length,
    servedCount: countByStatus(status => status === 200),
    refusedCount: countByStatus(status => status >= 400 && status !== 502),
    failedCount: countByStatus(status => status === 0 || status === 502),
    copiedRefusals: faultInjector.upstreams.copiedRefusals(),
    violations,
    logLines,
  };
}
