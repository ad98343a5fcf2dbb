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
export interface VouchedMember extends Member {
  /** Time since that instance knew it to run. */
  age: Millis;
}

/** What a member says of itself in a beat. */
export interface DirectNews extends Member {
  /** Whether it takes the receiver as its relay. */
  follows: boolean;
  /** Whether it relays news of its zone to the receiver. */
  relays: boolean;
}

/** With whom an instance exchanges news now. */
export interface Exchange {
  /** The instance that it follows; undefined if it follows none. */
  relay: string | undefined;
  /** Instances that follow it. */
  followers: string[];
  /** Relays of other zones, or all instances of a small fleet. */
  equals: string[];
}

/** Most instances that form a full mesh. */
export const MESH_MOST = 16;

/** Silence after which a member counts as not running. */
export const MEMBER_SILENCE: Millis = 4_000;

/** Silence after which another relay is followed. */
const RELAY_SILENCE: Millis = 1_000;

/** Time for which a relay that fell silent is not followed. */
const RELAY_PAUSE: Millis = 3_000;

/** Members of a zone that are tried at once while none relays for it. */
const MOST_CANDIDATES = 2;

/** Silence after which a member is forgotten. */
const MEMBER_MEMORY: Millis = 30_000;

/** Members of another zone of which an instance tells its followers. */
const MOST_OF_OTHER_ZONES = 3;

interface State {
  member: Member;
  heardAt: Millis;
  vouchedAt: Millis;
  followedAt: Millis;
  relayedAt: Millis;
  /** When it was chosen as the relay and had not been heard yet. */
  chosenAt: Millis | undefined;
  pausedUntil: Millis;
}

/** The other instances in the view of one instance. */
export class Topology {
  private readonly states = new Map<string, State>();

  constructor(private self: Member) {}

  /** The instance itself stops soon; nobody is to follow it. */
  leave(): void {
    this.self = {...this.self, leaving: true};
  }

  /** Takes what a member says of itself. */
  heard({follows, relays, ...member}: DirectNews, now: Millis): void {
    const state = this.of(member, now);
    state.member = member;
    state.heardAt = now;
    state.chosenAt = undefined;
    state.followedAt = follows ? now : -Infinity;
    state.relayedAt = relays ? now : -Infinity;
  }

  /** Takes what an instance tells of another one. */
  vouched({age, ...member}: VouchedMember, now: Millis): void {
    if (member.address === this.self.address || age > MEMBER_SILENCE) {
      return;
    }
    const state = this.of(member, now);
    if (now - age > Math.max(state.heardAt, state.vouchedAt)) {
      state.vouchedAt = now - age;
      state.member = member;
    }
  }

  /** Chooses with whom to exchange news now. */
  choose(now: Millis): Exchange {
    this.forget(now);
    const running = this.running(now);
    if (running.length < MESH_MOST) {
      const equals = running.map(state => state.member.address);
      return {relay: undefined, followers: [], equals};
    }
    const followers = running
      .filter(state => now - state.followedAt < RELAY_SILENCE)
      .map(state => state.member.address);
    const relay = this.chooseRelay(running, now);
    if (relay !== undefined) {
      const others = followers.filter(address => address !== relay);
      return {relay, followers: others, equals: []};
    }
    return {relay, followers, equals: this.equals(running, now, followers)};
  }

  /** Members that run, in this instance's view, without itself. */
  live(now: Millis): Member[] {
    return this.running(now).map(({member}) => member);
  }

  /** Time since a member was heard; Infinity if never. */
  silence(address: string, now: Millis): Millis {
    return now - (this.states.get(address)?.heardAt ?? -Infinity);
  }

  /** What another instance of a zone should know of the members. */
  known(now: Millis, zone: string): VouchedMember[] {
    const told: VouchedMember[] = [];
    const counts = new Map<string, number>();
    const ranked = this.running(now).sort((a, b) =>
      compareRanks(a.member, b.member),
    );
    const mesh = ranked.length < MESH_MOST;
    for (const {member, heardAt, vouchedAt} of ranked) {
      const count = counts.get(member.zone) ?? 0;
      counts.set(member.zone, count + 1);
      const near = member.zone === zone || member.zone === this.self.zone;
      if (mesh || near || count < MOST_OF_OTHER_ZONES) {
        const age = now - Math.max(heardAt, vouchedAt);
        told.push({...member, age});
      }
    }
    return told;
  }

  /** The relay to follow; undefined if this instance ranks highest. */
  private chooseRelay(running: State[], now: Millis): string | undefined {
    const near = running
      .filter(({member}) => member.zone === this.self.zone && !member.leaving)
      .sort((a, b) => compareRanks(a.member, b.member));
    for (const state of near) {
      if (!this.self.leaving && compareRanks(this.self, state.member) < 0) {
        return undefined;
      }
      if (this.mayFollow(state, now)) {
        return state.member.address;
      }
    }
    return undefined;
  }

  private mayFollow(state: State, now: Millis): boolean {
    if (state.pausedUntil > now) {
      return false;
    }
    state.chosenAt ??= now;
    const since = Math.max(state.heardAt, state.chosenAt);
    if (now - since <= RELAY_SILENCE) {
      return true;
    }
    state.pausedUntil = now + RELAY_PAUSE;
    state.chosenAt = undefined;
    return false;
  }

  /** Relays of other zones: those that were heard as such, and candidates. */
  private equals(running: State[], now: Millis, followers: string[]): string[] {
    const relays = running.filter(
      state => now - state.relayedAt < RELAY_SILENCE,
    );
    const chosen = new Set(relays.map(({member}) => member.address));
    const heard = new Set(relays.map(({member}) => member.zone));
    const counts = new Map<string, number>();
    // All relays may have ended at once: who was silent for long counts too.
    const others = [...this.states.values()]
      .filter(({member}) => member.zone !== this.self.zone && !member.leaving)
      .sort((a, b) => compareRanks(a.member, b.member));
    for (const state of others) {
      const {zone, address} = state.member;
      const count = counts.get(zone) ?? 0;
      const most = heard.has(zone) ? 1 : MOST_CANDIDATES;
      if (count < most && this.mayFollow(state, now)) {
        counts.set(zone, count + 1);
        chosen.add(address);
      }
    }
    followers.forEach(address => chosen.delete(address));
    return [...chosen];
  }

  private running(now: Millis): State[] {
    return [...this.states.values()].filter(
      ({heardAt, vouchedAt}) =>
        now - Math.max(heardAt, vouchedAt) < MEMBER_SILENCE,
    );
  }

  private forget(now: Millis): void {
    for (const [address, {heardAt, vouchedAt}] of this.states) {
      if (now - Math.max(heardAt, vouchedAt) > MEMBER_MEMORY) {
        this.states.delete(address);
      }
    }
  }

  private of(member: Member, now: Millis): State {
    let state = this.states.get(member.address);
    if (state === undefined) {
      state = {
        member,
        heardAt: -Infinity,
        vouchedAt: -Infinity,
        followedAt: -Infinity,
        relayedAt: -Infinity,
        chosenAt: undefined,
        pausedUntil: now,
      };
      this.states.set(member.address, state);
    }
    return state;
  }
}

/** Negative if the first ranks higher as a relay; all instances agree. */
function compareRanks(one: Member, other: Member): number {
  const byCapacity = other.capacity - one.capacity;
  return byCapacity !== 0
    ? byCapacity
    : one.address < other.address
      ? -1
      : Number(one.address > other.address);
}
