/**
 * How much of its link a machine uses. Load pattern: the callers of one large
 * account are all sent to one small instance, and each request waits behind
 * the others for the link; other instances of the zone are idle.
 */
import type {Millis} from './clock.js';

/** Span over which traffic is averaged. */
const WINDOW: Millis = 1_000;

/** Part of the window after which counts are closed. */
const BUCKET: Millis = 100;

/** Use above which callers are asked to connect to other instances. */
const BUSY_PART = 0.5;

/** Use below which a busy machine is at ease again. */
const EASE_PART = 0.3;

/** Use above which requests are refused: they are served sooner elsewhere. */
const SATURATED_PART = 0.85;

/**
 * Time for which a machine counts as busy after it last was: callers that come
 * back at once would fill the link again.
 */
const BUSY_AFTER: Millis = 10_000;

/** Bits in a byte. */
const BITS = 8;

/** Bits a millisecond in one Mbit/s. */
const BITS_PER_MS = 1_000;

/** Bytes of one bucket, by direction. */
interface Bucket {
  begunAt: Millis;
  received: number;
  sent: number;
}

/** The use of one machine's link, as far as its requests go. */
export class LinkLoad {
  private buckets: Bucket[] = [];
  private busyAt: Millis | undefined;

  /** @param mbps bandwidth of the link in each direction, in Mbit/s. */
  constructor(private readonly mbps: number) {}

  /** Counts bytes on the link. */
  count(received: number, sent: number, now: Millis): void {
    let bucket = this.buckets.at(-1);
    if (bucket === undefined || now - bucket.begunAt >= BUCKET) {
      bucket = {begunAt: now, received: 0, sent: 0};
      this.buckets.push(bucket);
    }
    bucket.received += received;
    bucket.sent += sent;
  }

  /** Part of the link in use, in the direction that carries more. */
  use(now: Millis): number {
    this.buckets = this.buckets.filter(one => now - one.begunAt < WINDOW);
    const received = this.buckets.reduce((sum, one) => sum + one.received, 0);
    const sent = this.buckets.reduce((sum, one) => sum + one.sent, 0);
    const bits = Math.max(received, sent) * BITS;
    return bits / (this.mbps * BITS_PER_MS * WINDOW);
  }

  /** Whether callers should connect to other instances. */
  busy(now: Millis): boolean {
    const use = this.use(now);
    if (use > BUSY_PART) {
      this.busyAt = now;
    } else if (use < EASE_PART && this.busyAt !== undefined) {
      const over = now - this.busyAt >= BUSY_AFTER;
      this.busyAt = over ? undefined : this.busyAt;
    }
    return this.busyAt !== undefined;
  }

  /** Whether a request that comes now would wait long for the link. */
  saturated(now: Millis): boolean {
    return this.use(now) > SATURATED_PART;
  }
}
