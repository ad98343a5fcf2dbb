/**
 * The platform's key-value service over HTTP: `GET /kv/KEY`, and `PUT /kv/KEY`
 * with `if-match` or `if-none-match`. The version is the entity tag.
 */
import {Agent} from 'node:http';
import {call, CallOutcome} from '@citrontrestle/runtime';
import {CallBudget} from './call_budget.js';
import {Codec} from './codec.js';
import type {CallResult} from '@citrontrestle/runtime';
import type {Clock, Millis} from '@citrontrestle/decisions';

/** What became of a call to the key-value service. */
export enum KeyValueOutcome {
  Found = 'found',
  Absent = 'absent',
  Written = 'written',
  /** Another value stands; a write took no effect. */
  Conflict = 'conflict',
  /** A write may or may not have taken effect. */
  Lost = 'lost',
  /** The call took no effect. */
  Unavailable = 'unavailable',
  /** A watch ended without a change. */
  Unchanged = 'unchanged',
}

/** Result of a read, a write or a watch. */
export type KeyValueResult =
  | {outcome: KeyValueOutcome.Found; version: number; value: unknown}
  /** The version is 0 when the key does not exist. */
  | {outcome: KeyValueOutcome.Conflict; version: number; value: unknown}
  | {outcome: KeyValueOutcome.Written; version: number}
  | {
      outcome: KeyValueOutcome.Lost | KeyValueOutcome.Unavailable;
    }
  | {outcome: KeyValueOutcome.Absent}
  | {outcome: KeyValueOutcome.Unchanged};

/** Calls made, by kind. */
export interface KeyValueCalls {
  reads: number;
  writes: number;
  watches: number;
  /** Calls held back by the client's own limit. */
  limited: number;
}

/** Settings of the client. */
export interface KeyValueSettings {
  /** Address as `ip:port`. */
  address: string;
  timeout: Millis;
  /** Most calls a second on average. */
  callsPerSecond: number;
  /** Most calls at once above the average. */
  burst: number;
}

/** Longest wait of one watch. */
const WATCH_WAIT: Millis = 20_000;

/** Client of the key-value service. */
export class KeyValue {
  readonly calls: KeyValueCalls = {reads: 0, writes: 0, watches: 0, limited: 0};
  private readonly agent = new Agent({keepAlive: true});
  private readonly codec = new Codec();
  private readonly allowance: CallBudget;

  constructor(
    private readonly settings: KeyValueSettings,
    clock: Clock,
  ) {
    const {callsPerSecond, burst} = settings;
    this.allowance = new CallBudget(callsPerSecond, burst, clock);
  }

  /** Reads a key. */
  async read(key: string): Promise<KeyValueResult> {
    if (!this.allow()) {
      return {outcome: KeyValueOutcome.Unavailable};
    }
    this.calls.reads += 1;
    const result = await this.get(pathOf(key), this.settings.timeout);
    return this.decodeRead(result);
  }

  /** Writes a key if its version is still `version`; 0 creates it. */
  async write(
    key: string,
    version: number,
    value: unknown,
  ): Promise<KeyValueResult> {
    if (!this.allow()) {
      return {outcome: KeyValueOutcome.Unavailable};
    }
    this.calls.writes += 1;
    const condition =
      version === 0 ? {'if-none-match': '*'} : {'if-match': `"${version}"`};
    const result = await call({
      address: this.settings.address,
      method: 'PUT',
      path: pathOf(key),
      headers: {'content-type': 'application/cbor', ...condition},
      body: this.codec.encode(value),
      timeout: this.settings.timeout,
      agent: this.agent,
    });
    return this.decodeWrite(result);
  }

  /** Waits until a key's version is above `version`. */
  async watch(
    key: string,
    version: number,
    signal: AbortSignal,
  ): Promise<KeyValueResult> {
    if (!this.allow()) {
      return {outcome: KeyValueOutcome.Unavailable};
    }
    this.calls.watches += 1;
    const path = `${pathOf(key)}?after=${version}&wait=${WATCH_WAIT}`;
    const timeout = WATCH_WAIT + this.settings.timeout;
    return this.decodeRead(await this.get(path, timeout, signal));
  }

  /** Lets go of kept connections. */
  close(): void {
    this.agent.destroy();
  }

  private allow(): boolean {
    if (this.allowance.take()) {
      return true;
    }
    this.calls.limited += 1;
    return false;
  }

  private get(
    path: string,
    timeout: Millis,
    signal?: AbortSignal,
  ): Promise<CallResult> {
    const {address} = this.settings;
    const {agent} = this;
    return call({address, method: 'GET', path, timeout, agent, signal});
  }

  private decodeRead(result: CallResult): KeyValueResult {
    if (result.outcome !== CallOutcome.Answered) {
      return {outcome: KeyValueOutcome.Unavailable};
    }
    switch (result.status) {
      case 200:
        return this.valueOf(KeyValueOutcome.Found, result);
      case 304:
        return {outcome: KeyValueOutcome.Unchanged};
      case 404:
        return {outcome: KeyValueOutcome.Absent};
      default:
        return {outcome: KeyValueOutcome.Unavailable};
    }
  }

  private decodeWrite(result: CallResult): KeyValueResult {
    if (result.outcome !== CallOutcome.Answered) {
      const lost = result.outcome === CallOutcome.Lost;
      const {Lost, Unavailable} = KeyValueOutcome;
      return {outcome: lost ? Lost : Unavailable};
    }
    switch (result.status) {
      case 200:
        return {
          outcome: KeyValueOutcome.Written,
          version: versionOf(result.headers.etag),
        };
      case 412:
        return this.valueOf(KeyValueOutcome.Conflict, result);
      case 429:
      case 503:
        return {outcome: KeyValueOutcome.Unavailable};
      default:
        return {outcome: KeyValueOutcome.Lost};
    }
  }

  private valueOf(
    outcome: KeyValueOutcome.Found | KeyValueOutcome.Conflict,
    result: Extract<CallResult, {outcome: CallOutcome.Answered}>,
  ): KeyValueResult {
    const version = versionOf(result.headers.etag);
    const value =
      result.body.length === 0 ? undefined : this.codec.decode(result.body);
    return {outcome, version, value};
  }
}

function pathOf(key: string): string {
  return `/kv/${encodeURIComponent(key)}`;
}

function versionOf(etag: string | undefined): number {
  return Number((etag ?? '"0"').replaceAll('"', ''));
}
