/** Choice of an upstream for a request, by policies selectable by settings. */
import type {Millis} from './clock.js';

/** Kinds of upstreams. */
export enum UpstreamKind {
  Engine = 'engine',
  Service = 'service',
}

/** Name of a routing policy. */
export enum RoutingPolicy {
  RoundRobin = 'round-robin',
  LeastLoaded = 'least-loaded',
  ZoneFirst = 'zone-first',
  Estimate = 'estimate',
}

/** Load that an upstream reported. */
export interface LoadReport {
  /** When the report was received. */
  receivedAt: Millis;
  /** Requests running and waiting at the upstream. */
  running: number;
  waiting: number;
  /** Requests that it runs at once. */
  slots: number;
}

/** What an entry knows of one upstream. */
export interface UpstreamState {
  id: string;
  kind: UpstreamKind;
  zone: string;
  /** Address as `ip:port`. */
  address: string;
  leaving: boolean;
  /** Requests of this entry at the upstream. */
  inFlight: number;
  /** Own requests in flight when the last report arrived. */
  inFlightAtReport: number;
  report: LoadReport | undefined;
  /** Running average of the time to the first token. */
  meanFirstTokenTime: Millis;
  /** Running average of the whole time in the upstream. */
  meanResponseTime: Millis;
  /** Failures in a row. */
  consecutiveFailures: number;
  /** No work is sent before this time. */
  backoffUntil: Millis;
}

/** What a routing policy may look at. */
export interface RoutingView {
  /** Zone of this entry. */
  zone: string;
  now: Millis;
  /** One-way time between zones. */
  zoneLatency: Millis;
  /** Number of live entries. */
  instancesPerUpstream: number;
  /** Upstream that lately ran a prompt with the same head, if any. */
  cachedUpstream: string | undefined;
  /** Own requests in flight at an upstream of the kind, on average. */
  meanInFlight: number;
  /** Uniform random number in [0, 1). */
  random(): number;
}

/** Picks one of at least one candidate. */
export type RoutingRule = (
  candidates: UpstreamState[],
  view: RoutingView,
  turn: number,
) => UpstreamState;

/** Slots assumed of an upstream that never reported. */
const DEFAULT_SLOTS = 8;

/** Age at which half of a report's weight is gone. */
const REPORT_HALF_LIFE: Millis = 2_000;

/** A prefix keeps its upstream up to this part of its slots. */
const AFFINITY_MAX_LOAD = 0.75;

/** Discount on the first-token estimate where the prefix is likely cached. */
const AFFINITY_DISCOUNT = 0.5;

/** Slots of an upstream. */
export function slotCount(upstream: UpstreamState): number {
  return upstream.report?.slots ?? DEFAULT_SLOTS;
}

/**
 * Requests at an upstream: the report, aged towards what this entry sees
 * itself, corrected by own requests since the report.
 */
export function estimatedLoad(
  upstream: UpstreamState,
  view: RoutingView,
): number {
  // Others are taken to load all upstreams alike: one's own few requests at
  // this one say little of theirs.
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

/** Rank of an upstream for a prefix; the highest is its preferred home. */
export function affinityRank(prefix: string, id: string): number {
  let hash = 0x811c9dc5;
  for (const char of `${prefix}/${id}`) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193) >>> 0;
  }
  hash ^= hash >>> 15;
  return Math.imul(hash, 0x2c1b3c6d) >>> 0;
}

/** Expected time until the first token, in milliseconds. */
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
  // Own requests are known without lag, so they are spread first; reports,
  // which all entries see alike and late, only decide between equals.
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

/** Ordered preference: own zone below capacity, then any. */
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

/** The policies by name. */
export const ROUTING_RULES: Record<RoutingPolicy, RoutingRule> = {
  [RoutingPolicy.RoundRobin]: (candidates, _view, turn) =>
    candidates[turn % candidates.length] as UpstreamState,
  [RoutingPolicy.LeastLoaded]: pickByReport,
  [RoutingPolicy.ZoneFirst]: pickByZone,
  [RoutingPolicy.Estimate]: pickByEstimate,
};
