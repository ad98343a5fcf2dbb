/**
 * Choice of an upstream by what the instance knows of load and of cached
 * prompt parts. Load patterns: many requests share a long prompt part; one
 * prompt part becomes popular; an upstream fails or turns slow.
 */
import {affinityRank} from './routing.js';
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
  prefillTime: Millis;
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
  excluded: ReadonlySet<string>;
}

/** How one attempt at an upstream ended. */
export enum PlacementOutcome {
  Answered = 'answered',
  /** The upstream stated that it did not run the request. */
  Rejected = 'rejected',
  /** The upstream answered with a failure of its own. */
  ErrorResponse = 'erred',
  /** No connection, a broken answer or one of another request. */
  Failed = 'failed',
  /** The caller left, or the instance gave up. */
  Cancelled = 'cancelled',
}

/** Where a request was placed, and the counts to give back. */
export interface PlacedRequest {
  upstream: UpstreamListing;
  /** Time that the upstream is expected to read the prompt. */
  prefillTime: Millis;
}

interface PlacementState {
  ownLoad: UpstreamLoad;
  peerLoads: Map<string, {load: UpstreamLoad; receivedAt: Millis}>;
  reportedLoad: ReportedLoad | undefined;
  reportedAt: Millis;
  failureScore: number;
  backoffUntil: Millis;
  /** When each prompt part was last used there, by its chain. */
  partUsedAt: Map<string, Millis>;
}

/** Cached prompt parts are taken to stay this long after their last use. */
const PART_CACHE_TTL: Millis = 30_000;

/** Most prompt parts that are remembered of one upstream. */
const MAX_PARTS_PER_UPSTREAM = 1_000;

/** Age after which what a peer said of its load counts for nothing. */
const PEER_LOAD_TTL: Millis = 4_000;

/** Age after which a reported load counts for nothing. */
const REPORT_TTL: Millis = 1_000;

/** First pause after a failure; it doubles with each further one. */
const INITIAL_BACKOFF: Millis = 250;

/** Longest pause after failures. */
const MAX_BACKOFF: Millis = 4_000;

/** Most failures that are counted. */
const MAX_FAILURE_SCORE = 6;

/** Failures that one good answer makes up for. */
const SCORE_DROP_PER_ANSWER = 0.34;

/** Tokens that an engine reads in one millisecond. */
const PREFILL_TOKENS_PER_MS = 100;

/**
 * Time for one million pairs of a token that is read and a token before it:
 * attention makes long prompts cost more than their length.
 */
const ATTENTION_COST_PER_MILLION_PAIRS: Millis = 0.2;

/** Pairs in one million. */
const MILLION = 1e6;

/** Delay by each request that runs at an engine, in milliseconds. */
const ENGINE_REQUEST_COST: Millis = 0.5;

/** Delay by each request that runs at a plain upstream, in milliseconds. */
const PLAIN_REQUEST_COST: Millis = 3;

/** Delay of one request that waits for a place, in milliseconds. */
const QUEUED_REQUEST_COST: Millis = 40;

/** Cost of another zone, in milliseconds. */
const CROSS_ZONE_COST: Millis = 3;

/**
 * Weight of tokens that are read again: they also delay the other requests
 * that run there.
 */
const PREFILL_WEIGHT = 2;

/** Places requests and keeps count of them. */
export class Placement {
  private readonly states = new Map<string, PlacementState>();

  /** Picks an upstream; undefined when none may get the request. */
  choose(
    request: PlacementRequest,
    candidates: readonly UpstreamListing[],
    view: PlacementView,
  ): PlacedRequest | undefined {
    const allowed = candidates.filter(
      candidate => !view.excluded.has(candidate.id),
    );
    const healthy = allowed.filter(
      candidate => this.stateOf(candidate.id).backoffUntil <= view.now,
    );
    const eligible = healthy.length > 0 ? healthy : allowed;
    const key = affinityKey(request);
    let best: PlacedRequest | undefined;
    let bestCost = Infinity;
    const ranks = eligible.map(upstream => affinityRank(key, upstream.id));
    const homeIndex = key === '' ? -1 : ranks.indexOf(Math.max(...ranks));
    for (const [index, upstream] of eligible.entries()) {
      const uncachedTokens = this.uncachedTokens(
        request,
        upstream.id,
        view.now,
      );
      const homeTokens =
        index === homeIndex ? unsharedTokens(request) : Infinity;
      const tokens = Math.min(uncachedTokens, homeTokens);
      const prefillTime = estimatePrefillTime(tokens, request.promptTokens);
      const affinityBonus = (ranks[index] ?? 0) / 2 ** 32;
      const cost =
        this.estimatedCost(upstream, prefillTime, view) - affinityBonus;
      if (cost < bestCost) {
        bestCost = cost;
        best = {upstream, prefillTime};
      }
    }
    return best;
  }

