/** Choice and replacement of relays, checked in virtual time. */
import {expect} from 'chai';
import {MAX_MESH_INSTANCES, Topology} from '../../lib/fleet/topology.js';
import type {ExchangePartners, Member} from '../../lib/fleet/topology.js';
import type {Millis} from '../../lib/base/clock.js';

/** Interval between heartbeats in the simulation. */
const HEARTBEAT_INTERVAL: Millis = 300;

/** One instance of the simulation. */
interface Instance {
  member: Member;
  topology: Topology;
  partners: ExchangePartners;
  running: boolean;
}

/** A fleet whose heartbeats arrive immediately, unless a link is cut. */
class Simulation {
  readonly instances: Instance[] = [];
  heartbeatCount = 0;
  private now: Millis = 0;
  private readonly cutLinks = new Set<string>();

  constructor(zones: number, instancesPerZone: number) {
    for (let zone = 0; zone < zones; zone++) {
      for (let index = 0; index < instancesPerZone; index++) {
        this.add(`z${zone}`, index === 0 ? 100 : 10);
      }
    }
  }

  /** Adds an instance that knows only the seeds. */
  add(zone: string, capacity: number): Instance {
    const address = `10.0.0.${this.instances.length}:1`;
    const member = {address, zone, capacity, leaving: false};
    const partners = {relay: undefined, followers: [], meshPeers: []};
    const topology = new Topology(member);
    const instance = {member, topology, partners, running: true};
    this.instances.push(instance);
    return instance;
  }

  /** Drops all messages from one instance to another. */
  cut(from: Instance, to: Instance): void {
    this.cutLinks.add(`${from.member.address}>${to.member.address}`);
  }

  /** Advances the time; each instance sends its heartbeats. */
  run(duration: Millis): void {
    for (let elapsed = 0; elapsed < duration; elapsed += HEARTBEAT_INTERVAL) {
      this.now += HEARTBEAT_INTERVAL;
      this.instances
        .filter(instance => instance.running)
        .forEach(instance => this.sendHeartbeats(instance));
    }
  }

  /** Returns the relay that an instance follows. */
  relayOf(instance: Instance): Instance | undefined {
    const {relay} = instance.partners;
    return this.instances.find(candidate => candidate.member.address === relay);
  }

  /** Whether all running instances can be reached through partners. */
  isConnected(): boolean {
    const running = this.instances.filter(instance => instance.running);
    const reached = new Set<Instance>();
    const queue = running.slice(0, 1);
    while (queue.length > 0) {
      const current = queue.pop() as Instance;
      if (!reached.has(current)) {
        reached.add(current);
        queue.push(
          ...this.partnersOf(current).filter(partner => partner.running),
        );
      }
    }
    return reached.size === running.length;
  }

  private partnersOf({partners}: Instance): Instance[] {
    const {relay, followers, meshPeers} = partners;
    const addresses = new Set([relay, ...followers, ...meshPeers]);
    return this.instances.filter(instance =>
      addresses.has(instance.member.address),
    );
  }

  private sendHeartbeats(instance: Instance): void {
    instance.partners = instance.topology.choosePartners(this.now);
    const partners = this.partnersOf(instance);
    const isAlone = instance.topology.liveMembers(this.now).length === 0;
    const seeds = isAlone ? this.instances.slice(0, 3) : [];
    for (const to of new Set([...partners, ...seeds])) {
      this.sendHeartbeat(instance, to);
      if (isAlone) {
        this.sendHeartbeat(to, instance);
      }
    }
  }

  private sendHeartbeat(from: Instance, to: Instance): void {
    const link = `${from.member.address}>${to.member.address}`;
    const isDelivered = from.running && to.running && !this.cutLinks.has(link);
    if (from === to || !isDelivered) {
      return;
    }
    this.heartbeatCount += 1;
    const {relay, meshPeers} = from.partners;
    const {address} = to.member;
    const follows = relay === address;
    const relays = meshPeers.includes(address);
    to.topology.recordHeartbeat({...from.member, follows, relays}, this.now);
    for (const member of from.topology.membersToReport(
      this.now,
      to.member.zone,
    )) {
      to.topology.recordReport(member, this.now);
    }
  }
}

interface RelayCase {
  name: string;
  zones: number;
  instancesPerZone: number;
  /** The fault, applied after the fleet has chosen its relays. */
  injectFault?: (simulation: Simulation) => void;
  /** Time until the fleet must have recovered. */
  recoveryTime: Millis;
  /** Expected number of relays at the end. */
  relayCount: number;
}

