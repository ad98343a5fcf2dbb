/**
 * Upstreams that are cold, and when this instance may send one a request. Covers
 * these failures: the upstreams of a zone come back cold together in a burst; an
 * upstream turns cold while many instances send to it; instances end, are cut off
 * or suspended, or know of a cold upstream later than others. All instances
 * together send a cold upstream no more than its bound in any one second.
 */
import {SECOND} from '../base/clock.js';
import {ownFraction} from './fleet_share.js';
import type {Millis} from '../base/clock.js';
import type {FleetView} from './fleet_share.js';
import type {ServiceProfile} from '../fleet/route_table.js';
import type {UpstreamListing} from './upstream_registry.js';

/** What is configured of the cold upstreams of a service. */
export type ColdProfile = Pick<
  ServiceProfile,
  'coldTime' | 'coldRequestsPerSecond'
>;

/** How far the rate of a cold upstream may be exceeded in one second. */
export interface ColdTolerance {
  /** Factor on the requests per second that it takes. */
  overshoot: number;
  /** Requests allowed in addition. */
  slack: number;
}

/** The process of an upstream that a statement is about. */
export type ColdProcess = Pick<UpstreamListing, 'id' | 'startedAt'>;

/** When this instance may send an upstream one more request. */
export interface ColdPermit {
  /** Time until then; 0 if it may now. */
  wait: Millis;
  /** Number of permits that it holds of those in `PERMIT_PERIOD`. */
  ownPermits: number;
}

/** Maximum cold time in a statement; longer ones are reduced to it. */
const MAX_COLD_TIME: Millis = 3_600 * SECOND;

/**
 * Time in which each permit lets one request through. It exceeds the second of
 * the bound by the variation of the network delay.
 */
const PERMIT_PERIOD: Millis = 1_250;

/** Time for which the own permits are kept before they are determined again. */
const PERMITS_TTL: Millis = 500;

/** Number of instances that may use a permit at once, if one is cut off. */
const MAX_PERMIT_USERS = 2;

/** Time for which an upstream that was removed from the list is remembered. */
const RETENTION: Millis = 120 * SECOND;

/** What is known of one upstream. */
interface ColdState {
  startedAt: number;
  /** Whether it is in the list. */
  isListed: boolean;
  /** When it was listed last, or removed from the list. */
  listedAt: Millis;
  /** End of the cold time in its entry. */
  listedUntil: Millis;
  /** End of the cold time by responses, peers or what is safe to assume. */
  assumedUntil: Millis;
  /** When `assumedUntil` was set. */
  assumedAt: Millis;
  /** Until then, requests may arrive from instances that take it for warm. */
  heldUntil: Millis;
  /** When this instance last sent it a request. */
  sentAt: Millis;
  /** Own permits, and when they were determined. */
  ownPermits: number;
  permitsAt: Millis;
}

/** The cold upstreams, as one instance knows them. */
export class ColdUpstreams {
  private readonly states = new Map<string, ColdState>();
  /** Latest end of a cold time so far. */
  private latestEnd: Millis = -Infinity;

  constructor(private readonly tolerance: ColdTolerance) {}

  /**
   * Records an entry of the list; undefined for one that was removed.
   * @param profile undefined if the service is not configured.
   * @param isFirstList whether it is from the first list since the start of this
   *     process: such an upstream need not have started just now.
   * @returns whether it is new that the upstream is cold.
   */
  recordListing(
    id: string,
    listing: UpstreamListing | undefined,
    profile: ColdProfile | undefined,
    isFirstList: boolean,
    now: Millis,
  ): boolean {
    const known = this.states.get(id);
    if (listing === undefined) {
      if (known !== undefined) {
        known.isListed = false;
        known.listedAt = now;
      }
      return false;
    }
    const {startedAt, cold} = listing;
    const isKnownProcess = known?.startedAt === startedAt;
    const wasListed = known?.isListed === true;
    const wasCold = this.isCold(id, now);
    const state = isKnownProcess ? known : createState(startedAt);
    this.states.set(id, state);
    state.isListed = true;
    state.listedAt = now;
    this.extend(state, {listedUntil: now + clampTime(cold)});
    if (!isKnownProcess && !isFirstList && cold <= 0) {
      // A process that has just started may be cold, even if its entry is silent.
      this.assume(state, profile?.coldTime ?? 0, now);
    }
    const isNew = !wasCold && this.isCold(id, now);
    // Those who have not read the entry may still send, also to a new process.
    if (wasListed && this.isCold(id, now) && (isNew || !isKnownProcess)) {
      state.heldUntil = now + PERMIT_PERIOD;
    }
    return isNew;
  }

  /**
   * Records that a process has said that it is cold, to this instance or a peer.
   * @returns whether it is new that it is cold.
   */
  recordCold(
    {id, startedAt}: ColdProcess,
    remaining: Millis,
    now: Millis,
  ): boolean {
    const state = this.states.get(id);
    if (state === undefined || state.startedAt !== startedAt) {
      return false;
    }
    const wasCold = this.isCold(id, now);
    this.assume(state, remaining, now);
    const isNew = !wasCold && this.isCold(id, now);
    if (isNew) {
      state.heldUntil = now + PERMIT_PERIOD;
    }
    return isNew;
  }

