/**
 * Stand-in for the platform's store: keys with one revision counter, conditional
 * writes and watches. Each machine has its own address of it, so that the store
 * can turn some machines away and serve the others.
 */
import {createServer} from 'node:http';

/** Size of a page of a range, in characters of the values. */
const PAGE_BYTES = 1_000_000;

/** Time for which the store keeps its history. */
const HISTORY_MS = 20_000;

/** How the store treats the calls at one address. */
export const StoreMode = {
  Serving: 'serving',
  /** Calls get no answer and have no effect. */
  Silent: 'silent',
};

/** The store, with an address for each machine. */
export class Store {
  revision = 100;
  items = new Map();
  history = [];
  discardedRevision = 0;
  waiting = new Set();
  endpoints = [];

  constructor(record) {
    this.record = record;
  }

  /** Opens an address on a loopback host; its `mode` may be changed. */
  async open(host = '127.0.0.1') {
    const endpoint = {mode: StoreMode.Serving, address: ''};
    const server = createServer((incoming, outgoing) => {
      const chunks = [];
      incoming.on('data', chunk => chunks.push(chunk));
      incoming.on('end', async () => {
        if (endpoint.mode === StoreMode.Silent) {
          return;
        }
        const url = new URL(incoming.url, 'http://store');
        const body = Buffer.concat(chunks).toString('utf8');
        const {status, value} = await this.call(url, body);
        if (endpoint.mode === StoreMode.Silent) {
          return;
        }
        const text = JSON.stringify(value);
        outgoing.writeHead(status, {'Content-Type': 'application/json'});
        outgoing.end(text);
      });
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    endpoint.address = `${host}:${server.address().port}`;
    endpoint.server = server;
    this.endpoints.push(endpoint);
    return endpoint;
  }

  stop() {
    for (const {server} of this.endpoints) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes a key as the operator or a server does. */
  put(key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.record(`store ${key} = ${text}`);
    this.apply([{key, value: Buffer.from(text).toString('base64')}], []);
  }

  /** Writes bytes to several keys in one transaction, as another writer. */
  putBytes(values) {
    for (const [key, bytes] of values) {
      this.record(`store ${key} = ${bytes.length} bytes of another writer`);
    }
    this.apply(
      values.map(([key, bytes]) => ({key, value: bytes.toString('base64')})),
      [],
    );
  }

  /** Removes a key as the platform does when a server has left. */
  remove(key) {
    this.record(`store ${key} removed`);
    this.apply([], [key]);
  }

  /** Returns the decoded value of a key. */
  read(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  apply(sets, removals) {
    this.revision += 1;
    const {revision} = this;
    for (const {key, value, lease = 0} of sets) {
      const createRevision = this.items.get(key)?.createRevision ?? revision;
      const item = {key, value, revision, createRevision, lease};
      this.items.set(key, item);
      this.history.push({...item, at: Date.now()});
    }
    for (const key of removals) {
      this.items.delete(key);
      this.history.push({key, revision, removed: true, at: Date.now()});
    }
    [...this.waiting].forEach(wake => wake());
    return revision;
  }

  async call(url, body) {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/kv-key': {
        const item = this.items.get(query.get('key'));
        return item === undefined
          ? {status: 404, value: {currentRev: this.revision}}
          : {status: 200, value: {...item, currentRev: this.revision}};
      }
      case '/kv-range':
        return {status: 200, value: this.page(query)};
      case '/kv-watch':
        return this.watch(query);
      case '/kv-txn':
        return this.write(JSON.parse(body));
      default:
        return {status: 404, value: {}};
    }
  }

  /** Returns a page of a range: at most 500 items, or one above 1 MB. */
  page(query) {
    const prefix = query.get('prefix');
    const after = query.get('after') ?? '';
    const rest = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((first, second) => (first.key < second.key ? -1 : 1));
    const items = [];
    let size = 0;
    for (const item of rest) {
      size += item.value.length;
      if (items.length > 0 && (size > PAGE_BYTES || items.length === 500)) {
        break;
      }
      items.push(item);
    }
    const truncated = items.length < rest.length;
    return {items, truncated, currentRev: this.revision};
  }

  async watch(query) {
    const prefix = query.get('prefix');
    const after = Number(query.get('after'));
    const deadline = Date.now() + Number(query.get('waitMs'));
    for (;;) {
      this.discardHistory();
      if (after < this.discardedRevision) {
        return {status: 410, value: {}};
      }
      const events = this.history.filter(
        ({key, revision}) => key.startsWith(prefix) && revision > after,
      );
      const left = deadline - Date.now();
      if (events.length > 0 || left <= 0) {
        return {status: 200, value: {events, currentRev: this.revision}};
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.waiting.add(wake);
      });
    }
  }

  /** Discards what is older than the history that the store keeps. */
  discardHistory() {
    const oldest = Date.now() - HISTORY_MS;
    while (this.history.length > 0 && this.history[0].at < oldest) {
      this.discardedRevision = this.history.shift().revision;
    }
  }

  write({expected = [], setKeys = [], remove = []}) {
    const keys = [...setKeys.map(({key}) => key), ...remove];
    if (keys.some(key => /^(op|servers)\//.test(key))) {
      return {status: 403, value: {}};
    }
    const holds = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = expected.flatMap(({key}) => this.items.get(key) ?? []);
      return {status: 412, value: {items}};
    }
    return {status: 200, value: {revision: this.apply(setKeys, remove)}};
  }
}
