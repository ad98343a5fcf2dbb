/** One run: real gateways, load, faults, and the verdict. */
import {Agent} from 'node:http';
import {fileURLToPath} from 'node:url';
import {seededRandom} from '@citrontrestle/runtime';
import {
  call,
  HostedFleet,
  pause,
  tokenStreamHeaders,
  waitUntil,
} from '@citrontrestle/stand_ins';
import {
  findViolations,
  EVENTS_PER_STREAM,
  RequestKind,
  STREAM_TOKENS,
} from './checks.js';
import {pickItem, FaultInjector} from './faults.js';
import {planRun} from './plan.js';
import type {Violation, SentRequest} from './checks.js';
import type {Account} from './faults.js';
import type {RunPlan} from './plan.js';
import type {CallerResult} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';

/** What came of one run. */
export interface RunResult {
  plan: RunPlan;
  sent: number;
  served: number;
  refused: number;
  failed: number;
  violations: Violation[];
  /** Log lines of the gateways about the requests of the breaches. */
  logLines: string[];
}

const GATEWAY_PROGRAM = fileURLToPath(
  import.meta.resolve('@citrontrestle/hosting/main'),
);

/** Time that a caller waits. */
const CALLER_TIMEOUT: Millis = 3_000;

/** Time after the load in which late runs may still begin. */
const LATE_RUN_WAIT: Millis = 500;

/** Callers; each keeps its connections to all instances. */
const AGENT_COUNT = 8;

/** Upstreams of each service at the start. */
const UPSTREAMS_PER_SERVICE = 3;

/** Accounts of the callers. */
const ACCOUNT_NAMES = ['club', 'school'];

/** Longest pause that a caller heeds, as a part of its patience. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

/** Statuses after which a request that did not run is sent once more. */
const RETRIED_STATUSES = new Set([429, 503]);

/** What each kind of request looks like. */
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

/** Plays the run of a seed. */
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
    const loadGenerator = new LoadGenerator(fleet, accounts, plan);
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

async function startFleet(
  fleet: HostedFleet,
  faultInjector: FaultInjector,
  plan: RunPlan,
): Promise<void> {
  faultInjector.configure();
  for (let index = 1; index <= UPSTREAMS_PER_SERVICE; index++) {
    await fleet.addServer(`desk-${index}`, 'desk');
    await fleet.addServer(`model-${index}`, 'models', {
      eventCount: EVENTS_PER_STREAM,
    });
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
    'all gateways hear of another one',
  );
}

/** The callers of one run. */
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
  ) {
    this.random = seededRandom(plan.seed + 1);
  }

  /** Sends requests for the span of the plan; resolves when all have ended. */
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

  /** One request, and once more after a refusal. */
  private async sendWithRetry(): Promise<void> {
    const kind = pickItem(Object.values(RequestKind), this.random());
    const account = pickItem(this.accounts, this.random());
    const apiKey = pickItem(account.apiKeys, this.random());
    const agent = pickItem(this.agents, this.random());
    const startedAt = Date.now();
    const {status, headers} = await this.send(kind, account, apiKey, agent);
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

  private async send(
    kind: RequestKind,
    account: Account,
    apiKey: string,
    agent: Agent,
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
        Authorization: `Bearer ${apiKey}`,
        'X-Request-Id': id,
        'X-Request-Deadline-Ms': String(CALLER_TIMEOUT),
      },
    });
    const result = {} as CallerResult;
    const {name} = gateway;
    const details = {
      id,
      kind,
      account: account.name,
      apiKey,
      gateway: name,
      sentAt,
    };
    this.sentRequests.push({...details, result});
    return Object.assign(result, await response);
  }
}

function summarizeRun(
  plan: RunPlan,
  sentRequests: SentRequest[],
  fleet: HostedFleet,
  accounts: Account[],
  faultInjector: FaultInjector,
): RunResult {
  const upstreamRuns = fleet.servers.flatMap(server =>
    server.runs.map(run => ({upstream: server.settings.id, run})),
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
    sent: sentRequests.length,
    served: countByStatus(status => status === 200),
    refused: countByStatus(status => status >= 400 && status !== 502),
    failed: countByStatus(status => status === 0 || status === 502),
    violations,
    logLines,
  };
}