  /** Counts a request as in flight. */
  recordStart(
    request: PlacementRequest,
    placed: PlacedRequest,
    now: Millis,
  ): void {
    const state = this.stateOf(placed.upstream.id);
    state.ownLoad.running += 1;
    state.ownLoad.prefillTime += placed.prefillTime;
    this.recordParts(state, request, now);
  }

  /** Counts the first token of a request. */
  recordFirstToken(placed: PlacedRequest): void {
    const {ownLoad} = this.stateOf(placed.upstream.id);
    ownLoad.prefillTime = Math.max(0, ownLoad.prefillTime - placed.prefillTime);
  }

  /** Counts a request as ended; `begun` tells whether a token had come. */
  recordEnd(
    placed: PlacedRequest,
    outcome: PlacementOutcome,
    hadFirstToken: boolean,
    now: Millis,
  ): void {
    const state = this.stateOf(placed.upstream.id);
    state.ownLoad.running = Math.max(0, state.ownLoad.running - 1);
    if (!hadFirstToken) {
      this.recordFirstToken(placed);
    }
    OUTCOME_HANDLERS[outcome](state, now);
  }

  /** Notes what an upstream reported of its load. */
  recordReportedLoad(id: string, load: ReportedLoad, now: Millis): void {
    const state = this.stateOf(id);
    state.reportedLoad = load;
    state.reportedAt = now;
  }

  /** Notes what a peer has in flight. */
  setPeerLoad(
    peer: string,
    loads: ReadonlyMap<string, UpstreamLoad>,
    now: Millis,
  ): void {
    for (const state of this.states.values()) {
      state.peerLoads.delete(peer);
    }
    for (const [id, load] of loads) {
      this.stateOf(id).peerLoads.set(peer, {load, receivedAt: now});
    }
  }

  /** What this instance and some peers have in flight, by upstream. */
  loadIncludingPeers(
    peers: readonly string[],
    now: Millis,
  ): Map<string, UpstreamLoad> {
    const included = new Set(peers);
    return this.loadByUpstream(peer => included.has(peer), now);
  }

  /** What this instance and all peers but one have in flight, by upstream. */
  loadExcludingPeer(peer: string, now: Millis): Map<string, UpstreamLoad> {
    return this.loadByUpstream(other => other !== peer, now);
  }

  /** Forgets upstreams that `isListed` doesn't know and that are idle. */
  prune(isListed: (id: string) => boolean): void {
    for (const [id, state] of this.states) {
      if (state.ownLoad.running === 0 && !isListed(id)) {
        this.states.delete(id);
      }
    }
  }

  private loadByUpstream(
    isCounted: (peer: string) => boolean,
    now: Millis,
  ): Map<string, UpstreamLoad> {
    const loads = new Map<string, UpstreamLoad>();
    for (const [id, state] of this.states) {
      const total = {...state.ownLoad};
      for (const [peer, {load, receivedAt: at}] of state.peerLoads) {
        if (isCounted(peer) && now - at < PEER_LOAD_TTL) {
          total.running += load.running;
          total.prefillTime += load.prefillTime;
        }
      }
      if (total.running > 0) {
        loads.set(id, total);
      }
    }
    return loads;
  }

  private estimatedCost(
    upstream: UpstreamListing,
    prefillTime: Millis,
    view: PlacementView,
  ): Millis {
    const state = this.stateOf(upstream.id);
    const load = this.estimatedLoad(state, view.now);
    const prefillCost = PREFILL_WEIGHT * prefillTime + load.prefillTime;
    const zoneCost = upstream.zone === view.zone ? 0 : CROSS_ZONE_COST;
    const queueCost =
      Math.max(0, load.running + 1 - upstream.slots) * QUEUED_REQUEST_COST;
    const costPerRequest =
      prefillTime > 0 ? ENGINE_REQUEST_COST : PLAIN_REQUEST_COST;
    return prefillCost + load.running * costPerRequest + queueCost + zoneCost;
  }

