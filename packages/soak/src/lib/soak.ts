/**
 * Executes a run: starts real gateways, sends load, injects faults and checks.
 */
import {Agent} from 'node:http';
import {fileURLToPath} from 'node:url';
import {seededRandom} from '@citrontrestle/runtime';
import {
  call,
  completeEventIds,
  HostedFleet,
  pause,
  tokenStreamHeaders,
  waitUntil,
} from '@citrontrestle/stand_ins';
import {findViolations, RequestKind, STREAM_TOKENS} from './checks.js';
import {pickItem, FaultInjector} from './faults.js';
import {planRun} from './plan.js';
import type {Violation, SentRequest} from './checks.js';
import type {Account} from './faults.js';
import type {RunPlan} from './plan.js';
import type {CallerResult} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';

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

/** Time after which a caller gives up; also the deadline that it sends. */
const CALLER_TIMEOUT: Millis = 3_000;

/**
 * Time after the load during which upstreams may still start to run requests.
 */
const LATE_RUN_WAIT: Millis = 500;

/** Number of HTTP agents; each keeps its own connections to all instances. */
const AGENT_COUNT = 8;

/** Number of upstreams of each service at the start. */
const UPSTREAMS_PER_SERVICE = 3;

/** Share of the streams with the part that crashes upstreams, if there is one. */
const CRASHING_SHARE = 0.25;

/** Number of sound parts that prompts share. */
const SHARED_PARTS = 20;

/** Client accounts of the callers. */
const ACCOUNT_NAMES = ['club', 'school'];

/**
 * Longest Retry-After that a caller waits for, as a fraction of its remaining
 * time.
 */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

/**
 * Statuses that say that a request was not run and after which it is sent
 * again.
 */
const RETRIED_STATUSES = new Set([429, 503]);

/** Path, method, body and headers of each kind of request. */
const REQUEST_OPTIONS: Readonly<
  Record<RequestKind, Parameters<typeof call>[1]>
> = {
  [RequestKind.Read]: {path: '/read/1'},
  [RequestKind.Order]: {path: '/order/1', method: 'POST', body: 'racket'},
  [RequestKind.NonResumableStream]: streamRequestOptions('/talk/1'),
  [RequestKind.ResumableStream]: streamRequestOptions('/long/1'),
};

function streamRequestOptions(path: string): Parameters<typeof call>[1] {
  const headers = tokenStreamHeaders(
    STREAM_TOKENS.input,
    STREAM_TOKENS.maxOutput,
  );
  return {path, method: 'POST', body: 'prompt', headers};
}

