/** What is learned of the speed of upstreams and of services. */
import {expect} from 'chai';
import fc from 'fast-check';
import {ServiceTimes} from '../../lib/placement/service_times.js';
import {
  MAX_ANNOUNCED_SPEEDS,
  SpeedClass,
  UpstreamSpeeds,
} from '../../lib/placement/upstream_speed.js';
import {randomNumbers} from './upstream_replay.js';
import type {SpeedEvidence} from '../../lib/placement/upstream_speed.js';

/** Seed of the random sequences. */
const FUZZ_SEED = 1;

/** Records answers 100 ms apart and returns the time after the last. */
function record(
  speeds: UpstreamSpeeds,
  ratios: readonly number[],
  workTimes: readonly number[] = [],
): number {
  let now = 0;
  for (const [index, ratio] of ratios.entries()) {
    const workTime = workTimes[index % workTimes.length];
    speeds.recordAnswer('a', {ratio, weight: 1, workTime}, now);
    now += 100;
  }
  return now;
}

function repeated(value: number, count: number): number[] {
  return Array.from({length: count}, () => value);
}

describe('speed of upstreams', () => {
  const cases = [
    {name: 'no answer', ratios: [], after: 0, min: 1, max: 1},
    {name: 'steady', ratios: repeated(1.6, 40), after: 0, min: 1.4, max: 1.7},
    {
      name: 'one outlier',
      ratios: [...repeated(1, 20), 1_000],
      after: 0,
      min: 1,
      max: 1.25,
    },
    {
      name: 'turned slow a second ago',
      ratios: [...repeated(1, 40), ...repeated(5, 10)],
      after: 0,
      min: 1.6,
      max: 5,
    },
    {
      name: 'slow a while ago',
      ratios: [...repeated(1, 100), ...repeated(5, 10)],
      after: 15_000,
      min: 0.9,
      max: 1.4,
    },
    {
      name: 'unusable times',
      ratios: [NaN, 0, -1, Infinity],
      after: 0,
      min: 1,
      max: 3,
    },
  ];
  for (const {name, ratios, after, min, max} of cases) {
    it(`${name}: ${min} to ${max}`, () => {
      const speeds = new UpstreamSpeeds();
      const now = record(speeds, ratios);
      expect(speeds.slowness('a', now + after)).to.be.within(min, max);
    });
  }

  it('takes the present deviation of the work time out of an answer', () => {
    const speeds = new UpstreamSpeeds();
    const workTimes = [...repeated(1, 17), 2.5, 2.5, 2.5];
    const ratios = Array.from(
      {length: 100},
      (_, index) => workTimes[index % workTimes.length] ?? 1,
    );
    const now = record(speeds, ratios, workTimes);
    expect(speeds.slowness('a', now)).to.be.within(0.9, 1.35);
    expect(speeds.deviation('a', 2.5)).to.be.within(1.8, 2.6);
  });

  it('knows by peers what they know, and gives it to others', () => {
    const source = new UpstreamSpeeds();
    const now = record(source, repeated(3, 30));
    const relay = new UpstreamSpeeds();
    const evidence = source.evidence(['a'], {}, now);
    relay.recordPeerEvidence('source', evidence, now);
    const follower = new UpstreamSpeeds();
    follower.recordPeerEvidence('relay', relay.evidence(['a'], {}, now), now);
    for (const later of [now, now + 3_000]) {
      expect(follower.slowness('a', later)).to.be.closeTo(
        source.slowness('a', later),
        1e-9,
      );
    }
    const echoed = relay.evidence(['a'], {excluded: 'source'}, now);
    expect(echoed.get('a')?.recentWeight).to.equal(0);
    relay.forgetPeer('source', now);
    expect(relay.slowness('a', now + 200)).to.equal(1);
  });

  it('keeps the sum of all sources, however they change', () => {
    const peers = ['p0', 'p1', 'p2'];
    const stepSchema = fc.record({
      peer: fc.constantFrom(...peers, ''),
      ratio: fc.double({min: 0.1, max: 10, noNaN: true}),
      forgets: fc.boolean(),
      pause: fc.nat(3_000),
    });
    fc.assert(
      fc.property(fc.array(stepSchema, {maxLength: 40}), steps => {
        const speeds = new UpstreamSpeeds();
        let now = 0;
        for (const {peer, ratio, forgets, pause} of steps) {
          now += pause;
          const other = new UpstreamSpeeds();
          const answered = peer === '' ? speeds : other;
          const answer = {ratio, weight: 1, workTime: undefined};
          answered.recordAnswer('a', answer, now);
          if (forgets) {
            speeds.forgetPeer(peer, now);
          } else if (peer !== '') {
            const stated = other.evidence(['a'], {}, now);
            speeds.recordPeerEvidence(peer, stated, now);
          }
        }
        const whole = speeds.evidence(['a'], {}, now).get('a');
        const added = speeds.evidence(['a'], {included: peers}, now).get('a');
        const fields = ['recentSum', 'recentWeight', 'usualSum', 'usualWeight'];
        for (const field of fields as (keyof SpeedEvidence)[]) {
          expect(whole?.[field] ?? 0).to.be.closeTo(added?.[field] ?? 0, 1e-6);
        }
      }),
      {seed: FUZZ_SEED},
    );
  });

  it('bounds what a peer can state', () => {
    fc.assert(
      fc.property(
        fc.double(),
        fc.double(),
        fc.double(),
        fc.double(),
        (...of) => {
          const speeds = new UpstreamSpeeds();
          const [recentSum, recentWeight, usualSum, usualWeight] = of;
          const stated = {recentSum, recentWeight, usualSum, usualWeight};
          speeds.recordPeerEvidence('peer', new Map([['a', stated]]), 0);
          return (
            speeds.slowness('a', 0) >= 1 / 9 && speeds.slowness('a', 0) <= 9
          );
        },
      ),
      {seed: FUZZ_SEED},
    );
  });

  it('announces a bounded number at once, the most changed first', () => {
    const speeds = new UpstreamSpeeds();
    const answer = {weight: 1, workTime: undefined};
    for (let index = 0; index < 200; index++) {
      const ratio = index === 150 ? 5 : 1;
      speeds.recordAnswer(`u${index}`, {...answer, ratio}, 0);
    }
    const announced = [0, 1, 2, 3].map(() => speeds.takeNews(0));
    expect(announced[0]?.[0]).to.equal('u150');
    expect(announced.map(({length}) => length)).to.deep.equal([
      MAX_ANNOUNCED_SPEEDS,
      MAX_ANNOUNCED_SPEEDS,
      MAX_ANNOUNCED_SPEEDS,
      200 - 3 * MAX_ANNOUNCED_SPEEDS,
    ]);
    expect(speeds.takeNews(0)).to.deep.equal([]);
  });

  it('changes its class once until it is normal again', () => {
    const speeds = new UpstreamSpeeds();
    const now = record(speeds, repeated(6, 30));
    const [change] = speeds.takeClassChanges(now);
    expect(change?.speed).to.equal(SpeedClass.Slow);
    expect(speeds.takeClassChanges(now)).to.deep.equal([]);
    expect(speeds.slowCount()).to.equal(1);
    expect(speeds.takeClassChanges(now + 200_000)[0]?.speed).to.equal(
      SpeedClass.Normal,
    );
  });

  it('probes a slow one with few requests, one that answers with none', () => {
    const speeds = new UpstreamSpeeds();
    const random = randomNumbers(3);
    const now = record(speeds, repeated(5, 30));
    expect(speeds.slowness('a', now)).to.be.above(2);
    const probes = (from: number) =>
      Array.from({length: 1_000}, (_, index) =>
        speeds.chooseProbe([{id: 'a'}, {id: 'b'}], from + index, random),
      ).filter(probed => probed !== undefined).length;
    expect(probes(now - 1_000)).to.equal(0);
    expect(probes(now + 1_000)).to.equal(1);
  });
});

describe('times of services', () => {
  const services = [
    {name: 'a slow engine', base: 47, perWork: 2},
    {name: 'a fast engine', base: 30, perWork: 0.64},
    {name: 'seconds of work', base: 4_000, perWork: 1},
  ];
  for (const {name, base, perWork} of services) {
    it(`${name}: are learned in spite of outliers`, () => {
      const times = new ServiceTimes();
      const random = randomNumbers(5);
      for (let index = 0; index < 300; index++) {
        const work = random() * 150;
        const factor = random() < 0.05 ? 20 : 0.9 + 0.2 * random();
        const time = (base + perWork * work) * factor;
        times.recordFirstEvent('s', work, time);
      }
      const line = times.line('s');
      const expected = base + perWork * 75;
      expect(line.base + line.perWork * 75).to.be.within(
        0.8 * expected,
        1.4 * expected,
      );
      expect(line.certainty).to.be.above(0.9);
    });
  }
});
