/**
 * Stand-in for the platform: a key-value service and an instance list over
 * HTTP.
 */
import {
  BodyTooLargeError,
  HttpListener,
  readBody,
  sendJson,
  SystemClock,
} from '@citrontrestle/runtime';
import {z} from 'zod';
import {INSTANCE_SCHEMA} from '@citrontrestle/platform';
import {KeyValueStore} from './key_value_store.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Instance} from '@citrontrestle/platform';
import type {Millis} from '@citrontrestle/decisions';
import type {StoredValue} from './key_value_store.js';

/** Maximum size of a value and of any other request body. */
const MAX_VALUE_BYTES = 1024 * 1024;

/** Schema of the faults of the platform. */
export const PLATFORM_FAULTS_SCHEMA = z.strictObject({
  /** Whether the key-value service closes the connection of each call. */
  down: z.boolean().optional(),
  /** Delay before each call of the key-value service is executed. */
  delayMs: z.number().nonnegative().optional(),
  /** Number of next writes that are executed but not answered. */
  lostAnswers: z.number().int().nonnegative().optional(),
  /** Delay until a change appears in the instance list. */
  listLagMs: z.number().nonnegative().optional(),
});

/** Faults of the platform. */
export type PlatformFaults = z.infer<typeof PLATFORM_FAULTS_SCHEMA>;

/** Number of calls of the key-value service, by kind. */
export interface PlatformCounters {
  reads: number;
  writes: number;
  watches: number;
}

/** Stand-in for the platform. */
export class PlatformStandIn {
  readonly counters: PlatformCounters = {reads: 0, writes: 0, watches: 0};
  readonly store = new KeyValueStore(new SystemClock());
  private readonly faults: Required<PlatformFaults> = {
    down: false,
    delayMs: 0,
    lostAnswers: 0,
    listLagMs: 0,
  };
  private readonly listener = new HttpListener((incoming, outgoing) =>
    this.handleRequest(incoming, outgoing),
  );
  /** Current instances by identifier. */
  private readonly instances = new Map<string, Instance>();
  /** Instances in the list that callers get. */
  private publishedInstances: Instance[] = [];

  /**
   * Starts listening; port 0 chooses a free one. Returns the address as
   * `ip:port`.
   */
  start(host: string, port = 0): Promise<string> {
    return this.listener.listen(host, port);
  }

  /** Stops listening and closes all connections. */
  stop(): Promise<void> {
    return this.listener.stop();
  }

  /** Sets the given faults; the others stay as they are. */
  setFaults(faults: PlatformFaults): void {
    Object.assign(this.faults, faults);
  }

  /** Adds or replaces an instance; the list shows it after `listLagMs`. */
  setInstance(instance: Instance): void {
    this.instances.set(instance.id, instance);
    this.publish();
  }

  /** Removes an instance; the list omits it after `listLagMs`. */
  removeInstance(id: string): void {
    this.instances.delete(id);
    this.publish();
  }

  /** Copies the instances into the list after `listLagMs`. */
  private publish(): void {
    const snapshot = [...this.instances.values()].map(instance => ({
      ...instance,
    }));
    if (this.faults.listLagMs === 0) {
      this.publishedInstances = snapshot;
      return;
    }
    setTimeout(
      () => (this.publishedInstances = snapshot),
      this.faults.listLagMs,
    );
  }

