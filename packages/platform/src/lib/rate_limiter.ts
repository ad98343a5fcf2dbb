import type {Clock, Millis} from '@citrontrestle/decisions';

/** Token bucket that limits calls per second and allows a short burst. */
export class RateLimiter {
  /** Calls that may be made now; includes fractions. */
  private availableCalls: number;
  private refilledAt: Millis;

  constructor(
    private readonly callsPerSecond: number,
    private readonly burst: number,
    private readonly clock: Clock,
  ) {
    this.availableCalls = burst;
    this.refilledAt = clock.now();
  }

  /** Counts one call against the limit; returns false if none is available. */
  tryAcquire(): boolean {
    const now = this.clock.now();
    const refill = ((now - this.refilledAt) * this.callsPerSecond) / 1_000;
    this.availableCalls = Math.min(
      this.burst,
      this.availableCalls + Math.max(0, refill),
    );
    this.refilledAt = now;
    if (this.availableCalls < 1) {
      return false;
    }
    this.availableCalls -= 1;
    return true;
  }
}
