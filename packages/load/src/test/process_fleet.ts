/**
 * Runs entries as separate processes for tests. The stand-ins run in the test
 * process.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {stringify} from 'yaml';
import {
  applyDeclarations,
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
import {
  StandInGroup,
  STAND_IN_GROUP_SCHEMA,
  Relay,
} from '@citrontrestle/stand_ins';
import VError from 'verror';
import {Client} from '../lib/client.js';
import type {BudgetView} from '@citrontrestle/operator';
import type {ChildProcess} from 'node:child_process';
import type {ClientRequest} from '../lib/client.js';
import type {EntryAddresses, EntryStatus} from '@citrontrestle/entry';

const HOST = '127.0.0.1';
const OPERATOR_TOKEN = 'process-test-operator-token';
const POLL_INTERVAL_MS = 50;
const TIMEOUT_MS = 20_000;

/** Number of ledger partitions of a process fleet. */
export const PARTITION_COUNT = 2;

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

/** An entry that runs as a process of its own. */
export interface EntryProcess {
  instance: string;
  child: ChildProcess;
  addresses: EntryAddresses;
  /** Relays the entry's key-value calls; a cut isolates it from the service. */
  platformRelay: Relay;
  /** Relays connections that peers open; a cut blocks those peers. */
  peerRelay: Relay;
  /** Resolves to the exit code, or null if a signal ended the process. */
  exitCode: Promise<number | null>;
}

/** A fleet of entry processes with stand-ins for platform and upstreams. */
export class ProcessFleet {
  readonly entries: EntryProcess[] = [];
  readonly client = new Client();
  readonly standIns: StandInGroup;
  readonly keyValue: KeyValueClient;
  private readonly folder = mkdtempSync(join(tmpdir(), 'citrontrestle-'));

  private constructor(standIns: StandInGroup) {
    this.standIns = standIns;
    const address = standIns.platformAddress();
    const limits = {timeout: 2_000, callsPerSecond: 100, burst: 100};
    this.keyValue = new KeyValueClient({address, ...limits}, new SystemClock());
  }

  /**
   * Starts the stand-ins, applies the declarations and starts the entries.
   * Resolves when all entries are ready and connected to each other.
   */
  static async start(entryCount: number): Promise<ProcessFleet> {
    const zones = ['z1', 'z2', 'z3'];
    const engine = {tokenMs: 10, tokensPerEvent: 2};
    const standIns = new StandInGroup(
      STAND_IN_GROUP_SCHEMA.parse({zones, engines: 2, services: 2, engine}),
    );
    await standIns.start();
    const fleet = new ProcessFleet(standIns);
    const parsed = parseDeclarations(DECLARATIONS, 'test');
    if (!parsed.ok) {
      throw new VError('%j', parsed.errors);
    }
    await applyDeclarations(fleet.keyValue, parsed.value, 0, PARTITION_COUNT);
    for (let index = 0; index < entryCount; index++) {
      await fleet.startEntry();
    }
    await fleet.waitUntil(async () => {
      const statuses = await Promise.all(
        fleet.entries.map(entry => fetchStatus(entry)),
      );
      return statuses.every(
        entryStatus =>
          entryStatus?.ready && entryStatus.peers.length === entryCount - 1,
      );
    });
    return fleet;
  }

  /** Starts another entry and adds it to the platform's instance list. */
  async startEntry(): Promise<EntryProcess> {
    const index = this.entries.length;
    const instance = `entry-${index}`;
    const zone = `z${(index % 3) + 1}`;
    const platformRelay = new Relay(this.standIns.platformAddress());
    const listenAddress = `${HOST}:${nextPort()}`;
    const peerRelay = new Relay(listenAddress);
    const keyValue = await platformRelay.start(HOST);
    const advertise = await peerRelay.start(HOST);
    const file = join(this.folder, `${instance}.yaml`);
    const seeds = this.entries.map(peer => peer.addresses.fleet);
    writeFileSync(
      file,
      stringify({
        instance,
        zone,
        advertise,
        listen: {
          callers: `${HOST}:0`,
          fleet: listenAddress,
          operators: `${HOST}:0`,
        },
        platform: {keyValue, instances: this.standIns.platformAddress()},
        fleet: {key: 'process-test-fleet-key', entries: 3, seeds},
        operators: {token: OPERATOR_TOKEN},
        budget: {partitions: PARTITION_COUNT, settleMs: 500},
        log: 'error',
      }),
    );
    const entry = await spawnEntry(file, instance, platformRelay, peerRelay);
    this.entries.push(entry);
    const state = InstanceState.Live;
    const {fleet: address} = entry.addresses;
    const kind = InstanceKind.Entry;
    this.standIns.platform.setInstance({
      id: instance,
      kind,
      zone,
      address,
      state,
    });
    return entry;
  }

