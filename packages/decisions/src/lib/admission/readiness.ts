/**
 * Whether an instance with a busy link takes new connections. Covers this load
 * pattern: the callers of one account fill the links of a few small instances,
 * and the load balancer moves them to others while an instance is not ready. An
 * instance is not ready only while its zone has room, while it is among the
 * fullest, and for a small part of the time, so that moved callers do not take
 * many instances out of rotation.
 */
import {hasZoneRoom} from './zone_links.js';
import type {ZoneLinks} from './zone_links.js';
import type {Millis} from '../base/clock.js';

/**
 * Time after which callers are sent elsewhere: the load balancer asks once a
 * second, and takes an instance out of rotation after two misses.
 */
const ROTATION_TIME: Millis = 2_200;

/** Longest time for which an instance is not ready without a break. */
export const MAX_UNREADY_TIME: Millis = 30_000;

/** Time that an instance may be not ready, for each unit of time it is ready. */
const UNREADY_PER_READY_TIME = 1 / 8;

/** Allowance from which an instance may be not ready again. */
const MIN_ALLOWANCE: Millis = 2_500;

/** The state of an instance's link and of those of its zone. */
export interface LinkState {
  /** Whether callers should connect to other instances; see `LinkLoad`. */
  isBusy: boolean;
  /** Utilisation as it is reported to the other instances. */
  utilisation: number;
  /** The links of the zone; undefined if they are not known. */
  zone: ZoneLinks | undefined;
}

/** Decides whether an instance is ready, as far as its link goes. */
export class Readiness {
  private isReadyNow = true;
  /** Time for which the instance may still be not ready. */
  private allowance: Millis = MAX_UNREADY_TIME / 2;
  private updatedAt: Millis | undefined;
  private unreadySince: Millis | undefined;

  /** Whether the instance was ready at the last update. */
  isReady(): boolean {
    return this.isReadyNow;
  }

  /**
   * Returns the time until returning callers reach another instance; undefined
   * while this one is ready.
   */
  timeUntilElsewhere(now: Millis): Millis | undefined {
    return this.unreadySince === undefined
      ? undefined
      : Math.max(0, this.unreadySince + ROTATION_TIME - now);
  }

  /** Updates the decision and returns whether the instance is ready. */
  update(link: LinkState, now: Millis): boolean {
    const elapsed = now - (this.updatedAt ?? now);
    this.updatedAt = now;
    const allowance = this.isReadyNow
      ? this.allowance + elapsed * UNREADY_PER_READY_TIME
      : this.allowance - elapsed;
    this.allowance = Math.max(0, Math.min(MAX_UNREADY_TIME, allowance));
    const needed = this.isReadyNow ? MIN_ALLOWANCE : 0;
    const hasAllowance = this.allowance > needed;
    this.isReadyNow = !(hasAllowance && mayBeUnready(link));
    this.unreadySince = this.isReadyNow
      ? undefined
      : (this.unreadySince ?? now);
    return this.isReadyNow;
  }
}

/** Whether callers are served better by other instances of the zone. */
function mayBeUnready({isBusy, utilisation, zone}: LinkState): boolean {
  if (zone === undefined) {
    return isBusy;
  }
  return (
    isBusy && hasZoneRoom(zone, utilisation) && utilisation >= zone.unreadyFrom
  );
}
