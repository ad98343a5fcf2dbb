/**
 * Choice of an upstream by what the instance knows of load and of cached
 * prompt parts. Load patterns: many requests share a long prompt part; one
 * prompt part becomes popular; an upstream fails or turns slow.
 */
import {affinity} from './routing.js';
import type {Millis} from './clock.js';
import type {UpstreamListing} from './upstream_registry.js';

/** One part of a prompt; requests share parts. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What is to be placed. */
export interface PlacementRequest {
  /** Parts of the prompt in order; empty for plain services. */
  parts: PromptPart[];
  /** Tokens of the prompt; 0 for plain services. */
  promptTokens: number;
}

/** Load of one upstream as an instance saw it. */
export interface UpstreamLoad {
  /** Requests in flight. */
  running: number;
  /** Time to read the prompts of requests without a first token yet. */
  reading: Millis;
}

/** Load that an upstream reported on an answer. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** What placement looks at besides its own state. */
export interface PlacementView {
  now: Millis;
  zone: string;
  /** Upstreams that this request must not go to. */
  avoid: ReadonlySet<string>;
}

/** How one attempt at an upstream ended. */
export enum PlacementEnd {
  Answered = 'answered',
  /** The upstream stated that it did not run the request. */
  Rejected = 'rejected',
  /** The upstream answered with a failure of its own. */
  Erred = 'erred',
  /** No connection, a broken answer or one of another request. */
  Failed = 'failed',
  /** The caller left, or the instance gave up. */
  Cancelled = 'cancelled',
}

/** Where a request was placed, and the counts to give back. */
export interface Placed {
  upstream: UpstreamListing;
  /** Time that the upstream is expected to read the prompt. */
  reading: Millis;
}

interface State {
  own: UpstreamLoad;
  peers: Map<string, {load: UpstreamLoad; at: Millis}>;
  reported: ReportedLoad | undefined;
  reportedAt: Millis;
  strikes: number;
  shunnedUntil: Millis;
  /** When each prompt part was last used there, by its chain. */
  parts: Map<string, Millis>;
}

/** Cached prompt parts are taken to stay this long after their last use. */
const PART_MEMORY: Millis = 30_000;

/** Most prompt parts that are remembered of one upstream. */
const MOST_PARTS = 1_000;

/** Age after which what a peer said of its load counts for nothing. */
const PEER_LOAD_MEMORY: Millis = 4_000;

/** Age after which a reported load counts for nothing. */
const REPORT_MEMORY: Millis = 1_000;

/** First pause after a failure; it doubles with each further one. */
const SHUN_FIRST: Millis = 250;

/** Longest pause after failures. */
const SHUN_MOST: Millis = 4_000;

/** Most failures that are counted. */
const MOST_STRIKES = 6;

/** Failures that one good answer makes up for. */
const STRIKES_FORGIVEN = 0.34;

/** Tokens that an engine reads in one millisecond. */
const READ_TOKENS_PER_MS = 100;

/**
 * Time for one million pairs of a token that is read and a token before it:
 * attention makes long prompts cost more than their length.
 */
const MILLION_PAIRS_COST: Millis = 0.2;

/** Pairs in one million. */
const MILLION = 1e6;

/** Delay by each request that runs at an engine, in milliseconds. */
const BATCH_COST: Millis = 0.5;

/** Delay by each request that runs at a plain upstream, in milliseconds. */
const RUNNING_COST: Millis = 3;

/** Delay of one request that waits for a place, in milliseconds. */
const WAITING_COST: Millis = 40;

/** Cost of another zone, in milliseconds. */
const ZONE_COST: Millis = 3;

/**
 * Weight of tokens that are read again: they also delay the other requests
 * that run there.
 */
const READ_WEIGHT = 2;

/** Places requests and keeps count of them. */
export class Placement {
  private readonly states = new Map<string, State>();

