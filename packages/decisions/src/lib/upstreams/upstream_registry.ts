/**
 * Registry of the upstreams that may get requests. It is filled from the list
 * in the platform's store, read directly or passed on by peers, and from
 * responses of the upstreams. Updates are ordered by the position of the store.
 */
import {ServiceVersions} from './service_versions.js';
import {isNewer, UNKNOWN_POSITION} from '../fleet/store_position.js';
import type {Millis} from '../base/clock.js';
import type {StorePosition} from '../fleet/store_position.js';

/** One upstream as it stands in the list in the store. */
export interface UpstreamListing {
  id: string;
  service: string;
  /** Address as `ip:port`. */
  address: string;
  zone: string;
  /** Version of its software; empty if unknown. */
  version: string;
  /** Requests that the upstream can run at once. */
  slots: number;
  /** Whether the upstream is shutting down; it gets no new requests. */
  leaving: boolean;
  /** Start of the process, in ms since the Unix epoch; 0 if unknown. */
  startedAt: number;
  /** Remaining time for which the upstream is slow after its start. */
  cold: Millis;
}

/** A change of one upstream in the list, at a position of the store. */
export interface UpstreamUpdate extends StorePosition {
  id: string;
  /** The new listing; undefined if the upstream was removed. */
  listing: UpstreamListing | undefined;
}

/** Effect of an update on the registry. */
export enum UpstreamUpdateOutcome {
  /** Not newer than what is known; ignored. */
  Stale = 'stale',
  /** The upstream may get requests, which it could not before. */
  Added = 'added',
  /**
   * The listing has changed, or it was removed after an outage of the store and
   * is kept for a grace period.
   */
  Changed = 'changed',
  /** The upstream was removed or is leaving; it gets no more requests. */
  Withdrawn = 'withdrawn',
}

/**
 * Time for which the position of a removed upstream is kept, so that an older
 * update does not add it again.
 */
const TOMBSTONE_TTL: Millis = 120_000;

/** Maximum number of statements that are kept of processes not listed yet. */
const MAX_EARLY_STATEMENTS = 256;

/** Time for which such a statement is kept. */
const EARLY_STATEMENT_TTL: Millis = 60_000;

/** A process that has said that it leaves before it was listed. */
interface EarlyStatement {
  startedAt: number;
  receivedAt: Millis;
}

/** What is known of one upstream. */
interface RegistryEntry {
  position: StorePosition;
  /** Start time of the process that was listed last; undefined if none was. */
  lastStartedAt: number | undefined;
  /**
   * Start time of the process that is known to leave; undefined if none is. A
   * process that leaves does not come back, whatever a later entry says.
   */
  leavingSinceStart: number | undefined;
  listing: UpstreamListing | undefined;
  /** End of the grace period of an upstream removed after an outage. */
  expiresAt: Millis | undefined;
  updatedAt: Millis;
}

/** Longer identifiers don't fit into messages between instances. */
const MAX_ID_LENGTH = 200;

const VISIBLE_ASCII = /^[\x21-\x7e]+$/;

/**
 * Whether a text may be the identifier of an upstream, which each request to it
 * has in a header.
 */
export function isUpstreamId(text: string): boolean {
  return text.length <= MAX_ID_LENGTH && VISIBLE_ASCII.test(text);
}

/** The upstreams that one instance knows. */
export class UpstreamRegistry {
  private readonly entries = new Map<string, RegistryEntry>();
  private newestPosition = UNKNOWN_POSITION;
  /** Position up to which no change is missing. */
  private completePosition = UNKNOWN_POSITION;
  private readonly serviceVersions = new ServiceVersions();
  /** By the identifier of the upstream; its last statement counts. */
  private readonly earlyStatements = new Map<string, EarlyStatement>();

  /** Newest position of the store that was applied. */
  position(): StorePosition {
    return this.newestPosition;
  }

  /**
   * Records that all changes up to the newest known position have been applied.
   * An older update of an upstream that is not known then tells of one that had
   * gone by that position.
   */
  markComplete(): void {
    this.completePosition = this.newestPosition;
  }

