/**
 * Remembers which software version began each stream. Versions of an upstream's
 * software do not write the same, so a stream may go on only where it began.
 */
import type {Millis} from '../base/clock.js';

/** Time for which a stream is remembered; it is over long before. */
const STREAM_LIFETIME: Millis = 60_000;

/** Maximum number of remembered streams; the oldest are dropped first. */
const MAX_STREAMS = 50_000;

/** The version that began a stream. */
interface Origin {
  version: string;
  begunAt: Millis;
}

/** The streams that one instance knows to have begun. */
export class StreamOrigins {
  /** By the key of the stream, the oldest first. */
  private readonly origins = new Map<string, Origin>();

  /** Records the beginning of a stream; only the first one counts. */
  record(stream: string, version: string, now: Millis): void {
    this.dropOld(now);
    if (!this.origins.has(stream)) {
      this.origins.set(stream, {version, begunAt: now});
    }
  }

  /** Returns the version that began a stream; undefined if it is unknown. */
  find(stream: string, now: Millis): string | undefined {
    const origin = this.origins.get(stream);
    const isKnown =
      origin !== undefined && now - origin.begunAt <= STREAM_LIFETIME;
    return isKnown ? origin.version : undefined;
  }

  /** Returns the streams that began at a time or later, and their versions. */
  begunSince(time: Millis): Map<string, string> {
    const begun = new Map<string, string>();
    for (const [stream, {version, begunAt}] of this.origins) {
      if (begunAt >= time) {
        begun.set(stream, version);
      }
    }
    return begun;
  }

  private dropOld(now: Millis): void {
    for (const [stream, {begunAt}] of this.origins) {
      const isOld = now - begunAt > STREAM_LIFETIME;
      if (!isOld && this.origins.size < MAX_STREAMS) {
        return;
      }
      this.origins.delete(stream);
    }
  }
}