  /** Sends a request to an entry; defaults to POST on the chat path. */
  send(
    entryIndex: number,
    request: Partial<ClientRequest> & {idempotencyKey: string},
  ) {
    const entry = this.entries[entryIndex] as EntryProcess;
    return this.client.send(entry.addresses.callers, {
      method: 'POST',
      path: '/v1/chat/completions',
      apiKey: API_KEY,
      body: undefined,
      timeout: TIMEOUT_MS,
      ...request,
    });
  }

  /** Sends a chat request; the idempotency key is also its marker. */
  sendChat(
    entryIndex: number,
    idempotencyKey: string,
    outputTokens: number,
    timeout = TIMEOUT_MS,
  ) {
    const content = `marker:${idempotencyKey} words:${outputTokens}`;
    const messages = [{role: 'user', content}];
    const body = JSON.stringify({model: 'advice', messages, stream: true});
    return this.send(entryIndex, {idempotencyKey, body, timeout});
  }

  /** Sends an order; the idempotency key is also its marker. */
  sendOrder(entryIndex: number, idempotencyKey: string, timeout = TIMEOUT_MS) {
    const body = JSON.stringify({item: `marker:${idempotencyKey}`});
    return this.send(entryIndex, {
      idempotencyKey,
      path: '/v1/work/order',
      body,
      timeout,
    });
  }

  /** Number of times that the upstreams ran the request with a marker. */
  countRuns(marker: string): number {
    return this.standIns.runRecorder.runs.filter(run => run.marker === marker)
      .length;
  }

  /** Reads the budget `players` from the ledger; throws if there is none. */
  async readBudget(): Promise<BudgetView> {
    for (let partition = 0; partition < PARTITION_COUNT; partition++) {
      const ledger = await readLedger(this.keyValue, partition);
      const views = ledger === undefined ? [] : viewLedger(ledger);
      const budget = views.find(view => view.name === 'players');
      if (budget !== undefined) {
        return budget;
      }
    }
    throw new VError('the ledger has no budget players');
  }

  /** Waits until the condition holds; throws after `TIMEOUT_MS`. */
  async waitUntil(condition: () => Promise<boolean> | boolean): Promise<void> {
    const deadline = Date.now() + TIMEOUT_MS;
    while (!(await condition())) {
      if (Date.now() > deadline) {
        throw new VError('the condition did not hold in time');
      }
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Stops entries with SIGTERM; returns their exit codes. */
  async drain(...entryIndexes: number[]): Promise<(number | null)[]> {
    const entries = entryIndexes.map(
      index => this.entries[index] as EntryProcess,
    );
    entries.forEach(entry => entry.child.kill('SIGTERM'));
    return Promise.all(entries.map(entry => entry.exitCode));
  }

  /** Kills the entries, stops the stand-ins and deletes the settings files. */
  async stop(): Promise<void> {
    for (const {child, platformRelay, peerRelay} of this.entries) {
      child.kill('SIGKILL');
      platformRelay.stop();
      peerRelay.stop();
    }
    this.client.close();
    this.keyValue.close();
    await this.standIns.stop();
    rmSync(this.folder, {recursive: true});
  }
}

/** Fetches the status of an entry; undefined if it does not answer. */
export async function fetchStatus(
  entry: EntryProcess,
): Promise<EntryStatus | undefined> {
  const result = await sendHttpRequest({
    address: entry.addresses.operators,
    method: 'GET',
    path: '/status',
    headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
    timeout: 2_000,
  });
  return result.outcome === HttpOutcome.Answered
    ? (JSON.parse(result.body.toString()) as EntryStatus)
    : undefined;
}

/** Starts an entry process; resolves when it has printed its addresses. */
async function spawnEntry(
  file: string,
  instance: string,
  platformRelay: Relay,
  peerRelay: Relay,
): Promise<EntryProcess> {
  const require = createRequire(import.meta.url);
  const entryFolder = dirname(require.resolve('@citrontrestle/entry'));
  const mainFile = join(entryFolder, 'main.js');
  const child = spawn(process.execPath, [mainFile, file], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exitCode = new Promise<number | null>(resolve => {
    child.once('exit', code => resolve(code));
  });
  const firstLine = await new Promise<string>((resolve, reject) => {
    child.stdout.once('data', (data: Buffer) => resolve(data.toString()));
    child.once('exit', code =>
      reject(
        new VError(
          'the entry exited with code %s before it printed its addresses',
          code,
        ),
      ),
    );
  });
  const addresses = JSON.parse(firstLine) as EntryAddresses;
  return {
    instance,
    child,
    addresses,
    platformRelay,
    peerRelay,
    exitCode,
  };
}

/**
 * Below the ephemeral port range, so that the system does not assign a port to
 * another socket before the entry listens on it.
 */
const FIRST_PORT = 21_000;
const PORTS_PER_PROCESS = 200;
let assignedPorts = 0;

/** Next port of the range that belongs to the ID of this process. */
function nextPort(): number {
  assignedPorts += 1;
  const firstOwnPort = FIRST_PORT + (process.pid % 50) * PORTS_PER_PROCESS;
  return firstOwnPort + (assignedPorts % PORTS_PER_PROCESS);
}
