/**
 * Groups the versions of streams into segments, each one key of the store. One
 * segment is open and is written again with each group of new streams, so that
 * a write stays small; a ring of segments holds all streams that still run.
 */
import type {Millis} from '../base/clock.js';

/** Time for which new streams go to the same segment. */
const SEGMENT_TIME: Millis = 10_000;

/** Number of segments; together they outlast the longest stream. */
export const SEGMENT_COUNT = 8;

/** Number of streams from which the next segment is opened. */
const MAX_SEGMENT_STREAMS = 10_000;

/** A segment as it stands in the store. */
export interface StoredSegment {
  /** From 0 to below `SEGMENT_COUNT`. */
  number: number;
  /** Revision of its key. */
  revision: number;
}

/** A segment to be written. */
export interface SegmentWrite extends StoredSegment {
  /** Version by stream. */
  streams: ReadonlyMap<string, string>;
}

/** The segments that one instance writes. */
export class StreamSegments {
  /** Revisions of the keys by number; those that do not exist are missing. */
  private revisions = new Map<number, number>();
  private current = 0;
  private openedAt: Millis = -Infinity;
  /** Streams of the open segment. */
  private streams = new Map<string, string>();
  private hasUnwritten = false;

  /**
   * Opens the segment after the one that was written last, by this or another
   * instance; it takes over the streams of the open segment.
   */
  position(stored: readonly StoredSegment[], now: Millis): void {
    this.revisions = new Map(
      stored.map(({number, revision}) => [number, revision]),
    );
    const newest = stored.reduce(
      (best, segment) => (segment.revision > best.revision ? segment : best),
      {number: -1, revision: 0},
    );
    this.open(newest.number + 1, now);
  }

  /** Forgets the streams, as none has been recorded for a time. */
  clear(): void {
    this.streams = new Map();
    this.hasUnwritten = false;
  }

  /** Adds a stream to the open segment. */
  add(stream: string, version: string): void {
    if (!this.streams.has(stream)) {
      this.streams.set(stream, version);
      this.hasUnwritten = true;
    }
  }

  /** Whether a stream is not known to be stored. */
  isWriteDue(): boolean {
    return this.hasUnwritten;
  }

  /** Returns the write of the open segment. */
  nextWrite(): SegmentWrite {
    this.hasUnwritten = false;
    return {
      number: this.current,
      revision: this.revisions.get(this.current) ?? 0,
      streams: new Map(this.streams),
    };
  }

  /** Records that the last write was executed. */
  confirm({number}: SegmentWrite, revision: number, now: Millis): void {
    this.revisions.set(number, revision);
    const isFull = this.streams.size >= MAX_SEGMENT_STREAMS;
    if ((isFull || now - this.openedAt >= SEGMENT_TIME) && !this.hasUnwritten) {
      this.streams = new Map();
      this.open(number + 1, now);
    }
  }

  /** Records that the last write may not have been executed. */
  reject(): void {
    this.hasUnwritten = true;
  }

  private open(number: number, now: Millis): void {
    this.current = number % SEGMENT_COUNT;
    this.openedAt = now;
  }
}
