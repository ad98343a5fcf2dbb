/**
 * Chooses an upstream for each request by the expected time to its first event:
 * from the speed and the load of the upstreams, and the prompt parts that they
 * are expected to have cached. Covers these load patterns: many requests share a
 * long prompt part; one prompt part becomes popular; an upstream fails or becomes
 * slow; many instances choose at once by what they knew a moment ago.
 */
import {setNewest} from '../base/recent_entries.js';
import {affinityPrefix, affinityRankAfter} from './routing.js';
import {ServiceTimes} from './service_times.js';
import {UpstreamSpeeds} from './upstream_speed.js';
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
  /**
   * Total nominal time to process the prompts of requests without a first
   * token; see `estimatePrefillTime`.
   */
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
  /** Nominal time to process the prompt; see `estimatePrefillTime`. */
  prefillTime: Millis;
  /** Expected time to process the prompt at the speed of this upstream. */
  readingTime: Millis;
  /** Expected time to the first event, or to the head of a plain answer. */
  expectedTime: Millis;
  /** Nominal work up to the first event, that of other requests included. */
  work: Millis;
  /** Expected wait for a slot at an upstream of average speed. */
  slotWait: Millis;
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

/**
 * Prompt tokens that a nominal engine processes in one millisecond. It is the
 * unit in which instances state prompts to each other; what a service takes for
 * a nominal millisecond is learned, see `ServiceTimes`.
 */
const PREFILL_TOKENS_PER_MS = 100;

/**
 * Nominal time that attention takes for one million pairs of a prompt token and a
 * token before it. It makes the time for a prompt grow faster than its length.
 */
const ATTENTION_COST_PER_MILLION_PAIRS: Millis = 0.2;

const MILLION = 1e6;

/** Nominal work that each request that runs at an engine causes to others. */
const ENGINE_REQUEST_COST: Millis = 0.5;

/**
 * Delay of a request without a prompt while all slots are in use, as a fraction of
 * a request's time to the end: running requests share the processors.
 */
const FULL_SLOTS_COST = 0.2;

/** Expected number of later requests that wait while a prompt is processed. */
const LATER_REQUESTS_DELAYED = 2;

/** Delay of each running request, as a fraction of a prompt's processing time. */
const DELAY_PER_RUNNING = 0.15;

/** Nominal work of a request without a prompt. */
const PLAIN_WORK: Millis = 20;

/** Uncertainty of the time without work, as a fraction of it. */
const BASE_TOLERANCE = 0.25;

/** Minimum ratio of an answer's time to the expected one. */
const MIN_ANSWER_RATIO = 0.125;

/** Assumed time for which a request holds a slot, until an answer has ended. */
const INITIAL_WHOLE_TIME: Millis = 300;

/** Time in which the weight of a reported work time falls to one half. */
const WORK_TIME_HALF_LIFE: Millis = 200;

/**
 * Number of upstreams of all zones that are drawn for a choice. The known load is
 * late, so instances that compared all upstreams would choose the same one.
 */
const DRAWS = 2;

/** Number of upstreams that are drawn of those with the last shared part. */
const HOLDER_DRAWS = 2;

/** Number of upstreams of the own zone that are drawn in addition. */
const LOCAL_DRAWS = 2;

/** Number of upstreams that all instances prefer for a shared prompt part. */
const PREFERRED_UPSTREAMS = 2;

/** Long wait for a slot, as a fraction of a request's time to the end. */
const LONG_WAIT_FRACTION = 0.1;

/**
 * Costs that differ by less are equal: such upstreams share the requests, so that
 * a light load does not leave all but one of them unused.
 */
const ESTIMATE_TOLERANCE: Millis = 5;

/** Delay added for an upstream in another zone. */
const CROSS_ZONE_COST: Millis = 3;

/**
 * Places requests at upstreams and tracks their load. The caller reports the
 * start, the first token and the end of each placed request.
 */
export class Placement {
  private readonly states = new Map<string, PlacementState>();
  /** Upstreams on which each peer has stated load, by peer. */
  private readonly loadedByPeer = new Map<string, string[]>();
  private readonly serviceTimes = new ServiceTimes();
  /** How slow each upstream is; shared with the peers. */
  readonly speeds = new UpstreamSpeeds();