  /**
   * Records that a process has said in a response that it is not cold.
   * @param sentAt when the request was sent; an older one proves nothing.
   */
  recordWarm({id, startedAt}: ColdProcess, sentAt: Millis): void {
    const state = this.states.get(id);
    if (state === undefined || state.startedAt !== startedAt) {
      return;
    }
    if (sentAt > Math.max(state.assumedAt, state.listedAt)) {
      state.assumedUntil = -Infinity;
      state.listedUntil = -Infinity;
    }
  }

  /** Records that an upstream may have turned cold without notice. */
  recordUnseen(id: string, {coldTime}: ColdProfile, now: Millis): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      this.assume(state, coldTime, now);
    }
  }

  /** Whether no upstream is cold; takes the same time however many there are. */
  isEmpty(now: Millis): boolean {
    return now >= this.latestEnd;
  }

  /** Whether an upstream is cold or may be. */
  isCold(id: string, now: Millis): boolean {
    const state = this.states.get(id);
    return state !== undefined && now < endOf(state);
  }

  /**
   * Returns when an upstream may get one more request of this instance;
   * undefined if nothing holds it back.
   * @param fleet undefined if this instance has not learned of the others.
   */
  permit(
    id: string,
    profile: ColdProfile,
    fleet: FleetView | undefined,
    now: Millis,
  ): ColdPermit | undefined {
    const state = this.states.get(id);
    const isBounded = profile.coldRequestsPerSecond > 0;
    if (state === undefined || now >= endOf(state) || !isBounded) {
      return undefined;
    }
    const {count, period} = this.permits(profile);
    this.updateOwnPermits(state, id, count, fleet, now);
    const {ownPermits, heldUntil, sentAt} = state;
    const end = endOf(state);
    const nextAt =
      ownPermits > 0 ? Math.max(heldUntil, sentAt + period / ownPermits) : end;
    return {wait: Math.max(0, Math.min(nextAt, end) - now), ownPermits};
  }

  /** Records a request that is sent to an upstream, cold or not. */
  recordSent(id: string, now: Millis): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.sentAt = now;
    }
  }

  /** Returns the listed upstreams that are cold. */
  coldIds(now: Millis): string[] {
    if (this.isEmpty(now)) {
      return [];
    }
    return [...this.states]
      .filter(([, state]) => state.isListed && now < endOf(state))
      .map(([id]) => id);
  }

  /** Forgets upstreams that were removed from the list a while ago. */
  prune(now: Millis): void {
    for (const [id, {isListed, listedAt}] of this.states) {
      if (!isListed && now - listedAt >= RETENTION) {
        this.states.delete(id);
      }
    }
  }

  /**
   * Returns the number of permits of all instances, and the time in which each
   * lets one request through. Even if each has two users, all requests within a
   * second are within the bound.
   */
  private permits({coldRequestsPerSecond}: ColdProfile): {
    count: number;
    period: Millis;
  } {
    const {overshoot, slack} = this.tolerance;
    const bound = Math.floor(coldRequestsPerSecond * overshoot + slack);
    if (bound < 1) {
      return {count: 0, period: PERMIT_PERIOD};
    }
    const perPeriod = (coldRequestsPerSecond * PERMIT_PERIOD) / SECOND;
    const safeCount = Math.max(1, Math.floor(bound / MAX_PERMIT_USERS));
    const count = Math.min(safeCount, Math.max(1, Math.floor(perPeriod)));
    const period = Math.max(1, count / perPeriod) * PERMIT_PERIOD;
    return {count, period};
  }

  /** Determines the own permits, unless they are recent. */
  private updateOwnPermits(
    state: ColdState,
    id: string,
    count: number,
    fleet: FleetView | undefined,
    now: Millis,
  ): void {
    if (now - state.permitsAt < PERMITS_TTL) {
      return;
    }
    state.permitsAt = now;
    const hasPermits = fleet !== undefined && count > 0;
    state.ownPermits = hasPermits
      ? wholePermits(count * ownFraction(id, count, fleet))
      : 0;
  }

  private assume(state: ColdState, remaining: Millis, now: Millis): void {
    const end = now + clampTime(remaining);
    state.assumedAt = now;
    this.extend(state, {assumedUntil: Math.max(state.assumedUntil, end)});
  }

  private extend(
    state: ColdState,
    ends: Partial<Pick<ColdState, 'listedUntil' | 'assumedUntil'>>,
  ): void {
    Object.assign(state, ends);
    this.latestEnd = Math.max(this.latestEnd, endOf(state));
  }
}

function endOf({listedUntil, assumedUntil}: ColdState): Millis {
  return Math.max(listedUntil, assumedUntil);
}

function clampTime(time: Millis): Millis {
  return Math.min(MAX_COLD_TIME, Math.max(0, time));
}

/** Rounds down, but not because of the inexact sum of fractions. */
function wholePermits(permits: number): number {
  return Math.floor(permits + 1e-9);
}

function createState(startedAt: number): ColdState {
  return {
    startedAt,
    isListed: true,
    listedAt: -Infinity,
    listedUntil: -Infinity,
    assumedUntil: -Infinity,
    assumedAt: -Infinity,
    heldUntil: -Infinity,
    sentAt: -Infinity,
    ownPermits: 0,
    permitsAt: -Infinity,
  };
}