  /** Picks an upstream; undefined when none may get the request. */
  choose(
    request: PlacementRequest,
    candidates: readonly UpstreamListing[],
    view: PlacementView,
  ): Placed | undefined {
    const allowed = candidates.filter(one => !view.avoid.has(one.id));
    const sound = allowed.filter(
      one => this.of(one.id).shunnedUntil <= view.now,
    );
    const from = sound.length > 0 ? sound : allowed;
    const key = affinityKey(request);
    let best: Placed | undefined;
    let bestCost = Infinity;
    const ranks = from.map(upstream => affinity(key, upstream.id));
    const home = key === '' ? -1 : ranks.indexOf(Math.max(...ranks));
    for (const [index, upstream] of from.entries()) {
      const known = this.toRead(request, upstream.id, view.now);
      const least = index === home ? ownTokens(request) : Infinity;
      const tokens = Math.min(known, least);
      const reading = readingTime(tokens, request.promptTokens);
      const rank = (ranks[index] ?? 0) / 2 ** 32;
      const cost = this.cost(upstream, reading, view) - rank;
      if (cost < bestCost) {
        bestCost = cost;
        best = {upstream, reading};
      }
    }
    return best;
  }

  /** Counts a request as in flight. */
  started(request: PlacementRequest, placed: Placed, now: Millis): void {
    const state = this.of(placed.upstream.id);
    state.own.running += 1;
    state.own.reading += placed.reading;
    this.remember(state, request, now);
  }

  /** Counts the first token of a request. */
  firstToken(placed: Placed): void {
    const {own} = this.of(placed.upstream.id);
    own.reading = Math.max(0, own.reading - placed.reading);
  }

  /** Counts a request as ended; `begun` tells whether a token had come. */
  ended(placed: Placed, end: PlacementEnd, begun: boolean, now: Millis): void {
    const state = this.of(placed.upstream.id);
    state.own.running = Math.max(0, state.own.running - 1);
    if (!begun) {
      this.firstToken(placed);
    }
    ENDINGS[end](state, now);
  }

  /** Notes what an upstream reported of its load. */
  reported(id: string, load: ReportedLoad, now: Millis): void {
    const state = this.of(id);
    state.reported = load;
    state.reportedAt = now;
  }

  /** Notes what a peer has in flight. */
  peerLoad(
    peer: string,
    loads: ReadonlyMap<string, UpstreamLoad>,
    now: Millis,
  ): void {
    for (const state of this.states.values()) {
      state.peers.delete(peer);
    }
    for (const [id, load] of loads) {
      this.of(id).peers.set(peer, {load, at: now});
    }
  }

  /** What this instance and some peers have in flight, by upstream. */
  loadOf(peers: readonly string[], now: Millis): Map<string, UpstreamLoad> {
    const named = new Set(peers);
    return this.sum(peer => named.has(peer), now);
  }

  /** What this instance and all peers but one have in flight, by upstream. */
  loadWithout(peer: string, now: Millis): Map<string, UpstreamLoad> {
    return this.sum(one => one !== peer, now);
  }

  /** Forgets upstreams that `isListed` doesn't know and that are idle. */
  prune(isListed: (id: string) => boolean): void {
    for (const [id, state] of this.states) {
      if (state.own.running === 0 && !isListed(id)) {
        this.states.delete(id);
      }
    }
  }

  private sum(
    counts: (peer: string) => boolean,
    now: Millis,
  ): Map<string, UpstreamLoad> {
    const loads = new Map<string, UpstreamLoad>();
    for (const [id, state] of this.states) {
      const total = {...state.own};
      for (const [peer, {load, at}] of state.peers) {
        if (counts(peer) && now - at < PEER_LOAD_MEMORY) {
          total.running += load.running;
          total.reading += load.reading;
        }
      }
      if (total.running > 0) {
        loads.set(id, total);
      }
    }
    return loads;
  }

