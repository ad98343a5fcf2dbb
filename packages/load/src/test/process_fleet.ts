/** Entries as real processes, for tests; the stand-ins run in the test. */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {stringify} from 'yaml';
import {
  apply,
  parseDeclarations,
  readLedger,
  viewLedger,
} from '@citrontrestle/operator';
import {
  InstanceKind,
  InstanceState,
  KeyValueClient,
} from '@citrontrestle/platform';
import {
  sendHttpRequest,
  HttpOutcome,
  sha256,
  SystemClock,
} from '@citrontrestle/runtime';
import {Group, GROUP_SCHEMA, Relay} from '@citrontrestle/stand_ins';
import VError from 'verror';
import {Client} from '../lib/client.js';
import type {BudgetView} from '@citrontrestle/operator';
import type {ChildProcess} from 'node:child_process';
import type {Call} from '../lib/client.js';
import type {EntryAddresses, EntryStatus} from '@citrontrestle/entry';

const HOST = '127.0.0.1';
const TOKEN = 'process-test-operator-token';
const POLL = 50;
const PATIENCE = 20_000;
export const PARTITIONS = 2;

/** API key of the account `desk`. */
export const API_KEY = 'process-test-key';

const DECLARATIONS = `
budgets: [{name: players, initialTokens: 100000}]
classes:
  - {name: advice, kind: engine, idempotent: true, priceTokens: 200, wholeMs: 20000, importance: 50}
  - {name: order, kind: service, idempotent: false, path: /orders, priceTokens: 20, wholeMs: 2000, importance: 90}
  - {name: status, kind: service, idempotent: true, path: /status, priceTokens: 1, wholeMs: 3000, importance: 90}
accounts:
  - name: desk
    budget: players
    keyDigests: [${sha256(API_KEY)}]
    classes: [advice, order, status]
`;

/** One entry process. */
export interface EntryProcess {
  instance: string;
  child: ChildProcess;
  addresses: EntryAddresses;
  /** Cuts the entry off from the platform. */
  platform: Relay;
  /** Cuts the entry off from peers that dial it. */
  links: Relay;
  /** Resolves to the exit code. */
  ended: Promise<number | null>;
}

/** A fleet of entry processes. */
export class ProcessFleet {
  readonly entries: EntryProcess[] = [];
  readonly client = new Client();
  readonly group: Group;
  readonly keyValue: KeyValueClient;
  private readonly folder = mkdtempSync(join(tmpdir(), 'citrontrestle-'));

  private constructor(group: Group) {
    this.group = group;
    const address = group.address();
    const limits = {timeout: 2_000, callsPerSecond: 100, burst: 100};
    this.keyValue = new KeyValueClient({address, ...limits}, new SystemClock());
  }

  /** Starts stand-ins, declarations and entries. */
  static async start(entries: number): Promise<ProcessFleet> {
    const zones = ['z1', 'z2', 'z3'];
    const engine = {tokenMs: 10, tokensPerEvent: 2};
    const group = new Group(
      GROUP_SCHEMA.parse({zones, engines: 2, services: 2, engine}),
    );
    await group.start();
    const fleet = new ProcessFleet(group);
    const read = parseDeclarations(DECLARATIONS, 'test');
    if (!read.ok) {
      throw new VError('%j', read.errors);
    }
    await apply(fleet.keyValue, read.value, 0, PARTITIONS);
    for (let index = 0; index < entries; index++) {
      await fleet.add();
    }
    await fleet.until(async () => {
      const all = await Promise.all(fleet.entries.map(one => status(one)));
      return all.every(one => one?.ready && one.peers.length === entries - 1);
    });
    return fleet;
  }

  /** Starts one more entry. */
  async add(): Promise<EntryProcess> {
    const index = this.entries.length;
    const instance = `entry-${index}`;
    const zone = `z${(index % 3) + 1}`;
    const platform = new Relay(this.group.address());
    const real = `${HOST}:${nextPort()}`;
    const links = new Relay(real);
    const keyValue = await platform.start(HOST);
    const advertise = await links.start(HOST);
    const file = join(this.folder, `${instance}.yaml`);
    const seeds = this.entries.map(one => one.addresses.fleet);
    writeFileSync(
      file,
      stringify({
        instance,
        zone,
        advertise,
        listen: {
          callers: `${HOST}:0`,
          fleet: real,
          operators: `${HOST}:0`,
        },
        platform: {keyValue, instances: this.group.address()},
        fleet: {key: 'process-test-fleet-key', entries: 3, seeds},
        operators: {token: TOKEN},
        budget: {partitions: PARTITIONS, settleMs: 500},
        log: 'error',
      }),
    );
    const entry = await launch(file, instance, platform, links);
    this.entries.push(entry);
    const state = InstanceState.Live;
    const {fleet: address} = entry.addresses;
    const kind = InstanceKind.Entry;
    this.group.platform.setInstance({id: instance, kind, zone, address, state});
    return entry;
  }

