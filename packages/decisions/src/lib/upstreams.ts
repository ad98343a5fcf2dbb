/** The table of upstreams: who may get work, and what was seen of each. */
import {
  affinityRank,
  estimatedFirstTokenTime,
  ROUTING_RULES,
  UpstreamKind,
} from './routing.js';
import type {
  LoadReport,
  RoutingView,
  UpstreamState,
  RoutingPolicy,
} from './routing.js';
import type {Millis} from './clock.js';

/** One upstream as the instance list names it. */
export interface ListedUpstream {
  id: string;
  kind: UpstreamKind;
  zone: string;
  address: string;
  leaving: boolean;
}

/** What became of one attempt at an upstream. */
export enum AttemptOutcome {
  Answered = 'answered',
  /** No byte was sent. */
  Refused = 'refused',
  /** The connection broke before the whole answer. */
  Broken = 'broken',
  /** The answer named another request. */
  Mismatched = 'foreign',
  /** The upstream said that it is leaving and did not run the request. */
  Leaving = 'leaving',
  Cancelled = 'cancelled',
}

/** Outcomes after which the request may have run. */
export const MAY_HAVE_RUN: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.Broken,
  AttemptOutcome.Mismatched,
]);

/** Upstreams of a kind that one entry uses at the most. */
const MAX_USED_UPSTREAMS = 48;

/** Heads of prompts remembered; the oldest are forgotten first. */
const MAX_PREFIXES = 2_000;

/** Weight of a new sample in the running averages. */
const SAMPLE_WEIGHT = 0.2;

/** First time estimates for an upstream never used. */
const INITIAL_FIRST_TOKEN_TIME: Millis = 20;
const INITIAL_RESPONSE_TIME: Millis = 200;

/** Shortest and longest time that a failing upstream gets no work. */
const INITIAL_BACKOFF: Millis = 500;
const MAX_BACKOFF: Millis = 10_000;

/** The upstreams known to one entry. */
export class UpstreamTable {
  private readonly states = new Map<string, UpstreamState>();
  private readonly prefixes = new Map<string, string>();
  private readonly listedCounts = new Map<UpstreamKind, number>();
  private turn = 0;

  constructor(
    private readonly policy: RoutingPolicy,
    /** Identity of this entry; entries differ in the upstreams they use. */
    private readonly instanceId: string,
    /** Most upstreams of a kind that this entry uses. */
    private readonly maxUsed = MAX_USED_UPSTREAMS,
  ) {}

  /**
   * Takes over the instance list; what is not on it any more is removed. Of
   * many upstreams an entry uses a part, so that its costs stay flat.
   */
  applyList(listed: ListedUpstream[]): void {
    const used = Object.values(UpstreamKind).flatMap(kind =>
      this.selectUsed(
        kind,
        listed.filter(upstream => upstream.kind === kind),
      ),
    );
    this.replaceStates(used);
  }

  /**
   * Entries that use each upstream of a kind, on average.
   * @param instanceCount number of live entries.
   */
  instancesPerUpstream(kind: UpstreamKind, instanceCount: number): number {
    const listedCount = this.listedCounts.get(kind) ?? 0;
    const usedFraction =
      listedCount > this.maxUsed ? this.maxUsed / listedCount : 1;
    return Math.max(1, instanceCount * usedFraction);
  }

  private selectUsed(
    kind: UpstreamKind,
    upstreams: ListedUpstream[],
  ): ListedUpstream[] {
    this.listedCounts.set(kind, upstreams.length);
    if (upstreams.length <= this.maxUsed) {
      return upstreams;
    }
    const staying = upstreams.filter(upstream => !upstream.leaving);
    return staying
      .map(upstream => ({
        upstream,
        rank: affinityRank(this.instanceId, upstream.id),
      }))
      .sort((a, b) => b.rank - a.rank)
      .slice(0, this.maxUsed)
      .map(({upstream}) => upstream);
  }

  private replaceStates(upstreams: ListedUpstream[]): void {
    const present = new Set(upstreams.map(upstream => upstream.id));
    for (const id of this.states.keys()) {
      if (!present.has(id)) {
        this.states.delete(id);
      }
    }
    for (const upstream of upstreams) {
      const state = this.states.get(upstream.id);
      if (state === undefined || state.address !== upstream.address) {
        this.states.set(upstream.id, newState(upstream));
      } else {
        // Direct evidence of leaving goes before the lagging list.
        state.leaving ||= upstream.leaving;
      }
    }
  }

  /** All upstreams; for polling and status pages. */
  allStates(): UpstreamState[] {
    return [...this.states.values()];
  }

