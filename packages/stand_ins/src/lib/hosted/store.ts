/** Stand-in of the hosted platform's store, with faults for each gate. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** How a gate treats its callers. */
export enum GateMode {
  Serving = 'serving',
  /** Every call gets 503. */
  Busy = 'busy',
  /** No call gets an answer, and none is made. */
  Silent = 'silent',
  /** Writes are made and not answered. */
  AnswersLost = 'answers-lost',
  /** Writes are made later, if their condition still holds, unanswered. */
  Late = 'late',
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

interface Result {
  status: number;
  body: unknown;
}

/** Time after which a late write is made. */
const LATE_DELAY: Millis = 1_000;

/** Keys that only the operator and the upstreams may write. */
const FOREIGN = /^(op|servers)\//;

/** One way to the store, with an address and faults of its own. */
export class StoreGate {
  mode = GateMode.Serving;
  /** Calls that have come. */
  calls = 0;
  private readonly server: Server;

  constructor(private readonly store: HostedStore) {
    this.server = createServer((incoming, outgoing) => {
      void this.take(incoming, outgoing);
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

  private async take(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
    }
    this.calls += 1;
    if (this.mode === GateMode.Silent) {
      return;
    }
    if (this.mode === GateMode.Busy) {
      answer(outgoing, {status: 503, body: {error: 'busy'}});
      return;
    }
    const url = new URL(incoming.url ?? '/', 'http://store');
    const text = Buffer.concat(chunks).toString('utf8');
    const write = url.pathname === '/kv-txn';
    if (write && this.mode === GateMode.Late) {
      setTimeout(() => this.store.call(url, text), LATE_DELAY);
      return;
    }
    const result = await this.store.call(url, text);
    if (!(write && this.mode === GateMode.AnswersLost)) {
      answer(outgoing, result);
    }
  }
}

function answer(outgoing: ServerResponse, {status, body}: Result): void {
  const text = JSON.stringify(body);
  outgoing.writeHead(status, {'Content-Type': 'application/json'});
  outgoing.end(text);
}

/** The store: one revision counter, conditions, watches and compaction. */
export class HostedStore {
  private revision = 1;
  private readonly items = new Map<string, Item>();
  private history: Change[] = [];
  private oldest = 0;
  private readonly waiting = new Set<() => void>();
  private readonly handlers: Record<
    string,
    (query: URLSearchParams, text: string) => Result | Promise<Result>
  > = {
    '/kv-key': query => this.key(query.get('key') ?? ''),
    '/kv-range': query => this.range(query.get('prefix') ?? ''),
    '/kv-watch': query => this.watch(query),
    '/kv-txn': (_query, text) =>
      this.transact(JSON.parse(text) as Transaction, true),
  };

  /** Opens a way to the store. */
  gate(): StoreGate {
    return new StoreGate(this);
  }

  /** Serves a call. */
  async call(url: URL, text: string): Promise<Result> {
    const handler = this.handlers[url.pathname];
    return handler === undefined
      ? {status: 404, body: {error: 'no such call'}}
      : handler(url.searchParams, text);
  }

  /** Writes a key as the operator or an upstream does. */
  put(key: string, value: unknown): number {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.transact({setKeys: [{key, value: text}]}, false);
    return this.revision;
  }

  /** Removes a key as the operator or an upstream does. */
  drop(key: string): void {
    this.transact({remove: [key]}, false);
  }

  /** The decoded value of a key. */
  value(key: string): unknown {
    const item = this.items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  /** Keys with a prefix. */
  keys(prefix: string): string[] {
    return [...this.items.keys()].filter(key => key.startsWith(prefix));
  }

  /** Forgets the history of changes. */
  compact(): void {
    this.history = [];
    this.oldest = this.revision;
    this.wake();
  }

  private key(key: string): Result {
    const item = this.items.get(key);
    return item === undefined
      ? {status: 404, body: {currentRev: this.revision}}
      : {status: 200, body: {...item, currentRev: this.revision}};
  }

  private range(prefix: string): Result {
    const items = [...this.items.values()].filter(item =>
      item.key.startsWith(prefix),
    );
    const body = {items, truncated: false, currentRev: this.revision};
    return {status: 200, body};
  }

  private async watch(query: URLSearchParams): Promise<Result> {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const until = Date.now() + Number(query.get('waitMs'));
    for (;;) {
      if (after < this.oldest) {
        return {status: 410, body: {error: 'compacted'}};
      }
      const events = this.history.filter(
        change => change.revision > after && change.key.startsWith(prefix),
      );
      if (events.length > 0 || Date.now() >= until) {
        return {status: 200, body: {events, currentRev: this.revision}};
      }
      await this.change(until - Date.now());
    }
  }

  private change(wait: Millis): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, wait);
      this.waiting.add(done);
    });
  }

  private wake(): void {
    for (const done of [...this.waiting]) {
      done();
    }
  }

  private transact(change: Transaction, guarded: boolean): Result {
    const sets = change.setKeys ?? [];
    const removals = change.remove ?? [];
    const keys = [...sets.map(set => set.key), ...removals];
    if (guarded && keys.some(key => FOREIGN.test(key))) {
      return {status: 403, body: {error: 'not yours'}};
    }
    const expected = change.expected ?? [];
    const holds = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
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
    this.wake();
    return {status: 200, body: {revision}};
  }
}