  private async handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const url = new URL(incoming.url ?? '/', 'http://platform');
    if (url.pathname.startsWith('/kv/')) {
      const key = decodeURIComponent(url.pathname.slice('/kv/'.length));
      await this.handleKeyRequest(key, url, incoming, outgoing);
      return;
    }
    const route = ROUTES[`${incoming.method} ${url.pathname}`];
    if (route === undefined) {
      sendJson(outgoing, 404, {error: 'no such path'});
      return;
    }
    const body = await readBody(incoming, MAX_VALUE_BYTES);
    const value: unknown = body.length ? JSON.parse(body.toString()) : {};
    sendJson(outgoing, 200, route(this, value) ?? {});
  }

  /** Returns the instance list as callers get it. */
  listInstances(): Instance[] {
    return this.publishedInstances;
  }

  private async handleKeyRequest(
    key: string,
    url: URL,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    if (this.faults.down) {
      incoming.socket.destroy();
      return;
    }
    if (this.faults.delayMs > 0) {
      await pause(this.faults.delayMs);
    }
    if (incoming.method === 'PUT') {
      await this.handleWrite(key, incoming, outgoing);
    } else {
      await this.handleRead(key, url, outgoing);
    }
  }

  private async handleRead(
    key: string,
    url: URL,
    outgoing: ServerResponse,
  ): Promise<void> {
    const afterVersion = url.searchParams.get('after');
    if (afterVersion === null) {
      this.counters.reads += 1;
      const stored = this.store.get(key);
      sendStoredValue(outgoing, stored === undefined ? 404 : 200, stored);
      return;
    }
    this.counters.watches += 1;
    const maxWait = Number(url.searchParams.get('wait') ?? 0);
    const stored = await this.store.watch(key, Number(afterVersion), maxWait);
    if (this.faults.down) {
      outgoing.destroy();
      return;
    }
    sendStoredValue(outgoing, stored === undefined ? 304 : 200, stored);
  }

  private async handleWrite(
    key: string,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    this.counters.writes += 1;
    const body = await readValue(incoming);
    if (body === undefined) {
      sendJson(outgoing, 413, {error: 'value too large'});
      return;
    }
    const ifMatch = incoming.headers['if-match'];
    const expectedVersion = Number((ifMatch ?? '"0"').replaceAll('"', ''));
    const lease = incoming.headers['x-lease'];
    const stored = this.store.put(
      key,
      expectedVersion,
      body,
      typeof lease === 'string' ? lease : undefined,
    );
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1;
      incoming.socket.destroy();
      return;
    }
    if (stored === undefined) {
      sendStoredValue(outgoing, 412, this.store.get(key));
      return;
    }
    sendStoredValue(outgoing, 200, {...stored, value: Buffer.alloc(0)});
  }
}

const LEASE_SCHEMA = z.strictObject({id: z.string(), ttlMs: z.number()});
const REMOVAL_SCHEMA = z.strictObject({id: z.string()});

/** Handlers of the routes other than `/kv/`; each returns the JSON answer. */
const ROUTES: Record<
  string,
  (platform: PlatformStandIn, body: unknown) => unknown
> = {
  'GET /instances': platform => platform.listInstances(),
  'GET /counters': platform => platform.counters,
  'POST /faults': (platform, body) =>
    platform.setFaults(PLATFORM_FAULTS_SCHEMA.parse(body)),
  'POST /instances': (platform, body) =>
    platform.setInstance(INSTANCE_SCHEMA.parse(body)),
  'DELETE /instances': (platform, body) =>
    platform.removeInstance(REMOVAL_SCHEMA.parse(body).id),
  'POST /leases': (platform, body) => {
    const {id, ttlMs} = LEASE_SCHEMA.parse(body);
    platform.store.renewLease(id, ttlMs);
  },
};

/** Reads the body of a write; returns undefined if it is too large. */
async function readValue(
  incoming: IncomingMessage,
): Promise<Buffer | undefined> {
  try {
    return await readBody(incoming, MAX_VALUE_BYTES);
  } catch (error) {
    if (error instanceof BodyTooLargeError) {
      return undefined;
    }
    throw error;
  }
}

/**
 * Sends a value with its version as the ETag; the version is 0 without a value.
 */
function sendStoredValue(
  outgoing: ServerResponse,
  status: number,
  stored: StoredValue | undefined,
): void {
  outgoing.writeHead(status, {etag: `"${stored?.version ?? 0}"`});
  outgoing.end(status === 304 ? undefined : stored?.value);
}

function pause(duration: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
