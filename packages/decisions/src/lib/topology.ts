/**
 * With whom an instance exchanges news. A small fleet is a full mesh. In a
 * larger one each availability zone has a relay: the others of the zone talk
 * to it alone, and the relays talk to each other, so that the messages of the
 * fleet grow with its size and not with its square. Nobody agrees on a relay:
 * each instance follows the live instance of its zone that ranks highest in its
 * own view. Two relays by mistake cost some messages; none is noticed by its
 * silence. Load patterns: many instances; relays that are killed, cut off or
 * frozen; instances that are added.
 */
import type {Millis} from './clock.js';

/** An instance as the others know it. */
export interface Member {
  /** Where it takes links, as `ip:port`. */
  address: string;
  zone: string;
  /** What it can carry; the highest becomes the relay of its zone. */
  capacity: number;
  leaving: boolean;
}

/** A member of which another instance tells. */
export interface ReportedMember extends Member {
  /** Time since that instance knew it to run. */
  age: Millis;
}

/** What a member says of itself in a beat. */
export interface MemberHeartbeat extends Member {
  /** Whether it takes the receiver as its relay. */
  follows: boolean;
  /** Whether it relays news of its zone to the receiver. */
  relays: boolean;
}

/** With whom an instance exchanges news now. */
export interface ExchangePartners {
  /** The instance that it follows; undefined if it follows none. */
  relay: string | undefined;
  /** Instances that follow it. */
  followers: string[];
  /** Relays of other zones, or all instances of a small fleet. */
  meshPeers: string[];
}

/** Most instances that form a full mesh. */
export const MAX_MESH_INSTANCES = 16;

/** Silence after which a member counts as not running. */
export const MEMBER_TIMEOUT: Millis = 4_000;

/** Silence after which another relay is followed. */
const RELAY_TIMEOUT: Millis = 1_000;

/** Time for which a relay that fell silent is not followed. */
const RELAY_RETRY_DELAY: Millis = 3_000;

/** Members of a zone that are tried at once while none relays for it. */
const MAX_RELAY_CANDIDATES = 2;

/** Silence after which a member is forgotten. */
const MEMBER_RETENTION: Millis = 30_000;

/** Members of another zone of which an instance tells its followers. */
const MAX_REPORTED_PER_OTHER_ZONE = 3;

interface MemberState {
  member: Member;
  heardAt: Millis;
  reportedAt: Millis;
  followedAt: Millis;
  relayedAt: Millis;
  /** When it was chosen as the relay and had not been heard yet. */
  chosenAt: Millis | undefined;
  retryAt: Millis;
}

/** The other instances in the view of one instance. */
export class Topology {
  private readonly states = new Map<string, MemberState>();

  constructor(private self: Member) {}

  /** The instance itself stops soon; nobody is to follow it. */
  markSelfLeaving(): void {
    this.self = {...this.self, leaving: true};
  }

  /** Takes what a member says of itself. */
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

  /** Takes what an instance tells of another one. */
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

  /** Chooses with whom to exchange news now. */
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

  /** Members that run, in this instance's view, without itself. */
  liveMembers(now: Millis): Member[] {
    return this.liveStates(now).map(({member}) => member);
  }

  /** Time since a member was heard; Infinity if never. */
  timeSinceHeard(address: string, now: Millis): Millis {
    return now - (this.states.get(address)?.heardAt ?? -Infinity);
  }

  /** What another instance of a zone should know of the members. */
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

  /** The relay to follow; undefined if this instance ranks highest. */
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

  /** Relays of other zones: those that were heard as such, and candidates. */
  private chooseMeshPeers(
    live: MemberState[],
    now: Millis,
    followers: string[],
  ): string[] {
    const relays = live.filter(state => now - state.relayedAt < RELAY_TIMEOUT);
    const addresses = new Set(relays.map(({member}) => member.address));
    const zonesWithRelay = new Set(relays.map(({member}) => member.zone));
    const countByZone = new Map<string, number>();
    // All relays may have ended at once: who was silent for long counts too.
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

/** Negative if the first ranks higher as a relay; all instances agree. */
function compareRanks(first: Member, second: Member): number {
  const byCapacity = second.capacity - first.capacity;
  return byCapacity !== 0
    ? byCapacity
    : first.address < second.address
      ? -1
      : Number(first.address > second.address);
}
