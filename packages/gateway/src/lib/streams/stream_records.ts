/**
 * Keeps in the store what must be known of streams after all instances have
 * ended: which versions each service has and lately had, and, while there are
 * several, which of them began each stream. Some instances write, see
 * `isRecorder`; the others read when a caller takes up a stream that nobody
 * knows.
 */
import {
  isNewer,
  SEGMENT_COUNT,
  StreamSegments,
  UNKNOWN_POSITION,
} from '@citrontrestle/decisions';
import {StoreOutcome} from '../process/ports.js';
import {
  decodeSegment,
  decodeVersionRecord,
  encodeSegment,
  encodeVersionRecord,
} from './stream_record_codec.js';
import type {Store, StoreItem} from '../process/ports.js';
import type {
  Clock,
  Millis,
  StoredSegment,
  StreamOrigins,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Prefix of all keys about streams. */
const KEY_PREFIX = 'citrontrestle/streams/';

/** Key of the versions of all services. */
const VERSIONS_KEY = `${KEY_PREFIX}versions`;

/** Prefix of the keys of segments, which end in the zone and a number. */
const SEGMENT_PREFIX = `${KEY_PREFIX}begun/`;

/** Interval at which a recorder looks whether the versions have changed. */
const CHECK_INTERVAL: Millis = 500;

/** Minimum time between the starts of two writes of streams. */
const WRITE_INTERVAL: Millis = 100;

/** Delay after a failed write. */
const RETRY_DELAY: Millis = 300;

/** Minimum time from a read to the next one on behalf of callers. */
const MIN_READ_INTERVAL: Millis = 1_000;

/** The same after a read that failed or came before the list of upstreams. */
const MIN_REREAD_INTERVAL: Millis = 200;

/** Longest lifetime of resumable streams, by service. */
type StreamLifetimes = ReadonlyMap<string, Millis>;

const NO_LIFETIMES: StreamLifetimes = new Map();

/** What `StreamRecords` need from other components. */
export interface StreamRecordsContext {
  /** Whether this instance records. */
  isRecorder(): boolean;
  /** Returns the longest lifetime of resumable streams, by service. */
  streamLifetimes(): StreamLifetimes;
  /** Called for each stream that is read from the store. */
  onStream(stream: string, version: string): void;
}

/** The record of streams in the store, as one instance reads and writes it. */
export class StreamRecords {
  private readonly segments = new StreamSegments();
  private readonly segmentPrefix: string;
  /** Whether the revisions of the keys are known, so that they can be written. */
  private isPositioned = false;
  /** Whether new streams are written: there are several versions. */
  private isRecordingStreams = false;
  private era = 0;
  /** The versions as they stand in the store, encoded. */
  private storedVersions = '';
  private versionsRevision = 0;
  private isChecking = false;
  private isWriting = false;
  private writeTimer: NodeJS.Timeout | undefined;
  private lastWriteAt: Millis = -Infinity;
  /** The versions that were last learned, encoded. */
  private learnedVersions = '';
  /** When keys may be read again on behalf of callers. */
  private nextReadAt: Millis = -Infinity;
  private readInProgress: Promise<boolean> | undefined;
  /** Whether the last read succeeded. */
  private hasRead = false;

  constructor(
    zone: string,
    private readonly origins: StreamOrigins,
    private readonly upstreamRegistry: UpstreamRegistry,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly context: StreamRecordsContext,
  ) {
    this.segmentPrefix = `${SEGMENT_PREFIX}${zone}/`;
  }

  /** Starts to record whenever this instance is to. */
  start(): void {
    setInterval(() => void this.check(), CHECK_INTERVAL);
  }

  /** Records a stream that began now, if this instance records streams. */
  add(stream: string, version: string): void {
    if (this.isRecordingStreams) {
      this.segments.add(stream, version);
      this.scheduleWrite(0);
    }
  }

  /**
   * Reads what other instances recorded, unless that was done just now. Resolves
   * to whether it is known.
   */
  async refresh(): Promise<boolean> {
    const isDue = this.clock.now() >= this.nextReadAt;
    const isNeeded = this.readInProgress !== undefined || isDue;
    return isNeeded ? this.read() : this.hasRead;
  }

  /**
   * Writes the versions if they have changed, and begins or ends to write
   * streams. Also called when the list of upstreams has changed.
   */
  async check(): Promise<void> {
    if (this.isChecking) {
      return;
    }
    this.isChecking = true;
    await this.checkOnce();
    this.isChecking = false;
  }

  private async checkOnce(): Promise<void> {
    const isAble = this.isListKnown() && this.context.isRecorder();
    const lifetimes = isAble ? this.context.streamLifetimes() : NO_LIFETIMES;
    if (lifetimes.size === 0) {
      this.isPositioned = false;
      this.isRecordingStreams = false;
      return;
    }
    if (this.era !== this.store.era()) {
      this.isPositioned = false;
    }
    if (!this.isPositioned && !(await this.read())) {
      return;
    }
    this.updateRecording(lifetimes);
    await this.writeVersions(lifetimes);
  }

  /** Whether the list of upstreams is known. */
  private isListKnown(): boolean {
    return isNewer(this.upstreamRegistry.position(), UNKNOWN_POSITION);
  }

  /** Begins or ends to write streams. */
  private updateRecording(lifetimes: StreamLifetimes): void {
    const now = this.clock.now();
    const versions = this.upstreamRegistry.versions(now);
    const mixedLifetimes = [...lifetimes]
      .filter(([service, lifetime]) => versions.isMixed(service, lifetime, now))
      .map(([, lifetime]) => lifetime);
    const isMixed = mixedLifetimes.length > 0;
    if (isMixed && !this.isRecordingStreams) {
      this.segments.clear();
      this.origins
        .begunSince(now - Math.max(...mixedLifetimes))
        .forEach((version, stream) => this.segments.add(stream, version));
      this.scheduleWrite(0);
    }
    if (isMixed !== this.isRecordingStreams) {
      this.log.info('streams.recording', {active: isMixed});
    }
    this.isRecordingStreams = isMixed;
  }

  /** Writes the versions of all services if they differ from the stored ones. */
  private async writeVersions(lifetimes: StreamLifetimes): Promise<void> {
    const now = this.clock.now();
    const versions = this.upstreamRegistry.versions(now);
    const value = encodeVersionRecord(
      versions.toRecord(lifetimes, this.era, now),
    );
    const text = value.toString();
    if (text === this.storedVersions) {
      return;
    }
    const result = await this.store.write(
      VERSIONS_KEY,
      this.versionsRevision,
      value,
    );
    if (result.outcome === StoreOutcome.Done) {
      this.storedVersions = text;
      this.learnedVersions = text;
      this.versionsRevision = result.revision;
      this.log.info('streams.versions-recorded', {value: text});
    } else {
      // Another instance may have written, or this write may still come about.
      this.isPositioned = false;
      this.log.info('streams.versions-unwritten', {outcome: result.outcome});
    }
  }

  private scheduleWrite(minDelay: Millis): void {
    const sinceLast = this.clock.now() - this.lastWriteAt;
    const delay = Math.max(minDelay, WRITE_INTERVAL - sinceLast);
    this.writeTimer ??= setTimeout(() => {
      this.writeTimer = undefined;
      void this.writeStreams();
    }, delay);
  }

  /** Writes the open segment if streams have been added. */
  private async writeStreams(): Promise<void> {
    if (this.isWriting || !this.isPositioned || !this.segments.isWriteDue()) {
      return;
    }
    this.isWriting = true;
    this.lastWriteAt = this.clock.now();
    const write = this.segments.nextWrite();
    const result = await this.store.write(
      `${this.segmentPrefix}${write.number}`,
      write.revision,
      encodeSegment(write.streams),
    );
    this.isWriting = false;
    if (result.outcome === StoreOutcome.Done) {
      this.segments.confirm(write, result.revision, this.clock.now());
    } else {
      this.log.info('streams.unwritten', {
        segment: write.number,
        streams: write.streams.size,
        outcome: result.outcome,
      });
      this.segments.reject();
      await this.read();
    }
    if (this.segments.isWriteDue()) {
      const hasFailed = result.outcome !== StoreOutcome.Done;
      this.scheduleWrite(hasFailed ? RETRY_DELAY : 0);
    }
  }

  /** Reads all keys; returns whether that was possible. */
  private read(): Promise<boolean> {
    this.readInProgress ??= this.readOnce().finally(() => {
      this.readInProgress = undefined;
    });
    return this.readInProgress;
  }

  private async readOnce(): Promise<boolean> {
    const startedAt = this.clock.now();
    const wasListKnown = this.isListKnown();
    const result = await this.store.range(KEY_PREFIX);
    const now = this.clock.now();
    this.nextReadAt = now + MIN_REREAD_INTERVAL;
    this.hasRead = result.outcome === StoreOutcome.Done;
    if (result.outcome !== StoreOutcome.Done) {
      this.log.warn('streams.unread', {reason: result.reason});
      return false;
    }
    if (wasListKnown) {
      this.nextReadAt = now + MIN_READ_INTERVAL;
    }
    this.era = result.era;
    this.storedVersions = '';
    this.versionsRevision = 0;
    const ownSegments: StoredSegment[] = [];
    let streams = 0;
    for (const item of result.entries) {
      if (item.key === VERSIONS_KEY) {
        this.learnVersions(item, startedAt);
      } else {
        streams += this.learnSegment(item);
        ownSegments.push(...this.ownSegment(item));
      }
    }
    if (!wasListKnown) {
      // The versions do not count as complete yet and have to be learned again.
      this.learnedVersions = '';
    }
    this.segments.position(ownSegments, now);
    this.isPositioned = wasListKnown;
    const took = Math.round(now - startedAt);
    this.log.info('streams.read', {streams, tookMs: took});
    return true;
  }

  private learnVersions({value, revision}: StoreItem, startedAt: Millis): void {
    this.versionsRevision = revision;
    const decoded = decodeVersionRecord(value);
    if (!decoded.ok) {
      this.log.warn('streams.unreadable', {reason: decoded.reason});
      return;
    }
    this.storedVersions = value.toString();
    if (this.storedVersions !== this.learnedVersions) {
      const {era} = this;
      const now = this.clock.now();
      this.upstreamRegistry
        .versions(now)
        .learn(decoded.value, {era, startedAt}, now);
      this.learnedVersions = this.storedVersions;
    }
  }

  /** Learns the streams of a segment; returns their number. */
  private learnSegment({key, value}: StoreItem): number {
    const decoded = decodeSegment(value);
    if (!decoded.ok) {
      this.log.warn('streams.unreadable', {key, reason: decoded.reason});
      return 0;
    }
    decoded.value.forEach((version, stream) =>
      this.context.onStream(stream, version),
    );
    return decoded.value.size;
  }

  /** Returns the segment of a key if this instance may write it. */
  private ownSegment({key, revision}: StoreItem): StoredSegment[] {
    const number = Number(key.slice(this.segmentPrefix.length));
    const isOwn =
      key.startsWith(this.segmentPrefix) &&
      Number.isInteger(number) &&
      number < SEGMENT_COUNT;
    return isOwn ? [{number, revision}] : [];
  }
}
