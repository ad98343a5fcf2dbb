/**
 * When refused callers are to return. Covers this load pattern: many are refused
 * at once, and those that are told the same delay return together, find no room
 * and use up their retries. Each is told a time of its own, in the order in which
 * room is expected, the most important first.
 *
 * Cost of a decision: one pass over the levels of priority. Memory: one time per
 * level and resource; nothing is exchanged between instances.
 */
import type {Millis} from '../base/clock.js';

/** When there will be room for requests that are refused now. */
export interface RoomForecast {
  /** Time until there is room for the first one. */
  wait: Millis;
  /** Time from then on until there is room for one more. */
  interval: Millis;
}

/** A caller that is refused. */
export interface RefusedCaller {
  /** Priority of the request; 0 is the most important. */
  priority: number;
  /** Time until the deadline of the request. */
  remainingTime: Millis;
}

/** Number of levels of priority; all lower priorities share the last one. */
const LEVELS = 8;

/** Longest delay that is told, however many callers have been told one. */
export const MAX_RETURN_DELAY: Millis = 5_000;

/** Shortest delay that is told. */
const MIN_RETURN_DELAY: Millis = 10;

/** Fraction of the remaining time up to which callers honour a delay. */
const HONOURED_FRACTION = 1 / 3;

/** Part of an interval over which callers are spread at random. */
const SPREAD = 0.5;

/** Time over which callers are spread that return to another instance. */
const ELSEWHERE_SPREAD: Millis = 20;

/** Added to `ELSEWHERE_SPREAD`, as a fraction of the wait. */
const ELSEWHERE_SPREAD_FRACTION = 0.5;

/** The times told to the callers that one resource refused. */
export class ReturnTimes {
  /** Earliest time of return of the next caller, by level. */
  private readonly nextAt: Millis[] = Array.from({length: LEVELS}, () => 0);

  /**
   * Returns the delay after which a caller is to return, and reserves its time.
   * @param random uniformly distributed in [0, 1).
   */
  tell(
    {priority, remainingTime}: RefusedCaller,
    {wait, interval}: RoomForecast,
    now: Millis,
    random: number,
  ): Millis {
    const level = levelOf(priority);
    const latest = now + MAX_RETURN_DELAY;
    const at = Math.min(latest, Math.max(now + wait, this.nextAt[level] ?? 0));
    // The room goes to this caller, so the less important ones return later.
    for (let other = level; other < LEVELS; other++) {
      const next = Math.max(at, this.nextAt[other] ?? 0) + interval;
      this.nextAt[other] = Math.min(latest, next);
    }
    const delay = at - now + random * SPREAD * interval;
    return withinHonoured(delay, remainingTime);
  }
}

/**
 * Returns the delay for a caller that finds room at another instance.
 * @param wait time until callers reach another instance.
 * @param random uniformly distributed in [0, 1).
 */
export function returnElsewhere(
  {remainingTime}: RefusedCaller,
  wait: Millis,
  random: number,
): Millis {
  const spread = ELSEWHERE_SPREAD + wait * ELSEWHERE_SPREAD_FRACTION;
  const delay = MIN_RETURN_DELAY + wait + random * spread;
  return withinHonoured(delay, remainingTime);
}

function withinHonoured(delay: Millis, remainingTime: Millis): Millis {
  const longest = Math.max(0, remainingTime) * HONOURED_FRACTION;
  return Math.max(MIN_RETURN_DELAY, Math.min(delay, longest));
}

function levelOf(priority: number): number {
  const whole = Number.isFinite(priority) ? Math.round(priority) : LEVELS;
  return Math.max(0, Math.min(LEVELS - 1, whole));
}
