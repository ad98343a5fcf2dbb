/**
 * How slow each upstream is, relative to the others of its service. Covers these
 * situations: upstreams of one service run on unequal machines; some become slow
 * for a while and recover; each of many instances sees few answers of each
 * upstream.
 *
 * Evidence consists of decaying sums, so that it can be added over the fleet, and
 * a receiver ages it as its sender does.
 */
import type {Millis} from '../base/clock.js';

/** What one or more instances have seen of an upstream's answers. */
export interface SpeedEvidence {
  /** Weighted sum of the logarithms of the recent answers' relative times. */
  recentSum: number;
  recentWeight: number;
  /**
   * The same over a longer period; of an upstream that reports how long work
   * takes on its machine, that of the reported times.
   */
  usualSum: number;
  usualWeight: number;
}

/** Sources of evidence; that of this instance is always included. */
export interface SpeedSources {
  /** Peers that are included; undefined for all. */
  included?: readonly string[];
  /** A peer that is excluded. */
  excluded?: string;
}

/** What one answer says of its upstream's speed; see `recordAnswer`. */
export interface AnswerSpeed {
  ratio: number;
  weight: number;
  workTime: number | undefined;
}

/** Class of an upstream's speed; changes of it are logged. */
export enum SpeedClass {
  Normal = 'normal',
  Slow = 'slow',
}

/** Evidence of one source, as of a point in time. */
interface DatedEvidence extends SpeedEvidence {
  at: Millis;
}

/** What is known of the speed of one upstream. */
interface SpeedState {
  own: DatedEvidence;
  peers: Map<string, DatedEvidence>;
  /** Sum of `own` and `peers`; it can be kept, as all evidence ages alike. */
  total: DatedEvidence;
  /** Last result of `slowness`, and when it was determined. */
  slowness: number;
  /** Logarithm of the usual slowness at that time. */
  usual: number;
  determinedAt: Millis;
  /** When an answer was last seen, by this instance or a peer. */
  sampledAt: Millis;
  /** Logarithm of the slowness that was announced to the peers last. */
  announced: number;
  /** Since when there is unannounced evidence; undefined if there is none. */
  newsSince: Millis | undefined;
  /** Value of `newsSince` when it was announced last. */
  announcedSince: Millis;
  /** When this instance last chose the upstream to measure it again. */
  probedAt: Millis;
}

/** Time in which the weight of recent evidence falls to one half. */
const RECENT_HALF_LIFE: Millis = 2_000;

/** Time in which the weight of evidence of the usual speed falls to one half. */
const USUAL_HALF_LIFE: Millis = 30_000;

/** Weight of the usual slowness as prior of the recent one, in answers. */
const USUAL_PRIOR_WEIGHT = 2;

/** Weight of the service's mean as prior of the usual slowness, in answers. */
const MEAN_PRIOR_WEIGHT = 3;

/** An answer counts as at most this many times slower or faster than expected. */
const MAX_SAMPLE_RATIO = 8;

/** Largest weight that a peer may state, in answers. */
const MAX_EVIDENCE_WEIGHT = 100_000;

/** Time for which a determined slowness is used again. */
const SLOWNESS_TTL: Millis = 100;

/** A slow upstream is measured again if it did not answer for this long. */
const PROBE_AFTER: Millis = 1_000;

/** Minimum time between two probes of an upstream by one instance. */
const PROBE_INTERVAL: Millis = 5_000;

/** Probability that a request is used as a probe if one is due. */
const PROBE_PROBABILITY = 0.03;

/** Slowness from which an upstream counts as slow. */
const SLOW_FROM = 2;

/** Slowness up to which a slow upstream counts as normal again. */
const NORMAL_UP_TO = 1.5;

/** Maximum number of upstreams in one announcement to a peer. */
export const MAX_ANNOUNCED_SPEEDS = 64;

/** The speeds that one instance knows, by upstream. */
export class UpstreamSpeeds {
  private readonly states = new Map<string, SpeedState>();
  private readonly slowUpstreams = new Set<string>();

