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
export interface UpstreamUpdate {
  id: string;
  revision: number;
  listing: UpstreamListing | undefined;
}

/** What became of some news. */
export enum UpstreamUpdateOutcome {
  /** Older than what is known. */
  Stale = 'stale',
  Added = 'added',
  Changed = 'changed',
  /** Gone or leaving; it gets no more work. */
  Withdrawn = 'withdrawn',
}

/** Entries of upstreams that are gone are remembered this long. */
const TOMBSTONE_TTL: Millis = 120_000;

/** After an outage of the store lapsed entries have this long to come back. */
const REREGISTRATION_GRACE: Millis = 1_600;

interface RegistryEntry {
  revision: number;
  listing: UpstreamListing | undefined;
  /** When an entry that lapsed around an outage counts as gone. */
  expiresAt: Millis | undefined;
  updatedAt: Millis;
}

/** The list of upstreams as one instance knows it. */
export class UpstreamRegistry {
  private readonly entries = new Map<string, RegistryEntry>();
  private newestRevision = 0;

  /** Newest revision of the store that is contained. */
  revision(): number {
    return this.newestRevision;
  }

  /**
   * Takes news from the store or from a peer.
   * @param afterOutage whether the store was away shortly before, so that a removal
   *     may be a lapsed heartbeat of an upstream that lives.
   */
  applyUpdate(
    update: UpstreamUpdate,
    now: Millis,
    afterOutage: boolean,
  ): UpstreamUpdateOutcome {
    this.newestRevision = Math.max(this.newestRevision, update.revision);
    const previous = this.entries.get(update.id);
    if (previous !== undefined && previous.revision >= update.revision) {
      return UpstreamUpdateOutcome.Stale;
    }
    const {revision, listing} = update;
    const retained =
      listing === undefined && afterOutage ? previous?.listing : undefined;
    this.entries.set(update.id, {
      revision,
      listing: listing ?? retained,
      expiresAt:
        retained === undefined ? undefined : now + REREGISTRATION_GRACE,
      updatedAt: now,
    });
    if (listing === undefined || listing.leaving) {
      return retained === undefined
        ? UpstreamUpdateOutcome.Withdrawn
        : UpstreamUpdateOutcome.Changed;
    }
    const isNew = previous?.listing === undefined || previous.listing.leaving;
    return isNew ? UpstreamUpdateOutcome.Added : UpstreamUpdateOutcome.Changed;
  }

  /**
   * Takes a whole list as of a revision: what is missing is gone.
   * Returns the news that it contained.
   */
  updatesFromList(
    listed: UpstreamUpdate[],
    revision: number,
  ): UpstreamUpdate[] {
    const present = new Set(listed.map(update => update.id));
    const updates = [...listed];
    for (const [id, entry] of this.entries) {
      const hasListing = entry.listing !== undefined;
      if (hasListing && !present.has(id) && entry.revision <= revision) {
        updates.push({id, revision, listing: undefined});
      }
    }
    this.newestRevision = Math.max(this.newestRevision, revision);
    return updates;
  }

  /**
   * The address of an upstream answered as another incarnation: it gets no
   * more work unless newer news says otherwise.
   */
  markReplaced(id: string): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.listing = undefined;
      entry.expiresAt = undefined;
    }
  }

  /** Upstreams of a service that may get new work. */
  usableUpstreams(service: string, now: Millis): UpstreamListing[] {
    const listings: UpstreamListing[] = [];
    for (const entry of this.entries.values()) {
      const {listing} = entry;
      if (listing !== undefined && this.isServing(entry, service, now)) {
        listings.push(listing);
      }
    }
    return listings;
  }

  /** Whether an upstream may get new work. */
  isUsable(id: string, now: Millis): boolean {
    const entry = this.entries.get(id);
    return (
      entry?.listing !== undefined && this.isServing(entry, undefined, now)
    );
  }

  /** Whether an upstream is on the list, also if it is leaving. */
  isListed(id: string): boolean {
    return this.entries.get(id)?.listing !== undefined;
  }

  /** All that is known, also of upstreams that are gone; for peers. */
  allUpdates(): UpstreamUpdate[] {
    return [...this.entries].map(([id, entry]) => ({
      id,
      revision: entry.revision,
      listing: entry.expiresAt === undefined ? entry.listing : undefined,
    }));
  }

  /** Forgets upstreams that are gone for long. */
  prune(now: Millis): void {
    for (const [id, entry] of this.entries) {
      if (entry.expiresAt !== undefined && now >= entry.expiresAt) {
        entry.listing = undefined;
        entry.expiresAt = undefined;
      }
      const isExpired = now - entry.updatedAt > TOMBSTONE_TTL;
      if (entry.listing === undefined && isExpired) {
        this.entries.delete(id);
      }
    }
  }

  private isServing(
    entry: RegistryEntry,
    service: string | undefined,
    now: Millis,
  ): boolean {
    const {listing, expiresAt} = entry;
    if (listing === undefined || listing.leaving) {
      return false;
    }
    if (expiresAt !== undefined && now >= expiresAt) {
      return false;
    }
    return service === undefined || listing.service === service;
  }
}
