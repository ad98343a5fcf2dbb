/**
 * Routing policies of the entry, which is the process that accepts requests and
 * forwards them to upstreams. The settings select the policy.
 */
import {textHash} from '../base/text_hash.js';
import type {Millis} from '../base/clock.js';

/** Kind of an upstream: a model engine or any other service. */
export enum UpstreamKind {
  Engine = 'engine',
  Service = 'service',
}

/** Routing policy, as the settings name it. */
export enum RoutingPolicy {
  /** All candidates in turn. */
  RoundRobin = 'round-robin',
  /** The candidate that reported the fewest requests. */
  LeastLoaded = 'least-loaded',
  /** Candidates of this entry's zone with free slots in turn, else all. */
  ZoneFirst = 'zone-first',
  /**
   * Of two random candidates with the fewest requests of this entry, the one
   * with the earlier expected first token, or the upstream that has cached the
   * prompt.
   */
  Estimate = 'estimate',
}

/** Load that an upstream reported on request. */
export interface LoadReport {
  /** When the report was received. */
  receivedAt: Millis;
  /** Requests that the upstream runs. */
  running: number;
  /** Requests that are queued at the upstream. */
  waiting: number;
  /** Requests that the upstream can run at once. */
  slots: number;
}

/** What this entry knows of one upstream. */
export interface UpstreamState {
  id: string;
  kind: UpstreamKind;
  zone: string;
  /** Address as `ip:port`. */
  address: string;
  /** Whether the upstream is shutting down; it gets no new requests. */
  leaving: boolean;
  /** Requests of this entry that the upstream has not answered yet. */
  inFlight: number;
  /** Value of `inFlight` when the last report arrived. */
  inFlightAtReport: number;
  /** The last report; undefined if there was none. */
  report: LoadReport | undefined;
  /** Moving average of the time to the first token. */
  meanFirstTokenTime: Millis;
  /** Moving average of the time to the end of the response. */
  meanResponseTime: Millis;
  /** Failures since the last answer. */
  consecutiveFailures: number;
  /** The upstream gets no requests before this time. */
  backoffUntil: Millis;
}

/** What a routing policy knows besides the candidates. */
export interface RoutingView {
  /** Zone of this entry. */
  zone: string;
  now: Millis;
  /** One-way network latency between two zones. */
  zoneLatency: Millis;
  /** Live entries that send requests to each upstream, this one included. */
  instancesPerUpstream: number;
  /** Upstream that last ran a prompt with the same prefix, if any. */
  cachedUpstream: string | undefined;
  /** Mean number of this entry's requests at the upstreams of this kind. */
  meanInFlight: number;
  /** Uniform random number in [0, 1). */
  random(): number;
}

/**
 * Picks a candidate.
 * @param candidates at least one upstream.
 * @param turn number of the request; rises by one with each.
 */
export type RoutingRule = (
  candidates: UpstreamState[],
  view: RoutingView,
  turn: number,
) => UpstreamState;

/** Slots of an upstream that has not reported its load. */
const DEFAULT_SLOTS = 8;

/** Time in which the weight of a load report falls to one half. */
const REPORT_HALF_LIFE: Millis = 2_000;

/**
 * Requests per slot at which an upstream is no longer preferred for the prompt
 * prefix that it has cached.
 */
const AFFINITY_MAX_LOAD = 0.75;

/**
 * Factor on the expected time to the first token at the upstream that has
 * likely cached the prefix of the prompt.
 */
const AFFINITY_DISCOUNT = 0.5;

/** Requests that an upstream can run at once; a default before its report. */
export function slotCount(upstream: UpstreamState): number {
  return upstream.report?.slots ?? DEFAULT_SLOTS;
}

/**
 * Estimated number of requests at an upstream: a weighted mean of the reported
 * load, corrected by this entry's requests since the report, and of the load
 * that this entry infers from its own requests. The weight of the report decays
 * with its age.
 */
export function estimatedLoad(
  upstream: UpstreamState,
  view: RoutingView,
): number {
  // Assumes that the other entries load all upstreams equally: the few
  // requests of this entry at one upstream say little about theirs.
  const otherInstancesLoad =
    view.meanInFlight * Math.max(0, view.instancesPerUpstream - 1);
  const observedLoad = upstream.inFlight + otherInstancesLoad;
  if (upstream.report === undefined) {
    return observedLoad;
  }
  const {running, waiting, receivedAt} = upstream.report;
  const age = Math.max(0, view.now - receivedAt);
  const weight = 0.5 ** (age / REPORT_HALF_LIFE);
  const startedSinceReport = upstream.inFlight - upstream.inFlightAtReport;
  const reportedLoad = Math.max(
    upstream.inFlight,
    running + waiting + startedSinceReport,
  );
  return weight * reportedLoad + (1 - weight) * observedLoad;
}

