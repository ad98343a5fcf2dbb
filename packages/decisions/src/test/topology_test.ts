/** Relays are found, replaced and never missed, on virtual time. */
import {expect} from 'chai';
import {MESH_MOST, Topology} from '../lib/topology.js';
import type {Exchange, Member} from '../lib/topology.js';
import type {Millis} from '../lib/clock.js';

/** Interval of beats in the simulation. */
const BEAT: Millis = 300;

/** One instance of the simulation. */
interface Instance {
  member: Member;
  topology: Topology;
  exchange: Exchange;
  running: boolean;
}

/** A fleet whose beats arrive at once, unless a link is cut. */
class Simulation {
  readonly instances: Instance[] = [];
  beats = 0;
  private now: Millis = 0;
  private readonly cuts = new Set<string>();

  constructor(zones: number, perZone: number) {
    for (let zone = 0; zone < zones; zone++) {
      for (let index = 0; index < perZone; index++) {
        this.add(`z${zone}`, index === 0 ? 100 : 10);
      }
    }
  }

  /** Adds an instance that knows nothing but the seeds. */
  add(zone: string, capacity: number): Instance {
    const address = `10.0.0.${this.instances.length}:1`;
    const member = {address, zone, capacity, leaving: false};
    const exchange = {relay: undefined, followers: [], equals: []};
    const topology = new Topology(member);
    const instance = {member, topology, exchange, running: true};
    this.instances.push(instance);
    return instance;
  }

  /** Cuts the way from one address to another. */
  cut(from: Instance, to: Instance): void {
    this.cuts.add(`${from.member.address}>${to.member.address}`);
  }

  /** Lets time pass. */
  run(span: Millis): void {
    for (let passed = 0; passed < span; passed += BEAT) {
      this.now += BEAT;
      this.instances.filter(one => one.running).forEach(one => this.beat(one));
    }
  }

  /** The instance that another one follows. */
  relayOf(instance: Instance): Instance | undefined {
    const {relay} = instance.exchange;
    return this.instances.find(one => one.member.address === relay);
  }

  /** Whether news of each running instance reach all others. */
  connected(): boolean {
    const running = this.instances.filter(one => one.running);
    const reached = new Set<Instance>();
    const next = running.slice(0, 1);
    while (next.length > 0) {
      const one = next.pop() as Instance;
      if (!reached.has(one)) {
        reached.add(one);
        next.push(...this.partnersOf(one).filter(other => other.running));
      }
    }
    return reached.size === running.length;
  }

  private partnersOf({exchange}: Instance): Instance[] {
    const {relay, followers, equals} = exchange;
    const addresses = new Set([relay, ...followers, ...equals]);
    return this.instances.filter(one => addresses.has(one.member.address));
  }

  private beat(instance: Instance): void {
    instance.exchange = instance.topology.choose(this.now);
    const partners = this.partnersOf(instance);
    const alone = instance.topology.live(this.now).length === 0;
    const seeds = alone ? this.instances.slice(0, 3) : [];
    for (const to of new Set([...partners, ...seeds])) {
      this.send(instance, to);
      if (alone) {
        this.send(to, instance);
      }
    }
  }

  private send(from: Instance, to: Instance): void {
    const way = `${from.member.address}>${to.member.address}`;
    const passes = from.running && to.running && !this.cuts.has(way);
    if (from === to || !passes) {
      return;
    }
    this.beats += 1;
    const {relay, equals} = from.exchange;
    const {address} = to.member;
    const follows = relay === address;
    const relays = equals.includes(address);
    to.topology.heard({...from.member, follows, relays}, this.now);
    for (const one of from.topology.known(this.now, to.member.zone)) {
      to.topology.vouched(one, this.now);
    }
  }
}

interface Case {
  name: string;
  zones: number;
  perZone: number;
  /** What happens once the fleet has found itself. */
  disturb?: (simulation: Simulation) => void;
  /** Time after which all must be well again. */
  within: Millis;
  /** Relays at the end. */
  relays: number;
}