  /** Upstreams of a kind that may get work now. */
  candidates(
    kind: UpstreamKind,
    now: Millis,
    excluded: ReadonlySet<string>,
  ): UpstreamState[] {
    const usable: UpstreamState[] = [];
    for (const state of this.states.values()) {
      const isCandidate = state.kind === kind && !state.leaving;
      if (isCandidate && now >= state.backoffUntil && !excluded.has(state.id)) {
        usable.push(state);
      }
    }
    return usable;
  }

  /** Picks an upstream; undefined when none may get work. */
  choose(
    kind: UpstreamKind,
    view: RoutingView,
    excluded: ReadonlySet<string>,
  ): UpstreamState | undefined {
    const candidates = this.candidates(kind, view.now, excluded);
    if (candidates.length === 0) {
      return undefined;
    }
    this.turn += 1;
    return ROUTING_RULES[this.policy](candidates, view, this.turn);
  }

  /** Own requests in flight at an upstream of a kind, on average. */
  meanInFlight(kind: UpstreamKind): number {
    let count = 0;
    let total = 0;
    for (const state of this.states.values()) {
      if (state.kind === kind) {
        count += 1;
        total += state.inFlight;
      }
    }
    return count === 0 ? 0 : total / count;
  }

  /** Notes which upstream ran a prompt with some head. */
  recordPrefix(prefix: string, id: string): void {
    this.prefixes.delete(prefix);
    this.prefixes.set(prefix, id);
    if (this.prefixes.size > MAX_PREFIXES) {
      const [oldest] = this.prefixes.keys();
      this.prefixes.delete(oldest ?? '');
    }
  }

  /** The upstream that lately ran a prompt with some head. */
  cachedUpstream(prefix: string): string | undefined {
    return this.prefixes.get(prefix);
  }

  /** Expected time to the first token at an upstream, in milliseconds. */
  expectedFirstTokenTime(state: UpstreamState, view: RoutingView): Millis {
    return estimatedFirstTokenTime(state, view);
  }

  /** Counts a request as in flight. */
  recordStart(id: string): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.inFlight += 1;
    }
  }

  /** Notes a load report. */
  recordReport(id: string, report: LoadReport, leaving: boolean): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.report = report;
      state.inFlightAtReport = state.inFlight;
      state.leaving ||= leaving;
    }
  }

  /** Notes that an upstream is leaving; it gets no more work. */
  markLeaving(id: string): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.leaving = true;
    }
  }

  /** Notes the time to the first token. */
  recordFirstToken(id: string, duration: Millis): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.meanFirstTokenTime +=
        SAMPLE_WEIGHT * (duration - state.meanFirstTokenTime);
    }
  }

  /** Counts a request as ended. */
  recordEnd(
    id: string,
    outcome: AttemptOutcome,
    duration: Millis,
    now: Millis,
  ): void {
    const state = this.states.get(id);
    if (state === undefined) {
      return;
    }
    state.inFlight = Math.max(0, state.inFlight - 1);
    OUTCOME_HANDLERS[outcome](state, duration, now);
  }
}

function newState(upstream: ListedUpstream): UpstreamState {
  return {
    ...upstream,
    inFlight: 0,
    inFlightAtReport: 0,
    report: undefined,
    meanFirstTokenTime: INITIAL_FIRST_TOKEN_TIME,
    meanResponseTime: INITIAL_RESPONSE_TIME,
    consecutiveFailures: 0,
    backoffUntil: 0,
  };
}

function backOff(state: UpstreamState, now: Millis): void {
  const backoff =
    INITIAL_BACKOFF * 2 ** Math.min(state.consecutiveFailures, 10);
  state.consecutiveFailures += 1;
  state.backoffUntil = now + Math.min(MAX_BACKOFF, backoff);
}

const OUTCOME_HANDLERS: Record<
  AttemptOutcome,
  (state: UpstreamState, duration: Millis, now: Millis) => void
> = {
  [AttemptOutcome.Answered]: (state, duration) => {
    state.consecutiveFailures = 0;
    state.meanResponseTime +=
      SAMPLE_WEIGHT * (duration - state.meanResponseTime);
  },
  [AttemptOutcome.Refused]: (state, _duration, now) => backOff(state, now),
  [AttemptOutcome.Mismatched]: (state, _duration, now) => backOff(state, now),
  [AttemptOutcome.Broken]: (state, _duration, now) => backOff(state, now),
  [AttemptOutcome.Leaving]: state => {
    state.leaving = true;
  },
  [AttemptOutcome.Cancelled]: () => undefined,
};
