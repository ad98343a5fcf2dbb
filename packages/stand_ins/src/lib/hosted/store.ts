/**
 * Stand-in for the hosted platform's store. Each gateway gets an endpoint of
 * its own, so that a test can simulate a fault of the store for one gateway.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** How an endpoint of the store treats calls. */
export enum StoreMode {
  /** Every call is executed and answered. */
  Serving = 'serving',
  /** No call is executed; each is answered with 503. */
  Busy = 'busy',
  /** No call is executed or answered. */
  Silent = 'silent',
  /** Writes are executed but not answered; reads are served. */
  LostWriteAnswers = 'answers-lost',
  /**
   * Writes are executed after a delay, if their condition is still met, and not
   * answered; reads are served.
   */
  DelayedWrites = 'late',
}

/** A stored key, as it goes out in answers. */
interface Item {
  key: string;
  /** Value in Base64. */
  value: string;
  /** Revision of the store at the last write of the key. */
  revision: number;
  /** Revision of the store when the key was created. */
  createRevision: number;
  lease: number;
}

/** An entry of the history: a key that was written or removed. */
type Change = Item | {key: string; revision: number; removed: true};

/** Body of a write: a condition, keys to set and keys to remove. */
interface Transaction {
  /** Revisions that the keys must have; 0 stands for a missing key. */
  expected?: {key: string; revision: number}[];
  setKeys?: {key: string; value: string; lease?: number}[];
  remove?: string[];
}

/** Status and JSON body of an answer. */
interface CallResult {
  status: number;
  body: unknown;
}

/** A copy of the store's keys, to which it can go back. */
export interface StoreCopy {
  revision: number;
  items: ReadonlyMap<string, Item>;
}

/** Delay of a write in `StoreMode.DelayedWrites`. */
const WRITE_DELAY: Millis = 1_000;

/** Maximum number of items of a page of a range. */
const MAX_PAGE_ITEMS = 500;

/** Length of the encoded values of a page above which it has one item only. */
const MAX_PAGE_VALUE_LENGTH = 1_000_000;

/**
 * Matches keys that gateways may not write, only the operator and upstreams.
 */
const GATEWAY_READ_ONLY_KEY_PATTERN = /^(op|servers)\//;

/** An HTTP endpoint of the store with an address and a mode of its own. */
export class StoreEndpoint {
  mode = StoreMode.Serving;
  /** Number of calls received, whether or not they were executed. */
  callCount = 0;
  /** Number of calls received that list or watch a prefix, by the prefix. */
  readonly prefixCalls = new Map<string, number>();
  private readonly server: Server;

  constructor(private readonly store: HostedStore) {
    this.server = createServer((incoming, outgoing) => {
      void this.handleRequest(incoming, outgoing);
    });
  }