  private estimatedLoad(state: PlacementState, now: Millis): UpstreamLoad {
    const total = {...state.ownLoad};
    for (const {load, receivedAt: at} of state.peerLoads.values()) {
      if (now - at < PEER_LOAD_TTL) {
        total.running += load.running;
        total.prefillTime += load.prefillTime;
      }
    }
    const {reportedLoad} = state;
    if (reportedLoad !== undefined && now - state.reportedAt < REPORT_TTL) {
      const reportedRequests = reportedLoad.running + reportedLoad.waiting;
      total.running = Math.max(total.running, reportedRequests);
    }
    return total;
  }

  /** Tokens of a prompt that an upstream is expected to read. */
  private uncachedTokens(
    request: PlacementRequest,
    id: string,
    now: Millis,
  ): number {
    const {partUsedAt} = this.stateOf(id);
    let cachedTokens = 0;
    for (const part of request.parts) {
      const usedAt = partUsedAt.get(part.id);
      if (usedAt === undefined || now - usedAt > PART_CACHE_TTL) {
        break;
      }
      cachedTokens += part.tokens;
    }
    return Math.max(0, request.promptTokens - cachedTokens);
  }

  private recordParts(
    state: PlacementState,
    request: PlacementRequest,
    now: Millis,
  ): void {
    for (const part of request.parts) {
      state.partUsedAt.delete(part.id);
      state.partUsedAt.set(part.id, now);
    }
    while (state.partUsedAt.size > MAX_PARTS_PER_UPSTREAM) {
      const [oldest] = state.partUsedAt.keys();
      state.partUsedAt.delete(oldest ?? '');
    }
  }

  private stateOf(id: string): PlacementState {
    let state = this.states.get(id);
    if (state === undefined) {
      state = {
        ownLoad: {running: 0, prefillTime: 0},
        peerLoads: new Map(),
        reportedLoad: undefined,
        reportedAt: 0,
        failureScore: 0,
        backoffUntil: 0,
        partUsedAt: new Map(),
      };
      this.states.set(id, state);
    }
    return state;
  }
}

/** Time to read the last `tokens` of a prompt. */
export function estimatePrefillTime(
  tokens: number,
  promptTokens: number,
): Millis {
  const pairs = tokens * (promptTokens - tokens / 2);
  const attention = (pairs / MILLION) * ATTENTION_COST_PER_MILLION_PAIRS;
  return tokens / PREFILL_TOKENS_PER_MS + attention;
}

/** Tokens of a prompt that no other request shares. */
function unsharedTokens(request: PlacementRequest): number {
  const sharedParts = request.parts.slice(0, -1);
  const sharedTokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(0, request.promptTokens - sharedTokens);
}

/** The last part that other requests share; the last part is a request's own. */
function affinityKey(request: PlacementRequest): string {
  const {parts} = request;
  return (parts.at(-2) ?? parts.at(-1))?.id ?? '';
}

const OUTCOME_HANDLERS: Record<
  PlacementOutcome,
  (state: PlacementState, now: Millis) => void
> = {
  [PlacementOutcome.Answered]: state => {
    state.failureScore = Math.max(
      0,
      state.failureScore - SCORE_DROP_PER_ANSWER,
    );
  },
  [PlacementOutcome.Rejected]: (state, now) => {
    state.backoffUntil = Math.max(state.backoffUntil, now + INITIAL_BACKOFF);
  },
  [PlacementOutcome.ErrorResponse]: (state, now) => {
    // Some requests fail anywhere: one failure alone says nothing.
    const isRepeated = state.failureScore >= 1;
    const backoff = isRepeated
      ? INITIAL_BACKOFF * 2 ** (state.failureScore - 1)
      : 0;
    state.backoffUntil = now + Math.min(MAX_BACKOFF, backoff);
    state.failureScore = Math.min(MAX_FAILURE_SCORE, state.failureScore + 1);
  },
  [PlacementOutcome.Failed]: (state, now) => {
    const backoff = INITIAL_BACKOFF * 2 ** state.failureScore;
    state.backoffUntil = now + Math.min(MAX_BACKOFF, backoff);
    state.failureScore = Math.min(MAX_FAILURE_SCORE, state.failureScore + 1);
  },
  [PlacementOutcome.Cancelled]: () => undefined,
};