  /**
   * Records an answer. A reported work time changes faster than answers come in,
   * so its present deviation from its mean is taken out of the answer's time.
   * @param ratio the time that it took, divided by the time expected of an
   *     average upstream of the service under the same load.
   * @param weight at most 1; less if the load was uncertain.
   * @param workTime time that work took on the upstream's machine just then, as
   *     it reported; undefined if it does not report any.
   */
  recordAnswer(
    id: string,
    {ratio, weight, workTime}: AnswerSpeed,
    now: Millis,
  ): void {
    if (!(ratio > 0 && weight > 0)) {
      return;
    }
    this.slowness(id, now);
    const state = this.stateOf(id);
    const sampleWeight = Math.min(1, weight);
    const logRatio = boundedLog(ratio);
    const reported = workTime === undefined ? logRatio : boundedLog(workTime);
    const deviation = workTime === undefined ? 0 : reported - state.usual;
    const sample: SpeedEvidence = {
      recentSum: sampleWeight * boundedLog(ratio * Math.exp(-deviation)),
      recentWeight: sampleWeight,
      usualSum: sampleWeight * reported,
      usualWeight: sampleWeight,
    };
    state.own = sumOf(state.own, sample, 1, now);
    state.total = sumOf(state.total, sample, 1, now);
    this.recordNews(state, now);
  }

  /** Replaces what a peer has stated of the given upstreams. */
  recordPeerEvidence(
    peer: string,
    stated: ReadonlyMap<string, SpeedEvidence>,
    now: Millis,
  ): void {
    for (const [id, evidence] of stated) {
      const state = this.stateOf(id);
      const bounded = boundedEvidence(evidence);
      this.removePeer(state, peer, now);
      state.peers.set(peer, {...bounded, at: now});
      state.total = sumOf(state.total, bounded, 1, now);
      this.recordNews(state, now);
    }
  }

  /** Forgets what a peer has stated. */
  forgetPeer(peer: string, now: Millis): void {
    for (const state of this.states.values()) {
      this.removePeer(state, peer, now);
    }
  }

  /**
   * Returns the time that an upstream takes, divided by the mean of its service;
   * 1 if nothing is known.
   */
  slowness(id: string, now: Millis): number {
    const state = this.states.get(id);
    if (state === undefined) {
      return 1;
    }
    if (now - state.determinedAt >= SLOWNESS_TTL) {
      const total = agedEvidence(state.total, now);
      state.usual = usualOf(total);
      state.slowness = Math.exp(recentOf(total, state.usual));
      state.determinedAt = now;
    }
    return state.slowness;
  }

  /**
   * Returns the factor by which work takes longer at the moment than `slowness`
   * says, from the work time that the upstream reported.
   */
  deviation(id: string, workTime: number): number {
    const usual = this.states.get(id)?.usual ?? 0;
    return Math.exp(boundedLog(workTime) - usual);
  }

  /**
   * Returns an upstream that was slow when it answered last and is to be measured
   * again by this request, and records that; undefined for most requests.
   * @param random returns a uniformly distributed number in [0, 1).
   */
  chooseProbe<T extends {id: string}>(
    upstreams: readonly T[],
    now: Millis,
    random: () => number,
  ): T | undefined {
    if (random() >= PROBE_PROBABILITY) {
      return undefined;
    }
    const due = upstreams.filter(({id}) => this.isProbeDue(id, now));
    const probed = due[Math.floor(random() * due.length)];
    const state = probed && this.states.get(probed.id);
    if (state !== undefined) {
      state.probedAt = now;
    }
    return probed;
  }

  private isProbeDue(id: string, now: Millis): boolean {
    const state = this.states.get(id);
    return (
      state !== undefined &&
      state.slowness >= NORMAL_UP_TO &&
      now - state.sampledAt >= PROBE_AFTER &&
      now - state.probedAt >= PROBE_INTERVAL
    );
  }

