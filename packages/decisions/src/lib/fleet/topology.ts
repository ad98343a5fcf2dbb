/**
 * Chooses the instances with which an instance exchanges state. A small fleet
 * is a full mesh. In a larger one each availability zone has a relay: the other
 * instances of the zone communicate with it only, and the relays communicate
 * with each other, so that the number of messages grows linearly with the size
 * of the fleet, not quadratically.
 *
 * Instances hold no election: each follows the live instance of its zone that
 * ranks highest in its own view. Two relays in a zone at once only cost some
 * messages, and a missing relay is detected by its silence.
 *
 * All instances must stay connected in a large fleet, also when relays are
 * killed, frozen or cut off from the network, and when instances are added.
 */
import type {Millis} from '../base/clock.js';

/** An instance as the others know it. */
export interface Member {
  /** Address where it accepts links, as `ip:port`. */
  address: string;
  zone: string;
  /** Relative capacity; the instance with most becomes its zone's relay. */
  capacity: number;
  /** Whether it is shutting down. */
  leaving: boolean;
  /**
   * Address at which it forwards requests to upstreams for others, as
   * `ip:port`; undefined if it does not.
   */
  proxy?: string | undefined;
  /** Whether it is partitioned from the upstreams; undefined if unknown. */
  partitioned?: boolean | undefined;
}

/** A member as another instance reports it. */
export interface ReportedMember extends Member {
  /** Time since the reporting instance last knew it to be running. */
  age: Millis;
}

/** What a member tells about itself in a heartbeat. */
export interface MemberHeartbeat extends Member {
  /** Whether it follows the receiver as its relay. */
  follows: boolean;
  /** Whether it relays the state of its zone to the receiver. */
  relays: boolean;
}

/** Addresses of the instances with which an instance exchanges state. */
export interface ExchangePartners {
  /** The relay that it follows; undefined if it follows none. */
  relay: string | undefined;
  /** Instances that follow it as their relay. */
  followers: string[];
  /** Relays of other zones, or all other instances of a small fleet. */
  meshPeers: string[];
}

/** Maximum number of instances in a full mesh. */
export const MAX_MESH_INSTANCES = 16;

/** Silence after which a member is considered stopped. */
export const MEMBER_TIMEOUT: Millis = 4_000;

/** Silence of a relay after which another one is followed. */
const RELAY_TIMEOUT: Millis = 1_000;

/** Time for which a relay that became silent is not tried again. */
const RELAY_RETRY_DELAY: Millis = 3_000;

/** Maximum number of relays tried at once for a zone without a known one. */
const MAX_RELAY_CANDIDATES = 2;

/** Silence after which a member is removed. */
const MEMBER_RETENTION: Millis = 30_000;

/**
 * Maximum number of members reported for each zone that is neither the sender's
 * nor the receiver's, in a fleet that is no full mesh.
 */
const MAX_REPORTED_PER_OTHER_ZONE = 3;

/** What is known of a member; times of missing events are `-Infinity`. */
interface MemberState {
  member: Member;
  /** When its last heartbeat arrived. */
  heardAt: Millis;
  /** When it was last running, as reported by other instances. */
  reportedAt: Millis;
  /** When its last heartbeat arrived, if that said it follows this instance. */
  followedAt: Millis;
  /** When its last heartbeat arrived, if that said it relays its zone here. */
  relayedAt: Millis;
  /** When it was chosen as a relay; undefined once it is heard after that. */
  chosenAt: Millis | undefined;
  /** Before this time it is not tried as a relay, as it was silent as one. */
  retryAt: Millis;
}

/** The other instances as known to one instance. */
export class Topology {
  private readonly states = new Map<string, MemberState>();

  constructor(private self: Member) {}

  /** Marks this instance as shutting down, so that no other follows it. */
  markSelfLeaving(): void {
    this.self = {...this.self, leaving: true};
  }

  /** Records a heartbeat of a member. */
  recordHeartbeat(
    {follows, relays, ...member}: MemberHeartbeat,
    now: Millis,
  ): void {
    const state = this.getOrCreateState(member, now);
    state.member = member;
    state.heardAt = now;
    state.chosenAt = undefined;
    state.followedAt = follows ? now : -Infinity;
    state.relayedAt = relays ? now : -Infinity;
  }

  /** Records a report, unless it is outdated or about this instance. */
  recordReport({age, ...member}: ReportedMember, now: Millis): void {
    if (member.address === this.self.address || age > MEMBER_TIMEOUT) {
      return;
    }
    const state = this.getOrCreateState(member, now);
    if (now - age > Math.max(state.heardAt, state.reportedAt)) {
      state.reportedAt = now - age;
      state.member = member;
    }
  }

  /** Chooses the instances with which to exchange state now. */
  choosePartners(now: Millis): ExchangePartners {
    this.removeExpired(now);
    const live = this.liveStates(now);
    if (live.length < MAX_MESH_INSTANCES) {
      const meshPeers = live.map(state => state.member.address);
      return {relay: undefined, followers: [], meshPeers};
    }
    const followers = live
      .filter(state => now - state.followedAt < RELAY_TIMEOUT)
      .map(state => state.member.address);
    const relay = this.chooseRelay(live, now);
    if (relay !== undefined) {
      const otherFollowers = followers.filter(address => address !== relay);
      return {relay, followers: otherFollowers, meshPeers: []};
    }
    return {
      relay,
      followers,
      meshPeers: this.chooseMeshPeers(live, now, followers),
    };
  }

