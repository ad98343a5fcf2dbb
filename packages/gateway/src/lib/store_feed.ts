/** Follows one prefix of the store: lists it, then watches it. */
import {sleep} from '@citrontrestle/runtime';
import {StoreOutcome} from './ports.js';
import type {Store, StoreEvent, StoreItem} from './ports.js';
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** What a feed tells its owner. */
export interface FeedOwner {
  /** All items as of a revision: what is missing is gone. */
  listed(items: StoreItem[], revision: number): void;
  /** One change. */
  changed(event: StoreEvent): void;
}

/** How closely a feed follows the store. */
export enum FeedMode {
  /** The instance follows the store for itself. */
  Own = 'own',
  /** Others rely on what it sees: silence is found sooner. */
  Relay = 'relay',
  /** Another instance passes the news on, and does not reach the store now. */
  Spare = 'spare',
  /** Another instance passes the news on. */
  Off = 'off',
}

/** Longest wait of one watch; a silent connection is found after it. */
const WATCH_WAITS: Readonly<Record<FeedMode, Millis>> = {
  [FeedMode.Own]: 2_200,
  [FeedMode.Relay]: 600,
  [FeedMode.Spare]: 2_200,
  [FeedMode.Off]: 0,
};

/** Pause after news, so that what changes together is read together. */
const GATHER_PAUSE: Millis = 60;

/** Interval in which a feed that is off looks whether it is needed. */
const OFF_INTERVAL: Millis = 50;

/** Pauses after failed calls: the first, which doubles, and the longest. */
const PAUSES: Readonly<Record<FeedMode, {first: Millis; most: Millis}>> = {
  [FeedMode.Own]: {first: 100, most: 800},
  [FeedMode.Relay]: {first: 100, most: 800},
  // The relay hears of the store's return and tells.
  [FeedMode.Spare]: {first: 1_000, most: 4_000},
  [FeedMode.Off]: {first: 0, most: 0},
};

/** Most times that a pause is doubled. */
const MOST_DOUBLINGS = 10;

/** Follows one prefix as long as the process runs. */
export class StoreFeed {
  private failures = 0;
  private answeredAt: Millis;
  private restoredAt: Millis = -Infinity;

  constructor(
    private readonly prefix: string,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: FeedOwner,
    private readonly mode: () => FeedMode,
  ) {
    this.answeredAt = clock.now();
  }

  /** Begins. */
  start(): void {
    void this.follow();
  }

  /** Time since the store answered last. */
  silence(): Millis {
    return this.clock.now() - this.answeredAt;
  }

  /** Time since the store answered again after an outage. */
  sinceRestored(): Millis {
    return this.clock.now() - this.restoredAt;
  }

  private async follow(): Promise<void> {
    for (;;) {
      if (this.mode() === FeedMode.Off) {
        await sleep(OFF_INTERVAL);
        continue;
      }
      const revision = await this.list();
      if (revision !== undefined) {
        await this.watch(revision);
      }
    }
  }

  private async list(): Promise<number | undefined> {
    const reading = await this.store.range(this.prefix);
    if (reading.outcome !== StoreOutcome.Done) {
      await this.failed(reading.reason);
      return undefined;
    }
    this.answered();
    this.owner.listed(reading.entries, reading.revision);
    return reading.revision;
  }

  /** Watches from a revision until the history is gone or the feed is off. */
  private async watch(from: number): Promise<void> {
    let after = from;
    for (;;) {
      const mode = this.mode();
      if (mode === FeedMode.Off) {
        return;
      }
      // After a failure the store is only asked whether it is back.
      const wait = this.failures > 0 ? 0 : WATCH_WAITS[mode];
      const reading = await this.store.watch(this.prefix, after, wait);
      if (reading.outcome === StoreOutcome.Compacted) {
        this.log.info('store.compacted', {prefix: this.prefix, after});
        return;
      }
      if (reading.outcome !== StoreOutcome.Done) {
        await this.failed(reading.reason);
        continue;
      }
      this.answered();
      for (const event of reading.entries) {
        this.owner.changed(event);
      }
      after = Math.max(after, reading.revision);
      if (reading.entries.length > 0) {
        await sleep(GATHER_PAUSE);
      }
    }
  }

  private answered(): void {
    if (this.failures > 0) {
      const silence = Math.round(this.silence());
      this.log.info('store.regained', {prefix: this.prefix, silence});
      this.restoredAt = this.clock.now();
    }
    this.failures = 0;
    this.answeredAt = this.clock.now();
  }

  private async failed(reason: string): Promise<void> {
    this.failures += 1;
    if (this.failures === 1) {
      this.log.warn('store.lost', {prefix: this.prefix, reason});
    }
    const {first, most} = PAUSES[this.mode()];
    const span = first * 2 ** Math.min(MOST_DOUBLINGS, this.failures - 1);
    await sleep(Math.min(most, span));
  }
}
