/**
 * The part of a rate of all instances together that one instance may use, chosen
 * without a message. Covers these situations: many instances are held to a rate
 * that is small for each of them; instances come, end and are cut off meanwhile.
 */
import {affinityRank} from '../placement/routing.js';
import type {Millis} from '../base/clock.js';

/** An instance as it is known to its peers. */
export interface FleetMember {
  address: string;
  zone: string;
}

/** The instances that are running, and which of them this one is. */
export interface FleetView {
  self: FleetMember;
  /** All known running instances, this one included. */
  members: readonly FleetMember[];
}

/**
 * Returns the part of a rate that this instance may use. All instances choose the
 * same senders for a key: some zones, which get equal parts, and some instances
 * of each, which share its part. An instance knows all zones, but perhaps not all
 * instances of other zones. Takes O(n log n) for n known members.
 * @param maxSenders maximum number of instances that may use it.
 */
export function ownFraction(
  key: string,
  maxSenders: number,
  {self, members}: FleetView,
): number {
  const allZones = [...new Set(members.map(({zone}) => zone))];
  const zones = highestRanked(key, allZones, maxSenders);
  const perZone = Math.floor(maxSenders / zones.length);
  const ownZone = members
    .filter(({zone}) => zone === self.zone)
    .map(({address}) => address);
  const senders = highestRanked(key, ownZone, perZone);
  const isSender = zones.includes(self.zone) && senders.includes(self.address);
  return isSender ? 1 / (zones.length * senders.length) : 0;
}

/** Returns the `count` names that rank highest for a key. */
function highestRanked(
  key: string,
  names: readonly string[],
  count: number,
): string[] {
  return names
    .map(name => ({name, rank: affinityRank(key, name)}))
    .sort((a, b) => b.rank - a.rank)
    .slice(0, count)
    .map(({name}) => name);
}

/**
 * Time for which members and zones are remembered after they were last seen.
 * Network partitions are expected to be shorter.
 */
const MEMORY_TIME: Millis = 300_000;

/**
 * Time after its start, or after it was suspended, in which an instance learns of
 * the others.
 */
const SETTLE_TIME: Millis = 4_000;

/** Maximum number of members and of zones that are remembered. */
const MAX_REMEMBERED = 2_000;

/**
 * Remembers the fleet, so that an instance that may be cut off takes over nothing.
 * If it sees at most half of its zone, or of the zones, parts are chosen among all
 * that it remembers, so it keeps its own. A part then has at most two users: an
 * instance that is cut off, and the one that took the part over.
 */
export class FleetMemory {
  /** When each member of the own zone was last seen, by address. */
  private readonly members = new Map<string, Millis>();
  /** When a member of each zone was last seen. */
  private readonly zones = new Map<string, Millis>();
  /** Whether another instance has been seen since the start. */
  private hasSeenPeer = false;
  private settledAt: Millis = Infinity;
  private updatedAt: Millis = -Infinity;

  /**
   * @param expectsPeers whether there are other instances, by the settings. One
   *     that has seen none is cut off, and not the only one.
   */
  constructor(private readonly expectsPeers: boolean) {}

  /**
   * Records the running instances. Returns those among which parts are chosen;
   * undefined while the instance has not learned of them. To be called each
   * second, also while no part is needed: a pause of `SETTLE_TIME` counts as a
   * suspension.
   */
  update(view: FleetView, now: Millis): FleetView | undefined {
    if (now - this.updatedAt >= SETTLE_TIME) {
      this.settledAt = now + SETTLE_TIME;
    }
    this.updatedAt = now;
    const {self, members} = view;
    if (!this.hasSeenPeer && members.length > 1) {
      this.hasSeenPeer = true;
      this.settledAt = now + SETTLE_TIME;
    }
    const ownZone = members.filter(({zone}) => zone === self.zone);
    const zones = new Set(members.map(({zone}) => zone));
    ownZone.forEach(({address}) => remember(this.members, address, now));
    zones.forEach(zone => remember(this.zones, zone, now));
    const isAlone = this.expectsPeers && !this.hasSeenPeer;
    if (isAlone || now < this.settledAt) {
      return undefined;
    }
    const seesMost =
      ownZone.length * 2 > this.members.size &&
      zones.size * 2 > this.zones.size;
    return seesMost ? view : {self, members: this.remembered(self)};
  }

  /** Returns the remembered members of the own zone, and one of each other. */
  private remembered(self: FleetMember): FleetMember[] {
    const {zone: ownZone} = self;
    const others = [...this.zones.keys()].filter(zone => zone !== ownZone);
    return [
      ...[...this.members.keys()].map(address => ({address, zone: ownZone})),
      ...others.map(zone => ({address: '', zone})),
    ];
  }
}

/** Records that a name was seen, and forgets names that were not for long. */
function remember(
  seenAt: Map<string, Millis>,
  name: string,
  now: Millis,
): void {
  seenAt.delete(name);
  seenAt.set(name, now);
  for (const [oldest, time] of seenAt) {
    if (now - time < MEMORY_TIME && seenAt.size <= MAX_REMEMBERED) {
      return;
    }
    seenAt.delete(oldest);
  }
}
