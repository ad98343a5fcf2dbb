/** Follows configuration and upstreams: from the store, and from the peers. */
import {UpstreamUpdateOutcome} from '@citrontrestle/decisions';
import {FeedMode, StoreFeed} from './store_feed.js';
import type {Dialect, Store, StoreEvent, StoreItem} from './ports.js';
import type {
  Clock,
  Millis,
  RouteTable,
  UpstreamUpdate,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** What the task tells its owner. */
export interface StateSyncHandler {
  /** A newer configuration is in force. */
  onConfigurationChanged(): void;
  /** An upstream is gone without having said that it leaves. */
  onUpstreamLost(upstream: string): void;
  /** News of upstreams that were not known yet. */
  onUpstreamUpdates(
    updates: UpstreamUpdate[],
    revisionBefore: number,
    afterOutage: boolean,
  ): void;
  /** How closely the store is to be followed. */
  feedMode(): FeedMode;
}

/** The store counts as away after this silence. */
const STORE_OUTAGE_SILENCE: Millis = 3_200;

/** A removal this soon after an outage may be a lapsed heartbeat. */
const OUTAGE_RECOVERY_WINDOW: Millis = 3_000;

/** Keeps the route table and the list of upstreams up to date. */
export class StateSync {
  private readonly configurationFeed: StoreFeed;
  private readonly upstreamFeed: StoreFeed;
  private currentValue: Buffer | undefined;

  constructor(
    private readonly table: RouteTable,
    private readonly upstreams: UpstreamRegistry,
    private readonly dialect: Dialect,
    store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly handler: StateSyncHandler,
  ) {
    const {layout} = dialect;
    this.configurationFeed = new StoreFeed(
      layout.configurationPrefix,
      store,
      clock,
      log,
      {
        onList: items =>
          items.forEach(item => this.handleConfigurationEvent(item)),
        onChange: event => this.handleConfigurationEvent(event),
      },
      () => this.handler.feedMode(),
    );
    this.upstreamFeed = new StoreFeed(
      layout.upstreamPrefix,
      store,
      clock,
      log,
      {
        onList: (items, revision) => this.applyUpstreamList(items, revision),
        onChange: event =>
          this.applyUpdates([this.decodeUpdate(event)], 'store', false),
      },
      () => this.handler.feedMode(),
    );
  }

  /** Begins. */
  start(): void {
    this.configurationFeed.start();
    this.upstreamFeed.start();
  }

  /** The configuration in force as it stands in the store. */
  configurationValue(): Buffer | undefined {
    return this.currentValue;
  }

  /** Takes a configuration from the store or from a peer. */
  applyConfiguration(value: Buffer, source: string): void {
    const decoded = this.dialect.decodeConfiguration(value);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.error('configuration.unreadable', {source, reason});
      return;
    }
    const {version} = decoded.value;
    if (this.table.apply(decoded.value)) {
      this.currentValue = value;
      this.log.info('configuration.in-force', {version, source});
      this.handler.onConfigurationChanged();
    }
  }

  /** Time since the store answered a feed. */
  storeSilence(): Millis {
    return Math.max(
      this.configurationFeed.timeSinceAnswer(),
      this.upstreamFeed.timeSinceAnswer(),
    );
  }

  /** Whether a removal seen now may be a lapsed heartbeat. */
  hadRecentOutage(): boolean {
    const wasJustRestored =
      this.upstreamFeed.timeSinceRestored() < OUTAGE_RECOVERY_WINDOW;
    return (
      wasJustRestored ||
      this.upstreamFeed.timeSinceAnswer() > STORE_OUTAGE_SILENCE
    );
  }

  /**
   * Takes news of upstreams from the store or from a peer.
   * @param sourceHadOutage whether the source had no store shortly before.
   */
  applyUpdates(
    updates: UpstreamUpdate[],
    source: string,
    sourceHadOutage: boolean,
  ): void {
    const now = this.clock.now();
    const isFeedOff = this.handler.feedMode() === FeedMode.Off;
    const afterOutage =
      sourceHadOutage || (!isFeedOff && this.hadRecentOutage());
    const revisionBefore = this.upstreams.revision();
    const applied: UpstreamUpdate[] = [];
    for (const update of updates) {
      const wasUsable = this.upstreams.isUsable(update.id, now);
      const outcome = this.upstreams.applyUpdate(update, now, afterOutage);
      if (outcome !== UpstreamUpdateOutcome.Stale) {
        applied.push(update);
        const {id, revision, listing} = update;
        const service = listing?.service;
        this.log.info('upstream.news', {
          upstream: id,
          outcome,
          revision,
          source,
          service,
          lapsed: afterOutage,
        });
        if (wasUsable && listing === undefined) {
          this.handler.onUpstreamLost(id);
        }
      }
    }
    if (applied.length > 0) {
      this.handler.onUpstreamUpdates(applied, revisionBefore, afterOutage);
    }
  }

  private handleConfigurationEvent(event: StoreEvent): void {
    const {configurationKey} = this.dialect.layout;
    if (event.key === configurationKey && event.value !== undefined) {
      this.applyConfiguration(event.value, 'store');
    }
  }

  private applyUpstreamList(items: StoreItem[], revision: number): void {
    const listed = items.map(item => this.decodeUpdate(item));
    this.applyUpdates(
      this.upstreams.updatesFromList(listed, revision),
      'list',
      false,
    );
  }

  private decodeUpdate(event: StoreEvent): UpstreamUpdate {
    const {key, value, revision} = event;
    const id = key.slice(this.dialect.layout.upstreamPrefix.length);
    if (value === undefined) {
      return {id, revision, listing: undefined};
    }
    const decoded = this.dialect.decodeUpstream(key, value);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.warn('upstream.unreadable', {upstream: id, revision, reason});
      return {id, revision, listing: undefined};
    }
    return {id, revision, listing: decoded.value};
  }
}