const CASES: Case[] = [
  {name: 'one zone', zones: 1, perZone: 40, within: 0, relays: 1},
  {name: 'four zones', zones: 4, perZone: 16, within: 0, relays: 4},
  {name: 'twelve zones', zones: 12, perZone: 34, within: 0, relays: 12},
  {
    name: 'a relay is killed',
    zones: 4,
    perZone: 16,
    disturb: ({instances}) => kill(instances[0]),
    within: 2_400,
    relays: 4,
  },
  {
    name: 'all relays are killed at once',
    zones: 4,
    perZone: 16,
    disturb: ({instances}) =>
      [0, 16, 32, 48].forEach(index => kill(instances[index])),
    within: 6_000,
    relays: 4,
  },
  {
    name: 'half of all are killed at once',
    zones: 4,
    perZone: 16,
    disturb: ({instances}) =>
      instances.forEach((one, index) => index % 2 === 0 && kill(one)),
    within: 6_000,
    relays: 4,
  },
  {
    name: 'a zone is lost',
    zones: 4,
    perZone: 16,
    disturb: ({instances}) => instances.slice(0, 16).forEach(kill),
    within: 6_000,
    relays: 3,
  },
];

function kill(instance: Instance | undefined): void {
  if (instance !== undefined) {
    instance.running = false;
  }
}

describe('relays of a large fleet', () => {
  for (const {name, zones, perZone, disturb, within, relays} of CASES) {
    it(name, () => {
      const simulation = new Simulation(zones, perZone);
      simulation.run(6_000);
      disturb?.(simulation);
      simulation.run(within);
      expect(simulation.connected()).to.equal(true);
      const running = simulation.instances.filter(one => one.running);
      const tops = running.filter(one => one.exchange.relay === undefined);
      expect(tops.length).to.equal(relays);
      for (const one of running) {
        const relay = simulation.relayOf(one);
        expect(relay?.running ?? true, one.member.address).to.equal(true);
        expect(relay?.member.zone ?? one.member.zone).to.equal(one.member.zone);
      }
    });
  }

  it('sends beats that grow with the fleet, not with its square', () => {
    const beats = [16, 32].map(perZone => {
      const simulation = new Simulation(4, perZone);
      simulation.run(6_000);
      simulation.beats = 0;
      simulation.run(3_000);
      return simulation.beats;
    });
    expect((beats[1] ?? 0) / (beats[0] ?? 1)).to.be.below(2.2);
  });

  it('is a full mesh while the fleet is small', () => {
    const simulation = new Simulation(4, MESH_MOST / 4);
    simulation.run(3_000);
    for (const {exchange} of simulation.instances) {
      expect(exchange.equals.length).to.equal(MESH_MOST - 1);
      expect(exchange.relay).to.equal(undefined);
    }
  });

  it('serves an instance that hears the relay and is not heard by it', () => {
    const simulation = new Simulation(4, 16);
    simulation.run(6_000);
    const [relay, other] = simulation.instances as [Instance, Instance];
    simulation.cut(relay, other);
    simulation.run(2_400);
    const next = simulation.relayOf(other);
    expect(next).to.not.equal(undefined);
    expect(next).to.not.equal(relay);
    expect(next?.exchange.followers).to.include(other.member.address);
    expect(simulation.connected()).to.equal(true);
  });

  it('finds a new instance whose seeds are in other zones', () => {
    const simulation = new Simulation(4, 16);
    simulation.run(6_000);
    const added = simulation.add('z3', 10);
    simulation.run(1_200);
    expect(simulation.relayOf(added)).to.equal(simulation.instances[48]);
  });

  it('follows no relay that leaves', () => {
    const simulation = new Simulation(4, 16);
    simulation.run(6_000);
    const [relay, other] = simulation.instances as [Instance, Instance];
    relay.topology.leave();
    relay.member.leaving = true;
    simulation.run(1_500);
    expect(simulation.relayOf(other)).to.not.equal(relay);
    expect(simulation.connected()).to.equal(true);
  });
});
