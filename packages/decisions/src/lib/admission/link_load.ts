/**
 * Utilisation of a machine's network link. It matters when all callers of one
 * large account are sent to one small instance: each request then waits for the
 * link behind the others, while other instances of the zone are idle.
 */
import type {Millis} from '../base/clock.js';

/** Time over which traffic is averaged. */
const AVERAGING_WINDOW: Millis = 1_000;

/** Time covered by one bucket of the average. */
const BUCKET_LENGTH: Millis = 100;

/** Utilisation above which callers are asked to connect to other instances. */
const BUSY_UTILISATION = 0.5;

/** Utilisation above which large bodies wait, so that other requests have room. */
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
const SATURATED_UTILISATION = 0.85;

/**
 * Minimum time for which a machine stays busy after its utilisation was above
 * `BUSY_UTILISATION`: callers that returned at once would fill the link again.
 */
const BUSY_HOLD_TIME: Millis = 10_000;

const BITS_PER_BYTE = 8;

/** Bits per millisecond at 1 Mbit/s. */
const BITS_PER_MS_PER_MBPS = 1_000;

/** Bytes transferred during one bucket. */
interface Bucket {
  startedAt: Millis;
  received: number;
  sent: number;
}

/**
 * Utilisation of one machine's link by requests; other traffic is not counted.
 */
export class LinkLoad {
  private buckets: Bucket[] = [];
  private lastBusyAt: Millis | undefined;

  /** @param mbps bandwidth of the link in each direction, in Mbit/s. */
  constructor(private readonly mbps: number) {}

  /** Records bytes transferred over the link. */
  recordBytes(received: number, sent: number, now: Millis): void {
    let bucket = this.buckets.at(-1);
    if (bucket === undefined || now - bucket.startedAt >= BUCKET_LENGTH) {
      bucket = {startedAt: now, received: 0, sent: 0};
      this.buckets.push(bucket);
    }
    bucket.received += received;
    bucket.sent += sent;
  }

  /** Whether large bodies are to leave room on the link for other requests. */
  isCrowded(now: Millis): boolean {
    return this.utilisation(now) > CROWDED_UTILISATION;
  }

  /** Returns the used fraction of the link in its busier direction. */
  utilisation(now: Millis): number {
    this.buckets = this.buckets.filter(
      bucket => now - bucket.startedAt < AVERAGING_WINDOW,
    );
    const received = this.buckets.reduce(
      (sum, bucket) => sum + bucket.received,
      0,
    );
    const sent = this.buckets.reduce((sum, bucket) => sum + bucket.sent, 0);
    const bits = Math.max(received, sent) * BITS_PER_BYTE;
    return bits / (this.mbps * BITS_PER_MS_PER_MBPS * AVERAGING_WINDOW);
  }

  /**
   * Updates the busy state and returns it: true if callers should connect to
   * other instances. The state changes only on these calls.
   */
  isBusy(now: Millis): boolean {
    const utilisation = this.utilisation(now);
    if (utilisation > BUSY_UTILISATION) {
      this.lastBusyAt = now;
    } else if (
      utilisation < BUSY_END_UTILISATION &&
      this.lastBusyAt !== undefined
    ) {
      const holdExpired = now - this.lastBusyAt >= BUSY_HOLD_TIME;
      this.lastBusyAt = holdExpired ? undefined : this.lastBusyAt;
    }
    return this.lastBusyAt !== undefined;
  }

  /** Whether a request that arrives now would wait long for the link. */
  isSaturated(now: Millis): boolean {
    return this.utilisation(now) > SATURATED_UTILISATION;
  }
}