  /** Sends a request to an entry. */
  send(index: number, request: Partial<Call> & {key: string}) {
    const entry = this.entries[index] as EntryProcess;
    return this.client.send(entry.addresses.callers, {
      method: 'POST',
      path: '/v1/chat/completions',
      apiKey: API_KEY,
      body: undefined,
      timeout: PATIENCE,
      ...request,
    });
  }

  /** Sends a request for engine work. */
  chat(index: number, key: string, words: number, timeout = PATIENCE) {
    const content = `marker:${key} words:${words}`;
    const messages = [{role: 'user', content}];
    const body = JSON.stringify({model: 'advice', messages, stream: true});
    return this.send(index, {key, body, timeout});
  }

  /** Sends an order. */
  order(index: number, key: string, timeout = PATIENCE) {
    const body = JSON.stringify({item: `marker:${key}`});
    return this.send(index, {key, path: '/v1/work/order', body, timeout});
  }

  /** How often a marker ran at the upstreams. */
  ran(marker: string): number {
    return this.group.truth.runs.filter(run => run.marker === marker).length;
  }

  /** The budget as the ledger has it. */
  async budget(): Promise<BudgetView> {
    for (let number = 0; number < PARTITIONS; number++) {
      const ledger = await readLedger(this.keyValue, number);
      const view = ledger === undefined ? [] : viewLedger(ledger);
      const found = view.find(one => one.name === 'players');
      if (found !== undefined) {
        return found;
      }
    }
    throw new VError('no budget');
  }

  /** Waits until something is so; fails after a generous while. */
  async until(condition: () => Promise<boolean> | boolean): Promise<void> {
    const end = Date.now() + PATIENCE;
    while (!(await condition())) {
      if (Date.now() > end) {
        throw new VError('did not come to pass');
      }
      await new Promise(resolve => setTimeout(resolve, POLL));
    }
  }

  /** Stops entries with SIGTERM and waits for their exits. */
  async drain(...indexes: number[]): Promise<(number | null)[]> {
    const entries = indexes.map(index => this.entries[index] as EntryProcess);
    entries.forEach(entry => entry.child.kill('SIGTERM'));
    return Promise.all(entries.map(entry => entry.ended));
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    for (const {child, platform, links} of this.entries) {
      child.kill('SIGKILL');
      platform.stop();
      links.stop();
    }
    this.client.close();
    this.keyValue.close();
    await this.group.stop();
    rmSync(this.folder, {recursive: true});
  }
}

/** The entry's own view of itself; undefined when it does not answer. */
export async function status(
  entry: EntryProcess,
): Promise<EntryStatus | undefined> {
  const result = await sendHttpRequest({
    address: entry.addresses.operators,
    method: 'GET',
    path: '/status',
    headers: {authorization: `Bearer ${TOKEN}`},
    timeout: 2_000,
  });
  return result.outcome === HttpOutcome.Answered
    ? (JSON.parse(result.body.toString()) as EntryStatus)
    : undefined;
}

async function launch(
  file: string,
  instance: string,
  platform: Relay,
  links: Relay,
): Promise<EntryProcess> {
  const require = createRequire(import.meta.url);
  const library = dirname(require.resolve('@citrontrestle/entry'));
  const main = join(library, 'main.js');
  const child = spawn(process.execPath, [main, file], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = new Promise<number | null>(resolve => {
    child.once('exit', code => resolve(code));
  });
  const line = await new Promise<string>((resolve, reject) => {
    child.stdout.once('data', (data: Buffer) => resolve(data.toString()));
    child.once('exit', code => reject(new VError('exit %s', code)));
  });
  const addresses = JSON.parse(line) as EntryAddresses;
  return {instance, child, addresses, platform, links, ended};
}

/** Below the ports that the system hands out, so that none is taken first. */
const FIRST_PORT = 21_000;
const PORTS_EACH = 200;
let portsUsed = 0;

function nextPort(): number {
  portsUsed += 1;
  const own = FIRST_PORT + (process.pid % 50) * PORTS_EACH;
  return own + (portsUsed % PORTS_EACH);
}
