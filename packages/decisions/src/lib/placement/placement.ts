/**
 * Chooses an upstream for each request from the load of the upstreams and the
 * prompt parts that they are expected to have cached. Covers these load
 * patterns: many requests share a long prompt part; one prompt part becomes
 * popular; an upstream fails or becomes slow.
 */
import {affinityRank} from './routing.js';
import type {RunningRequests} from '../upstreams/brittle_upstreams.js';
import type {Millis} from '../base/clock.js';
import type {UpstreamListing} from '../upstreams/upstream_registry.js';

/**
 * One part of a prompt. Requests whose prompts begin alike name the same parts;
 * an engine that has cached a part need not read it again.
 */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What placement needs to know of a request. */
export interface PlacementRequest {
  /** Parts of the prompt in order; empty for services other than engines. */
  parts: PromptPart[];
  /** Tokens of the prompt; 0 for services other than engines. */
  promptTokens: number;
}

/** Load that the requests of one or more instances put on an upstream. */
export interface UpstreamLoad {
  /** Requests in flight. */
  running: number;
  /** Total time to process the prompts of requests without a first token. */
  prefillTime: Millis;
}

/** Load that an upstream reported in the headers of a response. */
export interface ReportedLoad {
  /** Requests that the upstream runs. */
  running: number;
  /** Requests that are queued at the upstream. */
  waiting: number;
  /** Requests that the upstream can run at once. */
  slots: number;
  /**
   * Time that work takes on its machine now, relative to the usual time;
   * undefined if it is not reported.
   */
  relativeWorkTime: number | undefined;
}

/** What a choice depends on besides the request and the recorded state. */
export interface PlacementView {
  now: Millis;
  /** Availability zone of this instance. */
  zone: string;
  /** Identifiers of upstreams that must not get this request. */
  excluded: ReadonlySet<string>;
}

/** How one attempt at an upstream ended. */
export enum PlacementOutcome {
  Answered = 'answered',
  /** The upstream stated that it did not run the request. */
  Rejected = 'rejected',
  /** The upstream responded with an error status. */
  ErrorResponse = 'erred',
  /** No connection, an incomplete response or one to another request. */
  Failed = 'failed',
  /** The caller disconnected, or this instance ended the attempt. */
  Cancelled = 'cancelled',
}

/** Where a request was placed; needed to remove its load when it ends. */
export interface PlacedRequest {
  upstream: UpstreamListing;
  /** Expected time until the upstream has processed the prompt. */
  prefillTime: Millis;
}

/** What this instance knows of one upstream. */
interface PlacementState {
  /** Load of the requests that this instance has placed. */
  ownLoad: UpstreamLoad;
  /** Load that each peer stated last, by peer. */
  peerLoads: Map<string, {load: UpstreamLoad; receivedAt: Millis}>;
  /** Load that the upstream reported last. */
  reportedLoad: ReportedLoad | undefined;
  reportedAt: Millis;
  /** Rises by 1 with each failure and falls with each answer. */
  failureScore: number;
  /** Before this time the upstream is only chosen if there is no other. */
  backoffUntil: Millis;
  /** When each prompt part was last used, by part; least recent first. */
  partUsedAt: Map<string, Millis>;
}

/** An engine is expected to keep a prompt part this long after its last use. */
const PART_CACHE_TTL: Millis = 30_000;

/** Maximum number of prompt parts recorded for one upstream. */
const MAX_PARTS_PER_UPSTREAM = 1_000;

/** Age after which the load that a peer stated is ignored. */
const PEER_LOAD_TTL: Millis = 4_000;

/** Age after which the load that an upstream reported is ignored. */
const REPORT_TTL: Millis = 1_000;

/** Backoff after the first failure; it doubles with each further failure. */
const INITIAL_BACKOFF: Millis = 250;

/** Maximum backoff. */
const MAX_BACKOFF: Millis = 4_000;

/** Maximum failure score. */
const MAX_FAILURE_SCORE = 6;

/** One answer reduces the failure score by this much. */
const SCORE_DROP_PER_ANSWER = 0.34;

/** Prompt tokens that an engine processes in one millisecond. */
const PREFILL_TOKENS_PER_MS = 100;

/**
 * Time that attention takes for one million pairs of a prompt token and a token
 * before it. Because of it, the time for a prompt grows faster than its length.
 */
const ATTENTION_COST_PER_MILLION_PAIRS: Millis = 0.2;

const MILLION = 1e6;

/** Delay caused by each request that runs at an engine. */
const ENGINE_REQUEST_COST: Millis = 0.5;

/** Delay caused by each request that runs at any other upstream. */
const PLAIN_REQUEST_COST: Millis = 3;

/** Delay caused by each request above the number of slots. */
const QUEUED_REQUEST_COST: Millis = 40;

/** Delay added for an upstream in another zone. */
const CROSS_ZONE_COST: Millis = 3;

/**
 * Weight of the request's own prompt processing in the cost: it also delays the
 * other requests that run at the engine.
 */
const PREFILL_WEIGHT = 2;

/**
 * Places requests at upstreams and tracks their load. The caller reports the
 * start, the first token and the end of each placed request.
 */
export class Placement {
  private readonly states = new Map<string, PlacementState>();

