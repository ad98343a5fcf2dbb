/**
 * Replays a zone whose load balancer sends callers by a hash: those of one
 * account fill a few small instances, or all instances are full.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {LinkLoad} from '../../lib/admission/link_load.js';
import {Readiness} from '../../lib/admission/readiness.js';
import {
  hasZoneRoom,
  maxUnready,
  summariseLinks,
} from '../../lib/admission/zone_links.js';
import type {ZoneLinks} from '../../lib/admission/zone_links.js';

/** Seed of the random sequences. */
const FUZZ_SEED = 1;

/** Interval of the load balancer's health checks, in milliseconds. */
const HEALTH_CHECK_INTERVAL = 1_000;

/** Number of failed checks after which an instance gets no new connections. */
const MAX_MISSES = 2;

interface Replay {
  /** Fraction of the link that each instance is to carry, from the start on. */
  loads: number[];
  /** Age of what the instances know of each other. */
  viewAge: number;
  duration: number;
}

/**
 * Plays instances whose load does not depend on their readiness; returns the
 * largest number out of rotation and the mean fraction not ready.
 */
function playZone({loads, viewAge, duration}: Replay): {
  mostOut: number;
  unready: number;
} {
  const step = 100;
  const instances = loads.map(load => ({
    load,
    link: new LinkLoad(10),
    readiness: new Readiness(),
    misses: 0,
  }));
  const views: ZoneLinks[] = [];
  let mostOut = 0;
  let unreadySteps = 0;
  for (let now = 0; now < duration; now += step) {
    for (const {link, load} of instances) {
      link.recordBytes(load * 125_000, 0, now);
    }
    views.push(
      summariseLinks(instances.map(({link}) => link.reportedUtilisation(now))),
    );
    const zone = views[Math.max(0, views.length - 1 - viewAge / step)];
    instances.forEach((instance, i) => {
      const {link, readiness} = instance;
      const utilisation = link.reportedUtilisation(now);
      const isBusy = link.isBusy(now);
      const isReady = readiness.update({isBusy, utilisation, zone}, now);
      unreadySteps += isReady ? 0 : 1;
      if ((now + i * step) % HEALTH_CHECK_INTERVAL === 0) {
        instance.misses = isReady ? 0 : instance.misses + 1;
      }
    });
    const out = instances.filter(({misses}) => misses >= MAX_MISSES).length;
    mostOut = Math.max(mostOut, out);
  }
  const unready = (unreadySteps * step) / duration / loads.length;
  return {mostOut, unready};
}

describe('the readiness of a zone with busy links', () => {
  const CALM = Array.from({length: 17}, () => 0.05);
  const CASES = [
    {name: 'three of 20 busy', loads: [0.9, 0.8, 0.95, ...CALM], out: 3},
    {name: 'all of 20 busy', loads: Array<number>(20).fill(0.9), out: 0},
    {name: 'one of two busy', loads: [0.9, 0.01], out: 1},
    {name: 'a single one, busy', loads: [0.95], out: 0},
    {name: 'none busy', loads: CALM, out: 0},
  ];
  for (const {name, loads, out} of CASES) {
    it(`takes ${out} out of rotation: ${name}`, () => {
      const {mostOut} = playZone({loads, viewAge: 300, duration: 8_000});
      expect(mostOut).to.equal(out);
    });
  }

  it('keeps half in rotation and an eighth of the time at most not ready', () => {
    const loads = fc.array(fc.double({min: 0, max: 1.5, noNaN: true}), {
      minLength: 1,
      maxLength: 30,
    });
    const viewAge = fc.constantFrom(0, 300, 1_000);
    fc.assert(
      fc.property(loads, viewAge, (all, age) => {
        const duration = 120_000;
        const played = playZone({loads: all, viewAge: age, duration});
        expect(played.mostOut).to.be.at.most(all.length / 2);
        expect(played.unready).to.be.at.most(0.125);
      }),
      {numRuns: 25, seed: FUZZ_SEED},
    );
  });

  it('lets no more be unready than is allowed, also where many are equal', () => {
    const uses = fc.array(fc.constantFrom(0, 0.3, 0.6, 0.9, 1.2), {
      maxLength: 60,
    });
    fc.assert(
      fc.property(uses, all => {
        const {unreadyFrom} = summariseLinks(all);
        const count = all.filter(use => use >= unreadyFrom).length;
        expect(count).to.be.at.most(maxUnready(all.length));
        expect(maxUnready(all.length)).to.be.at.most(all.length / 2);
      }),
      {seed: FUZZ_SEED},
    );
  });

  it('has room only beside another instance', () => {
    const roomBeside = (own: number, ...others: number[]) =>
      hasZoneRoom(summariseLinks([own, ...others]), own);
    expect(roomBeside(0.1)).to.equal(false);
    expect(roomBeside(1.1, 0.1)).to.equal(true);
    expect(roomBeside(1, 0.1, 0.1)).to.equal(true);
    expect(roomBeside(0.9, 0.7)).to.equal(false);
  });

  it('has room beside a few links that were more than full', () => {
    const calm = Array.from({length: 15}, () => 0.05);
    const links = summariseLinks([1.8, 1.6, 1.8, 1.5, 1.6, 1.8, 1.7, ...calm]);
    expect(hasZoneRoom(links, 1.8)).to.equal(true);
  });
});
