/**
 * Table of the upstreams that an entry uses, with the load, the latency and the
 * failures that it has observed at each. An entry is the process that accepts
 * requests and forwards them to upstreams.
 */
import {setNewest} from '../base/recent_entries.js';
import {
  affinityRank,
  estimatedFirstTokenTime,
  ROUTING_RULES,
  UpstreamKind,
} from '../placement/routing.js';
import type {
  LoadReport,
  RoutingView,
  UpstreamState,
  RoutingPolicy,
} from '../placement/routing.js';
import type {Millis} from '../base/clock.js';

/** One upstream as it stands in the list of instances. */
export interface ListedUpstream {
  id: string;
  kind: UpstreamKind;
  zone: string;
  /** Address as `ip:port`. */
  address: string;
  /** Whether the upstream is shutting down; it gets no new requests. */
  leaving: boolean;
}

/** How one attempt at an upstream ended. */
export enum AttemptOutcome {
  Answered = 'answered',
  /** The upstream did not run the request; for example, no byte was sent. */
  Refused = 'refused',
  /** The connection failed before the end of the response. */
  Broken = 'broken',
  /** The response was to another request. */
  Mismatched = 'foreign',
  /** The upstream is shutting down and did not run the request. */
  Leaving = 'leaving',
  /** This entry cancelled the attempt. */
  Cancelled = 'cancelled',
}

/** Outcomes after which the upstream may have run the request. */
export const MAY_HAVE_RUN: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.Broken,
  AttemptOutcome.Mismatched,
]);

/** Default maximum number of upstreams of one kind that an entry uses. */
const MAX_USED_UPSTREAMS = 48;

/** Maximum number of recorded prompt prefixes; the oldest is dropped first. */
const MAX_PREFIXES = 2_000;

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.2;

/** Assumed time to the first token of an upstream that was never used. */
const INITIAL_FIRST_TOKEN_TIME: Millis = 20;

/** Assumed response time of an upstream that was never used. */
const INITIAL_RESPONSE_TIME: Millis = 200;

/** Backoff after the first failure; it doubles with each further failure. */
const INITIAL_BACKOFF: Millis = 500;

/** Maximum backoff. */
const MAX_BACKOFF: Millis = 10_000;

/**
 * The upstreams that one entry uses. Methods that record something ignore
 * identifiers that are not in the table.
 */
export class UpstreamTable {
  private readonly states = new Map<string, UpstreamState>();
  /** The upstream that last ran each prompt prefix; oldest use first. */
  private readonly upstreamByPrefix = new Map<string, string>();
  /** Upstreams on the last list, by kind. */
  private readonly listedCounts = new Map<UpstreamKind, number>();
  /** Number of choices made so far. */
  private turn = 0;

  constructor(
    private readonly policy: RoutingPolicy,
    /** Identifier of this entry; it decides which upstreams the entry uses. */
    private readonly instanceId: string,
    /** Maximum number of upstreams of one kind that this entry uses. */
    private readonly maxUsed = MAX_USED_UPSTREAMS,
  ) {}

  /**
   * Replaces the table by a new list of instances and keeps what is known of
   * the upstreams that stay. Of many upstreams an entry uses only some, so that
   * its memory and time do not grow with their number.
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
   * Mean number of entries that use an upstream of this kind, at least 1.
   * @param instanceCount number of live entries, this one included.
   */
  instancesPerUpstream(kind: UpstreamKind, instanceCount: number): number {
    const listedCount = this.listedCounts.get(kind) ?? 0;
    const usedFraction =
      listedCount > this.maxUsed ? this.maxUsed / listedCount : 1;
    return Math.max(1, instanceCount * usedFraction);
  }

  /**
   * Selects the upstreams of a kind to use. Above the maximum these are the
   * ones with the highest affinity to this entry that are not leaving.
   */
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
        // The list lags behind what the upstream itself reported, so it never
        // clears the flag.
        state.leaving ||= upstream.leaving;
      }
    }
  }

  /** The states of all upstreams, for polling and for the status page. */
  allStates(): UpstreamState[] {
    return [...this.states.values()];
  }

  /** Upstreams of a kind that may get a request now. */
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

  /** Picks an upstream by the policy; undefined if there is no candidate. */
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

  /** Mean number of this entry's requests at the upstreams of a kind. */
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

  /** Records which upstream ran a prompt with this prefix. */
  recordPrefix(prefix: string, id: string): void {
    setNewest(this.upstreamByPrefix, prefix, id, MAX_PREFIXES);
  }

  /** The upstream that last ran a prompt with this prefix, if any. */
  cachedUpstream(prefix: string): string | undefined {
    return this.upstreamByPrefix.get(prefix);
  }

  /** Expected time to the first token of a request that is sent now. */
  estimatedFirstTokenTime(state: UpstreamState, view: RoutingView): Millis {
    return estimatedFirstTokenTime(state, view);
  }

  /** Records that a request was sent to an upstream. */
  recordStart(id: string): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.inFlight += 1;
    }
  }

  /** Records a load report and whether the upstream is leaving. */
  recordReport(id: string, report: LoadReport, leaving: boolean): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.report = report;
      state.inFlightAtReport = state.inFlight;
      state.leaving ||= leaving;
    }
  }

  /** Records that an upstream is leaving; it gets no more requests. */
  markLeaving(id: string): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.leaving = true;
    }
  }

  /** Records the time to the first token of a request. */
  recordFirstToken(id: string, duration: Millis): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.meanFirstTokenTime +=
        SAMPLE_WEIGHT * (duration - state.meanFirstTokenTime);
    }
  }

  /**
   * Records the end of a request.
   * @param duration time since the request was sent.
   */
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
