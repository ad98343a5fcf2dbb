/**
 * How much of its taken tokens a process may use, depending on the time since
 * its last write to the page. In touch with the store it may use little more
 * than it needs until its next write. Out of touch it may use more and more, so
 * that a share lasts through an outage. The next process on its machine, which
 * can tell how old the last write is, returns the tokens that the process can't
 * have used.
 */
import type {MachineTime, Millis} from '../base/clock.js';

/** Age of the last write up to which only the limit may be used. */
export const RELEASE_START: Millis = 2_000;

/** Age of the last write from which on all taken tokens may be used. */
export const RELEASE_END: Millis = 6_000;

/**
 * Maximum difference between the elapsed times that two clocks of one machine
 * show. A larger one means that the machine was restarted or suspended, or that
 * the time of day was adjusted.
 */
const MAX_CLOCK_DISAGREEMENT: Millis = 100;

/**
 * Returns the tokens that a process may use, in all, when its last write is
 * `age` old.
 * @param limit tokens that it may use at any age.
 */
export function usableTokens(
  taken: number,
  limit: number,
  age: Millis,
): number {
  if (limit >= taken) {
    return taken;
  }
  const releaseTime = RELEASE_END - RELEASE_START;
  const released = (age - RELEASE_START) / releaseTime;
  return limit + (taken - limit) * Math.min(1, Math.max(0, released));
}

/**
 * Returns the time that passed on a machine between two points in time, or
 * undefined if its clocks do not agree on it.
 */
export function elapsedTime(
  from: MachineTime,
  to: MachineTime,
): Millis | undefined {
  const elapsed = to.monotonic - from.monotonic;
  const wallElapsed = to.wall - from.wall;
  const disagreement = Math.abs(elapsed - wallElapsed);
  return elapsed < 0 || disagreement > MAX_CLOCK_DISAGREEMENT
    ? undefined
    : elapsed;
}
