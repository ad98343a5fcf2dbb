/**
 * Measures by how much the event loop of this process is behind: it reads
 * requests, and the ends of connections, that much later than they arrived.
 */
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Interval at which the delay is measured. */
const CHECK_INTERVAL: Millis = 250;

/** Delay from which on it is logged. */
const LOGGED_DELAY: Millis = 250;

/**
 * Delay from which on the process counts as having stood still: in that time
 * another one may have ended and started again.
 */
const MIN_STANDSTILL: Millis = 1_000;

/** Time after a standstill in which what came during it has been read. */
const STANDSTILL_MEMORY: Millis = 1_000;

/** The delay of one process. Checks cost the same whatever the load. */
export class LoopDelay {
  private expectedAt: Millis = Infinity;
  private maxDelay: Millis = 0;
  private stoodStillUntil: Millis = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Begins to measure. */
  start(): void {
    this.expectedAt = this.clock.now() + CHECK_INTERVAL;
    setInterval(() => this.check(), CHECK_INTERVAL).unref();
  }

  /** Returns the highest delay since the last call. */
  takeMax(): Millis {
    const {maxDelay} = this;
    this.maxDelay = 0;
    return maxDelay;
  }

  /**
   * Whether the process stood still just before, so that what is read now may be
   * old, and the state of others a later one.
   */
  hasStoodStill(): boolean {
    return this.clock.now() - this.stoodStillUntil <= STANDSTILL_MEMORY;
  }

  /** Records by how much a check that was due is late. */
  check(): void {
    const now = this.clock.now();
    const delay = Math.max(0, now - this.expectedAt);
    this.expectedAt = now + CHECK_INTERVAL;
    this.maxDelay = Math.max(this.maxDelay, delay);
    if (delay >= MIN_STANDSTILL) {
      this.stoodStillUntil = now;
    }
    if (delay >= LOGGED_DELAY) {
      this.log.warn('instance.late', {delayMs: Math.round(delay)});
    }
  }
}
