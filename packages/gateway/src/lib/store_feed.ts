/** Follows one prefix of the store: lists it, then watches it. */
import {sleep} from '@citrontrestle/runtime';
import {StoreOutcome} from './ports.js';
import type {Store, StoreEvent, StoreItem} from './ports.js';
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** What a feed tells its owner. */
export interface StoreFeedHandler {
  /** All items as of a revision: what is missing is gone. */
  onList(items: StoreItem[], revision: number): void;
  /** One change. */
  onChange(event: StoreEvent): void;
}

/** How closely a feed follows the store. */
export enum FeedMode {
  /** The instance follows the store for itself. */
  Standalone = 'own',
  /** Others rely on what it sees: silence is found sooner. */
  Relay = 'relay',
  /** Another instance passes the news on, and does not reach the store now. */
  Fallback = 'spare',
  /** Another instance passes the news on. */
  Off = 'off',
}

/** Longest wait of one watch; a silent connection is found after it. */
const WATCH_TIMEOUTS: Readonly<Record<FeedMode, Millis>> = {
  [FeedMode.Standalone]: 2_200,
  [FeedMode.Relay]: 600,
  [FeedMode.Fallback]: 2_200,
  [FeedMode.Off]: 0,
};

/** Pause after news, so that what changes together is read together. */
const BATCH_DELAY: Millis = 60;

/** Interval in which a feed that is off looks whether it is needed. */
const OFF_POLL_INTERVAL: Millis = 50;

/** Pauses after failed calls: the first, which doubles, and the longest. */
const RETRY_DELAYS: Readonly<Record<FeedMode, {initial: Millis; max: Millis}>> =
  {
    [FeedMode.Standalone]: {initial: 100, max: 800},
    [FeedMode.Relay]: {initial: 100, max: 800},
    // The relay hears of the store's return and tells.
    [FeedMode.Fallback]: {initial: 1_000, max: 4_000},
    [FeedMode.Off]: {initial: 0, max: 0},
  };

/** Most times that a pause is doubled. */
const MAX_DOUBLINGS = 10;

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
    private readonly handler: StoreFeedHandler,
    private readonly currentMode: () => FeedMode,
  ) {
    this.answeredAt = clock.now();
  }

  /** Begins. */
  start(): void {
    void this.run();
  }

  /** Time since the store answered last. */
  timeSinceAnswer(): Millis {
    return this.clock.now() - this.answeredAt;
  }

  /** Time since the store answered again after an outage. */
  timeSinceRestored(): Millis {
    return this.clock.now() - this.restoredAt;
  }

  private async run(): Promise<void> {
    for (;;) {
      if (this.currentMode() === FeedMode.Off) {
        await sleep(OFF_POLL_INTERVAL);
        continue;
      }
      const revision = await this.list();
      if (revision !== undefined) {
        await this.watch(revision);
      }
    }
  }

  private async list(): Promise<number | undefined> {
    const result = await this.store.range(this.prefix);
    if (result.outcome !== StoreOutcome.Done) {
      await this.handleFailure(result.reason);
      return undefined;
    }
    this.recordAnswer();
    this.handler.onList(result.entries, result.revision);
    return result.revision;
  }

  /** Watches from a revision until the history is gone or the feed is off. */
  private async watch(fromRevision: number): Promise<void> {
    let afterRevision = fromRevision;
    for (;;) {
      const mode = this.currentMode();
      if (mode === FeedMode.Off) {
        return;
      }
      // After a failure the store is only asked whether it is back.
      const timeout = this.failures > 0 ? 0 : WATCH_TIMEOUTS[mode];
      const result = await this.store.watch(
        this.prefix,
        afterRevision,
        timeout,
      );
      if (result.outcome === StoreOutcome.Compacted) {
        this.log.info('store.compacted', {
          prefix: this.prefix,
          after: afterRevision,
        });
        return;
      }
      if (result.outcome !== StoreOutcome.Done) {
        await this.handleFailure(result.reason);
        continue;
      }
      this.recordAnswer();
      for (const event of result.entries) {
        this.handler.onChange(event);
      }
      afterRevision = Math.max(afterRevision, result.revision);
      if (result.entries.length > 0) {
        await sleep(BATCH_DELAY);
      }
    }
  }

  private recordAnswer(): void {
    if (this.failures > 0) {
      const silence = Math.round(this.timeSinceAnswer());
      this.log.info('store.regained', {prefix: this.prefix, silence});
      this.restoredAt = this.clock.now();
    }
    this.failures = 0;
    this.answeredAt = this.clock.now();
  }

  private async handleFailure(reason: string): Promise<void> {
    this.failures += 1;
    if (this.failures === 1) {
      this.log.warn('store.lost', {prefix: this.prefix, reason});
    }
    const {initial, max} = RETRY_DELAYS[this.currentMode()];
    const delay = initial * 2 ** Math.min(MAX_DOUBLINGS, this.failures - 1);
    await sleep(Math.min(max, delay));
  }
}
