/**
 * Client for the platform's key-value service: `GET /kv/KEY`, and `PUT /kv/KEY`
 * with `if-match` or `if-none-match`. The ETag is the version of the key.
 */
import {Agent} from 'node:http';
import {HttpOutcome, sendHttpRequest} from '@citrontrestle/runtime';
import {CborCodec} from './codec.js';
import {RateLimiter} from './rate_limiter.js';
import type {HttpResult} from '@citrontrestle/runtime';
import type {Clock, Millis} from '@citrontrestle/decisions';

/** Outcome of a call to the key-value service. */
export enum KeyValueOutcome {
  Found = 'found',
  /** The key doesn't exist. */
  Absent = 'absent',
  Written = 'written',
  /** The key has another version than expected; the write had no effect. */
  Conflict = 'conflict',
  /** The write may or may not have taken effect. */
  Unknown = 'lost',
  /** The call failed and had no effect. */
  Unavailable = 'unavailable',
  /** A watch ended without a new version. */
  Unchanged = 'unchanged',
}

/** Result of a read, a write or a watch. */
export type KeyValueResult =
  | {outcome: KeyValueOutcome.Found; version: number; value: unknown}
  /** The version is 0 if the key doesn't exist. */
  | {outcome: KeyValueOutcome.Conflict; version: number; value: unknown}
  | {outcome: KeyValueOutcome.Written; version: number}
  | {
      outcome: KeyValueOutcome.Unknown | KeyValueOutcome.Unavailable;
    }
  | {outcome: KeyValueOutcome.Absent}
  | {outcome: KeyValueOutcome.Unchanged};

/** Number of calls by kind. */
export interface KeyValueCalls {
  reads: number;
  writes: number;
  watches: number;
  /** Calls not sent because of the client's rate limit. */
  limited: number;
}

/** Settings of the client. */
export interface KeyValueSettings {
  /** Address as `ip:port`. */
  address: string;
  timeout: Millis;
  /** Maximum average rate of calls per second. */
  callsPerSecond: number;
  /** Maximum number of calls in one burst. */
  burst: number;
}

/** Time after which the service ends a watch without a change. */
const MAX_WATCH_WAIT: Millis = 20_000;

/** Client for the key-value service; limits its own rate of calls. */
export class KeyValueClient {
  readonly calls: KeyValueCalls = {reads: 0, writes: 0, watches: 0, limited: 0};
  // Answers carry no identifier, so each call has a connection of its own: on a
  // kept one, an answer that is sent again could be taken for the next.
  private readonly agent = new Agent({keepAlive: false});
  private readonly codec = new CborCodec();
  private readonly rateLimiter: RateLimiter;

  constructor(
    private readonly settings: KeyValueSettings,
    clock: Clock,
  ) {
    const {callsPerSecond, burst} = settings;
    this.rateLimiter = new RateLimiter(callsPerSecond, burst, clock);
  }

  /** Reads the value and version of a key. */
  async read(key: string): Promise<KeyValueResult> {
    if (!this.tryAcquireCall()) {
      return {outcome: KeyValueOutcome.Unavailable};
    }
    this.calls.reads += 1;
    const result = await this.sendGet(keyPath(key), this.settings.timeout);
    return this.decodeRead(result);
  }

  /** Writes a key if its version is still `version`; 0 creates the key. */
  async write(
    key: string,
    version: number,
    value: unknown,
  ): Promise<KeyValueResult> {
    if (!this.tryAcquireCall()) {
      return {outcome: KeyValueOutcome.Unavailable};
    }
    this.calls.writes += 1;
    const condition =
      version === 0 ? {'if-none-match': '*'} : {'if-match': `"${version}"`};
    const result = await sendHttpRequest({
      address: this.settings.address,
      method: 'PUT',
      path: keyPath(key),
      headers: {'content-type': 'application/cbor', ...condition},
      body: this.codec.encode(value),
      timeout: this.settings.timeout,
      agent: this.agent,
    });
    return this.decodeWrite(result);
  }

  /** Waits until the version of a key is above `version`, or the watch ends. */
  async watch(
    key: string,
    version: number,
    signal: AbortSignal,
  ): Promise<KeyValueResult> {
    if (!this.tryAcquireCall()) {
      return {outcome: KeyValueOutcome.Unavailable};
    }
    this.calls.watches += 1;
    const path = `${keyPath(key)}?after=${version}&wait=${MAX_WATCH_WAIT}`;
    const timeout = MAX_WATCH_WAIT + this.settings.timeout;
    return this.decodeRead(await this.sendGet(path, timeout, signal));
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private tryAcquireCall(): boolean {
    if (this.rateLimiter.tryAcquire()) {
      return true;
    }
    this.calls.limited += 1;
    return false;
  }

  private sendGet(
    path: string,
    timeout: Millis,
    signal?: AbortSignal,
  ): Promise<HttpResult> {
    const {address} = this.settings;
    const {agent} = this;
    return sendHttpRequest({
      address,
      method: 'GET',
      path,
      timeout,
      agent,
      signal,
    });
  }

  private decodeRead(result: HttpResult): KeyValueResult {
    if (result.outcome !== HttpOutcome.Answered) {
      return {outcome: KeyValueOutcome.Unavailable};
    }
    switch (result.status) {
      case 200:
        return this.decodeValue(KeyValueOutcome.Found, result);
      case 304:
        return {outcome: KeyValueOutcome.Unchanged};
      case 404:
        return {outcome: KeyValueOutcome.Absent};
      default:
        return {outcome: KeyValueOutcome.Unavailable};
    }
  }

  private decodeWrite(result: HttpResult): KeyValueResult {
    if (result.outcome !== HttpOutcome.Answered) {
      const mayHaveRun = result.outcome !== HttpOutcome.NotSent;
      const {Unknown, Unavailable} = KeyValueOutcome;
      return {outcome: mayHaveRun ? Unknown : Unavailable};
    }
    switch (result.status) {
      case 200:
        return {
          outcome: KeyValueOutcome.Written,
          version: parseVersion(result.headers.etag),
        };
      case 412:
        return this.decodeValue(KeyValueOutcome.Conflict, result);
      // The service rejected the write without applying it.
      case 429:
      case 503:
        return {outcome: KeyValueOutcome.Unavailable};
      default:
        return {outcome: KeyValueOutcome.Unknown};
    }
  }

  private decodeValue(
    outcome: KeyValueOutcome.Found | KeyValueOutcome.Conflict,
    result: Extract<HttpResult, {outcome: HttpOutcome.Answered}>,
  ): KeyValueResult {
    const version = parseVersion(result.headers.etag);
    const value =
      result.body.length === 0 ? undefined : this.codec.decode(result.body);
    return {outcome, version, value};
  }
}

function keyPath(key: string): string {
  return `/kv/${encodeURIComponent(key)}`;
}

function parseVersion(etag: string | undefined): number {
  return Number((etag ?? '"0"').replaceAll('"', ''));
}
