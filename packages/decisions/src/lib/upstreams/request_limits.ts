/**
 * Limits that upstreams name for the requests of all instances together, and
 * the part of each that this instance may use. Covers these situations: an
 * upstream in need takes few requests; many instances learn of it at about the
 * same time; instances come and go while a limit is in force.
 */
import {ownFraction} from './fleet_share.js';
import type {FleetView} from './fleet_share.js';
import type {Millis} from '../base/clock.js';

/** What changed when a response was recorded. */
export enum LimitChange {
  None = 'none',
  /** The upstream named a limit that was not known. */
  Limited = 'limited',
  /** The upstream no longer names a limit. */
  Lifted = 'lifted',
}

/** A limit that an upstream has named. */
interface RequestLimit {
  /** Requests per second from all instances together. */
  perSecond: number;
  /** When the upstream or a peer last stated it. */
  statedAt: Millis;
  /** Requests that this instance may send now; fractions accumulate. */
  allowance: number;
  /** When `allowance` was last increased. */
  updatedAt: Millis;
  /** Part of the limit that this instance may use. */
  fraction: number;
  /** When `fraction` was last determined. */
  fractionAt: Millis;
}

/**
 * Time after which a limit that was not stated again is forgotten. Even a small
 * limit lets some instance through in this time, which then states it again.
 */
const LIMIT_TTL: Millis = 30_000;

/** Time after which the own part of a limit is determined again. */
const FRACTION_TTL: Millis = 250;

/**
 * Number of instances that may use a limit, in addition to one for each request
 * per second. Each of them may send one request at any time, so there must be
 * few if the limit is small.
 */
const BASE_SENDERS = 4;

const MILLIS_PER_SECOND = 1_000;

/** The limits that one instance knows, by upstream. */
export class RequestLimits {
  private readonly limits = new Map<string, RequestLimit>();

  /**
   * Records whether the response of an upstream named a limit.
   * @param perSecond the limit; undefined if it named none.
   * @param sentAt when the request was sent. A response to a request that was
   *     sent before the limit was stated last may be older than the limit.
   */
  recordResponse(
    upstream: string,
    perSecond: number | undefined,
    sentAt: Millis,
    now: Millis,
  ): LimitChange {
    if (perSecond !== undefined) {
      return this.recordLimit(upstream, perSecond, now);
    }
    const limit = this.limitOf(upstream, now);
    if (limit === undefined || sentAt <= limit.statedAt) {
      return LimitChange.None;
    }
    this.limits.delete(upstream);
    return LimitChange.Lifted;
  }

  /** Records a limit that the upstream named to this instance or to a peer. */
  recordLimit(upstream: string, perSecond: number, now: Millis): LimitChange {
    const known = this.limitOf(upstream, now);
    this.limits.set(upstream, {
      perSecond,
      statedAt: now,
      allowance: known?.allowance ?? 0,
      updatedAt: known?.updatedAt ?? now,
      fraction: known?.fraction ?? 0,
      fractionAt: known?.fractionAt ?? -Infinity,
    });
    return known?.perSecond === perSecond
      ? LimitChange.None
      : LimitChange.Limited;
  }

  /** Records that a peer learned that an upstream names no limit any more. */
  recordLifted(upstream: string): LimitChange {
    return this.limits.delete(upstream) ? LimitChange.Lifted : LimitChange.None;
  }

  /** Whether no limit is known. */
  isEmpty(): boolean {
    return this.limits.size === 0;
  }

  /** Whether this instance may send one more request to an upstream now. */
  maySend(upstream: string, fleet: FleetView, now: Millis): boolean {
    const limit = this.limitOf(upstream, now);
    if (limit === undefined) {
      return true;
    }
    if (now - limit.fractionAt >= FRACTION_TTL) {
      limit.fraction = ownFraction(
        upstream,
        maxSenders(limit.perSecond),
        fleet,
      );
      limit.fractionAt = now;
    }
    const {perSecond, fraction} = limit;
    const elapsed = (now - limit.updatedAt) / MILLIS_PER_SECOND;
    const allowance = limit.allowance + elapsed * perSecond * fraction;
    const maxAllowance = Math.max(1, maxSenders(perSecond) * fraction);
    limit.allowance = fraction > 0 ? Math.min(maxAllowance, allowance) : 0;
    limit.updatedAt = now;
    return limit.allowance >= 1;
  }

  /** Records a request that is sent to an upstream. */
  recordSent(upstream: string): void {
    const limit = this.limits.get(upstream);
    if (limit !== undefined) {
      limit.allowance -= 1;
    }
  }

  /** Forgets the limits of upstreams for which `isListed` returns false. */
  prune(isListed: (id: string) => boolean): void {
    for (const upstream of this.limits.keys()) {
      if (!isListed(upstream)) {
        this.limits.delete(upstream);
      }
    }
  }

  private limitOf(upstream: string, now: Millis): RequestLimit | undefined {
    const limit = this.limits.get(upstream);
    return limit !== undefined && now - limit.statedAt < LIMIT_TTL
      ? limit
      : undefined;
  }
}

/** Maximum number of instances that may use a limit. */
function maxSenders(perSecond: number): number {
  return BASE_SENDERS + Math.floor(perSecond);
}