  /**
   * Applies an update from the store or from a peer.
   * @param graceEnd until when the listing of a removed upstream is kept, as it
   *     may still run and only could not renew its entry in an outage of the
   *     store; in the past if there was none.
   */
  applyUpdate(
    update: UpstreamUpdate,
    now: Millis,
    graceEnd: Millis,
  ): UpstreamUpdateOutcome {
    const {era, revision} = update;
    const position = {era, revision};
    this.recordPosition(position);
    const previous = this.entries.get(update.id);
    if (previous === undefined && isNewer(this.completePosition, position)) {
      return UpstreamUpdateOutcome.Stale;
    }
    if (previous !== undefined && !isNewer(position, previous.position)) {
      this.takeLeaving(update, now);
      shortenGrace(previous, update, graceEnd);
      return UpstreamUpdateOutcome.Stale;
    }
    const leavingProcess =
      this.takeEarlyStatement(update) ?? previous?.leavingSinceStart;
    const listing = withLeaving(update.listing, leavingProcess);
    this.serviceVersions.markKnown(now);
    this.noteVersion(previous?.listing, now);
    this.noteVersion(listing, now);
    // A later removal does not prolong the grace period of an earlier one.
    const expiresAt = Math.min(graceEnd, previous?.expiresAt ?? Infinity);
    const retained =
      listing === undefined && expiresAt > now ? previous?.listing : undefined;
    this.entries.set(update.id, {
      position,
      lastStartedAt: listing?.startedAt ?? previous?.lastStartedAt,
      leavingSinceStart: listing?.leaving ? listing.startedAt : leavingProcess,
      listing: listing ?? retained,
      expiresAt: retained === undefined ? undefined : expiresAt,
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

  /** A process that leaves does not come back, so its statement never is old. */
  private takeLeaving({id, listing}: UpstreamUpdate, now: Millis): void {
    if (listing?.leaving === true) {
      this.markLeaving(id, listing.startedAt, now);
    }
  }

  /**
   * Converts the complete list as of a position into updates: the listed ones
   * and a removal for each upstream that is missing and not known to be newer.
   * The caller passes them to `applyUpdate`.
   */
  updatesFromList(
    listed: UpstreamUpdate[],
    position: StorePosition,
  ): UpstreamUpdate[] {
    if (!isNewer(this.completePosition, position)) {
      // The list itself is complete, and all that it holds exists.
      this.completePosition = UNKNOWN_POSITION;
    }
    const hasGoneBack =
      this.newestPosition !== UNKNOWN_POSITION &&
      position.era > this.newestPosition.era;
    const updates = listed.map(update =>
      hasGoneBack && this.wasRemoved(update)
        ? {...update, listing: undefined}
        : update,
    );
    const present = new Set(listed.map(update => update.id));
    for (const [id, entry] of this.entries) {
      const hasListing = entry.listing !== undefined;
      const isOld = !isNewer(entry.position, position);
      if (hasListing && !present.has(id) && isOld) {
        updates.push({id, ...position, listing: undefined});
      }
    }
    this.recordPosition(position);
    return updates;
  }

  /**
   * Whether the listed process was removed before. A store that has gone back
   * lists it until it is removed again; one that still runs is soon written
   * again.
   */
  private wasRemoved({id, listing}: UpstreamUpdate): boolean {
    const entry = this.entries.get(id);
    return (
      entry !== undefined &&
      entry.listing === undefined &&
      entry.lastStartedAt === listing?.startedAt
    );
  }

  private recordPosition(position: StorePosition): void {
    if (isNewer(position, this.newestPosition)) {
      this.newestPosition = position;
    }
  }

  /**
   * Records that a process of an upstream has said that it leaves. Returns
   * whether it might have got new requests until now. The statement of a process
   * that is not listed yet is kept for its listing.
   * @param startedAt start time of the process.
   */
  markLeaving(id: string, startedAt: number, now: Millis): boolean {
    const entry = this.entries.get(id);
    const listing = entry?.listing;
    const isListedNow = listing?.startedAt === startedAt;
    if (entry === undefined || (listing !== undefined && !isListedNow)) {
      this.keepEarlyStatement(id, startedAt, now);
      return false;
    }
    if (entry.leavingSinceStart === startedAt) {
      return false;
    }
    entry.leavingSinceStart = startedAt;
    entry.listing = withLeaving(listing, startedAt);
    return true;
  }

  private keepEarlyStatement(id: string, startedAt: number, now: Millis): void {
    const isFull = this.earlyStatements.size >= MAX_EARLY_STATEMENTS;
    if (isUpstreamId(id) && (!isFull || this.earlyStatements.has(id))) {
      this.earlyStatements.set(id, {startedAt, receivedAt: now});
    }
  }

  /** Returns and forgets the early statement of the process that is listed. */
  private takeEarlyStatement({
    id,
    listing,
  }: UpstreamUpdate): number | undefined {
    const startedAt = this.earlyStatements.get(id)?.startedAt;
    if (startedAt === undefined || startedAt !== listing?.startedAt) {
      return undefined;
    }
    this.earlyStatements.delete(id);
    return startedAt;
  }

  /**
   * Records that another process responded at the address of an upstream. The
   * upstream gets no more requests until a newer update lists it again.
   */
  markReplaced(id: string, now: Millis): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      this.noteVersion(entry.listing, now);
      entry.listing = undefined;
      entry.expiresAt = undefined;
    }
  }

  /** Upstreams of a service that may get new requests. */
  usableUpstreams(service: string, now: Millis): UpstreamListing[] {
    const listings: UpstreamListing[] = [];
    for (const entry of this.entries.values()) {
      const {listing} = entry;
      if (listing !== undefined && this.isEntryUsable(entry, service, now)) {
        listings.push(listing);
      }
    }
    return listings;
  }

  /** Returns the versions of all services as of now. */
  versions(now: Millis): ServiceVersions {
    for (const {listing} of this.entries.values()) {
      this.noteVersion(listing, now);
    }
    return this.serviceVersions;
  }

  /** Returns all upstreams in the list, leaving ones included. */
  listedUpstreams(): UpstreamListing[] {
    return [...this.entries.values()]
      .map(({listing}) => listing)
      .filter(listing => listing !== undefined);
  }

  /** Returns an upstream if it may get new requests; undefined otherwise. */
  usableUpstream(id: string, now: Millis): UpstreamListing | undefined {
    return this.isUsable(id, now) ? this.entries.get(id)?.listing : undefined;
  }

  /** Whether an upstream may get new requests. */
  isUsable(id: string, now: Millis): boolean {
    const entry = this.entries.get(id);
    return (
      entry?.listing !== undefined && this.isEntryUsable(entry, undefined, now)
    );
  }

  /** Whether an upstream is listed, even if it is leaving. */
  isListed(id: string): boolean {
    return this.entries.get(id)?.listing !== undefined;
  }

  /**
   * The last update of each upstream, removals included, to be sent to peers.
   * An upstream in its grace period counts as removed.
   */
  allUpdates(): UpstreamUpdate[] {
    return [...this.entries].map(([id, entry]) => ({
      id,
      ...entry.position,
      listing: entry.expiresAt === undefined ? entry.listing : undefined,
    }));
  }

  /**
   * Ends grace periods, and drops upstreams and versions that were removed long
   * ago.
   */
  prune(now: Millis): void {
    const services = new Set(
      this.listedUpstreams().map(listing => listing.service),
    );
    this.serviceVersions.prune(
      service => services.has(service),
      TOMBSTONE_TTL,
      now,
    );
    for (const [id, {receivedAt}] of this.earlyStatements) {
      if (now - receivedAt > EARLY_STATEMENT_TTL) {
        this.earlyStatements.delete(id);
      }
    }
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

  /** Records that an upstream of a service has been listed until now. */
  private noteVersion(listing: UpstreamListing | undefined, now: Millis): void {
    if (listing !== undefined) {
      this.serviceVersions.note(listing.service, listing.version, now);
    }
  }

  /** Whether an upstream may get new requests, of one service if given. */
  private isEntryUsable(
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

/** Ends a grace period sooner if another source knows of a shorter one. */
function shortenGrace(
  entry: RegistryEntry,
  {listing, era, revision}: UpstreamUpdate,
  graceEnd: Millis,
): void {
  const isOlder = isNewer(entry.position, {era, revision});
  if (entry.expiresAt !== undefined && listing === undefined && !isOlder) {
    entry.expiresAt = Math.min(entry.expiresAt, graceEnd);
  }
}

/** Returns a listing that says that the process leaves if it is known to. */
function withLeaving(
  listing: UpstreamListing | undefined,
  leavingProcess: number | undefined,
): UpstreamListing | undefined {
  return listing?.startedAt === leavingProcess && listing !== undefined
    ? {...listing, leaving: true}
    : listing;
}
