/**
 * How long an average upstream of a service takes, learned from its answers.
 * Covers these load patterns: services whose engines read prompts at different
 * speeds; requests without a prompt that take tens of milliseconds or seconds.
 */
import {setNewest} from '../base/recent_entries.js';
import type {Millis} from '../base/clock.js';

/** Expected time to the first event of an answer, as a line over the work. */
export interface TimeLine {
  /** Time that an answer takes without any work. */
  base: Millis;
  /** Time for each millisecond of nominal work; see `estimatePrefillTime`. */
  perWork: number;
  /** From 0 to 1; rises with the number of answers that it is learned from. */
  certainty: number;
}

/** Decaying sums of a weighted linear regression of time over work. */
interface RegressionSums {
  weight: number;
  work: number;
  time: number;
  workSquared: number;
  workTime: number;
}

/** What is known of a service. */
interface ServiceSums extends RegressionSums {
  /** Number of answers in the sums, decaying as they do. */
  count: number;
  line: TimeLine;
  /** Mean nominal work of a request itself. */
  ownWork: Millis;
  /** Mean time from the start to the end of an answer; undefined at first. */
  wholeTime: Millis | undefined;
}

/** What is assumed of a service before anything is learned. */
const INITIAL_LINE: TimeLine = {base: 10, perWork: 1, certainty: 0};

/** Number of answers at which the certainty is one half. */
const HALF_CERTAIN_ANSWERS = 8;

/** Work of the two answers by `INITIAL_LINE` that each regression includes. */
const ASSUMED_WORKS: readonly Millis[] = [0, 100];

/** Fraction of the sums that stays when an answer is added. */
const RETAINED_PER_ANSWER = 0.995;

/** An answer counts as at most this many times slower or faster than expected. */
const MAX_RATIO = 4;

/** Shorter expected times have the weight of this one in the regression. */
const MIN_PRECISE_TIME: Millis = 10;

/** Weight of a new request in the means of work and time. */
const MEAN_WEIGHT = 0.05;

/**
 * Minimum variance of the work, as a fraction of its squared mean, to tell base
 * and work apart. Below it, as for requests without a prompt, all time is work.
 */
const MIN_RELATIVE_SPREAD = 1e-3;

/** Maximum number of services that are remembered. */
const MAX_SERVICES = 1_000;

/** Range of the learned time for each millisecond of nominal work. */
const MIN_PER_WORK = 0.05;
const MAX_PER_WORK = 50;

/** The times of the services that one instance sends requests to. */
export class ServiceTimes {
  private readonly services = new Map<string, ServiceSums>();

  /** Returns the expected time over the work of an average upstream. */
  line(service: string): TimeLine {
    return this.services.get(service)?.line ?? INITIAL_LINE;
  }

  /** Returns the mean time to the end of an answer; undefined if unknown. */
  wholeTime(service: string): Millis | undefined {
    return this.services.get(service)?.wholeTime;
  }

  /** Returns the mean nominal work of a request itself. */
  meanOwnWork(service: string): Millis {
    return this.services.get(service)?.ownWork ?? 0;
  }

  /** Records the nominal work of a request that is started. */
  recordStart(service: string, work: Millis): void {
    const sums = this.sumsOf(service);
    sums.ownWork += MEAN_WEIGHT * (work - sums.ownWork);
  }

  /**
   * Records the time to the first event of an answer.
   * @param work nominal work before that event, that of others included.
   */
  recordFirstEvent(service: string, work: Millis, time: Millis): void {
    if (!Number.isFinite(work) || !Number.isFinite(time)) {
      return;
    }
    const sums = this.sumsOf(service);
    const {base, perWork} = sums.line;
    const expected = Math.max(MIN_PRECISE_TIME, base + perWork * work);
    // An expectation from few answers must not bound further ones.
    const isNew = sums.count < HALF_CERTAIN_ANSWERS;
    const boundedTime = isNew
      ? time
      : Math.max(expected / MAX_RATIO, Math.min(expected * MAX_RATIO, time));
    const scale = isNew ? Math.max(expected, time) : expected;
    sums.weight *= RETAINED_PER_ANSWER;
    sums.work *= RETAINED_PER_ANSWER;
    sums.time *= RETAINED_PER_ANSWER;
    sums.workSquared *= RETAINED_PER_ANSWER;
    sums.workTime *= RETAINED_PER_ANSWER;
    sums.count *= RETAINED_PER_ANSWER;
    addPoint(sums, work, boundedTime, 1 / scale ** 2);
    sums.count += 1;
    sums.line = fittedLine(sums);
  }

  /** Records the time from the start to the end of an answer. */
  recordEnd(service: string, time: Millis): void {
    if (!Number.isFinite(time)) {
      return;
    }
    const sums = this.sumsOf(service);
    const mean = sums.wholeTime ?? time;
    const bounded = Math.min(time, mean * MAX_RATIO);
    sums.wholeTime = mean + MEAN_WEIGHT * (bounded - mean);
  }

  private sumsOf(service: string): ServiceSums {
    let sums = this.services.get(service);
    if (sums === undefined) {
      sums = {
        weight: 0,
        work: 0,
        time: 0,
        workSquared: 0,
        workTime: 0,
        count: 0,
        line: INITIAL_LINE,
        ownWork: 0,
        wholeTime: undefined,
      };
      setNewest(this.services, service, sums, MAX_SERVICES);
    }
    return sums;
  }
}

/** Adds a point to the sums. */
function addPoint(
  sums: RegressionSums,
  work: Millis,
  time: Millis,
  weight: number,
): void {
  sums.weight += weight;
  sums.work += weight * work;
  sums.time += weight * time;
  sums.workSquared += weight * work * work;
  sums.workTime += weight * work * time;
}

/**
 * Returns the line of least squares, within the range of possible lines. The two
 * assumed answers have the mean weight of the others.
 */
function fittedLine(learned: ServiceSums): TimeLine {
  const certainty = learned.count / (learned.count + HALF_CERTAIN_ANSWERS);
  const mean = learned.work / learned.weight;
  const spread = learned.workSquared / learned.weight - mean * mean;
  if (spread < MIN_RELATIVE_SPREAD * mean * mean) {
    const perWork = learned.time / learned.work;
    return {base: 0, perWork, certainty};
  }
  const sums: RegressionSums = {...learned};
  for (const work of ASSUMED_WORKS) {
    const time = INITIAL_LINE.base + INITIAL_LINE.perWork * work;
    addPoint(sums, work, time, learned.weight / learned.count);
  }
  const meanWork = sums.work / sums.weight;
  const meanTime = sums.time / sums.weight;
  const variance = sums.workSquared / sums.weight - meanWork * meanWork;
  const covariance = sums.workTime / sums.weight - meanWork * meanTime;
  const slope = variance > 0 ? covariance / variance : 0;
  const perWork = Math.max(MIN_PER_WORK, Math.min(MAX_PER_WORK, slope));
  const base = Math.max(0, meanTime - perWork * meanWork);
  return {base, perWork, certainty};
}