  /** @param random returns a uniformly distributed number in [0, 1). */
  constructor(private readonly random: () => number) {}

  /**
   * Returns the upstream with the lowest estimated cost of those compared, or
   * undefined if all candidates are excluded. Compared are the upstreams that
   * are preferred for the shared prompt part, those that have cached some of the
   * prompt and a few drawn at random; all of them if the best is known to be
   * full. Upstreams in backoff are used only if there are no others. Takes time
   * linear in the candidates. Records nothing but probes: call `recordStart` once
   * the request is sent.
   */
  choose(
    request: PlacementRequest,
    candidates: readonly UpstreamListing[],
    view: PlacementView,
  ): PlacedRequest | undefined {
    const eligible = this.eligible(candidates, view);
    const preferred = preferredUpstreams(affinityKey(request), eligible);
    const [first] = preferred;
    const compared = new Set(preferred);
    this.addHolders(request, eligible, compared);
    const local = eligible.filter(({zone}) => zone === view.zone);
    this.draw(local, LOCAL_DRAWS, compared);
    this.draw(eligible, DRAWS, compared);
    const probe = this.probe(request, eligible, view);
    if (probe !== undefined) {
      return probe;
    }
    const best = this.best(request, compared, first, view);
    const isFull =
      best !== undefined &&
      best.slotWait > LONG_WAIT_FRACTION * this.wholeTime(best.upstream);
    return isFull ? this.best(request, eligible, first, view) : best;
  }

  /**
   * Adds the upstreams that hold the own part of the request, that of its
   * session, and some that hold the last shared part. Not all of these: where
   * many requests share a part, all instances would compare all upstreams.
   */
  private addHolders(
    request: PlacementRequest,
    eligible: readonly UpstreamListing[],
    compared: Set<UpstreamListing>,
  ): void {
    const {parts} = request;
    const sharedPart = affinityKey(request);
    const ownPart = parts.length > 1 ? parts.at(-1)?.id : undefined;
    const holders: UpstreamListing[] = [];
    for (const upstream of eligible) {
      const partUsedAt = this.states.get(upstream.id)?.partUsedAt;
      if (ownPart !== undefined && partUsedAt?.has(ownPart)) {
        compared.add(upstream);
      } else if (partUsedAt?.has(sharedPart)) {
        holders.push(upstream);
      }
    }
    this.draw(holders, HOLDER_DRAWS, compared);
  }

  /**
   * Returns the placement of a request that measures an upstream which was slow;
   * undefined in nearly all cases. A repeat, which has little time left, is no
   * probe, and none is sent to wait for a slot.
   */
  private probe(
    request: PlacementRequest,
    eligible: readonly UpstreamListing[],
    view: PlacementView,
  ): PlacedRequest | undefined {
    const probed =
      view.excluded.size === 0
        ? this.speeds.chooseProbe(eligible, view.now, this.random)
        : undefined;
    const placed = probed && this.estimate(request, probed, false, view).placed;
    return placed?.slotWait === 0 ? placed : undefined;
  }

  /** Returns the candidates that may be chosen. */
  private eligible(
    candidates: readonly UpstreamListing[],
    {excluded, now}: PlacementView,
  ): UpstreamListing[] {
    const allowed = candidates.filter(({id}) => !excluded.has(id));
    const healthy = allowed.filter(
      ({id}) => (this.states.get(id)?.backoffUntil ?? 0) <= now,
    );
    return healthy.length > 0 ? healthy : allowed;
  }

  /** Adds randomly drawn upstreams; all if there are few. */
  private draw(
    upstreams: readonly UpstreamListing[],
    count: number,
    drawn: Set<UpstreamListing>,
  ): void {
    const {length} = upstreams;
    if (length <= count) {
      upstreams.forEach(upstream => drawn.add(upstream));
      return;
    }
    const start = Math.floor(this.random() * length);
    for (let turn = 0; turn < count; turn++) {
      // Each is drawn from its own part, so that few are drawn twice.
      const step = Math.floor((turn * length) / count);
      const offset = Math.floor((this.random() * length) / count);
      const upstream = upstreams[(start + step + offset) % length];
      if (upstream !== undefined) {
        drawn.add(upstream);
      }
    }
  }