  /**
   * Returns the upstreams with evidence since they were last returned, at most
   * `MAX_ANNOUNCED_SPEEDS`: those whose slowness has changed most. Later calls
   * return the others.
   */
  takeNews(now: Millis): string[] {
    const changes: {id: string; state: SpeedState; change: number}[] = [];
    for (const [id, state] of this.states) {
      if (state.newsSince !== undefined) {
        const logSlowness = Math.log(this.slowness(id, now));
        const change = Math.abs(logSlowness - state.announced);
        changes.push({id, state, change});
      }
    }
    const largest = changes
      .sort((a, b) => b.change - a.change)
      .slice(0, MAX_ANNOUNCED_SPEEDS);
    for (const {id, state} of largest) {
      state.announcedSince = state.newsSince ?? now;
      state.newsSince = undefined;
      state.announced = Math.log(this.slowness(id, now));
    }
    return largest.map(({id}) => id);
  }

  /** Returns the upstreams that differ most from the mean of their service. */
  mostUneven(now: Millis): string[] {
    return [...this.states.keys()]
      .map(id => ({id, extent: Math.abs(Math.log(this.slowness(id, now)))}))
      .sort((a, b) => b.extent - a.extent)
      .slice(0, MAX_ANNOUNCED_SPEEDS)
      .map(({id}) => id);
  }

  /**
   * Sums the evidence of the given sources.
   * @param onlyNews whether to leave out upstreams of which these have learned
   *     nothing since they were announced before.
   */
  evidence(
    ids: readonly string[],
    sources: SpeedSources,
    now: Millis,
    onlyNews = false,
  ): Map<string, SpeedEvidence> {
    const result = new Map<string, SpeedEvidence>();
    for (const id of ids) {
      const state = this.states.get(id);
      if (state !== undefined && (!onlyNews || hasNews(state, sources))) {
        result.set(id, sumOfSources(state, sources, now));
      }
    }
    return result;
  }

  /** Returns the upstreams whose class has changed since the last call. */
  takeClassChanges(
    now: Millis,
  ): {id: string; speed: SpeedClass; slowness: number}[] {
    const changes = [];
    for (const id of this.states.keys()) {
      const slowness = this.slowness(id, now);
      const wasSlow = this.slowUpstreams.has(id);
      const isSlow = slowness > (wasSlow ? NORMAL_UP_TO : SLOW_FROM);
      if (isSlow !== wasSlow) {
        const speed = isSlow ? SpeedClass.Slow : SpeedClass.Normal;
        changes.push({id, speed, slowness});
        if (isSlow) {
          this.slowUpstreams.add(id);
        } else {
          this.slowUpstreams.delete(id);
        }
      }
    }
    return changes;
  }

  /** Returns how many upstreams count as slow. */
  slowCount(): number {
    return this.slowUpstreams.size;
  }

  /** Forgets the upstreams for which `isListed` returns false. */
  prune(isListed: (id: string) => boolean): void {
    for (const id of this.states.keys()) {
      if (!isListed(id)) {
        this.states.delete(id);
        this.slowUpstreams.delete(id);
      }
    }
  }

  /** Subtracts what a peer has stated. */
  private removePeer(state: SpeedState, peer: string, now: Millis): void {
    const stated = state.peers.get(peer);
    if (stated !== undefined) {
      state.total = sumOf(state.total, agedEvidence(stated, now), -1, now);
      state.peers.delete(peer);
    }
  }

  private recordNews(state: SpeedState, now: Millis): void {
    state.sampledAt = now;
    state.newsSince ??= now;
  }

  private stateOf(id: string): SpeedState {
    let state = this.states.get(id);
    if (state === undefined) {
      state = {
        own: {...NO_EVIDENCE, at: -Infinity},
        peers: new Map(),
        total: {...NO_EVIDENCE, at: -Infinity},
        slowness: 1,
        usual: 0,
        determinedAt: -Infinity,
        sampledAt: -Infinity,
        announced: 0,
        newsSince: undefined,
        announcedSince: -Infinity,
        probedAt: -Infinity,
      };
      this.states.set(id, state);
    }
    return state;
  }
}

const NO_EVIDENCE: SpeedEvidence = {
  recentSum: 0,
  recentWeight: 0,
  usualSum: 0,
  usualWeight: 0,
};

