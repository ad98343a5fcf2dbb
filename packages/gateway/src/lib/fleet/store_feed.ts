/** Follows the keys with one prefix in the store: lists, then watches them. */
import {StoreOutages} from '@citrontrestle/decisions';
import {sleep} from '@citrontrestle/runtime';
import {guardStep} from '../process/exception_guard.js';
import {StoreOutcome} from '../process/ports.js';
import type {
  Store,
  StoreEntriesResult,
  StoreEvent,
  StoreItem,
} from '../process/ports.js';
import type {
  Clock,
  FeedTiming,
  Millis,
  StorePosition,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Callbacks of a `StoreFeed`. */
export interface StoreFeedHandler {
  /** Called with all items as of a position; others no longer exist. */
  onList(items: StoreItem[], position: StorePosition): void;
  /** Called for each change after the last list, in the era of that list. */
  onChange(event: StoreEvent, era: number): void;
  /** Called when the store answers again after failed calls. */
  onRegained(): void;
}

/** All items with the prefix, as of a position of the store. */
interface StoreList extends StorePosition {
  entries: StoreItem[];
}

/** How a feed follows the store. */
export enum FeedMode {
  /** The instance follows the store itself; nobody passes updates on to it. */
  Standalone = 'own',
  /** Followers rely on this instance, so an outage must be detected sooner. */
  Relay = 'relay',
  /** The relay has not reached the store lately, so this instance tries too. */
  Fallback = 'spare',
  /** A relay passes updates on; the store is not called. */
  Off = 'off',
}

/** Delay after changes, so that changes soon after them are read together. */
const BATCH_DELAY: Millis = 60;

/**
 * Longest time for which a feed leaves it to another one to find out whether the
 * store is back.
 */
const MAX_PROBED_WAIT: Millis = 4_000;

/** Time after which a feed that is off looks at its mode without being told. */
const MAX_OFF_WAIT: Millis = 1_000;

/**
 * Log events by the outcome of a watch that can't go on after its revision, so
 * that the keys have to be listed again. Only a list is read in pages, so large
 * values may make all changes together too large to be read.
 */
const UNWATCHABLE_EVENTS: Readonly<Partial<Record<StoreOutcome, string>>> = {
  [StoreOutcome.Compacted]: 'store.compacted',
  [StoreOutcome.TooLarge]: 'store.changes-too-large',
};

/** Maximum number of times that a delay is doubled. */
const MAX_DOUBLINGS = 10;

/**
 * Follows the keys with one prefix as long as the process runs. Failed calls
 * are repeated. If the store has compacted the history or gone back to a copy, or
 * if the changes are too large to be read, the keys are listed again.
 */
export class StoreFeed {
  /** Number of failed calls since the store last answered. */
  private failures = 0;
  /** When the store last answered; at first the time of construction. */
  private answeredAt: Millis;
  private readonly outages: StoreOutages;
  /** Era of the last list; undefined before the first one. */
  private era: number | undefined;
  /** Position up to which all changes are known; undefined if it is unknown. */
  private knownPosition: StorePosition | undefined;
  /** Ends the current wait; undefined while there is none. */
  private endWait: (() => void) | undefined;
  /** Called once, at the next failed call. */
  private onNextFailure: (() => void) | undefined;

  constructor(
    private readonly prefix: string,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly handler: StoreFeedHandler,
    private readonly timing: FeedTiming,
    private readonly currentMode: () => FeedMode,
    /**
     * Feed that finds out whether the store is back for this one too, so that
     * an outage costs half of the calls.
     */
    private readonly probe?: StoreFeed,
  ) {
    this.answeredAt = clock.now();
    this.outages = new StoreOutages(timing.lapseGrace, this.answeredAt);
  }

  /** Starts to follow the store, in the background. */
  start(): void {
    void this.run();
  }

  /** Time since the store last answered, or since construction. */
  timeSinceAnswer(): Millis {
    return this.clock.now() - this.answeredAt;
  }

  /**
   * Until when a removal may be an entry that lapsed in an outage of the store;
   * in the past if it is none.
   */
  lapseGraceEnd(): Millis {
    return this.outages.graceEnd();
  }

  /**
   * Ends a wait, as the mode may have changed or the store may be back: the feed
   * looks at once what it has to do.
   */
  wake(): void {
    this.endWait?.();
  }

  /** Whether the last call failed. */
  isFailing(): boolean {
    return this.failures > 0;
  }

  /**
   * Learns at once all changes until now, also while the feed is off. Resolves
   * to whether that was possible.
   */
  async catchUp(): Promise<boolean> {
    const position = this.knownPosition;
    if (position === undefined) {
      return (await this.readList()) !== undefined;
    }
    const {era, revision} = position;
    const result = await this.store.watch(this.prefix, revision, 0);
    if (result.outcome !== StoreOutcome.Done || result.era !== era) {
      return (await this.readList()) !== undefined;
    }
    this.deliverChanges(result.entries, era);
    return true;
  }

  private async run(): Promise<void> {
    for (;;) {
      if (this.currentMode() === FeedMode.Off) {
        this.knownPosition = undefined;
        await this.wait(MAX_OFF_WAIT);
        // The relay has reached the store until its silence was noticed.
        const {maxRelayStoreSilence} = this.timing;
        this.outages.recordStart(this.clock.now() - maxRelayStoreSilence);
        continue;
      }
      const position = await this.list();
      if (position !== undefined) {
        await this.watch(position);
      }
    }
  }

  /** Lists the keys; returns the position of the list, undefined on failure. */
  private async list(): Promise<StorePosition | undefined> {
    const sentAt = this.clock.now();
    const result = await this.store.range(this.prefix);
    if (result.outcome !== StoreOutcome.Done) {
      await this.handleFailure(result.reason, sentAt);
      return undefined;
    }
    this.noteEra(result.era);
    this.recordAnswer();
    this.knownPosition = this.deliverList(result);
    return this.knownPosition;
  }

  /** Reads the list beside the feed; returns its position, if it was read. */
  private async readList(): Promise<StorePosition | undefined> {
    const result = await this.store.range(this.prefix);
    return result.outcome === StoreOutcome.Done
      ? this.deliverList(result)
      : undefined;
  }

  private deliverList({entries, era, revision}: StoreList): StorePosition {
    const position = {era, revision};
    this.guard(() => this.handler.onList(entries, position));
    return position;
  }

  /** Delivers changes; one that causes an exception does not hide the others. */
  private deliverChanges(events: readonly StoreEvent[], era: number): void {
    for (const event of events) {
      this.guard(() => this.handler.onChange(event, era), event.key);
    }
  }

  private guard(step: () => void, key?: string): void {
    const {prefix} = this;
    guardStep(step, this.log, 'store.value-threw', {prefix, key});
  }

  /**
   * Watches until the keys have to be listed again or the feed is turned off.
   */
  private async watch({era, revision}: StorePosition): Promise<void> {
    let afterRevision = revision;
    for (;;) {
      const mode = this.currentMode();
      if (mode === FeedMode.Off) {
        return;
      }
      // After a failure, only check whether the store is back.
      const maxWait = this.isFailing() ? 0 : this.maxWatchWait(mode);
      const sentAt = this.clock.now();
      const result = await this.watchUntilProbeFails(afterRevision, maxWait);
      const unwatchableEvent = UNWATCHABLE_EVENTS[result.outcome];
      if (unwatchableEvent !== undefined) {
        const {prefix} = this;
        this.log.info(unwatchableEvent, {prefix, after: afterRevision});
        await sleep(BATCH_DELAY);
        return;
      }
      if (result.outcome !== StoreOutcome.Done) {
        await this.handleFailure(result.reason, sentAt);
        continue;
      }
      this.noteEra(result.era);
      this.recordAnswer();
      if (result.era !== era) {
        this.log.info('store.went-back', {prefix: this.prefix, era});
        return;
      }
      this.deliverChanges(result.entries, era);
      afterRevision = Math.max(afterRevision, result.revision);
      this.knownPosition = {era, revision: afterRevision};
      if (result.entries.length > 0) {
        await sleep(BATCH_DELAY);
      }
    }
  }

  /**
   * Watches. Gives up as soon as the probe loses the store, so that a feed with
   * a probe may wait for long and still ask again in time.
   */
  private watchUntilProbeFails(
    afterRevision: number,
    maxWait: Millis,
  ): Promise<StoreEntriesResult<StoreEvent>> {
    const {probe} = this;
    return new Promise((resolve, reject) => {
      if (probe !== undefined) {
        const outcome = StoreOutcome.Unknown;
        const reason = 'the other feed has lost the store';
        probe.onNextFailure = () => resolve({outcome, reason});
      }
      this.store
        .watch(this.prefix, afterRevision, maxWait)
        .then(resolve, reject);
    });
  }

  /** Records the era of an answer; the store may have gone back to a copy. */
  private noteEra(era: number): void {
    if (this.era !== undefined && era > this.era) {
      this.outages.recordWentBack();
    }
    this.era = era;
  }

  /** Records an answer, and the end of an outage if calls had failed. */
  private recordAnswer(): void {
    const wasFailing = this.isFailing();
    const silence = Math.round(this.timeSinceAnswer());
    this.failures = 0;
    this.answeredAt = this.clock.now();
    this.outages.recordServed(this.answeredAt);
    if (wasFailing) {
      this.log.info('store.regained', {prefix: this.prefix, silence});
      this.handler.onRegained();
    }
  }

  /** Records a failed call and waits before the next one. */
  private async handleFailure(reason: string, sentAt: Millis): Promise<void> {
    this.failures += 1;
    this.outages.recordUnserved(sentAt, this.clock.now());
    this.onNextFailure?.();
    this.onNextFailure = undefined;
    if (this.failures === 1) {
      this.log.warn('store.lost', {prefix: this.prefix, reason});
    }
    await this.wait(this.retryDelay());
    if (this.currentMode() === FeedMode.Fallback && this.probe?.isFailing()) {
      await this.wait(MAX_PROBED_WAIT);
    }
  }

  private maxWatchWait(mode: FeedMode): Millis {
    const {relayWatch, ownWatch, probedWatch} = this.timing;
    if (mode === FeedMode.Relay) {
      return relayWatch;
    }
    return this.probe === undefined ? ownWatch : probedWatch;
  }

  /**
   * Returns the delay after the last failed call. It is longer for a follower,
   * because its relay also notices that the store is back.
   */
  private retryDelay(): Millis {
    const {minFallbackDelay, maxFallbackDelay} = this.timing;
    const {minOwnDelay, maxOwnDelay} = this.timing;
    const isFallback = this.currentMode() === FeedMode.Fallback;
    const [initial, max] = isFallback
      ? [minFallbackDelay, maxFallbackDelay]
      : [minOwnDelay, maxOwnDelay];
    const doublings = Math.min(MAX_DOUBLINGS, this.failures - 1);
    return Math.min(max, initial * 2 ** doublings);
  }

  /** Waits until `wake` is called, for a time at most. */
  private wait(duration: Millis): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(() => this.endWait?.(), duration);
      this.endWait = () => {
        clearTimeout(timer);
        this.endWait = undefined;
        resolve();
      };
    });
  }
}