const CASES: RelayCase[] = [
  {
    name: 'has one relay in one zone',
    zones: 1,
    instancesPerZone: 40,
    recoveryTime: 0,
    relayCount: 1,
  },
  {
    name: 'has one relay in each of four zones',
    zones: 4,
    instancesPerZone: 16,
    recoveryTime: 0,
    relayCount: 4,
  },
  {
    name: 'has one relay in each of twelve zones',
    zones: 12,
    instancesPerZone: 34,
    recoveryTime: 0,
    relayCount: 12,
  },
  {
    name: 'replaces a relay that is killed',
    zones: 4,
    instancesPerZone: 16,
    injectFault: ({instances}) => kill(instances[0]),
    recoveryTime: 2_400,
    relayCount: 4,
  },
  {
    name: 'replaces all relays when they are killed at once',
    zones: 4,
    instancesPerZone: 16,
    injectFault: ({instances}) =>
      [0, 16, 32, 48].forEach(index => kill(instances[index])),
    recoveryTime: 6_000,
    relayCount: 4,
  },
  {
    name: 'recovers when half of the instances are killed at once',
    zones: 4,
    instancesPerZone: 16,
    injectFault: ({instances}) =>
      instances.forEach((instance, index) => index % 2 === 0 && kill(instance)),
    recoveryTime: 6_000,
    relayCount: 4,
  },
  {
    name: 'recovers when all instances of a zone are killed',
    zones: 4,
    instancesPerZone: 16,
    injectFault: ({instances}) => instances.slice(0, 16).forEach(kill),
    recoveryTime: 6_000,
    relayCount: 3,
  },
];

function kill(instance: Instance | undefined): void {
  if (instance !== undefined) {
    instance.running = false;
  }
}

describe('relays of a large fleet', () => {
  for (const {
    name,
    zones,
    instancesPerZone,
    injectFault,
    recoveryTime,
    relayCount,
  } of CASES) {
    it(name, () => {
      const simulation = new Simulation(zones, instancesPerZone);
      simulation.run(6_000);
      injectFault?.(simulation);
      simulation.run(recoveryTime);
      expect(simulation.isConnected()).to.equal(true);
      const running = simulation.instances.filter(instance => instance.running);
      const relays = running.filter(
        instance => instance.partners.relay === undefined,
      );
      expect(relays.length).to.equal(relayCount);
      for (const current of running) {
        const relay = simulation.relayOf(current);
        expect(relay?.running ?? true, current.member.address).to.equal(true);
        expect(relay?.member.zone ?? current.member.zone).to.equal(
          current.member.zone,
        );
      }
    });
  }

  it('sends heartbeats whose number grows linearly with the fleet', () => {
    const counts = [16, 32].map(instancesPerZone => {
      const simulation = new Simulation(4, instancesPerZone);
      simulation.run(6_000);
      simulation.heartbeatCount = 0;
      simulation.run(3_000);
      return simulation.heartbeatCount;
    });
    expect((counts[1] ?? 0) / (counts[0] ?? 1)).to.be.below(2.2);
  });

  it('is a full mesh up to the maximum size of a mesh', () => {
    const simulation = new Simulation(4, MAX_MESH_INSTANCES / 4);
    simulation.run(3_000);
    for (const {partners} of simulation.instances) {
      expect(partners.meshPeers.length).to.equal(MAX_MESH_INSTANCES - 1);
      expect(partners.relay).to.equal(undefined);
    }
  });

  it('follows another relay when messages from the relay are lost', () => {
    const simulation = new Simulation(4, 16);
    simulation.run(6_000);
    const [relay, other] = simulation.instances as [Instance, Instance];
    simulation.cut(relay, other);
    simulation.run(2_400);
    const newRelay = simulation.relayOf(other);
    expect(newRelay).to.not.equal(undefined);
    expect(newRelay).to.not.equal(relay);
    expect(newRelay?.partners.followers).to.include(other.member.address);
    expect(simulation.isConnected()).to.equal(true);
  });

  it('follows the relay of its zone after a start with seeds elsewhere', () => {
    const simulation = new Simulation(4, 16);
    simulation.run(6_000);
    const added = simulation.add('z3', 10);
    simulation.run(1_200);
    expect(simulation.relayOf(added)).to.equal(simulation.instances[48]);
  });

  it('stops following a relay that is shutting down', () => {
    const simulation = new Simulation(4, 16);
    simulation.run(6_000);
    const [relay, other] = simulation.instances as [Instance, Instance];
    relay.topology.markSelfLeaving();
    relay.member.leaving = true;
    simulation.run(1_500);
    expect(simulation.relayOf(other)).to.not.equal(relay);
    expect(simulation.isConnected()).to.equal(true);
  });
});
