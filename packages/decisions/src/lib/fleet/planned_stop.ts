/**
 * Which requests an instance takes during a planned stop, so that none has to be
 * cut off at its end.
 */
import type {Millis} from '../base/clock.js';

/**
 * Time before the end of the grace period at which requests no longer run. It is
 * left for the last responses and for what the process gives back.
 */
const STOP_MARGIN: Millis = 300;

/**
 * Time until the load balancer sends no more connections, after the readiness
 * check has begun to fail.
 */
const BALANCER_DRAIN_TIME: Millis = 2_600;

/**
 * Fraction of the time to the deadline in which all requests are taken, so that
 * those of usual length still end.
 */
const MAX_OPEN_FRACTION = 1 / 3;

/** The times of one planned stop. */
export class PlannedStop {
  private readonly openTime: Millis;
  private readonly runTime: Millis;
  private isClosed = false;

  /** @param gracePeriod time after which the process is killed. */
  constructor(
    private readonly startedAt: Millis,
    gracePeriod: Millis,
  ) {
    this.runTime = Math.max(0, gracePeriod - STOP_MARGIN);
    this.openTime = Math.min(
      BALANCER_DRAIN_TIME,
      this.runTime * MAX_OPEN_FRACTION,
    );
  }

  /** When the last requests have to end. */
  deadline(): Millis {
    return this.startedAt + this.runTime;
  }

  /** When the process may exit if no request is running. */
  earliestExit(): Millis {
    return Math.min(this.startedAt + BALANCER_DRAIN_TIME, this.deadline());
  }

  /** Takes no request from now on. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Whether a new request is taken: at first any, as the load balancer still
   * sends callers here; later those that end in time for certain.
   * @param requestDeadline when the request has its final response at the latest.
   */
  admits(requestDeadline: Millis, now: Millis): boolean {
    const isOpen = now < this.startedAt + this.openTime;
    return !this.isClosed && (isOpen || requestDeadline <= this.deadline());
  }
}
