/**
 * An instance must notice within a second that it is partitioned from all
 * upstreams, and must not take crashed or silent upstreams for a partition.
 */
import {expect} from 'chai';
import {Reachability} from '../../lib/upstreams/reachability.js';
import type {Millis} from '../../lib/base/clock.js';

const LISTED = ['a', 'b', 'c', 'd', 'e', 'f'];

/** Something that happens to an instance. */
type Step = (reachability: Reachability, now: Millis) => void;

const connected: Step = reachability => reachability.recordConnected();
const heard: Step = (reachability, now) => reachability.recordHeard(now);
const failed =
  (upstream: string): Step =>
  reachability =>
    reachability.recordConnectFailure(upstream);

const PARTITION_CASES = [
  {name: 'one upstream fails', steps: [failed('a'), failed('a')], is: false},
  {name: 'two crash at once', steps: [failed('a'), failed('b')], is: false},
  {
    name: 'three fail in turn',
    steps: [failed('a'), failed('b'), failed('c')],
    is: true,
  },
  {
    name: 'another one accepts in between',
    steps: [failed('a'), failed('b'), connected, failed('c')],
    is: false,
  },
  {
    name: 'one accepts afterwards',
    steps: [failed('a'), failed('b'), failed('c'), connected],
    is: false,
  },
  {
    name: 'open connections still work',
    steps: [failed('a'), failed('b'), failed('c'), heard],
    is: true,
  },
  {
    name: 'the only upstream fails',
    steps: [failed('a')],
    listed: ['a'],
    is: true,
  },
  {name: 'nothing has happened', steps: [], listed: [], is: false},
];

describe('reachability of upstreams', () => {
  for (const {name, steps, is, listed = LISTED} of PARTITION_CASES) {
    it(`${is ? 'is' : 'is not'} lost if ${name}`, () => {
      const reachability = new Reachability();
      steps.forEach(step => step(reachability, 0));
      expect(reachability.isPartitioned(listed.length)).to.equal(is);
    });
  }

  it('is doubted when no request is answered', () => {
    const reachability = new Reachability();
    reachability.recordSent(0);
    expect(reachability.startProbes(LISTED, 250, () => 0)).to.deep.equal([]);
    expect(reachability.startProbes(LISTED, 350, () => 0)).to.have.length(2);
  });

  it('is not doubted while any request is answered', () => {
    const reachability = new Reachability();
    for (let now = 0; now < 5_000; now += 100) {
      reachability.recordSent(now);
      reachability.recordHeard(now + 50);
      expect(
        reachability.startProbes(LISTED, now + 60, () => 0),
      ).to.have.length(0);
    }
  });

  it('is known to be lost and to be back within a second', () => {
    const reachability = new Reachability();
    let isCut = true;
    const probeAt = (now: Millis) => {
      for (const upstream of reachability.startProbes(LISTED, now, () => 0)) {
        if (isCut) {
          reachability.recordConnectFailure(upstream);
        } else {
          reachability.recordConnected();
        }
      }
    };
    reachability.recordSent(0);
    for (let now = 0; now <= 1_000; now += 100) {
      probeAt(now);
    }
    expect(reachability.isPartitioned(LISTED.length)).to.equal(true);
    isCut = false;
    for (let now = 1_100; now <= 1_700; now += 100) {
      probeAt(now);
    }
    expect(reachability.isPartitioned(LISTED.length)).to.equal(false);
  });

  it('probes each half second at most', () => {
    const reachability = new Reachability();
    reachability.recordConnectFailure('a');
    let probes = 0;
    for (let now = 0; now < 10_000; now += 100) {
      probes += reachability.startProbes(LISTED, now, () => 0).length;
    }
    expect(probes).to.be.at.most(2 * 20);
  });
});
