/** Stand-in of the hosted platform's store, with faults for each gate. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** How a gate treats its callers. */
export enum StoreMode {
  Serving = 'serving',
  /** Every call gets 503. */
  Busy = 'busy',
  /** No call gets an answer, and none is made. */
  Silent = 'silent',
  /** Writes are made and not answered. */
  LostWriteAnswers = 'answers-lost',
  /** Writes are made later, if their condition still holds, unanswered. */
  DelayedWrites = 'late',
}

interface Item {
  key: string;
  value: string;
  revision: number;
  createRevision: number;
  lease: number;
}

type Change = Item | {key: string; revision: number; removed: true};

interface Transaction {
  expected?: {key: string; revision: number}[];
  setKeys?: {key: string; value: string; lease?: number}[];
  remove?: string[];
}

interface CallResult {
  status: number;
  body: unknown;
}

/** Time after which a late write is made. */
const DELAYED_WRITE_DELAY: Millis = 1_000;

/** Keys that only the operator and the upstreams may write. */
const GATEWAY_READ_ONLY_KEY = /^(op|servers)\//;

/** One way to the store, with an address and faults of its own. */
export class StoreEndpoint {
  mode = StoreMode.Serving;
  /** Calls that have come. */
  callCount = 0;
  private readonly server: Server;

  constructor(private readonly store: HostedStore) {
    this.server = createServer((incoming, outgoing) => {
      void this.handleRequest(incoming, outgoing);
    });
  }

  /** Starts to listen; returns the address as `ip:port`. */
  listen(): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => {
        const {port} = this.server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Ends all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
    }
    this.callCount += 1;
    if (this.mode === StoreMode.Silent) {
      return;
    }
    if (this.mode === StoreMode.Busy) {
      sendResult(outgoing, {status: 503, body: {error: 'busy'}});
      return;
    }
    const url = new URL(incoming.url ?? '/', 'http://store');
    const body = Buffer.concat(chunks).toString('utf8');
    const isWrite = url.pathname === '/kv-txn';
    if (isWrite && this.mode === StoreMode.DelayedWrites) {
      setTimeout(() => this.store.handleCall(url, body), DELAYED_WRITE_DELAY);
      return;
    }
    const result = await this.store.handleCall(url, body);
    if (!(isWrite && this.mode === StoreMode.LostWriteAnswers)) {
      sendResult(outgoing, result);
    }
  }
}

function sendResult(
  outgoing: ServerResponse,
  {status, body}: CallResult,
): void {
  const text = JSON.stringify(body);
  outgoing.writeHead(status, {'Content-Type': 'application/json'});
  outgoing.end(text);
}

/** The store: one revision counter, conditions, watches and compaction. */
export class HostedStore {
  private revision = 1;
  private readonly items = new Map<string, Item>();
  private history: Change[] = [];
  private compactedRevision = 0;
  private readonly pendingWatches = new Set<() => void>();
  private readonly handlers: Record<
    string,
    (query: URLSearchParams, body: string) => CallResult | Promise<CallResult>
  > = {
    '/kv-key': query => this.readKey(query.get('key') ?? ''),
    '/kv-range': query => this.readRange(query.get('prefix') ?? ''),
    '/kv-watch': query => this.watchRange(query),
    '/kv-txn': (_query, body) =>
      this.applyTransaction(JSON.parse(body) as Transaction, true),
  };

  /** Opens a way to the store. */
  createEndpoint(): StoreEndpoint {
    return new StoreEndpoint(this);
  }

  /** Serves a call. */
  async handleCall(url: URL, body: string): Promise<CallResult> {
    const handler = this.handlers[url.pathname];
    return handler === undefined
      ? {status: 404, body: {error: 'no such call'}}
      : handler(url.searchParams, body);
  }

  /** Writes a key as the operator or an upstream does. */
  put(key: string, value: unknown): number {
    const encodedValue = Buffer.from(JSON.stringify(value)).toString('base64');
    this.applyTransaction({setKeys: [{key, value: encodedValue}]}, false);
    return this.revision;
  }

  /** Removes a key as the operator or an upstream does. */
  remove(key: string): void {
    this.applyTransaction({remove: [key]}, false);
  }

  /** The decoded value of a key. */
  readValue(key: string): unknown {
    const item = this.items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  /** Keys with a prefix. */
  listKeys(prefix: string): string[] {
    return [...this.items.keys()].filter(key => key.startsWith(prefix));
  }

  /** Forgets the history of changes. */
  compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
    this.endPendingWatches();
  }

  private readKey(key: string): CallResult {
    const item = this.items.get(key);
    return item === undefined
      ? {status: 404, body: {currentRev: this.revision}}
      : {status: 200, body: {...item, currentRev: this.revision}};
  }

  private readRange(prefix: string): CallResult {
    const items = [...this.items.values()].filter(item =>
      item.key.startsWith(prefix),
    );
    const body = {items, truncated: false, currentRev: this.revision};
    return {status: 200, body};
  }

  private async watchRange(query: URLSearchParams): Promise<CallResult> {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const deadline = Date.now() + Number(query.get('waitMs'));
    for (;;) {
      if (after < this.compactedRevision) {
        return {status: 410, body: {error: 'compacted'}};
      }
      const events = this.history.filter(
        change => change.revision > after && change.key.startsWith(prefix),
      );
      if (events.length > 0 || Date.now() >= deadline) {
        return {status: 200, body: {events, currentRev: this.revision}};
      }
      await this.waitForChange(deadline - Date.now());
    }
  }

  private waitForChange(timeout: Millis): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.pendingWatches.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, timeout);
      this.pendingWatches.add(finish);
    });
  }

  private endPendingWatches(): void {
    for (const finish of [...this.pendingWatches]) {
      finish();
    }
  }

  private applyTransaction(
    transaction: Transaction,
    isGatewayCall: boolean,
  ): CallResult {
    const sets = transaction.setKeys ?? [];
    const removals = transaction.remove ?? [];
    const keys = [...sets.map(set => set.key), ...removals];
    if (isGatewayCall && keys.some(key => GATEWAY_READ_ONLY_KEY.test(key))) {
      return {status: 403, body: {error: 'not yours'}};
    }
    const expected = transaction.expected ?? [];
    const isExpected = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isExpected) {
      const items = expected.flatMap(({key}) => this.items.get(key) ?? []);
      return {status: 412, body: {items}};
    }
    this.revision += 1;
    const {revision} = this;
    for (const {key, value, lease} of sets) {
      const createRevision = this.items.get(key)?.createRevision ?? revision;
      const item = {key, value, revision, createRevision, lease: lease ?? 0};
      this.items.set(key, item);
      this.history.push(item);
    }
    for (const key of removals) {
      this.items.delete(key);
      this.history.push({key, revision, removed: true});
    }
    this.endPendingWatches();
    return {status: 200, body: {revision}};
  }
}
