/**
 * All instances together must not send an upstream more than the limit that it
 * names, and must use most of it, however many they are and whoever is pressed.
 */
import {expect} from 'chai';
import {
  LimitChange,
  RequestLimits,
} from '../../lib/upstreams/request_limits.js';
import type {FleetMember, FleetView} from '../../lib/upstreams/fleet_share.js';

const UPSTREAM = 'u1';
const SECOND = 1_000;

/** Length of the window in which requests are counted, in milliseconds. */
const WINDOW = 4 * SECOND;

/** Time between two attempts of each instance to send, in milliseconds. */
const ATTEMPT_INTERVAL = 20;

const RUN_TIME = 120 * SECOND;

/** Fraction of the limit that pressed instances must at least use. */
const MIN_USE = 0.7;

function createMembers(count: number, zoneCount: number): FleetMember[] {
  return Array.from({length: count}, (_, index) => ({
    address: `10.0.${index}.1:7`,
    zone: `zone-${index % zoneCount}`,
  }));
}

/** Returns the most requests in any window. */
function maxInWindow(times: readonly number[]): number {
  let first = 0;
  let maximum = 0;
  for (const [index, time] of times.entries()) {
    while ((times[first] ?? 0) <= time - WINDOW) {
      first += 1;
    }
    maximum = Math.max(maximum, index - first + 1);
  }
  return maximum;
}

interface FleetCase {
  name: string;
  instances: number;
  zones: number;
  perSecond: number;
  /** Members that instance `index` knows at a time; all by default. */
  known?: (members: FleetMember[], index: number, now: number) => FleetMember[];
  /** Whether instances send only at times, all at the same moment. */
  bursts?: boolean;
}

const CASES: FleetCase[] = [
  ...[0.3, 1.2, 1.5, 6, 50].map(perSecond => ({
    name: `nine instances, ${perSecond} a second`,
    instances: 9,
    zones: 4,
    perSecond,
  })),
  {name: 'one instance', instances: 1, zones: 1, perSecond: 1.2},
  {name: 'many instances', instances: 65, zones: 4, perSecond: 1.2},
  {name: 'many zones', instances: 36, zones: 12, perSecond: 1.2},
  {
    name: 'all send at the same moment after a pause',
    instances: 9,
    zones: 4,
    perSecond: 1.2,
    bursts: true,
  },
  {
    name: 'followers know their own zone and one instance of each other',
    instances: 36,
    zones: 4,
    perSecond: 3,
    known: (members, index) =>
      members.filter(
        ({zone}, other) => zone === members[index]?.zone || other < 4,
      ),
  },
  {
    name: 'an instance ends, and the others notice one after the other',
    instances: 9,
    zones: 4,
    perSecond: 1.2,
    known: (members, index, now) =>
      members.filter(
        (_, other) => other > 0 || now < 60 * SECOND + index * 400,
      ),
  },
];

describe('a limit that an upstream names', () => {
  for (const {name, instances, zones, perSecond, ...options} of CASES) {
    it(`is kept by all instances together: ${name}`, () => {
      const members = createMembers(instances, zones);
      const limits = members.map(() => new RequestLimits());
      const times: number[] = [];
      for (let now = 0; now < RUN_TIME; now += ATTEMPT_INTERVAL) {
        const isPaused = options.bursts === true && now % (10 * SECOND) !== 0;
        for (const [index, limit] of limits.entries()) {
          const view: FleetView = {
            self: members[index] as FleetMember,
            members: options.known?.(members, index, now) ?? members,
          };
          if (now % SECOND === 0) {
            limit.recordLimit(UPSTREAM, perSecond, now);
          }
          if (!isPaused && limit.maySend(UPSTREAM, view, now)) {
            limit.recordSent(UPSTREAM);
            times.push(now);
          }
        }
      }
      const allowed = (1.5 * perSecond * WINDOW) / SECOND + 5;
      expect(maxInWindow(times)).to.be.at.most(allowed);
      if (options.bursts !== true) {
        const use = times.length / ((perSecond * RUN_TIME) / SECOND);
        expect(use).to.be.at.least(MIN_USE);
      }
    });
  }

  const fleet: FleetView = {
    self: {address: 'a', zone: 'z'},
    members: [{address: 'a', zone: 'z'}],
  };

  it('ends with a response to a later request that names none', () => {
    const limits = new RequestLimits();
    expect(limits.recordResponse(UPSTREAM, 1, 0, 100)).to.equal(
      LimitChange.Limited,
    );
    expect(limits.recordResponse(UPSTREAM, undefined, 50, 200)).to.equal(
      LimitChange.None,
    );
    expect(limits.maySend(UPSTREAM, fleet, 200)).to.equal(false);
    expect(limits.recordResponse(UPSTREAM, undefined, 150, 300)).to.equal(
      LimitChange.Lifted,
    );
    expect(limits.maySend(UPSTREAM, fleet, 300)).to.equal(true);
  });

  it('is forgotten if it is not stated again', () => {
    const limits = new RequestLimits();
    limits.recordLimit(UPSTREAM, 0, 0);
    expect(limits.maySend(UPSTREAM, fleet, 20 * SECOND)).to.equal(false);
    expect(limits.maySend(UPSTREAM, fleet, 40 * SECOND)).to.equal(true);
  });
});
