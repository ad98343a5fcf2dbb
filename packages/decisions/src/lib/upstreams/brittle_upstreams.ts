/**
 * Room at upstreams that fall over when they have to reject too many requests in
 * a second. Covers this load pattern: all upstreams of a service are brittle, and
 * more requests arrive than they have room for; while one is down, the others
 * must not be tried with its part.
 */
import {SECOND} from '../base/clock.js';
import type {Millis} from '../base/clock.js';
import type {FleetView} from './fleet_share.js';
import type {UpstreamListing} from './upstream_registry.js';

/** What a process of an upstream has said of its brittleness. */
export interface BrittleStatement extends Pick<
  UpstreamListing,
  'id' | 'startedAt'
> {
  /** Rejections within a second above which it falls over. */
  maxRejections: number;
}

/** Time for which a statement holds; an upstream repeats it in each answer. */
const STATEMENT_TTL: Millis = 5_000;

/**
 * Fraction of the allowed rejections after which an upstream gets no requests
 * until fewer lie within a second. The rest is for requests that are on their
 * way when instances learn of a rejection.
 */
const USED_REJECTIONS = 0.5;

/** Pause after each rejection, in which the load of the peers becomes known. */
const REJECTION_PAUSE: Millis = 50;

/**
 * Fraction of the slots that instances leave free when they use more than their
 * own: the load of the peers is known late.
 */
const SPARE_FRACTION = 0.5;

/**
 * Time for which an instance may use one slot more than its own, if it is drawn:
 * within it, the load of the peers becomes known.
 */
const DRAW_INTERVAL: Millis = 100;

/** Time for which the number of own slots is kept. */
const OWN_SLOTS_TTL: Millis = 500;

/** Requests that are known to run at an upstream. */
export interface RunningRequests {
  /** Those of this instance. */
  own: number;
  /** Those of all instances. */
  total: number;
}

interface BrittleState {
  startedAt: number;
  maxRejections: number;
  statedAt: Millis;
  /** When it rejected requests of any instance, within the last second. */
  rejectedAt: Millis[];
  /** How many slots belong to this instance. */
  ownSlots: number;
  /** When that was last determined. */
  ownSlotsAt: Millis;
  /** How many requests this instance may run until the next draw. */
  maxOwn: number;
  drawnAt: Millis;
}

/** The upstreams that are brittle, as one instance knows them. */
export class BrittleUpstreams {
  private readonly states = new Map<string, BrittleState>();

  /** Records that a process says that it is brittle; returns if that is new. */
  recordStatement(
    {id, startedAt, maxRejections}: BrittleStatement,
    now: Millis,
  ): boolean {
    const known = this.stateOf(id, startedAt, now);
    this.states.set(id, {
      rejectedAt: [],
      ownSlots: 0,
      ownSlotsAt: -Infinity,
      maxOwn: 0,
      drawnAt: -Infinity,
      ...known,
      startedAt,
      maxRejections,
      statedAt: now,
    });
    return known?.maxRejections !== maxRejections;
  }

  /** Records that a process no longer says so; returns if that is new. */
  recordSound(id: string): boolean {
    return this.states.delete(id);
  }

  /** Records that a brittle process has rejected a request of any instance. */
  recordRejection(id: string, now: Millis): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.rejectedAt = recentTimes(state, now);
      state.rejectedAt.push(now);
    }
  }

  /**
   * Whether an upstream may get one more request. Each instance may use its own
   * slots. Of those that others leave free, it may use one more at a time, if it
   * is drawn, so that all together rarely use more than there are.
   * @param firstSlot returns the number of slots of the upstreams before it in
   *     its service.
   * @param random returns a uniformly distributed number in [0, 1).
   */
  hasRoom(
    upstream: UpstreamListing,
    firstSlot: () => number,
    running: RunningRequests,
    fleet: FleetView,
    now: Millis,
    random: () => number,
  ): boolean {
    const {id, startedAt, slots} = upstream;
    const state = this.stateOf(id, startedAt, now);
    if (state === undefined) {
      return true;
    }
    if (now - state.ownSlotsAt >= OWN_SLOTS_TTL) {
      state.ownSlots = ownSlots(upstream, firstSlot(), fleet);
      state.ownSlotsAt = now;
    }
    if (now - state.drawnAt >= DRAW_INTERVAL) {
      const free = slots * (1 - SPARE_FRACTION) - running.total;
      const isDrawn = random() < free / fleet.members.length;
      state.maxOwn = Math.max(state.ownSlots, isDrawn ? running.own + 1 : 0);
      state.drawnAt = now;
    }
    return running.own < state.maxOwn && !isPaused(state, now);
  }

  /** Whether no upstream is brittle. */
  isEmpty(): boolean {
    return this.states.size === 0;
  }

  /** Forgets statements that no longer hold. */
  prune(now: Millis): void {
    for (const [id, {statedAt}] of this.states) {
      if (now - statedAt >= STATEMENT_TTL) {
        this.states.delete(id);
      }
    }
  }

  private stateOf(
    id: string,
    startedAt: number,
    now: Millis,
  ): BrittleState | undefined {
    const state = this.states.get(id);
    const holds =
      state?.startedAt === startedAt && now - state.statedAt < STATEMENT_TTL;
    return holds ? state : undefined;
  }
}

/** Whether an upstream gets no requests because of those that it rejected. */
function isPaused(state: BrittleState, now: Millis): boolean {
  const recent = recentTimes(state, now);
  const last = recent.at(-1) ?? -Infinity;
  const isNearFall = recent.length > state.maxRejections * USED_REJECTIONS;
  return isNearFall || now - last < REJECTION_PAUSE;
}

function recentTimes({rejectedAt}: BrittleState, now: Millis): Millis[] {
  return rejectedAt.filter(time => now - time < SECOND);
}

/**
 * Returns how many slots of an upstream belong to this instance. The slots of all
 * upstreams of a service go to the zones in turn, and those of a zone to its
 * instances: each instance knows all of its own zone.
 */
function ownSlots(
  {slots}: UpstreamListing,
  firstSlot: number,
  {self, members}: FleetView,
): number {
  const zones = [...new Set(members.map(({zone}) => zone))].sort();
  const ownZone = members
    .filter(({zone}) => zone === self.zone)
    .map(({address}) => address)
    .sort();
  const zoneIndex = zones.indexOf(self.zone);
  const ownIndex = ownZone.indexOf(self.address);
  let count = 0;
  for (let slot = firstSlot; slot < firstSlot + slots; slot++) {
    const isOfZone = slot % zones.length === zoneIndex;
    const indexInZone = Math.floor(slot / zones.length) % ownZone.length;
    count += isOfZone && indexInZone === ownIndex ? 1 : 0;
  }
  return count;
}
