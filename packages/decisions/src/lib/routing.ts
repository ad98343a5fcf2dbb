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
  at: Millis;
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
  firstTokenMs: Millis;
  /** Running average of the whole time in the upstream. */
  wholeMs: Millis;
  /** Failures in a row. */
  failures: number;
  /** No work is sent before this time. */
  shunnedUntil: Millis;
}

/** What a routing policy may look at. */
export interface RoutingView {
  /** Zone of this entry. */
  zone: string;
  now: Millis;
  /** One-way time between zones. */
  zoneMs: Millis;
  /** Number of live entries. */
  entries: number;
  /** Upstream that lately ran a prompt with the same head, if any. */
  cached: string | undefined;
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
const AFFINITY_BOUND = 0.75;

/** Discount on the first-token estimate where the prefix is likely cached. */
const AFFINITY_DISCOUNT = 0.5;

/** Slots of an upstream. */
export function slotsOf(upstream: UpstreamState): number {
  return upstream.report?.slots ?? DEFAULT_SLOTS;
}

/**
 * Requests at an upstream: the report, aged towards what this entry sees
 * itself, corrected by own requests since the report.
 */
export function loadOf(upstream: UpstreamState, view: RoutingView): number {
  // Others are taken to load all upstreams alike: one's own few requests at
  // this one say little of theirs.
  const others = view.meanInFlight * Math.max(0, view.entries - 1);
  const own = upstream.inFlight + others;
  if (upstream.report === undefined) {
    return own;
  }
  const {running, waiting, at} = upstream.report;
  const age = Math.max(0, view.now - at);
  const weight = 0.5 ** (age / REPORT_HALF_LIFE);
  const since = upstream.inFlight - upstream.inFlightAtReport;
  const reported = Math.max(upstream.inFlight, running + waiting + since);
  return weight * reported + (1 - weight) * own;
}

/** Rank of an upstream for a prefix; the highest is its preferred home. */
export function affinity(prefix: string, id: string): number {
  let hash = 0x811c9dc5;
  for (const char of `${prefix}/${id}`) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193) >>> 0;
  }
  hash ^= hash >>> 15;
  return Math.imul(hash, 0x2c1b3c6d) >>> 0;
}

/** Expected time until the first token, in milliseconds. */
export function estimate(upstream: UpstreamState, view: RoutingView): Millis {
  const load = loadOf(upstream, view);
  const slots = slotsOf(upstream);
  const ahead = Math.max(0, load + 1 - slots);
  const wait = (ahead * upstream.wholeMs) / slots;
  const crowding = 1 + Math.min(1, load / slots);
  const distance = upstream.zone === view.zone ? 0 : 2 * view.zoneMs;
  return distance + wait + upstream.firstTokenMs * crowding;
}

function pick(candidates: UpstreamState[], view: RoutingView): UpstreamState {
  const index = Math.floor(view.random() * candidates.length);
  return candidates[index] as UpstreamState;
}

function byEstimate(
  candidates: UpstreamState[],
  view: RoutingView,
): UpstreamState {
  // Own requests are known without lag, so they are spread first; reports,
  // which all entries see alike and late, only decide between equals.
  const least = Math.min(...candidates.map(state => state.inFlight));
  const idle = candidates.filter(state => state.inFlight === least);
  const one = pick(idle, view);
  const two = pick(idle, view);
  const better = estimate(one, view) <= estimate(two, view) ? one : two;
  const cached = candidates.find(one => one.id === view.cached);
  if (cached === undefined || cached === better) {
    return better;
  }
  const roomy = loadOf(cached, view) < slotsOf(cached) * AFFINITY_BOUND;
  const cost = estimate(cached, view) * AFFINITY_DISCOUNT;
  return roomy && cost <= estimate(better, view) ? cached : better;
}

function byReport(candidates: UpstreamState[]): UpstreamState {
  const load = (state: UpstreamState) =>
    (state.report?.running ?? 0) + (state.report?.waiting ?? 0);
  return candidates.reduce((best, candidate) =>
    load(candidate) < load(best) ? candidate : best,
  );
}

/** Ordered preference: own zone below capacity, then any. */
function byZone(
  candidates: UpstreamState[],
  view: RoutingView,
  turn: number,
): UpstreamState {
  const near = candidates.filter(
    candidate =>
      candidate.zone === view.zone &&
      loadOf(candidate, view) < slotsOf(candidate),
  );
  const from = near.length > 0 ? near : candidates;
  return from[turn % from.length] as UpstreamState;
}

/** The policies by name. */
export const ROUTING_RULES: Record<RoutingPolicy, RoutingRule> = {
  [RoutingPolicy.RoundRobin]: (candidates, _view, turn) =>
    candidates[turn % candidates.length] as UpstreamState,
  [RoutingPolicy.LeastLoaded]: byReport,
  [RoutingPolicy.ZoneFirst]: byZone,
  [RoutingPolicy.Estimate]: byEstimate,
};