  /** Returns the upstream with the lowest estimated cost. */
  private best(
    request: PlacementRequest,
    compared: Iterable<UpstreamListing>,
    preferred: UpstreamListing | undefined,
    view: PlacementView,
  ): PlacedRequest | undefined {
    let best: PlacedRequest | undefined;
    let bestCost = Infinity;
    for (const upstream of compared) {
      const isPreferred = upstream === preferred;
      const {placed, cost: estimatedCost} = this.estimate(
        request,
        upstream,
        isPreferred,
        view,
      );
      const cost = estimatedCost + this.random() * ESTIMATE_TOLERANCE;
      if (cost < bestCost) {
        bestCost = cost;
        best = placed;
      }
    }
    return best;
  }

  /**
   * Estimates the delay of a request that is sent to an upstream now, and its
   * cost, which includes the delay that it causes to other requests.
   * @param isPreferred whether all instances prefer it for the shared parts, so
   *     that it is expected to have cached them even if this instance has sent
   *     it none of them.
   */
  private estimate(
    request: PlacementRequest,
    upstream: UpstreamListing,
    isPreferred: boolean,
    view: PlacementView,
  ): {placed: PlacedRequest; cost: Millis} {
    const state = this.stateOf(upstream.id);
    const load = this.estimatedLoad(state, upstream.service, view.now);
    const uncachedTokens = this.uncachedTokens(request, state, view.now);
    const tokens = isPreferred
      ? Math.min(uncachedTokens, unsharedTokens(request))
      : uncachedTokens;
    const prefillTime = estimatePrefillTime(tokens, request.promptTokens);
    const isEngineRequest = request.promptTokens > 0;
    const work = isEngineRequest
      ? prefillTime + load.prefillTime + load.running * ENGINE_REQUEST_COST
      : PLAIN_WORK;
    const wholeTime = this.wholeTime(upstream);
    const slots = Math.max(1, upstream.slots);
    const queued = Math.max(0, load.running + 1 - slots);
    const slotWait = (queued * wholeTime) / slots;
    const sharing = isEngineRequest
      ? 0
      : (FULL_SLOTS_COST * wholeTime * Math.min(load.running, slots)) / slots;
    const {base, perWork} = this.serviceTimes.line(upstream.service);
    const slowness =
      this.speeds.slowness(upstream.id, view.now) *
      this.currentDeviation(upstream.id, state, view.now);
    const ownTime = perWork * prefillTime;
    const costToOthers =
      ownTime * (LATER_REQUESTS_DELAYED + DELAY_PER_RUNNING * load.running);
    const time = perWork * work + slotWait + sharing;
    const zoneCost = upstream.zone === view.zone ? 0 : CROSS_ZONE_COST;
    return {
      placed: {
        upstream,
        prefillTime,
        readingTime: slowness * ownTime,
        expectedTime: base + slowness * time,
        work,
        slotWait,
      },
      cost: base + slowness * (time + costToOthers) + zoneCost,
    };
  }

  /**
   * Factor by which work takes longer than usual at the moment, as the upstream
   * reported last; nearer to 1 the older the report is.
   */
  private currentDeviation(
    id: string,
    {reportedLoad, reportedAt}: PlacementState,
    now: Millis,
  ): number {
    const workTime = reportedLoad?.relativeWorkTime ?? 0;
    if (!(workTime > 0) || now - reportedAt >= REPORT_TTL) {
      return 1;
    }
    const weight = 0.5 ** (Math.max(0, now - reportedAt) / WORK_TIME_HALF_LIFE);
    return this.speeds.deviation(id, workTime) ** weight;
  }

  /** Time for which a request holds a slot of an upstream of average speed. */
  private wholeTime({service}: UpstreamListing): Millis {
    return this.serviceTimes.wholeTime(service) ?? INITIAL_WHOLE_TIME;
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
    this.serviceTimes.recordStart(placed.upstream.service, placed.prefillTime);
    this.recordParts(state, request, now);
  }

  /** Removes the prompt of a request from the load after its first token. */
  recordFirstToken(placed: PlacedRequest): void {
    const {ownLoad} = this.stateOf(placed.upstream.id);
    ownLoad.prefillTime = Math.max(0, ownLoad.prefillTime - placed.prefillTime);
  }

