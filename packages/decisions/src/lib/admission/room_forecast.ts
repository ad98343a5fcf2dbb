/**
 * When the upstreams of a service will have room again. Covers overload: a caller
 * that returns while most others are still refused is refused as well, and one
 * that waits long after the overload misses its latency target.
 *
 * Each instance counts only its own answers and refusals: its part of the
 * service's capacity and of its overload.
 */
import {SlidingSum} from '../base/sliding_sum.js';
import type {Millis} from '../base/clock.js';
import type {RoomForecast} from './return_times.js';

/** Time over which answers and refusals are counted. */
const COUNTING_WINDOW: Millis = 2_000;

/** Fraction of freed room for returning callers; new requests take the rest. */
const RETURN_SHARE = 0.5;

/** Answers and refusals of one service at one instance. */
export class ServiceRoom {
  private readonly answered = new SlidingSum(COUNTING_WINDOW);
  private readonly refused = new SlidingSum(COUNTING_WINDOW);

  /** Records that an upstream has answered a request. */
  recordAnswer(now: Millis): void {
    this.answered.add(1, now);
  }

  /** Records that a request was refused for lack of room. */
  recordRefusal(now: Millis): void {
    this.refused.add(1, now);
  }

  /** Whether nothing has been recorded within the window. */
  isIdle(now: Millis): boolean {
    return this.answered.total(now) + this.refused.total(now) === 0;
  }

  /**
   * Returns when there will be room. The wait grows with the fraction that is
   * refused: with few refusals, a caller that returns at once is likely served.
   * @param usualWait wait if all are refused.
   */
  forecast(usualWait: Millis, now: Millis): RoomForecast {
    const answered = this.answered.total(now);
    const refused = this.refused.total(now);
    if (answered === 0) {
      return {wait: usualWait, interval: usualWait / Math.max(1, refused)};
    }
    const interval = COUNTING_WINDOW / answered / RETURN_SHARE;
    const refusedFraction = refused / (answered + refused);
    return {
      wait: Math.min(usualWait, interval + usualWait * refusedFraction),
      interval: Math.min(usualWait, interval),
    };
  }
}