  /** Starts listening on a free port; returns the address as `ip:port`. */
  listen(): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => {
        const {port} = this.server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Stops listening and closes all connections. */
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
    const url = new URL(incoming.url ?? '/', 'http://store');
    const prefix = url.searchParams.get('prefix') ?? '';
    const prefixCalls = this.prefixCalls.get(prefix) ?? 0;
    this.prefixCalls.set(prefix, prefixCalls + 1);
    if (this.mode === StoreMode.Silent) {
      return;
    }
    outgoing.setHeader('Store-Era', String(this.store.era()));
    if (this.mode === StoreMode.Busy) {
      sendResult(outgoing, {status: 503, body: {error: 'busy'}});
      return;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    const isWrite = url.pathname === '/kv-txn';
    if (isWrite && this.mode === StoreMode.DelayedWrites) {
      setTimeout(() => this.store.handleCall(url, body), WRITE_DELAY);
      return;
    }
    const result = await this.store.handleCall(url, body);
    if (!(isWrite && this.mode === StoreMode.LostWriteAnswers)) {
      this.answer(outgoing, result);
    }
  }

  /** Answers a call, unless the endpoint has fallen silent since it came. */
  private answer(outgoing: ServerResponse, result: CallResult): void {
    if (this.mode !== StoreMode.Silent) {
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

/**
 * An in-memory key-value store with one revision counter for all keys,
 * conditional writes, watches of a key prefix and compaction of its history.
 */
export class HostedStore {
  /** Increases by one each time that the store goes back to a copy. */
  private currentEra = 1;
  /** Increases by one at each write of any keys. */
  private revision = 1;
  /** Stored items by key. */
  private readonly items = new Map<string, Item>();
  /** Changes since the last compaction, oldest first. */
  private history: Change[] = [];
  /** Revision at the last compaction, which removed all changes up to it. */
  private compactedRevision = 0;
  /** Functions that wake a watch that waits for a change. */
  private readonly pendingWatches = new Set<() => void>();
  /** Handlers of the calls by path. */
  private readonly handlers: Record<
    string,
    (query: URLSearchParams, body: string) => CallResult | Promise<CallResult>
  > = {
    '/kv-key': query => this.readKey(query.get('key') ?? ''),
    '/kv-range': query =>
      this.readPage(query.get('prefix') ?? '', query.get('after') ?? ''),
    '/kv-watch': query => this.watchRange(query),
    '/kv-txn': (_query, body) =>
      this.applyTransaction(JSON.parse(body) as Transaction, true),
  };

  /** Returns a new endpoint, which does not listen yet. */
  createEndpoint(): StoreEndpoint {
    return new StoreEndpoint(this);
  }

  /** Executes a call of a gateway; returns the answer. */
  async handleCall(url: URL, body: string): Promise<CallResult> {
    const handler = this.handlers[url.pathname];
    return handler === undefined
      ? {status: 404, body: {error: 'no such call'}}
      : handler(url.searchParams, body);
  }

  /**
   * Writes a key as the operator or an upstream does, without a condition;
   * returns the new revision of the store.
   */
  put(key: string, value: unknown): number {
    return this.putText(key, JSON.stringify(value));
  }

  /** Like `put`, for a value that need not be JSON. */
  putText(key: string, text: string): number {
    return this.putTexts([key], text);
  }

  /** Like `putText`, for several keys with the same value in one transaction. */
  putTexts(keys: readonly string[], text: string): number {
    const value = Buffer.from(text).toString('base64');
    this.applyTransaction({setKeys: keys.map(key => ({key, value}))}, false);
    return this.revision;
  }

  /** Removes a key as the operator or an upstream does, without a condition. */
  remove(key: string): void {
    this.applyTransaction({remove: [key]}, false);
  }

  /** Returns the decoded value of a key; undefined if the key is missing. */
  readValue(key: string): unknown {
    const item = this.items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  /** Returns the keys with a prefix. */
  listKeys(prefix: string): string[] {
    return [...this.items.keys()].filter(key => key.startsWith(prefix));
  }

  /** Returns the era, which all answers name. */
  era(): number {
    return this.currentEra;
  }

  /** Returns a copy of all keys, for `goBack`. */
  copy(): StoreCopy {
    return {revision: this.revision, items: new Map(this.items)};
  }

  /**
   * Goes back to a copy: what was written since is lost, and its revisions are
   * given out again. What the operator and the servers wrote is written again.
   */
  goBack({revision, items}: StoreCopy): void {
    const written = [...this.items.values()].filter(({key}) =>
      GATEWAY_READ_ONLY_KEY_PATTERN.test(key),
    );
    this.items.clear();
    items.forEach((item, key) => this.items.set(key, item));
    this.revision = revision;
    this.history = [];
    this.compactedRevision = revision;
    this.currentEra += 1;
    for (const {key, value} of written) {
      this.applyTransaction({setKeys: [{key, value}]}, false);
    }
    this.wakePendingWatches();
  }

  /**
   * Removes the history of changes. Watches of older revisions are answered
   * with 410.
   */
  compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
    this.wakePendingWatches();
  }

  private readKey(key: string): CallResult {
    const item = this.items.get(key);
    return item === undefined
      ? {status: 404, body: {currentRev: this.revision}}
      : {status: 200, body: {...item, currentRev: this.revision}};
  }

  /** Returns the page of a range that begins after a key. */
  private readPage(prefix: string, afterKey: string): CallResult {
    const keys = this.listKeys(prefix)
      .filter(key => key > afterKey)
      .sort();
    const items: Item[] = [];
    let size = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      if (item === undefined) {
        continue;
      }
      size += item.value.length;
      const isFull =
        items.length === MAX_PAGE_ITEMS || size > MAX_PAGE_VALUE_LENGTH;
      if (isFull && items.length > 0) {
        break;
      }
      items.push(item);
    }
    const truncated = items.length < keys.length;
    const body = {items, truncated, currentRev: this.revision};
    return {status: 200, body};
  }

  /** Waits for changes of keys with a prefix after a revision. */
  private async watchRange(query: URLSearchParams): Promise<CallResult> {
    const prefix = query.get('prefix') ?? '';
    const afterRevision = Number(query.get('after'));
    const deadline = Date.now() + Number(query.get('waitMs'));
    for (;;) {
      const isUnknown = afterRevision > this.revision;
      if (isUnknown || afterRevision < this.compactedRevision) {
        return {status: 410, body: {error: 'compacted'}};
      }
      const events = this.history.filter(
        change =>
          change.revision > afterRevision && change.key.startsWith(prefix),
      );
      if (events.length > 0 || Date.now() >= deadline) {
        return {status: 200, body: {events, currentRev: this.revision}};
      }
      await this.waitForChange(deadline - Date.now());
    }
  }

  /**
   * Resolves at the next change or compaction, at the latest after `timeout`.
   */
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

  private wakePendingWatches(): void {
    for (const finish of [...this.pendingWatches]) {
      finish();
    }
  }

  /**
   * Applies a write if its condition is met; gateways may not write all keys.
   */
  private applyTransaction(
    transaction: Transaction,
    isGatewayCall: boolean,
  ): CallResult {
    const sets = transaction.setKeys ?? [];
    const removals = transaction.remove ?? [];
    const keys = [...sets.map(set => set.key), ...removals];
    if (
      isGatewayCall &&
      keys.some(key => GATEWAY_READ_ONLY_KEY_PATTERN.test(key))
    ) {
      return {status: 403, body: {error: 'not yours'}};
    }
    const expected = transaction.expected ?? [];
    const hasExpectedRevisions = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!hasExpectedRevisions) {
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
    this.wakePendingWatches();
    return {status: 200, body: {revision}};
  }
}