/** Returns evidence with its weights as of now. */
function agedEvidence(evidence: DatedEvidence, now: Millis): DatedEvidence {
  const age = Math.max(0, now - evidence.at);
  const recent = 0.5 ** (age / RECENT_HALF_LIFE);
  const usual = 0.5 ** (age / USUAL_HALF_LIFE);
  return {
    recentSum: evidence.recentSum * recent,
    recentWeight: evidence.recentWeight * recent,
    usualSum: evidence.usualSum * usual,
    usualWeight: evidence.usualWeight * usual,
    at: now,
  };
}

/** Adds evidence, or subtracts it with the sign -1, after ageing the first. */
function sumOf(
  aged: DatedEvidence,
  added: SpeedEvidence,
  sign: 1 | -1,
  now: Millis,
): DatedEvidence {
  const sum = agedEvidence(aged, now);
  sum.recentSum += sign * added.recentSum;
  sum.recentWeight = Math.max(0, sum.recentWeight + sign * added.recentWeight);
  sum.usualSum += sign * added.usualSum;
  sum.usualWeight = Math.max(0, sum.usualWeight + sign * added.usualWeight);
  return sum;
}

/** Whether the sources have learned something that is announced now. */
function hasNews(
  {own, peers, announcedSince}: SpeedState,
  {included, excluded}: SpeedSources,
): boolean {
  if (own.at >= announcedSince) {
    return true;
  }
  for (const peer of included ?? peers.keys()) {
    const at = peers.get(peer)?.at ?? -Infinity;
    if (peer !== excluded && at >= announcedSince) {
      return true;
    }
  }
  return false;
}

/** Sums what the sources have seen of an upstream. */
function sumOfSources(
  {own, peers, total}: SpeedState,
  {included, excluded}: SpeedSources,
  now: Millis,
): SpeedEvidence {
  if (included === undefined) {
    const left = peers.get(excluded ?? '') ?? {...NO_EVIDENCE, at: now};
    return sumOf(total, agedEvidence(left, now), -1, now);
  }
  let sum = own;
  for (const peer of included) {
    const evidence = peers.get(peer);
    if (evidence !== undefined) {
      sum = sumOf(sum, agedEvidence(evidence, now), 1, now);
    }
  }
  return agedEvidence(sum, now);
}

/** Limits what a peer states to what answers can yield. */
function boundedEvidence(evidence: SpeedEvidence): SpeedEvidence {
  const [recentSum, recentWeight] = boundedSum(
    evidence.recentSum,
    evidence.recentWeight,
  );
  const [usualSum, usualWeight] = boundedSum(
    evidence.usualSum,
    evidence.usualWeight,
  );
  return {recentSum, recentWeight, usualSum, usualWeight};
}

function boundedSum(sum: number, weight: number): [number, number] {
  if (!Number.isFinite(sum) || !(weight > 0)) {
    return [0, 0];
  }
  const boundedWeight = Math.min(MAX_EVIDENCE_WEIGHT, weight);
  const limit = boundedWeight * Math.log(MAX_SAMPLE_RATIO);
  return [Math.max(-limit, Math.min(limit, sum)), boundedWeight];
}

/** Logarithm of the usual slowness that evidence shows. */
function usualOf({usualSum, usualWeight}: SpeedEvidence): number {
  return usualSum / (usualWeight + MEAN_PRIOR_WEIGHT);
}

/** Logarithm of the present slowness, with the usual one as its prior. */
function recentOf(evidence: SpeedEvidence, usual: number): number {
  return (
    (evidence.recentSum + USUAL_PRIOR_WEIGHT * usual) /
    (evidence.recentWeight + USUAL_PRIOR_WEIGHT)
  );
}

/** Logarithm of a ratio, bounded by `MAX_SAMPLE_RATIO`. */
function boundedLog(ratio: number): number {
  const limit = Math.log(MAX_SAMPLE_RATIO);
  return Math.max(-limit, Math.min(limit, Math.log(ratio)));
}