  /**
   * Learns from the time that an upstream took from the start of a request to
   * the first event of its answer, or to the head of an answer without events.
   */
  recordFirstEventTime(
    {upstream, prefillTime, work, slotWait}: PlacedRequest,
    time: Millis,
    now: Millis,
  ): void {
    const {base, perWork, certainty} = this.serviceTimes.line(upstream.service);
    const expected = Math.max(1, perWork * work + slotWait);
    const ownWork = prefillTime > 0 ? prefillTime : work;
    // The load of other requests is known late, so it makes a sample uncertain.
    const ownPart = (perWork * ownWork) / (base + expected);
    const tolerance = base * BASE_TOLERANCE;
    const ratio = Math.max(
      MIN_ANSWER_RATIO,
      (time - base + tolerance) / (expected + tolerance),
    );
    const {reportedLoad, reportedAt} = this.stateOf(upstream.id);
    const isReportNew = now - reportedAt < time;
    this.speeds.recordAnswer(
      upstream.id,
      {
        ratio,
        weight: certainty * ownPart,
        workTime: isReportNew ? reportedLoad?.relativeWorkTime : undefined,
      },
      now,
    );
    if (slotWait === 0) {
      this.serviceTimes.recordFirstEvent(upstream.service, work, time);
    }
  }

  /** Learns from the time from the start of a request to its answer's end. */
  recordWholeTime({upstream}: PlacedRequest, time: Millis): void {
    this.serviceTimes.recordEnd(upstream.service, time);
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
    for (const id of this.loadedByPeer.get(peer) ?? []) {
      this.states.get(id)?.peerLoads.delete(peer);
    }
    for (const [id, load] of loads) {
      this.stateOf(id).peerLoads.set(peer, {load, receivedAt: now});
    }
    if (loads.size > 0) {
      this.loadedByPeer.set(peer, [...loads.keys()]);
    } else {
      this.loadedByPeer.delete(peer);
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
    this.speeds.prune(isListed);
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

  /**
   * Load of all instances, with at least the reported number of requests. Those
   * that wait are taken to have prompts of the usual length.
   */
  private estimatedLoad(
    state: PlacementState,
    service: string,
    now: Millis,
  ): UpstreamLoad {
    const total = this.knownLoad(state, now);
    const {reportedLoad} = state;
    if (reportedLoad !== undefined && now - state.reportedAt < REPORT_TTL) {
      const {running, waiting} = reportedLoad;
      total.running = Math.max(total.running, running + waiting);
      const waitingWork = waiting * this.serviceTimes.meanOwnWork(service);
      total.prefillTime = Math.max(total.prefillTime, waitingWork);
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
    {partUsedAt}: PlacementState,
    now: Millis,
  ): number {
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
      setNewest(state.partUsedAt, part.id, now, MAX_PARTS_PER_UPSTREAM);
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

/**
 * Nominal time to process the last `tokens` tokens of a prompt: that of an engine
 * of a fixed speed, in which instances of all versions state their load.
 */
export function estimatePrefillTime(
  tokens: number,
  promptTokens: number,
): Millis {
  const pairs = tokens * (promptTokens - tokens / 2);
  const attention = (pairs / MILLION) * ATTENTION_COST_PER_MILLION_PAIRS;
  return tokens / PREFILL_TOKENS_PER_MS + attention;
}

/**
 * Returns the upstreams that rank highest for a key, best first. All instances
 * prefer the same ones.
 */
function preferredUpstreams(
  key: string,
  upstreams: readonly UpstreamListing[],
): UpstreamListing[] {
  const preferred: UpstreamListing[] = [];
  const ranks: number[] = [];
  if (key === '') {
    return preferred;
  }
  const prefix = affinityPrefix(key);
  for (const upstream of upstreams) {
    const rank = affinityRankAfter(prefix, upstream.id);
    let place = ranks.length;
    while (place > 0 && rank > (ranks[place - 1] ?? 0)) {
      place -= 1;
    }
    if (place < PREFERRED_UPSTREAMS) {
      ranks.splice(place, 0, rank);
      preferred.splice(place, 0, upstream);
      ranks.length = Math.min(ranks.length, PREFERRED_UPSTREAMS);
      preferred.length = Math.min(preferred.length, PREFERRED_UPSTREAMS);
    }
  }
  return preferred;
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