  /**
   * Returns the upstream with the lowest estimated cost, or undefined if all
   * candidates are excluded. Upstreams in backoff are used only if there are no
   * others. Records nothing: call `recordStart` once the request is sent.
   */
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
    // All instances prefer the upstream that ranks highest for this key, so it
    // is expected to have cached the shared parts even if this instance has sent
    // it none of them.
    const preferredIndex = key === '' ? -1 : ranks.indexOf(Math.max(...ranks));
    for (const [index, upstream] of eligible.entries()) {
      const uncachedTokens = this.uncachedTokens(
        request,
        upstream.id,
        view.now,
      );
      const maxUncachedTokens =
        index === preferredIndex ? unsharedTokens(request) : Infinity;
      const tokens = Math.min(uncachedTokens, maxUncachedTokens);
      const prefillTime = estimatePrefillTime(tokens, request.promptTokens);
      // Below 1 ms: it decides only between nearly equal costs.
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

  /** Adds a request to the load of its upstream. */
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

  /** Removes the prompt of a request from the load after its first token. */
  recordFirstToken(placed: PlacedRequest): void {
    const {ownLoad} = this.stateOf(placed.upstream.id);
    ownLoad.prefillTime = Math.max(0, ownLoad.prefillTime - placed.prefillTime);
  }

  /**
   * Removes a request from the load of its upstream and applies the outcome.
   * @param hadFirstToken whether `recordFirstToken` was called for it.
   */
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

  /** Returns the requests that are known to run at an upstream. */
  runningAt(id: string, now: Millis): RunningRequests {
    const state = this.stateOf(id);
    const total = this.knownLoad(state, now).running;
    return {own: state.ownLoad.running, total};
  }

  /** Records the load that an upstream reported. */
  recordReportedLoad(id: string, load: ReportedLoad, now: Millis): void {
    const state = this.stateOf(id);
    state.reportedLoad = load;
    state.reportedAt = now;
  }

  /** Replaces the load of a peer, by upstream; an empty map removes it. */
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

  /** Load of this instance and the given peers, by upstream. */
  loadIncludingPeers(
    peers: readonly string[],
    now: Millis,
  ): Map<string, UpstreamLoad> {
    const included = new Set(peers);
    return this.loadByUpstream(peer => included.has(peer), now);
  }

  /** Load of this instance and all peers except one, by upstream. */
  loadExcludingPeer(peer: string, now: Millis): Map<string, UpstreamLoad> {
    return this.loadByUpstream(other => other !== peer, now);
  }

  /** Removes idle upstreams for which `isListed` returns false. */
  prune(isListed: (id: string) => boolean): void {
    for (const [id, state] of this.states) {
      if (state.ownLoad.running === 0 && !isListed(id)) {
        this.states.delete(id);
      }
    }
  }

  /** Load of this instance and the counted peers, without idle upstreams. */
  private loadByUpstream(
    isCounted: (peer: string) => boolean,
    now: Millis,
  ): Map<string, UpstreamLoad> {
    const loads = new Map<string, UpstreamLoad>();
    for (const [id, state] of this.states) {
      const total = {...state.ownLoad};
      for (const [peer, {load, receivedAt}] of state.peerLoads) {
        if (isCounted(peer) && now - receivedAt < PEER_LOAD_TTL) {
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

  /** Expected delay of a request that is sent to an upstream now. */
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

  /** Load of all instances, with at least the reported number of requests. */
  private estimatedLoad(state: PlacementState, now: Millis): UpstreamLoad {
    const total = this.knownLoad(state, now);
    const {reportedLoad} = state;
    if (reportedLoad !== undefined && now - state.reportedAt < REPORT_TTL) {
      const reportedRequests = reportedLoad.running + reportedLoad.waiting;
      total.running = Math.max(total.running, reportedRequests);
    }
    return total;
  }

  /** Load of this instance and all peers. */
  private knownLoad(state: PlacementState, now: Millis): UpstreamLoad {
    const total = {...state.ownLoad};
    for (const {load, receivedAt} of state.peerLoads.values()) {
      if (now - receivedAt < PEER_LOAD_TTL) {
        total.running += load.running;
        total.prefillTime += load.prefillTime;
      }
    }
    return total;
  }

  /** Tokens of a prompt after the parts that an upstream has likely cached. */
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

  /** Records that the parts of a prompt are used now. */
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

  /** The state of an upstream, which is created if it is missing. */
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

/** Expected time to process the last `tokens` tokens of a prompt. */
export function estimatePrefillTime(
  tokens: number,
  promptTokens: number,
): Millis {
  const pairs = tokens * (promptTokens - tokens / 2);
  const attention = (pairs / MILLION) * ATTENTION_COST_PER_MILLION_PAIRS;
  return tokens / PREFILL_TOKENS_PER_MS + attention;
}

/** Tokens of a prompt that no other request shares: those of its last part. */
function unsharedTokens(request: PlacementRequest): number {
  const sharedParts = request.parts.slice(0, -1);
  const sharedTokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(0, request.promptTokens - sharedTokens);
}

/**
 * Identifier of the last shared part, which is the last but one: the last part
 * belongs to the request alone. If there is just one part, it is that part's
 * identifier; if there is none, it is empty.
 */
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
    // Some requests fail at every upstream, so the first error response alone
    // causes no backoff.
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
