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
export interface StateOwner {
  /** A newer configuration is in force. */
  configured(): void;
  /** An upstream is gone without having said that it leaves. */
  gone(upstream: string): void;
  /** News of upstreams that were not known yet. */
  learned(news: UpstreamUpdate[], after: number, lapsed: boolean): void;
  /** How closely the store is to be followed. */
  feedMode(): FeedMode;
}

/** The store counts as away after this silence. */
const AWAY_SILENCE: Millis = 3_200;

/** A removal this soon after an outage may be a lapsed heartbeat. */
const LAPSE_WINDOW: Millis = 3_000;

/** Keeps the route table and the list of upstreams up to date. */
export class StateTask {
  private readonly configurationFeed: StoreFeed;
  private readonly upstreamFeed: StoreFeed;
  private value: Buffer | undefined;

  constructor(
    private readonly table: RouteTable,
    private readonly upstreams: UpstreamRegistry,
    private readonly dialect: Dialect,
    store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: StateOwner,
  ) {
    const {layout} = dialect;
    this.configurationFeed = new StoreFeed(
      layout.configurationPrefix,
      store,
      clock,
      log,
      {
        listed: items => items.forEach(item => this.takeOperator(item)),
        changed: event => this.takeOperator(event),
      },
      () => this.owner.feedMode(),
    );
    this.upstreamFeed = new StoreFeed(
      layout.upstreamPrefix,
      store,
      clock,
      log,
      {
        listed: (items, revision) => this.takeList(items, revision),
        changed: event => this.takeNews([this.newsOf(event)], 'store', false),
      },
      () => this.owner.feedMode(),
    );
  }

  /** Begins. */
  start(): void {
    this.configurationFeed.start();
    this.upstreamFeed.start();
  }

  /** The configuration in force as it stands in the store. */
  configurationValue(): Buffer | undefined {
    return this.value;
  }

  /** Takes a configuration from the store or from a peer. */
  takeConfiguration(value: Buffer, source: string): void {
    const decoded = this.dialect.decodeConfiguration(value);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.error('configuration.unreadable', {source, reason});
      return;
    }
    const {version} = decoded.value;
    if (this.table.apply(decoded.value)) {
      this.value = value;
      this.log.info('configuration.in-force', {version, source});
      this.owner.configured();
    }
  }

  /** Time since the store answered a feed. */
  storeSilence(): Millis {
    return Math.max(
      this.configurationFeed.silence(),
      this.upstreamFeed.silence(),
    );
  }

  /** Whether a removal seen now may be a lapsed heartbeat. */
  lapsed(): boolean {
    const restored = this.upstreamFeed.sinceRestored() < LAPSE_WINDOW;
    return restored || this.upstreamFeed.silence() > AWAY_SILENCE;
  }

  /**
   * Takes news of upstreams from the store or from a peer.
   * @param lapsed whether the source had no store shortly before.
   */
  takeNews(news: UpstreamUpdate[], source: string, lapsed: boolean): void {
    const now = this.clock.now();
    const off = this.owner.feedMode() === FeedMode.Off;
    const doubtful = lapsed || (!off && this.lapsed());
    const after = this.upstreams.revision();
    const fresh: UpstreamUpdate[] = [];
    for (const one of news) {
      const usable = this.upstreams.isUsable(one.id, now);
      const outcome = this.upstreams.applyUpdate(one, now, doubtful);
      if (outcome !== UpstreamUpdateOutcome.Stale) {
        fresh.push(one);
        const {id, revision, listing} = one;
        const service = listing?.service;
        this.log.info('upstream.news', {
          upstream: id,
          outcome,
          revision,
          source,
          service,
          lapsed: doubtful,
        });
        if (usable && listing === undefined) {
          this.owner.gone(id);
        }
      }
    }
    if (fresh.length > 0) {
      this.owner.learned(fresh, after, doubtful);
    }
  }

  private takeOperator(item: StoreEvent): void {
    const {configurationKey} = this.dialect.layout;
    if (item.key === configurationKey && item.value !== undefined) {
      this.takeConfiguration(item.value, 'store');
    }
  }

  private takeList(items: StoreItem[], revision: number): void {
    const news = items.map(item => this.newsOf(item));
    this.takeNews(
      this.upstreams.updatesFromList(news, revision),
      'list',
      false,
    );
  }

  private newsOf(event: StoreEvent): UpstreamUpdate {
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