  /** Returns the other instances that are considered running. */
  liveMembers(now: Millis): Member[] {
    return this.liveStates(now).map(({member}) => member);
  }

  /** Returns the time since a member's last heartbeat; Infinity if none. */
  timeSinceHeard(address: string, now: Millis): Millis {
    return now - (this.states.get(address)?.heardAt ?? -Infinity);
  }

  /** Returns the members to report to an instance of a zone. */
  membersToReport(now: Millis, zone: string): ReportedMember[] {
    const reported: ReportedMember[] = [];
    const countByZone = new Map<string, number>();
    const ranked = this.liveStates(now).sort((a, b) =>
      compareRanks(a.member, b.member),
    );
    const isFullMesh = ranked.length < MAX_MESH_INSTANCES;
    for (const {member, heardAt, reportedAt} of ranked) {
      const count = countByZone.get(member.zone) ?? 0;
      countByZone.set(member.zone, count + 1);
      const isNear = member.zone === zone || member.zone === this.self.zone;
      if (isFullMesh || isNear || count < MAX_REPORTED_PER_OTHER_ZONE) {
        const age = now - Math.max(heardAt, reportedAt);
        reported.push({...member, age});
      }
    }
    return reported;
  }

  /**
   * Returns the relay to follow; undefined if this instance ranks highest or no
   * candidate answers.
   */
  private chooseRelay(live: MemberState[], now: Millis): string | undefined {
    const candidates = live
      .filter(({member}) => member.zone === this.self.zone && !member.leaving)
      .sort((a, b) => compareRanks(a.member, b.member));
    for (const state of candidates) {
      if (!this.self.leaving && compareRanks(this.self, state.member) < 0) {
        return undefined;
      }
      if (this.tryCandidate(state, now)) {
        return state.member.address;
      }
    }
    return undefined;
  }

  /**
   * Whether a member may be used as a relay. The first call starts the time
   * within which it must be heard; if it isn't, it is not used for a while.
   */
  private tryCandidate(state: MemberState, now: Millis): boolean {
    if (state.retryAt > now) {
      return false;
    }
    state.chosenAt ??= now;
    const silentSince = Math.max(state.heardAt, state.chosenAt);
    if (now - silentSince <= RELAY_TIMEOUT) {
      return true;
    }
    state.retryAt = now + RELAY_RETRY_DELAY;
    state.chosenAt = undefined;
    return false;
  }

  /**
   * Returns the relays of other zones: those whose heartbeats said that they
   * relay to this instance, and the highest-ranking candidates of each zone.
   */
  private chooseMeshPeers(
    live: MemberState[],
    now: Millis,
    followers: string[],
  ): string[] {
    const relays = live.filter(state => now - state.relayedAt < RELAY_TIMEOUT);
    const addresses = new Set(relays.map(({member}) => member.address));
    const zonesWithRelay = new Set(relays.map(({member}) => member.zone));
    const countByZone = new Map<string, number>();
    // All relays may have stopped at once, so members that have been silent for
    // long are candidates as well.
    const candidates = [...this.states.values()]
      .filter(({member}) => member.zone !== this.self.zone && !member.leaving)
      .sort((a, b) => compareRanks(a.member, b.member));
    for (const state of candidates) {
      const {zone, address} = state.member;
      const count = countByZone.get(zone) ?? 0;
      const maxCandidates = zonesWithRelay.has(zone) ? 1 : MAX_RELAY_CANDIDATES;
      if (count < maxCandidates && this.tryCandidate(state, now)) {
        countByZone.set(zone, count + 1);
        addresses.add(address);
      }
    }
    followers.forEach(address => addresses.delete(address));
    return [...addresses];
  }

  private liveStates(now: Millis): MemberState[] {
    return [...this.states.values()].filter(
      ({heardAt, reportedAt}) =>
        now - Math.max(heardAt, reportedAt) < MEMBER_TIMEOUT,
    );
  }

  private removeExpired(now: Millis): void {
    for (const [address, {heardAt, reportedAt}] of this.states) {
      if (now - Math.max(heardAt, reportedAt) > MEMBER_RETENTION) {
        this.states.delete(address);
      }
    }
  }

  private getOrCreateState(member: Member, now: Millis): MemberState {
    let state = this.states.get(member.address);
    if (state === undefined) {
      state = {
        member,
        heardAt: -Infinity,
        reportedAt: -Infinity,
        followedAt: -Infinity,
        relayedAt: -Infinity,
        chosenAt: undefined,
        retryAt: now,
      };
      this.states.set(member.address, state);
    }
    return state;
  }
}

/**
 * Compares two members by their rank as a relay: higher capacity first, then
 * lower address. The order is the same on all instances.
 */
function compareRanks(first: Member, second: Member): number {
  const byCapacity = second.capacity - first.capacity;
  return byCapacity !== 0
    ? byCapacity
    : first.address < second.address
      ? -1
      : Number(first.address > second.address);
}
