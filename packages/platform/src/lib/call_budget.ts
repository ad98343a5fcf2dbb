import type {Clock, Millis} from '@citrontrestle/decisions';

/** A token bucket: bounds calls a second, with room for a short burst. */
export class CallBudget {
  private level: number;
  private filledAt: Millis;

  constructor(
    private readonly perSecond: number,
    private readonly burst: number,
    private readonly clock: Clock,
  ) {
    this.level = burst;
    this.filledAt = clock.now();
  }

  /** Takes one call out of the budget, if there is one. */
  take(): boolean {
    const now = this.clock.now();
    const earned = ((now - this.filledAt) * this.perSecond) / 1_000;
    this.level = Math.min(this.burst, this.level + Math.max(0, earned));
    this.filledAt = now;
    if (this.level < 1) {
      return false;
    }
    this.level -= 1;
    return true;
  }
}