/** Executes the run that a seed determines and stops all its processes. */
export async function executeRun(seed: number): Promise<RunResult> {
  const plan = planRun(seed);
  const fleet = new HostedFleet(GATEWAY_PROGRAM);
  const accounts: Account[] = ACCOUNT_NAMES.map(name => ({
    name,
    apiKeys: [`${name}-1`, `${name}-2`],
    grantedTokens: plan.initialGrant,
  }));
  const faultInjector = new FaultInjector(fleet, accounts);
  try {
    await startFleet(fleet, faultInjector, plan);
    const loadGenerator = new LoadGenerator(
      fleet,
      accounts,
      plan,
      faultInjector,
    );
    const injections = plan.faults.map(async fault => {
      await pause(fault.startsAfter);
      await faultInjector.inject(fault);
    });
    const sentRequests = await loadGenerator.run();
    await Promise.all(injections);
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
  faultInjector.configure();
  for (let index = 1; index <= UPSTREAMS_PER_SERVICE; index++) {
    await faultInjector.addUpstream('desk');
    await faultInjector.addUpstream('models');
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

/** Sends the requests of all callers of one run. */
class LoadGenerator {
  private readonly sentRequests: SentRequest[] = [];
  private readonly agents = Array.from(
    {length: AGENT_COUNT},
    () => new Agent({keepAlive: true}),
  );
  private readonly random: () => number;

  constructor(
    private readonly fleet: HostedFleet,
    private readonly accounts: Account[],
    private readonly plan: RunPlan,
    private readonly faultInjector: FaultInjector,
  ) {
    this.random = seededRandom(plan.seed + 1);
  }

  /**
   * Sends requests at random intervals for the duration of the load; resolves
   * when all have ended.
   */
  async run(): Promise<SentRequest[]> {
    const {requestsPerSecond, loadDuration} = this.plan;
    const pending: Promise<void>[] = [];
    const endTime = Date.now() + loadDuration;
    while (Date.now() < endTime) {
      pending.push(this.sendWithRetry());
      await pause((-Math.log(1 - this.random()) * 1_000) / requestsPerSecond);
    }
    await Promise.all(pending);
    this.agents.forEach(agent => agent.destroy());
    return this.sentRequests;
  }

  /**
   * Sends a random request, and again after a refusal whose Retry-After leaves
   * enough time. Takes a stream up again that was broken off.
   */
  private async sendWithRetry(): Promise<void> {
    const kind = pickItem(Object.values(RequestKind), this.random());
    const account = pickItem(this.accounts, this.random());
    const apiKey = pickItem(account.apiKeys, this.random());
    const agent = pickItem(this.agents, this.random());
    const startedAt = Date.now();
    const result = await this.send(kind, account, apiKey, agent);
    const {status, headers} = result;
    const lastEvent = completeEventIds(result).at(-1);
    const isBrokenOff = status === 200 && !result.complete;
    if (
      kind === RequestKind.ResumableStream &&
      isBrokenOff &&
      lastEvent !== undefined
    ) {
      const resumed = {id: result.requestId ?? '', lastEvent};
      await this.send(kind, account, apiKey, new Agent(), resumed);
    }
    const retryAfter = Number(headers['retry-after']) * 1_000;
    const remainingTime = CALLER_TIMEOUT - (Date.now() - startedAt);
    if (
      RETRIED_STATUSES.has(status) &&
      retryAfter <= remainingTime * MAX_RETRY_AFTER_FRACTION
    ) {
      await pause(retryAfter);
      await this.send(kind, account, apiKey, new Agent());
    }
  }

  /** Sends a request to a random instance. */
  private async send(
    kind: RequestKind,
    account: Account,
    apiKey: string,
    agent: Agent,
    resumed?: SentRequest['resumed'],
  ): Promise<CallerResult> {
    const gateway = pickItem(this.fleet.gateways, this.random());
    const id = `s${this.plan.seed}-${this.sentRequests.length}`;
    const options = REQUEST_OPTIONS[kind];
    const sentAt = Date.now();
    const response = call(gateway.callerAddress, {
      ...options,
      agent,
      disconnectAfterMs: CALLER_TIMEOUT,
      headers: {
        ...options.headers,
        ...this.promptHeaders(kind, id),
        ...(resumed && {
          'Last-Event-Id': String(resumed.lastEvent),
          Resumes: resumed.id,
        }),
        Authorization: `Bearer ${apiKey}`,
        'X-Request-Id': id,
        'X-Request-Deadline-Ms': String(CALLER_TIMEOUT),
      },
    });
    const result = {} as CallerResult;
    const {name} = gateway;
    const requestDetails = {
      id,
      tryNumber: 1,
      kind,
      account: account.name,
      apiKey,
      gateway: name,
      sentAt,
      resumed,
    };
    this.sentRequests.push({...requestDetails, result});
    return Object.assign(result, await response);
  }

  /** Returns the prompt of a stream; some have the part that crashes upstreams. */
  private promptHeaders(kind: RequestKind, id: string): Record<string, string> {
    if (REQUEST_OPTIONS[kind].headers === undefined) {
      return {};
    }
    const crashingPart = this.faultInjector.crashingPartName();
    const isBad = crashingPart !== undefined && this.random() < CRASHING_SHARE;
    const shared = isBad
      ? crashingPart
      : `shared-${Math.floor(this.random() * SHARED_PARTS)}`;
    const ownTokens = STREAM_TOKENS.input / 2;
    return {'X-Prompt-Prefix': `${shared}:${ownTokens},${id}:${ownTokens}`};
  }
}

/** Checks the guarantees and counts the results by status. */
function summarizeRun(
  plan: RunPlan,
  sentRequests: SentRequest[],
  fleet: HostedFleet,
  accounts: Account[],
  faultInjector: FaultInjector,
): RunResult {
  const upstreamRuns = fleet.servers.flatMap(server =>
    server.runs.map(run => ({
      upstream: server.settings.id,
      zone: server.settings.zone,
      run,
    })),
  );
  const grantedTokens = new Map(
    accounts.map(account => [account.name, account.grantedTokens]),
  );
  const violations = findViolations({
    sentRequests,
    upstreamRuns,
    grantedTokens,
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
    violations,
    logLines,
  };
}
