/**
 * Shares the verdicts on what crashes upstreams between all instances, through
 * one key of the store: an instance that starts, or was cut off, reads them
 * there. Heartbeats carry the newest revision, so that nobody polls the store.
 */
import * as z from 'zod';
import {decodeJson} from '../process/json_codec.js';
import {StoreOutcome} from '../process/ports.js';
import type {DecodeResult, Store, StoreItem} from '../process/ports.js';
import type {
  Clock,
  CrashVerdicts,
  Millis,
  Verdict,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Key of the store that holds the verdicts. */
const VERDICTS_KEY = 'citrontrestle/verdicts';

/** Interval at which unread and unsaved verdicts are tried again. */
const RETRY_INTERVAL: Millis = 500;

/**
 * Interval at which known verdicts are read again, as an operator may have
 * lifted them.
 */
const REREAD_INTERVAL: Millis = 30_000;

/**
 * Maximum time for which an instance leaves it to others to save what all of
 * them have learned. Each waits for a different time, so that few write at once.
 */
const MAX_SAVE_DELAY: Millis = 3_000;

const VERDICTS_SCHEMA = z.array(
  z.object({
    traits: z.array(z.string()).nonempty(),
    trials: z.number().int().nonnegative(),
  }),
);

/** Keeps the verdicts of this instance and those in the store the same. */
export class SharedVerdicts {
  /** Revision of the verdicts that were last read or written. */
  private revision = 0;
  /** Newest revision that a peer has named. */
  private namedRevision = 0;
  /** The verdicts as last read or written, encoded. */
  private sharedValue = encode([]);
  private needsRead = true;
  private lastReadAt: Millis = -Infinity;
  private callInProgress = false;
  private readonly saveDelay = Math.random() * MAX_SAVE_DELAY;
  /** Since when the verdicts differ from those in the store. */
  private unsavedSince: Millis | undefined;
  /** History of the store that was last read. */
  private era = 0;

  constructor(
    private readonly verdicts: CrashVerdicts,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Reads the verdicts, and keeps them up to date from then on. */
  start(): void {
    void this.synchronize(false);
    setInterval(() => void this.synchronize(false), RETRY_INTERVAL);
  }

  /** Returns the newest known revision, for heartbeats. */
  knownRevision(): number {
    return this.revision;
  }

  /** Learns the revision that a peer knows; reads the verdicts if it is newer. */
  learnRevision(revision: number): void {
    if (revision > Math.max(this.revision, this.namedRevision)) {
      this.namedRevision = revision;
      this.needsRead = true;
      void this.synchronize(false);
    }
  }

  /** Saves the verdicts at once, as this instance has just convicted. */
  async save(): Promise<void> {
    await this.synchronize(true);
  }

  /**
   * Records a trial of a convicted request in the store. Returns whether this
   * instance may send it: nobody else may at the same time.
   */
  async claimTrial(verdict: Verdict): Promise<boolean> {
    const now = this.clock.now();
    const isReady =
      !this.callInProgress && !this.needsRead && this.era === this.store.era();
    if (!isReady || !this.verdicts.isTrialDue(verdict, now)) {
      return false;
    }
    this.verdicts.recordTrial(verdict, now);
    return this.write();
  }

  /** Reads or writes the verdicts if that is needed. */
  private async synchronize(isUrgent: boolean): Promise<void> {
    if (this.callInProgress) {
      return;
    }
    if (this.needsRead || this.isRereadDue()) {
      await this.read();
    }
    const isUnsaved = encode(this.verdicts.list()) !== this.sharedValue;
    const now = this.clock.now();
    this.unsavedSince = isUnsaved ? (this.unsavedSince ?? now) : undefined;
    const isDue =
      isUrgent || now - (this.unsavedSince ?? now) >= this.saveDelay;
    if (isUnsaved && isDue && !this.needsRead) {
      await this.write();
    }
  }

  private isRereadDue(): boolean {
    const isOld = this.clock.now() - this.lastReadAt >= REREAD_INTERVAL;
    const hasVerdicts = this.verdicts.list().length > 0;
    return this.era !== this.store.era() || (isOld && hasVerdicts);
  }

  private async read(): Promise<void> {
    this.callInProgress = true;
    this.lastReadAt = this.clock.now();
    const result = await this.store.read(VERDICTS_KEY);
    this.callInProgress = false;
    if (result.outcome !== StoreOutcome.Done) {
      this.needsRead = true;
      this.log.warn('verdicts.unread', {reason: result.reason});
      return;
    }
    this.needsRead = false;
    const {era} = result;
    const hasLostChanges =
      era !== this.era || (result.item?.revision ?? 0) < this.revision;
    if (hasLostChanges) {
      this.verdicts.forgetShared();
      this.namedRevision = 0;
    }
    this.era = era;
    this.adopt(result.item);
  }

  /** Writes the verdicts; returns whether the store has taken them. */
  private async write(): Promise<boolean> {
    const verdicts = this.verdicts.list();
    const value = encode(verdicts);
    this.callInProgress = true;
    const result = await this.store.write(
      VERDICTS_KEY,
      this.revision,
      Buffer.from(value),
    );
    this.callInProgress = false;
    switch (result.outcome) {
      case StoreOutcome.Done:
        this.revision = result.revision;
        this.sharedValue = value;
        this.verdicts.adopt(verdicts, this.clock.now());
        this.log.info('verdicts.written', {verdicts: value});
        return true;
      case StoreOutcome.Conflict:
        this.needsRead = true;
        return false;
      default:
        // A write without an answer may still take effect.
        this.needsRead = true;
        this.log.warn('verdicts.unwritten', {reason: result.reason});
        return false;
    }
  }

  private adopt(item: StoreItem | undefined): void {
    this.revision = item?.revision ?? 0;
    const {revision} = this;
    const decoded = decode(item);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.error('verdicts.unreadable', {revision, reason});
      return;
    }
    this.sharedValue = encode(decoded.value);
    this.verdicts.adopt(decoded.value, this.clock.now());
    this.log.info('verdicts.read', {revision, verdicts: this.sharedValue});
  }
}

/** Encodes verdicts as JSON, equal ones alike. */
function encode(verdicts: readonly Verdict[]): string {
  const rows = verdicts.map(({traits, trials}) => ({
    traits: [...traits].sort(),
    trials,
  }));
  const byTraits = (a: Verdict, b: Verdict) =>
    a.traits.join(' ') < b.traits.join(' ') ? -1 : 1;
  return JSON.stringify(rows.sort(byTraits));
}

/** Decodes verdicts, none if there is no item. */
function decode(item: StoreItem | undefined): DecodeResult<Verdict[]> {
  if (item === undefined) {
    return {ok: true, value: []};
  }
  return decodeJson(item.value, VERDICTS_SCHEMA);
}
