/** Placement at uneven upstreams by many instances with a late view of the load. */
import {expect} from 'chai';
import {playReplay} from './upstream_replay.js';
import type {Millis} from '../../lib/base/clock.js';
import type {Replay} from './upstream_replay.js';

/** Number of engines. */
const ENGINE_COUNT = 42;

/** Slowness of the engines, in turn. */
const SLOWNESS = [0.6, 1, 1.6];

/** Time after which answers count. */
const WARM_UP_TIME: Millis = 4_000;

const REPLAY_TIME: Millis = 16_000;

/** Largest share of an engine, divided by its share by speed. */
const MAX_OVER_FAIR_SHARE = 2.2;

const DEFAULTS: Replay = {
  instances: 75,
  engines: [],
  rate: () => 150,
  viewAge: 200,
  duration: REPLAY_TIME,
  promptTokens: 4_000,
  topics: 0,
  sharedTokens: 0,
  target: 600,
  learns: true,
};

/** Whether a time is within the disturbance of a replay. */
function isDisturbed(now: number): boolean {
  return now > 6_000 && now < 11_000;
}

function engines(
  slowness: (index: number, now: number) => number,
): Replay['engines'] {
  return Array.from(
    {length: ENGINE_COUNT},
    (_, index) => (now: number) => slowness(index, now),
  );
}

function usual(index: number): number {
  return SLOWNESS[index % SLOWNESS.length] ?? 1;
}

function isOfQuarter(index: number): boolean {
  return index % 4 === 0;
}

describe('uneven upstreams', () => {
  // Each maximum is exceeded if the same speed is assumed of all engines.
  const cases: {name: string; maxLate: number; replay: Partial<Replay>}[] = [
    {name: 'speeds', maxLate: 0.01, replay: {engines: engines(usual)}},
    {
      name: 'speeds, known 400 ms late',
      maxLate: 0.015,
      replay: {engines: engines(usual), viewAge: 400},
    },
    {
      name: 'a wave',
      maxLate: 0.16,
      replay: {
        engines: engines(usual),
        rate: now => (isDisturbed(now) ? 420 : 150),
      },
    },
    {
      name: 'a slow quarter',
      maxLate: 0.045,
      replay: {
        engines: engines((index, now) =>
          isOfQuarter(index) && isDisturbed(now) ? 5 : 1,
        ),
      },
    },
    {
      name: 'fast ones that turn slow',
      maxLate: 0.12,
      replay: {
        engines: engines((index, now) =>
          index % 3 === 0 && now > 8_000 ? 3 : usual(index),
        ),
      },
    },
    {
      name: 'a crash of a quarter',
      maxLate: 0.06,
      replay: {
        engines: engines((index, now) =>
          isOfQuarter(index) && isDisturbed(now) ? Infinity : usual(index),
        ),
        rate: () => 250,
      },
    },
    {
      name: 'many shared parts',
      maxLate: 0.02,
      replay: {
        engines: engines(usual),
        rate: () => 110,
        topics: 72,
        sharedTokens: 13_300,
        target: 827,
      },
    },
    {
      name: 'few shared parts',
      maxLate: 0.03,
      replay: {
        engines: engines(usual),
        rate: () => 110,
        topics: 12,
        sharedTokens: 13_300,
        target: 827,
      },
    },
    {
      name: 'an unknown one among known ones',
      maxLate: 0.01,
      replay: {
        engines: engines((index, now) =>
          index === 0 && now < 8_000 ? Infinity : usual(index),
        ),
      },
    },
  ];
  for (const {name, maxLate, replay} of cases) {
    it(`${name}: few answers are late`, () => {
      const whole = {...DEFAULTS, ...replay};
      const answers = playReplay(whole, 7).filter(
        ({startedAt}) => startedAt > WARM_UP_TIME,
      );
      const late = answers.filter(
        ({firstEvent}) => firstEvent > whole.target,
      ).length;
      expect(late / answers.length).to.be.at.most(maxLate);
      const speeds = new Set(whole.engines.map(slowness => slowness(0)));
      if (speeds.size === SLOWNESS.length && whole.topics === 0) {
        expect(largestOverFairShare(whole, answers)).to.be.at.most(
          MAX_OVER_FAIR_SHARE,
        );
      }
    }).timeout(60_000);
  }
});

/** Returns the largest share of an engine, divided by its share by usual speed. */
function largestOverFairShare(
  {engines}: Replay,
  answers: readonly {engine: number}[],
): number {
  const counts = engines.map(() => 0);
  for (const {engine} of answers) {
    counts[engine] = (counts[engine] ?? 0) + 1;
  }
  const totalSpeed = engines.reduce(
    (sum, _, index) => sum + 1 / usual(index),
    0,
  );
  return Math.max(
    ...counts.map(
      (count, index) =>
        ((count / answers.length) * totalSpeed) / (1 / usual(index)),
    ),
  );
}
