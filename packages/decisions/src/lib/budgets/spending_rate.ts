/** Moving averages of how many tokens are reserved in a time. */
import type {Millis} from '../base/clock.js';

/** Weight of the latest sample in the moving average. */
const RECENT_WEIGHT = 0.25;

/** Weight of the latest sample in the long-term average. */
const LONG_TERM_WEIGHT = 0.05;

/** The rate at which tokens of one account are reserved. */
export class SpendingRate {
  private recentRate = 0;
  private longTermRate = 0;
  /** Number of samples since the first reservation. */
  private sampleCount = 0;
  private tokensSinceSample = 0;

  /** Moving average, in tokens per millisecond. */
  recent(): number {
    return this.recentRate;
  }

  /** Moving average over a longer time, in tokens per millisecond. */
  longTerm(): number {
    return this.longTermRate;
  }

  /** Records tokens that were reserved. */
  record(tokens: number): void {
    this.tokensSinceSample += tokens;
  }

  /** Takes a sample of the time since the last one. */
  sample(elapsed: Millis): void {
    const rate = this.tokensSinceSample / elapsed;
    this.tokensSinceSample = 0;
    if (this.sampleCount > 0 || rate > 0) {
      this.sampleCount += 1;
    }
    // The first samples have equal weights, so that the averages start at the
    // measured rate instead of rising slowly from 0.
    const equalWeight = 1 / Math.max(1, this.sampleCount);
    const recentWeight = Math.max(RECENT_WEIGHT, equalWeight);
    this.recentRate += recentWeight * (rate - this.recentRate);
    const longTermWeight = Math.max(LONG_TERM_WEIGHT, equalWeight);
    this.longTermRate += longTermWeight * (rate - this.longTermRate);
  }
}
