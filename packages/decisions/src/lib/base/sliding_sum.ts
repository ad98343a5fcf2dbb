/** Sums of values over a sliding window of time. */
import type {Millis} from './clock.js';

/** Number of parts into which a window is divided. */
const BUCKETS_PER_WINDOW = 10;

/** Sum of the values of one part of the window. */
interface Bucket {
  startedAt: Millis;
  sum: number;
}

/** A sum over a sliding window; it keeps a fixed number of buckets. */
export class SlidingSum {
  private readonly buckets: Bucket[] = [];

  /** @param window time after which a value no longer counts. */
  constructor(private readonly window: Millis) {}

  /** Adds a value. */
  add(value: number, now: Millis): void {
    this.removeExpired(now);
    const last = this.buckets.at(-1);
    if (
      last !== undefined &&
      now - last.startedAt < this.window / BUCKETS_PER_WINDOW
    ) {
      last.sum += value;
    } else {
      this.buckets.push({startedAt: now, sum: value});
    }
  }

  /** Returns the sum of the values that were added within the window. */
  total(now: Millis): number {
    this.removeExpired(now);
    return this.buckets.reduce((total, {sum}) => total + sum, 0);
  }

  private removeExpired(now: Millis): void {
    const {buckets} = this;
    while (
      buckets[0] !== undefined &&
      now - buckets[0].startedAt >= this.window
    ) {
      buckets.shift();
    }
  }
}
