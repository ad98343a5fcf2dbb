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

  /**
   * Returns the sum of the values that were added within the window. Those of
   * the oldest bucket count in proportion to its part within the window.
   */
  total(now: Millis): number {
    this.removeExpired(now);
    const bucketLength = this.window / BUCKETS_PER_WINDOW;
    let total = 0;
    for (const {startedAt, sum} of this.buckets) {
      const expired = Math.max(0, now - startedAt - this.window);
      total += sum * (1 - expired / bucketLength);
    }
    return total;
  }

  private removeExpired(now: Millis): void {
    const {buckets, window} = this;
    const retention = window + window / BUCKETS_PER_WINDOW;
    while (buckets[0] !== undefined && now - buckets[0].startedAt > retention) {
      buckets.shift();
    }
  }
}
