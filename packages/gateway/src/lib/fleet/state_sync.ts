/**
 * Keeps the configuration and the list of upstreams in sync with the store and
 * with the peers.
 */
import {isUpstreamId, UpstreamUpdateOutcome} from '@citrontrestle/decisions';
import {FeedMode, StoreFeed} from './store_feed.js';
import {FreshResult} from './fresh_result.js';
import type {Dialect, Store, StoreEvent, StoreItem} from '../process/ports.js';
import type {
  Clock,
  FeedTiming,
  Millis,
  RouteTable,
  StorePosition,
  UpstreamUpdate,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Callbacks of a `StateSync`. */
export interface StateSyncHandler {
  /** Called after a newer configuration was put in force. */
  onConfigurationChanged(): void;
  /**
   * Called when a usable upstream was removed without leaving first, unless only
   * its heartbeats may have been lost in an outage of the store.
   */
  onUpstreamLost(upstream: string): void;
  /**
   * Called with the updates that were not known yet.
   * @param positionBefore position of the list before the updates.
   * @param lapseGrace time for which a removed upstream stays usable, as its
   *     entry may only have lapsed in an outage of the store; 0 if there was none.
   */
  onUpstreamUpdates(
    updates: UpstreamUpdate[],
    positionBefore: StorePosition,
    lapseGrace: Millis,
  ): void;
  /** Called with all keys of the operator, before the configuration in them. */
  onOperatorList(items: StoreItem[], position: StorePosition): void;
  /** Called with each changed key of the operator. */
  onOperatorChange(event: StoreEvent, era: number): void;
  /** Returns how the store is currently to be followed. */
  feedMode(): FeedMode;
}

/** Updates the route table and the upstreams from the store and from peers. */
export class StateSync {
  private readonly configurationFeed: StoreFeed;
  private readonly upstreamFeed: StoreFeed;
  private readonly upstreamConfirmation = new FreshResult(() =>
    this.upstreamFeed.catchUp(),
  );
  /** How the store was followed when that was last looked at. */
  private lastMode: FeedMode | undefined;
  /** The configuration in force, encoded as in the store. */
  private storedConfiguration: Buffer | undefined;

  constructor(
    private readonly routeTable: RouteTable,
    private readonly upstreamRegistry: UpstreamRegistry,
    private readonly dialect: Dialect,
    store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    timing: FeedTiming,
    private readonly handler: StateSyncHandler,
  ) {
    const {layout} = dialect;
    this.upstreamFeed = new StoreFeed(
      layout.upstreamPrefix,
      store,
      clock,
      log,
      {
        onList: (items, position) => this.applyUpstreamList(items, position),
        onChange: (event, era) =>
          this.applyUpdates([this.decodeUpdate(event, era)], 'store', 0),
        onRegained: () => this.configurationFeed.wake(),
      },
      timing,
      () => this.handler.feedMode(),
    );
    this.configurationFeed = new StoreFeed(
      layout.configurationPrefix,
      store,
      clock,
      log,
      {
        onList: (items, position) => {
          this.handler.onOperatorList(items, position);
          items.forEach(item => this.handleConfigurationEvent(item));
        },
        onChange: (event, era) => {
          this.handler.onOperatorChange(event, era);
          this.handleConfigurationEvent(event);
        },
        onRegained: () => undefined,
      },
      timing,
      () => this.handler.feedMode(),
      this.upstreamFeed,
    );
  }

  /** Starts to follow the store; it is followed as long as the process runs. */
  start(): void {
    this.configurationFeed.start();
    this.upstreamFeed.start();
  }

  /** Lets the feeds act at once if the store is now to be followed otherwise. */
  updateMode(): void {
    const mode = this.handler.feedMode();
    if (mode !== this.lastMode) {
      this.lastMode = mode;
      this.configurationFeed.wake();
      this.upstreamFeed.wake();
    }
  }

  /**
   * Returns the configuration in force, encoded as in the store; undefined if
   * there is none yet.
   */
  configurationValue(): Buffer | undefined {
    return this.storedConfiguration;
  }

  /**
   * Puts a configuration in force if it is newer than the current one. One that
   * can't be decoded is logged and ignored.
   * @param source `store` or the address of a peer; for the log.
   */
  applyConfiguration(value: Buffer, source: string): void {
    const decoded = this.dialect.decodeConfiguration(value);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.error('configuration.unreadable', {source, reason});
      return;
    }
    const {version} = decoded.value;
    if (this.routeTable.apply(decoded.value)) {
      this.storedConfiguration = value;
      this.log.info('configuration.in-force', {version, source});
      this.handler.onConfigurationChanged();
    }
  }

  /**
   * Learns all changes of the list of upstreams until now. Resolves to whether
   * that was possible.
   */
  confirmUpstreams(): Promise<boolean> {
    return this.upstreamConfirmation.get();
  }

  /** Time since the store last answered; the longer time of the two feeds. */
  storeSilence(): Millis {
    return Math.max(
      this.configurationFeed.timeSinceAnswer(),
      this.upstreamFeed.timeSinceAnswer(),
    );
  }

  /**
   * Time for which an upstream whose removal is seen now stays usable, as its
   * entry may have lapsed in an outage of the store; 0 if there was none.
   */
  lapseGrace(): Millis {
    return Math.max(0, this.upstreamFeed.lapseGraceEnd() - this.clock.now());
  }

  /**
   * Applies updates of upstreams from the store or from a peer, logs those that
   * are new and passes them to the handler. What no upstream can be is left out,
   * so that it spoils no request or message.
   * @param source `store` for a change, `list` for a whole list from the store,
   *     otherwise the address of a peer; for the log.
   * @param sourceGrace `lapseGrace` of the source.
   */
  applyUpdates(
    updates: UpstreamUpdate[],
    source: string,
    sourceGrace: Millis,
  ): void {
    const now = this.clock.now();
    const mode = this.handler.feedMode();
    const ownGrace = mode === FeedMode.Off ? 0 : this.lapseGrace();
    const lapseGrace = Math.max(sourceGrace, ownGrace);
    const positionBefore = this.upstreamRegistry.position();
    const applied: UpstreamUpdate[] = [];
    for (const update of updates.filter(({id}) => isUpstreamId(id))) {
      const wasUsable = this.upstreamRegistry.isUsable(update.id, now);
      const outcome = this.upstreamRegistry.applyUpdate(
        update,
        now,
        now + lapseGrace,
      );
      if (outcome !== UpstreamUpdateOutcome.Stale) {
        applied.push(update);
        const {id, era, revision, listing} = update;
        const service = listing?.service;
        this.log.info('upstream.news', {
          upstream: id,
          outcome,
          era,
          revision,
          source,
          service,
          lapsed: lapseGrace > 0,
          graceMs: Math.round(lapseGrace),
          mode,
          storeSilentMs: Math.round(this.upstreamFeed.timeSinceAnswer()),
        });
        if (wasUsable && listing === undefined && lapseGrace === 0) {
          this.handler.onUpstreamLost(id);
        }
      }
    }
    this.upstreamRegistry.markComplete();
    if (applied.length > 0) {
      this.handler.onUpstreamUpdates(applied, positionBefore, lapseGrace);
    }
  }

  /** Applies a changed configuration; its removal changes nothing. */
  private handleConfigurationEvent(event: StoreEvent): void {
    const {configurationKey} = this.dialect.layout;
    if (event.key === configurationKey && event.value !== undefined) {
      this.applyConfiguration(event.value, 'store');
    }
  }

  /** Applies the whole list: upstreams that it does not contain are removed. */
  private applyUpstreamList(items: StoreItem[], position: StorePosition): void {
    const listed = items.map(item => this.decodeUpdate(item, position.era));
    this.applyUpdates(
      this.upstreamRegistry.updatesFromList(listed, position),
      'list',
      0,
    );
  }

  /** Decodes a change; an entry that can't be decoded counts as removed. */
  private decodeUpdate(event: StoreEvent, era: number): UpstreamUpdate {
    const {key, value, revision} = event;
    const id = key.slice(this.dialect.layout.upstreamPrefix.length);
    if (value === undefined) {
      return {id, era, revision, listing: undefined};
    }
    const decoded = this.dialect.decodeUpstream(key, value);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.warn('upstream.unreadable', {upstream: id, revision, reason});
      return {id, era, revision, listing: undefined};
    }
    return {id, era, revision, listing: decoded.value};
  }
}
