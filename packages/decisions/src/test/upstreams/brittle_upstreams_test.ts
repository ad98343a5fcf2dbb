/**
 * All instances together must not use more slots of brittle upstreams than there
 * are, and must leave an upstream alone that is near its fall.
 */
import {expect} from 'chai';
import {BrittleUpstreams} from '../../lib/upstreams/brittle_upstreams.js';
import type {FleetMember} from '../../lib/upstreams/fleet_share.js';
import type {UpstreamListing} from '../../lib/upstreams/upstream_registry.js';

const MAX_REJECTIONS = 5;

function upstream(id: string, slots: number): UpstreamListing {
  return {
    id,
    service: 'models',
    address: '10.0.0.1:80',
    zone: 'north',
    version: '',
    slots,
    leaving: false,
    startedAt: 0,
    cold: 0,
  };
}

function fleetOf(count: number, zones: number): FleetMember[] {
  return Array.from({length: count}, (_, index) => ({
    address: `10.0.1.${index}:1`,
    zone: `zone-${index % zones}`,
  }));
}

/** The slots that one instance may use, without those that others leave free. */
function countOwnSlots(
  self: FleetMember,
  members: readonly FleetMember[],
  upstreams: readonly UpstreamListing[],
): number {
  let used = 0;
  let firstSlot = 0;
  for (const each of upstreams) {
    const brittle = new BrittleUpstreams();
    const statement = {id: each.id, startedAt: 0};
    brittle.recordStatement({...statement, maxRejections: MAX_REJECTIONS}, 0);
    const first = firstSlot;
    const mayUse = (own: number) =>
      brittle.hasRoom(
        each,
        () => first,
        {own, total: each.slots},
        {self, members},
        0,
        () => 0,
      );
    for (let own = 0; mayUse(own); own++) {
      used += 1;
    }
    firstSlot += each.slots;
  }
  return used;
}

const FLEET_CASES = [
  {name: 'six instances of one zone', instances: 6, zones: 1},
  {name: 'nine instances of four zones', instances: 9, zones: 4},
  {name: 'one instance', instances: 1, zones: 1},
  {name: 'more instances than slots', instances: 65, zones: 4},
];

describe('room at brittle upstreams', () => {
  for (const {name, instances, zones} of FLEET_CASES) {
    it(`is parted without a rest: ${name}`, () => {
      const upstreams = ['a', 'b', 'c', 'd', 'e', 'f'].map(id =>
        upstream(id, 4),
      );
      const members = fleetOf(instances, zones);
      const counts = members.map(self =>
        countOwnSlots(self, members, upstreams),
      );
      expect(counts.reduce((sum, count) => sum + count, 0)).to.equal(24);
    });
  }

  it('of others is used while half of it is free', () => {
    const [self, ...others] = fleetOf(2, 1) as [FleetMember];
    const fleet = {self, members: [self, ...others]};
    const brittle = new BrittleUpstreams();
    const each = upstream('a', 4);
    brittle.recordStatement({...each, maxRejections: MAX_REJECTIONS}, 0);
    const hasRoom = (own: number, total: number, now: number) =>
      brittle.hasRoom(
        each,
        () => 0,
        {own, total},
        fleet,
        now,
        () => 0,
      );
    expect(hasRoom(2, 2, 0)).to.equal(false);
    expect(hasRoom(2, 1, 200)).to.equal(true);
  });

  it('is not used while the upstream is near its fall', () => {
    const [self] = fleetOf(1, 1) as [FleetMember];
    const fleet = {self, members: [self]};
    const brittle = new BrittleUpstreams();
    const each = upstream('a', 4);
    brittle.recordStatement({...each, maxRejections: MAX_REJECTIONS}, 0);
    const hasRoom = (now: number) =>
      brittle.hasRoom(
        each,
        () => 0,
        {own: 0, total: 0},
        fleet,
        now,
        () => 0,
      );
    let rejections = 0;
    for (let now = 0; now < 1_000; now += 10) {
      if (hasRoom(now)) {
        brittle.recordRejection(each.id, now);
        rejections += 1;
      }
    }
    expect(rejections).to.be.within(1, MAX_REJECTIONS);
    expect(hasRoom(5_100)).to.equal(true);
  });

  it('is not limited at upstreams that are sound, or were started anew', () => {
    const [self] = fleetOf(1, 1) as [FleetMember];
    const fleet = {self, members: [self]};
    const brittle = new BrittleUpstreams();
    const each = upstream('a', 4);
    const statement = {id: 'a', startedAt: 7, maxRejections: MAX_REJECTIONS};
    brittle.recordStatement(statement, 0);
    const running = {own: 9, total: 9};
    const hasRoom = (startedAt: number) =>
      brittle.hasRoom(
        {...each, startedAt},
        () => 0,
        running,
        fleet,
        0,
        () => 0,
      );
    expect(hasRoom(7)).to.equal(false);
    expect(hasRoom(8)).to.equal(true);
    brittle.recordSound('a');
    expect(hasRoom(7)).to.equal(true);
  });
});