/**
 * Rank of an identifier for a key in rendezvous hashing: an FNV-1a hash with
 * its bits mixed, as an unsigned 32-bit integer. All instances prefer the
 * identifier with the highest rank for a key.
 */
export function affinityRank(key: string, id: string): number {
  return affinityRankAfter(affinityPrefix(key), id);
}

/** Hash of a key, from which its rank for many identifiers is determined. */
export function affinityPrefix(key: string): number {
  return textHash('/', textHash(key));
}

/** Rank of an identifier for the key that `prefix` is the hash of. */
export function affinityRankAfter(prefix: number, id: string): number {
  let hash = textHash(id, prefix);
  hash ^= hash >>> 15;
  return Math.imul(hash, 0x2c1b3c6d) >>> 0;
}

/**
 * Expected time until the first token of a request that is sent now: network
 * latency, time in the queue, and processing that slows down with the load.
 */
export function estimatedFirstTokenTime(
  upstream: UpstreamState,
  view: RoutingView,
): Millis {
  const load = estimatedLoad(upstream, view);
  const slots = slotCount(upstream);
  const queued = Math.max(0, load + 1 - slots);
  const queueTime = (queued * upstream.meanResponseTime) / slots;
  const slowdown = 1 + Math.min(1, load / slots);
  const zoneRoundTrip = upstream.zone === view.zone ? 0 : 2 * view.zoneLatency;
  return zoneRoundTrip + queueTime + upstream.meanFirstTokenTime * slowdown;
}

function pickRandom(
  candidates: UpstreamState[],
  view: RoutingView,
): UpstreamState {
  const index = Math.floor(view.random() * candidates.length);
  return candidates[index] as UpstreamState;
}

function pickByEstimate(
  candidates: UpstreamState[],
  view: RoutingView,
): UpstreamState {
  // The number of this entry's requests is always current, so it is compared
  // first. Reports arrive late and are the same for all entries, so that all
  // would choose the same upstream; they only decide between equal numbers.
  const minInFlight = Math.min(...candidates.map(state => state.inFlight));
  const leastUsed = candidates.filter(state => state.inFlight === minInFlight);
  const first = pickRandom(leastUsed, view);
  const second = pickRandom(leastUsed, view);
  const better =
    estimatedFirstTokenTime(first, view) <=
    estimatedFirstTokenTime(second, view)
      ? first
      : second;
  const cached = candidates.find(
    candidate => candidate.id === view.cachedUpstream,
  );
  if (cached === undefined || cached === better) {
    return better;
  }
  const hasRoom =
    estimatedLoad(cached, view) < slotCount(cached) * AFFINITY_MAX_LOAD;
  const discountedTime =
    estimatedFirstTokenTime(cached, view) * AFFINITY_DISCOUNT;
  return hasRoom && discountedTime <= estimatedFirstTokenTime(better, view)
    ? cached
    : better;
}

function pickByReport(candidates: UpstreamState[]): UpstreamState {
  const reportedLoad = (state: UpstreamState) =>
    (state.report?.running ?? 0) + (state.report?.waiting ?? 0);
  return candidates.reduce((best, candidate) =>
    reportedLoad(candidate) < reportedLoad(best) ? candidate : best,
  );
}

/** Prefers this entry's zone while it has free slots, else takes any zone. */
function pickByZone(
  candidates: UpstreamState[],
  view: RoutingView,
  turn: number,
): UpstreamState {
  const localWithRoom = candidates.filter(
    candidate =>
      candidate.zone === view.zone &&
      estimatedLoad(candidate, view) < slotCount(candidate),
  );
  const eligible = localWithRoom.length > 0 ? localWithRoom : candidates;
  return eligible[turn % eligible.length] as UpstreamState;
}

/** Rule of each routing policy. */
export const ROUTING_RULES: Record<RoutingPolicy, RoutingRule> = {
  [RoutingPolicy.RoundRobin]: (candidates, _view, turn) =>
    candidates[turn % candidates.length] as UpstreamState,
  [RoutingPolicy.LeastLoaded]: pickByReport,
  [RoutingPolicy.ZoneFirst]: pickByZone,
  [RoutingPolicy.Estimate]: pickByEstimate,
};
