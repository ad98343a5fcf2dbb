/**
 * Utilisation of a machine's network link. It matters when all callers of one
 * large account are sent to one small instance: each request then waits for the
 * link behind the others, while other instances of the zone are idle.
 */
import {SlidingSum} from '../base/sliding_sum.js';
import type {Millis} from '../base/clock.js';

/** Time over which traffic is averaged. */
const AVERAGING_WINDOW: Millis = 1_000;

/** Utilisation above which callers are asked to connect to other instances. */
export const BUSY_UTILISATION = 0.5;

/**
 * Utilisation above which large bodies wait, so that other requests have room,
 * and above which packets may wait behind others.
 */
const CROWDED_UTILISATION = 0.4;

/**
 * Utilisation below which a busy machine stops being busy, after
 * `BUSY_HOLD_TIME`.
 */
const BUSY_END_UTILISATION = 0.3;

/**
 * Utilisation above which requests are refused, because other instances serve
 * them sooner.
 */
export const SATURATED_UTILISATION = 0.85;

/**
 * Minimum time for which a machine stays busy after its utilisation was above
 * `BUSY_UTILISATION`: callers that returned at once would fill the link again.
 */
const BUSY_HOLD_TIME: Millis = 10_000;

/**
 * The same if the utilisation was above `SATURATED_UTILISATION`. The load balancer
 * sends callers back as soon as the machine is ready, and they alone would
 * saturate its link again.
 */
const SATURATED_HOLD_TIME: Millis = 30_000;

/** Time within which a connection is established while the link has room. */
const CONNECT_TIME: Millis = 300;

/** The same while the link is crowded. */
const CROWDED_CONNECT_TIME: Millis = 600;

const BITS_PER_BYTE = 8;

/** Bits per millisecond at 1 Mbit/s. */
const BITS_PER_MS_PER_MBPS = 1_000;

/**
 * Utilisation of one machine's link by requests; other traffic is not counted.
 */
export class LinkLoad {
  private readonly received = new SlidingSum(AVERAGING_WINDOW);
  private readonly sent = new SlidingSum(AVERAGING_WINDOW);
  /** Bytes that wait for a connection on which they are sent. */
  private waiting = 0;
  private lastBusyAt: Millis | undefined;
  /** Highest utilisation since the machine became busy; 0 if it is not. */
  private busyPeak = 0;

  /** @param mbps bandwidth of the link in each direction, in Mbit/s. */
  constructor(private readonly mbps: number) {}

  /** Records bytes transferred over the link. */
  recordBytes(received: number, sent: number, now: Millis): void {
    this.received.add(received, now);
    this.sent.add(sent, now);
  }

  /**
   * Records bytes that wait to be sent, or with a negative number, that no longer
   * do. They count as sent, as they take that much of the link soon.
   */
  recordWaiting(bytes: number): void {
    this.waiting += bytes;
  }

  /** Whether large bodies are to leave room on the link for other requests. */
  isCrowded(now: Millis): boolean {
    return this.utilisation(now) > CROWDED_UTILISATION;
  }

  /** Returns the time within which a new connection is established. */
  connectTimeout(now: Millis): Millis {
    return this.isCrowded(now) ? CROWDED_CONNECT_TIME : CONNECT_TIME;
  }

  /** Returns the used fraction of the link in its busier direction. */
  utilisation(now: Millis): number {
    const sent = this.sent.total(now) + this.waiting;
    const bytes = Math.max(this.received.total(now), sent);
    return this.utilisationOf(bytes);
  }

  /** Returns the time for which a number of bytes occupies the link. */
  transferTime(bytes: number): Millis {
    return (bytes * BITS_PER_BYTE) / (this.mbps * BITS_PER_MS_PER_MBPS);
  }

  /**
   * Returns by how much a number of bytes, sent or received now, raises the
   * utilisation.
   */
  utilisationOf(bytes: number): number {
    return this.transferTime(bytes) / AVERAGING_WINDOW;
  }

  /**
   * Returns the time until the utilisation is at most `target`, assuming that
   * the traffic in the window was even and that none is added.
   */
  timeUntil(target: number, now: Millis): Millis {
    const utilisation = this.utilisation(now);
    return utilisation <= target
      ? 0
      : AVERAGING_WINDOW * (1 - target / utilisation);
  }

  /**
   * Updates the busy state and returns it: true if callers should connect to
   * other instances. The state changes only on these calls.
   */
  isBusy(now: Millis): boolean {
    const utilisation = this.utilisation(now);
    if (utilisation > BUSY_UTILISATION) {
      this.lastBusyAt = now;
      this.busyPeak = Math.max(this.busyPeak, utilisation);
    } else if (
      utilisation < BUSY_END_UTILISATION &&
      this.lastBusyAt !== undefined
    ) {
      const holdTime =
        this.busyPeak > SATURATED_UTILISATION
          ? SATURATED_HOLD_TIME
          : BUSY_HOLD_TIME;
      const holdExpired = now - this.lastBusyAt >= holdTime;
      this.lastBusyAt = holdExpired ? undefined : this.lastBusyAt;
    }
    if (this.lastBusyAt === undefined) {
      this.busyPeak = 0;
    }
    return this.lastBusyAt !== undefined;
  }

  /**
   * Returns what other instances are told: the highest utilisation since the
   * machine became busy, else the current one.
   */
  reportedUtilisation(now: Millis): number {
    return this.isBusy(now) ? this.busyPeak : this.utilisation(now);
  }

  /** Whether a request that arrives now would wait long for the link. */
  isSaturated(now: Millis): boolean {
    return this.utilisation(now) > SATURATED_UTILISATION;
  }
}
