/**
 * Follows the outages of the store as one instance sees them, and tells until
 * when a removed upstream may only have lost its entry in one: it could not
 * renew it. That time is counted from when the store was last known to be
 * away, not from when the removal is read, so a late reading does not add to it.
 */
import type {Millis} from '../base/clock.js';

/**
 * Shortest outage in which the entry of a running upstream lapses. A shorter one
 * misses too few of its heartbeats.
 */
export const SHORTEST_LAPSE: Millis = 2_000;

/** The outages of the store, as one instance sees them. */
export class StoreOutages {
  /** When the store was last known to be away. */
  private awayAt: Millis = -Infinity;
  /** When the last outage that is long enough was last seen. */
  private lapseAt: Millis = -Infinity;

  constructor(
    /** Time after the store was last away for which upstreams are kept. */
    private readonly grace: Millis,
    /** When the store last answered, or might have. */
    private servedAt: Millis,
  ) {}

  /**
   * Records that the store is followed from now on.
   * @param servedAt when it has last answered, as far as is known.
   */
  recordStart(servedAt: Millis): void {
    this.servedAt = Math.max(this.servedAt, servedAt);
  }

  /** Records that the store has answered. */
  recordServed(now: Millis): void {
    this.noteLapse(now);
    this.servedAt = now;
  }

  /** Records that the store did not serve a call that was sent at a time. */
  recordUnserved(sentAt: Millis, now: Millis): void {
    this.awayAt = Math.max(this.awayAt, sentAt);
    this.noteLapse(now);
  }

  /** Records that the store has gone back to a copy since it last answered. */
  recordWentBack(): void {
    this.lapseAt = Math.max(this.lapseAt, this.servedAt);
  }

  /** Until when a removal may be a lapsed entry; in the past if it is none. */
  graceEnd(): Millis {
    return this.lapseAt + this.grace;
  }

  private noteLapse(now: Millis): void {
    const isAway = this.awayAt >= this.servedAt;
    if (isAway && now - this.servedAt >= SHORTEST_LAPSE) {
      this.lapseAt = this.awayAt;
    }
  }
}
