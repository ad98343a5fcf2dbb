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
import {check, EVENTS, RequestKind, USAGE} from './checks.js';
import {choose, Faults} from './faults.js';
import {planRun} from './plan.js';
import type {Breach, Sent} from './checks.js';
import type {Account} from './faults.js';
import type {Plan} from './plan.js';
import type {CallerResult} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';

/** What came of one run. */
export interface RunResult {
  plan: Plan;
  sent: number;
  served: number;
  refused: number;
  failed: number;
  breaches: Breach[];
  /** Log lines of the gateways about the requests of the breaches. */
  lines: string[];
}

const PROGRAM = fileURLToPath(
  import.meta.resolve('@citrontrestle/hosting/main'),
);

/** Time that a caller waits. */
const PATIENCE: Millis = 3_000;

/** Time after the load in which late runs may still begin. */
const AFTERMATH: Millis = 500;

/** Callers; each keeps its connections to all instances. */
const CALLERS = 8;

/** Upstreams of each service at the start. */
const UPSTREAMS = 3;

/** Accounts of the callers. */
const ACCOUNTS = ['club', 'school'];

/** Longest pause that a caller heeds, as a part of its patience. */
const HEEDED_PART = 1 / 3;

/** Statuses after which a request that did not run is sent once more. */
const COMES_BACK = new Set([429, 503]);

/** What each kind of request looks like. */
const REQUESTS: Readonly<Record<RequestKind, Parameters<typeof call>[1]>> = {
  [RequestKind.Read]: {path: '/read/1'},
  [RequestKind.Order]: {path: '/order/1', method: 'POST', body: 'racket'},
  [RequestKind.Talk]: streamRequest('/talk/1'),
  [RequestKind.Long]: streamRequest('/long/1'),
};

function streamRequest(path: string): Parameters<typeof call>[1] {
  const headers = tokenStreamHeaders(USAGE.input, USAGE.mostOutput);
  return {path, method: 'POST', body: 'prompt', headers};
}

/** Plays the run of a seed. */
export async function playRun(seed: number): Promise<RunResult> {
  const plan = planRun(seed);
  const fleet = new HostedFleet(PROGRAM);
  const accounts: Account[] = ACCOUNTS.map(name => ({
    name,
    keys: [`${name}-1`, `${name}-2`],
    granted: plan.granted,
  }));
  const faults = new Faults(fleet, accounts);
  try {
    await startFleet(fleet, faults, plan);
    const load = new Load(fleet, accounts, plan);
    const injected = plan.faults.map(async fault => {
      await pause(fault.at);
      await faults.inject(fault);
    });
    const sent = await load.run();
    await Promise.all(injected);
    await pause(AFTERMATH);
    return verdict(plan, sent, fleet, accounts, faults);
  } finally {
    await fleet.stop();
  }
}

async function startFleet(
  fleet: HostedFleet,
  faults: Faults,
  plan: Plan,
): Promise<void> {
  faults.configure();
  for (let index = 1; index <= UPSTREAMS; index++) {
    await fleet.addServer(`desk-${index}`, 'desk');
    await fleet.addServer(`model-${index}`, 'models', {eventCount: EVENTS});
  }
  for (let index = 0; index < plan.gateways; index++) {
    await fleet.addGateway();
  }
  for (const gateway of fleet.gateways) {
    await fleet.waitUntilServing(gateway);
  }
  await waitUntil(
    () => fleet.gateways.every(one => one.eventLines('peer.heard').length > 0),
    'all gateways hear of another one',
  );
}

/** The callers of one run. */
class Load {
  private readonly sent: Sent[] = [];
  private readonly agents = Array.from(
    {length: CALLERS},
    () => new Agent({keepAlive: true}),
  );
  private readonly random: () => number;

  constructor(
    private readonly fleet: HostedFleet,
    private readonly accounts: Account[],
    private readonly plan: Plan,
  ) {
    this.random = seededRandom(plan.seed + 1);
  }

  /** Sends requests for the span of the plan; resolves when all have ended. */
  async run(): Promise<Sent[]> {
    const {rate, span} = this.plan;
    const pending: Promise<void>[] = [];
    const end = Date.now() + span;
    while (Date.now() < end) {
      pending.push(this.request());
      await pause((-Math.log(1 - this.random()) * 1_000) / rate);
    }
    await Promise.all(pending);
    this.agents.forEach(agent => agent.destroy());
    return this.sent;
  }

  /** One request, and once more after a refusal. */
  private async request(): Promise<void> {
    const kind = choose(Object.values(RequestKind), this.random());
    const account = choose(this.accounts, this.random());
    const key = choose(account.keys, this.random());
    const agent = choose(this.agents, this.random());
    const begun = Date.now();
    const {status, headers} = await this.send(kind, account, key, agent);
    const wait = Number(headers['retry-after']) * 1_000;
    const left = PATIENCE - (Date.now() - begun);
    if (COMES_BACK.has(status) && wait <= left * HEEDED_PART) {
      await pause(wait);
      await this.send(kind, account, key, new Agent());
    }
  }

  private async send(
    kind: RequestKind,
    account: Account,
    key: string,
    agent: Agent,
  ): Promise<CallerResult> {
    const gateway = choose(this.fleet.gateways, this.random());
    const id = `s${this.plan.seed}-${this.sent.length}`;
    const options = REQUESTS[kind];
    const at = Date.now();
    const pending = call(gateway.callerAddress, {
      ...options,
      agent,
      disconnectAfterMs: PATIENCE,
      headers: {
        ...options.headers,
        Authorization: `Bearer ${key}`,
        'X-Request-Id': id,
        'X-Request-Deadline-Ms': String(PATIENCE),
      },
    });
    const result = {} as CallerResult;
    const {name} = gateway;
    const entry = {id, kind, account: account.name, key, gateway: name, at};
    this.sent.push({...entry, result});
    return Object.assign(result, await pending);
  }
}

function verdict(
  plan: Plan,
  sent: Sent[],
  fleet: HostedFleet,
  accounts: Account[],
  faults: Faults,
): RunResult {
  const runs = fleet.servers.flatMap(server =>
    server.runs.map(run => ({upstream: server.settings.id, run})),
  );
  const granted = new Map(accounts.map(one => [one.name, one.granted]));
  const breaches = check({sent, runs, granted, ...faults.record});
  const concerned = new Set(breaches.flatMap(one => one.requests));
  const lines = fleet.gateways
    .flatMap(gateway => gateway.logLines)
    .filter(line => concerned.has(String(line['request'])))
    .map(line => JSON.stringify(line));
  const count = (counts: (status: number) => boolean) =>
    sent.filter(({result}) => counts(result.status)).length;
  return {
    plan,
    sent: sent.length,
    served: count(status => status === 200),
    refused: count(status => status >= 400 && status !== 502),
    failed: count(status => status === 0 || status === 502),
    breaches,
    lines,
  };
}
