/**
 * The upstreams that may get work, from the list in the platform's store and
 * from direct evidence. News are ordered by the store's revision.
 */
import type {Millis} from './clock.js';

/** What the list says of one upstream. */
export interface UpstreamListing {
  id: string;
  service: string;
  /** Address as `ip:port`. */
  address: string;
  zone: string;
  /** Requests that it runs at once. */
  slots: number;
  leaving: boolean;
  /** Start of this incarnation in milliseconds of Unix time; 0 if unknown. */
  startedAt: number;
  /** How much longer it stays slow after its start. */
  cold: Millis;
}

/** News of one upstream; without a listing it is gone. */
export interface UpstreamNews {
  id: string;
  revision: number;
  listing: UpstreamListing | undefined;
}

/** What became of some news. */
export enum NewsOutcome {
  /** Older than what is known. */
  Stale = 'stale',
  Added = 'added',
  Changed = 'changed',
  /** Gone or leaving; it gets no more work. */
  Withdrawn = 'withdrawn',
}

/** Entries of upstreams that are gone are remembered this long. */
const TOMBSTONE_MEMORY: Millis = 120_000;

/** After an outage of the store lapsed entries have this long to come back. */
const RETURN_GRACE: Millis = 1_600;

interface Known {
  revision: number;
  listing: UpstreamListing | undefined;
  /** When an entry that lapsed around an outage counts as gone. */
  goneAt: Millis | undefined;
  learnedAt: Millis;
}

/** The list of upstreams as one instance knows it. */
export class UpstreamRegistry {
  private readonly known = new Map<string, Known>();
  private newest = 0;

  /** Newest revision of the store that is contained. */
  revision(): number {
    return this.newest;
  }

  /**
   * Takes news from the store or from a peer.
   * @param lapsed whether the store was away shortly before, so that a removal
   *     may be a lapsed heartbeat of an upstream that lives.
   */
  learn(news: UpstreamNews, now: Millis, lapsed: boolean): NewsOutcome {
    this.newest = Math.max(this.newest, news.revision);
    const before = this.known.get(news.id);
    if (before !== undefined && before.revision >= news.revision) {
      return NewsOutcome.Stale;
    }
    const {revision, listing} = news;
    const held = listing === undefined && lapsed ? before?.listing : undefined;
    this.known.set(news.id, {
      revision,
      listing: listing ?? held,
      goneAt: held === undefined ? undefined : now + RETURN_GRACE,
      learnedAt: now,
    });
    if (listing === undefined || listing.leaving) {
      return held === undefined ? NewsOutcome.Withdrawn : NewsOutcome.Changed;
    }
    const fresh = before?.listing === undefined || before.listing.leaving;
    return fresh ? NewsOutcome.Added : NewsOutcome.Changed;
  }

  /**
   * Takes a whole list as of a revision: what is missing is gone.
   * Returns the news that it contained.
   */
  relist(listings: UpstreamNews[], revision: number): UpstreamNews[] {
    const present = new Set(listings.map(one => one.id));
    const news = [...listings];
    for (const [id, one] of this.known) {
      const live = one.listing !== undefined;
      if (live && !present.has(id) && one.revision <= revision) {
        news.push({id, revision, listing: undefined});
      }
    }
    this.newest = Math.max(this.newest, revision);
    return news;
  }

  /**
   * The address of an upstream answered as another incarnation: it gets no
   * more work unless newer news says otherwise.
   */
  replaced(id: string): void {
    const one = this.known.get(id);
    if (one !== undefined) {
      one.listing = undefined;
      one.goneAt = undefined;
    }
  }

  /** Upstreams of a service that may get new work. */
  usable(service: string, now: Millis): UpstreamListing[] {
    const listings: UpstreamListing[] = [];
    for (const one of this.known.values()) {
      const {listing} = one;
      if (listing !== undefined && this.serves(one, service, now)) {
        listings.push(listing);
      }
    }
    return listings;
  }

  /** Whether an upstream may get new work. */
  isUsable(id: string, now: Millis): boolean {
    const one = this.known.get(id);
    return one?.listing !== undefined && this.serves(one, undefined, now);
  }

  /** Whether an upstream is on the list, also if it is leaving. */
  isListed(id: string): boolean {
    return this.known.get(id)?.listing !== undefined;
  }

  /** All that is known, also of upstreams that are gone; for peers. */
  news(): UpstreamNews[] {
    return [...this.known].map(([id, one]) => ({
      id,
      revision: one.revision,
      listing: one.goneAt === undefined ? one.listing : undefined,
    }));
  }

  /** Forgets upstreams that are gone for long. */
  prune(now: Millis): void {
    for (const [id, one] of this.known) {
      if (one.goneAt !== undefined && now >= one.goneAt) {
        one.listing = undefined;
        one.goneAt = undefined;
      }
      const old = now - one.learnedAt > TOMBSTONE_MEMORY;
      if (one.listing === undefined && old) {
        this.known.delete(id);
      }
    }
  }

  private serves(
    one: Known,
    service: string | undefined,
    now: Millis,
  ): boolean {
    const {listing, goneAt} = one;
    if (listing === undefined || listing.leaving) {
      return false;
    }
    if (goneAt !== undefined && now >= goneAt) {
      return false;
    }
    return service === undefined || listing.service === service;
  }
}
