/**
 * A part that crashes upstreams must be refused after few crashes whatever else
 * happens, and sound parts must not be refused for it.
 */
import {expect} from 'chai';
import {SECOND} from '@citrontrestle/decisions';
import {CrashModel} from '../lib/crash_model.js';
import type {CrashScenario} from '../lib/crash_model.js';

const FIRST_SEED = Number(process.env['FUZZ_SEED'] ?? 1);
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 10);
const SEEDS = Array.from({length: RUNS}, (_, index) => FIRST_SEED + index);

/** Long days are played with some of the seeds only. */
const LONG_SEEDS = SEEDS.slice(0, 3);

/** Arrivals that are allowed after the fifth crash and the contact time. */
const ALLOWED_ARRIVALS = 3;

/** Part of the sound requests that may be refused. */
const ALLOWED_REFUSALS = 0.01;

const ALWAYS_BAD = {part: 'part:b', from: 0, until: Infinity, share: 0.02};

interface Case extends CrashScenario {
  name: string;
}

const MINUTE_LONG = {duration: 60 * SECOND};

const CASES: Case[] = [
  {name: 'one bad part', badParts: [ALWAYS_BAD], ...MINUTE_LONG},
  {
    name: 'one bad part in a fifth of the requests',
    badParts: [{...ALWAYS_BAD, share: 0.2}],
    ...MINUTE_LONG,
  },
  {
    name: 'two bad parts at once',
    badParts: [ALWAYS_BAD, {...ALWAYS_BAD, part: 'part:c'}],
    ...MINUTE_LONG,
  },
  {
    name: 'no bad part, but unrelated crashes',
    badParts: [],
    unrelatedCrashes: 30,
    ...MINUTE_LONG,
  },
  {
    name: 'a bad part and unrelated crashes',
    badParts: [ALWAYS_BAD],
    unrelatedCrashes: 30,
    ...MINUTE_LONG,
  },
  {
    name: 'a bad part while all upstreams are replaced',
    badParts: [ALWAYS_BAD],
    releaseAt: 2 * SECOND,
    ...MINUTE_LONG,
  },
  {
    name: 'a third of the reports lost',
    badParts: [ALWAYS_BAD],
    lostReports: 0.33,
    ...MINUTE_LONG,
  },
  {
    name: 'all instances start again',
    badParts: [ALWAYS_BAD],
    restartAt: 30 * SECOND,
    ...MINUTE_LONG,
  },
  {
    name: 'all instances start again before the verdict',
    badParts: [ALWAYS_BAD],
    restartAt: 2 * SECOND,
    ...MINUTE_LONG,
  },
  {
    name: 'the store is silent',
    badParts: [ALWAYS_BAD],
    storeSilentBetween: [0, 30 * SECOND],
    ...MINUTE_LONG,
  },
  {
    name: 'the store goes back',
    badParts: [ALWAYS_BAD],
    storeGoesBackAt: 6 * SECOND,
    ...MINUTE_LONG,
  },
  {
    name: 'a part that was sound before',
    badParts: [{...ALWAYS_BAD, from: 30 * SECOND}],
    ...MINUTE_LONG,
  },
];

describe('a part of prompts that crashes upstreams, in a model of the fleet', () => {
  for (const {name, ...scenario} of CASES) {
    it(`is refused in time, and sound requests are not: ${name}`, () => {
      for (const seed of SEEDS) {
        const count = new CrashModel(scenario, seed).run();
        const lateArrivals = Math.max(0, ...count.lateArrivals.values());
        expect(lateArrivals, `seed ${seed}`).to.be.at.most(ALLOWED_ARRIVALS);
        expect(
          count.refusedSoundRequests / count.soundRequests,
          `seed ${seed}`,
        ).to.be.at.most(ALLOWED_REFUSALS);
      }
    });
  }

  it('is served again once it no longer crashes upstreams', () => {
    for (const seed of SEEDS) {
      const count = new CrashModel(
        {
          badParts: [{...ALWAYS_BAD, until: 60 * SECOND}],
          duration: 300 * SECOND,
        },
        seed,
      ).run();
      expect(count.refusedAtEnd, `seed ${seed}`).to.equal(0);
    }
  });

  it('is tried at most as often as allowed if it never stops', () => {
    for (const seed of LONG_SEEDS) {
      const duration = 1_800 * SECOND;
      const scenario = {badParts: [ALWAYS_BAD], duration};
      const count = new CrashModel(scenario, seed).run();
      const lateArrivals = Math.max(0, ...count.lateArrivals.values());
      expect(lateArrivals, `seed ${seed}`).to.be.at.most(ALLOWED_ARRIVALS);
    }
  });
});