  private cost(
    upstream: UpstreamListing,
    reading: Millis,
    view: PlacementView,
  ): Millis {
    const state = this.of(upstream.id);
    const load = this.estimatedLoad(state, view.now);
    const ahead = READ_WEIGHT * reading + load.reading;
    const zone = upstream.zone === view.zone ? 0 : ZONE_COST;
    const full = Math.max(0, load.running + 1 - upstream.slots) * WAITING_COST;
    const each = reading > 0 ? BATCH_COST : RUNNING_COST;
    return ahead + load.running * each + full + zone;
  }

  private estimatedLoad(state: State, now: Millis): UpstreamLoad {
    const total = {...state.own};
    for (const {load, at} of state.peers.values()) {
      if (now - at < PEER_LOAD_MEMORY) {
        total.running += load.running;
        total.reading += load.reading;
      }
    }
    const {reported} = state;
    if (reported !== undefined && now - state.reportedAt < REPORT_MEMORY) {
      const running = reported.running + reported.waiting;
      total.running = Math.max(total.running, running);
    }
    return total;
  }

  /** Tokens of a prompt that an upstream is expected to read. */
  private toRead(request: PlacementRequest, id: string, now: Millis): number {
    const {parts} = this.of(id);
    let kept = 0;
    for (const part of request.parts) {
      const usedAt = parts.get(part.id);
      if (usedAt === undefined || now - usedAt > PART_MEMORY) {
        break;
      }
      kept += part.tokens;
    }
    return Math.max(0, request.promptTokens - kept);
  }

  private remember(state: State, request: PlacementRequest, now: Millis): void {
    for (const part of request.parts) {
      state.parts.delete(part.id);
      state.parts.set(part.id, now);
    }
    while (state.parts.size > MOST_PARTS) {
      const [oldest] = state.parts.keys();
      state.parts.delete(oldest ?? '');
    }
  }

  private of(id: string): State {
    let state = this.states.get(id);
    if (state === undefined) {
      state = {
        own: {running: 0, reading: 0},
        peers: new Map(),
        reported: undefined,
        reportedAt: 0,
        strikes: 0,
        shunnedUntil: 0,
        parts: new Map(),
      };
      this.states.set(id, state);
    }
    return state;
  }
}

/** Time to read the last `tokens` of a prompt. */
export function readingTime(tokens: number, promptTokens: number): Millis {
  const pairs = tokens * (promptTokens - tokens / 2);
  const attention = (pairs / MILLION) * MILLION_PAIRS_COST;
  return tokens / READ_TOKENS_PER_MS + attention;
}

/** Tokens of a prompt that no other request shares. */
function ownTokens(request: PlacementRequest): number {
  const shared = request.parts.slice(0, -1);
  const kept = shared.reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(0, request.promptTokens - kept);
}

/** The last part that other requests share; the last part is a request's own. */
function affinityKey(request: PlacementRequest): string {
  const {parts} = request;
  return (parts.at(-2) ?? parts.at(-1))?.id ?? '';
}

const ENDINGS: Record<PlacementEnd, (state: State, now: Millis) => void> = {
  [PlacementEnd.Answered]: state => {
    state.strikes = Math.max(0, state.strikes - STRIKES_FORGIVEN);
  },
  [PlacementEnd.Rejected]: (state, now) => {
    state.shunnedUntil = Math.max(state.shunnedUntil, now + SHUN_FIRST);
  },
  [PlacementEnd.Erred]: (state, now) => {
    // Some requests fail anywhere: one failure alone says nothing.
    const again = state.strikes >= 1;
    const pause = again ? SHUN_FIRST * 2 ** (state.strikes - 1) : 0;
    state.shunnedUntil = now + Math.min(SHUN_MOST, pause);
    state.strikes = Math.min(MOST_STRIKES, state.strikes + 1);
  },
  [PlacementEnd.Failed]: (state, now) => {
    const pause = SHUN_FIRST * 2 ** state.strikes;
    state.shunnedUntil = now + Math.min(SHUN_MOST, pause);
    state.strikes = Math.min(MOST_STRIKES, state.strikes + 1);
  },
  [PlacementEnd.Cancelled]: () => undefined,
};
