/** The table of upstreams: who may get work, and what was seen of each. */
import {affinity, estimate, ROUTING_RULES, UpstreamKind} from './routing.js';
import type {
  LoadReport,
  RoutingView,
  UpstreamState,
  RoutingPolicy,
} from './routing.js';
import type {Millis} from './clock.js';

/** One upstream as the instance list names it. */
export interface UpstreamEntry {
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
  Foreign = 'foreign',
  /** The upstream said that it is leaving and did not run the request. */
  Leaving = 'leaving',
  Cancelled = 'cancelled',
}

/** Outcomes after which the request may have run. */
export const MAY_HAVE_RUN: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.Broken,
  AttemptOutcome.Foreign,
]);

/** Upstreams of a kind that one entry uses at the most. */
const MOST_USED = 48;

/** Heads of prompts remembered; the oldest are forgotten first. */
const MOST_PREFIXES = 2_000;

/** Weight of a new sample in the running averages. */
const SAMPLE_WEIGHT = 0.2;

/** First time estimates for an upstream never used. */
const FIRST_TOKEN_GUESS: Millis = 20;
const WHOLE_GUESS: Millis = 200;

/** Shortest and longest time that a failing upstream gets no work. */
const SHUN_FIRST: Millis = 500;
const SHUN_MOST: Millis = 10_000;

/** The upstreams known to one entry. */
export class Upstreams {
  private readonly states = new Map<string, UpstreamState>();
  private readonly prefixes = new Map<string, string>();
  private readonly listed = new Map<UpstreamKind, number>();
  private turn = 0;

  constructor(
    private readonly policy: RoutingPolicy,
    /** Identity of this entry; entries differ in the upstreams they use. */
    private readonly self: string,
    /** Most upstreams of a kind that this entry uses. */
    private readonly most = MOST_USED,
  ) {}

  /**
   * Takes over the instance list; what is not on it any more is removed. Of
   * many upstreams an entry uses a part, so that its costs stay flat.
   */
  list(all: UpstreamEntry[]): void {
    const entries = Object.values(UpstreamKind).flatMap(kind =>
      this.part(
        kind,
        all.filter(entry => entry.kind === kind),
      ),
    );
    this.update(entries);
  }

  /**
   * Entries that use each upstream of a kind, on average.
   * @param entries number of live entries.
   */
  sharers(kind: UpstreamKind, entries: number): number {
    const listed = this.listed.get(kind) ?? 0;
    const part = listed > this.most ? this.most / listed : 1;
    return Math.max(1, entries * part);
  }

  private part(kind: UpstreamKind, entries: UpstreamEntry[]): UpstreamEntry[] {
    this.listed.set(kind, entries.length);
    if (entries.length <= this.most) {
      return entries;
    }
    const live = entries.filter(entry => !entry.leaving);
    return live
      .map(entry => ({entry, rank: affinity(this.self, entry.id)}))
      .sort((a, b) => b.rank - a.rank)
      .slice(0, this.most)
      .map(({entry}) => entry);
  }

  private update(entries: UpstreamEntry[]): void {
    const present = new Set(entries.map(entry => entry.id));
    for (const id of this.states.keys()) {
      if (!present.has(id)) {
        this.states.delete(id);
      }
    }
    for (const entry of entries) {
      const state = this.states.get(entry.id);
      if (state === undefined || state.address !== entry.address) {
        this.states.set(entry.id, newState(entry));
      } else {
        // Direct evidence of leaving goes before the lagging list.
        state.leaving ||= entry.leaving;
      }
    }
  }

  /** All upstreams; for polling and status pages. */
  all(): UpstreamState[] {
    return [...this.states.values()];
  }

  /** Upstreams of a kind that may get work now. */
  candidates(
    kind: UpstreamKind,
    now: Millis,
    except: ReadonlySet<string>,
  ): UpstreamState[] {
    const usable: UpstreamState[] = [];
    for (const state of this.states.values()) {
      const fit = state.kind === kind && !state.leaving;
      if (fit && now >= state.shunnedUntil && !except.has(state.id)) {
        usable.push(state);
      }
    }
    return usable;
  }

  /** Picks an upstream; undefined when none may get work. */
  choose(
    kind: UpstreamKind,
    view: RoutingView,
    except: ReadonlySet<string>,
  ): UpstreamState | undefined {
    const candidates = this.candidates(kind, view.now, except);
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
  remember(prefix: string, id: string): void {
    this.prefixes.delete(prefix);
    this.prefixes.set(prefix, id);
    if (this.prefixes.size > MOST_PREFIXES) {
      const [oldest] = this.prefixes.keys();
      this.prefixes.delete(oldest ?? '');
    }
  }

  /** The upstream that lately ran a prompt with some head. */
  cachedAt(prefix: string): string | undefined {
    return this.prefixes.get(prefix);
  }

  /** Expected time to the first token at an upstream, in milliseconds. */
  expect(state: UpstreamState, view: RoutingView): Millis {
    return estimate(state, view);
  }

  /** Counts a request as in flight. */
  started(id: string): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.inFlight += 1;
    }
  }

  /** Notes a load report. */
  reported(id: string, report: LoadReport, leaving: boolean): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.report = report;
      state.inFlightAtReport = state.inFlight;
      state.leaving ||= leaving;
    }
  }

  /** Notes that an upstream is leaving; it gets no more work. */
  leaves(id: string): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.leaving = true;
    }
  }

  /** Notes the time to the first token. */
  firstToken(id: string, span: Millis): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.firstTokenMs += SAMPLE_WEIGHT * (span - state.firstTokenMs);
    }
  }

  /** Counts a request as ended. */
  ended(id: string, outcome: AttemptOutcome, span: Millis, now: Millis): void {
    const state = this.states.get(id);
    if (state === undefined) {
      return;
    }
    state.inFlight = Math.max(0, state.inFlight - 1);
    ENDINGS[outcome](state, span, now);
  }
}

function newState(entry: UpstreamEntry): UpstreamState {
  return {
    ...entry,
    inFlight: 0,
    inFlightAtReport: 0,
    report: undefined,
    firstTokenMs: FIRST_TOKEN_GUESS,
    wholeMs: WHOLE_GUESS,
    failures: 0,
    shunnedUntil: 0,
  };
}

function shun(state: UpstreamState, now: Millis): void {
  const wait = SHUN_FIRST * 2 ** Math.min(state.failures, 10);
  state.failures += 1;
  state.shunnedUntil = now + Math.min(SHUN_MOST, wait);
}

const ENDINGS: Record<
  AttemptOutcome,
  (state: UpstreamState, span: Millis, now: Millis) => void
> = {
  [AttemptOutcome.Answered]: (state, span) => {
    state.failures = 0;
    state.wholeMs += SAMPLE_WEIGHT * (span - state.wholeMs);
  },
  [AttemptOutcome.Refused]: (state, _span, now) => shun(state, now),
  [AttemptOutcome.Foreign]: (state, _span, now) => shun(state, now),
  [AttemptOutcome.Broken]: (state, _span, now) => shun(state, now),
  [AttemptOutcome.Leaving]: state => {
    state.leaving = true;
  },
  [AttemptOutcome.Cancelled]: () => undefined,
};
