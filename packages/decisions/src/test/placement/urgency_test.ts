/** Tests of the urgency that engines order their queues by. */
import {expect} from 'chai';
import {Priorities} from '../../lib/placement/priorities.js';
import {urgencyOf} from '../../lib/placement/urgency.js';

/** Prompt times of a target of 500 ms, from a short prompt to one far too long. */
const PREFILL_TIMES = [0, 20, 100, 300, 600, 2_000];

const LATENCY_TARGET = 500;

function urgencies(rank: number, count: number): number[] {
  return PREFILL_TIMES.map(prefillTime =>
    urgencyOf({
      prefillTime,
      latencyTarget: LATENCY_TARGET,
      priority: {rank, count},
    }),
  );
}

describe('urgency', () => {
  for (const count of [1, 2, 3, 5, 12]) {
    it(`of ${count} priorities: a more important request never goes later`, () => {
      const all = Array.from({length: count}, (_, rank) =>
        urgencies(rank, count),
      );
      for (const [rank, own] of all.entries()) {
        expect(own, 'longer prompts go later').to.deep.equal(
          [...own].sort((a, b) => a - b),
        );
        const next = all[rank + 1];
        if (next !== undefined) {
          expect(Math.max(...own)).to.be.at.most(Math.max(...next));
        }
      }
      expect(Math.min(...all.flat())).to.equal(0);
      expect(Math.max(...all.flat())).to.be.at.most(9);
    });
  }

  for (const count of [2, 3, 5]) {
    it(`of ${count} priorities: a long prompt of a more important one goes first`, () => {
      for (let rank = 0; rank + 1 < count; rank++) {
        const last = Math.max(...urgencies(rank, count));
        const firstOfNext = Math.min(...urgencies(rank + 1, count));
        expect(last).to.be.below(firstOfNext);
      }
    });
  }

  it('without a latency target, is that of a short prompt', () => {
    const priority = {rank: 0, count: 1};
    expect(urgencyOf({prefillTime: 900, latencyTarget: 0, priority})).to.equal(
      0,
    );
  });
});

describe('priorities', () => {
  const priorities = new Priorities({
    routes: [{priority: 5}, {priority: 0}, {priority: 5}] as never[],
    accounts: [{priority: 2}, {priority: undefined}] as never[],
  });
  const cases = [
    {route: 0, account: undefined, rank: 0},
    {route: 5, account: undefined, rank: 2},
    {route: 5, account: 2, rank: 1},
    {route: 0, account: 5, rank: 2},
    {route: 99, account: undefined, rank: 0},
  ];
  for (const {route, account, rank} of cases) {
    it(`route ${route}, account ${account ?? 'without one'}: rank ${rank}`, () => {
      expect(
        priorities.rankOf({priority: route}, {priority: account}),
      ).to.deep.equal({rank, count: 3});
    });
  }
});
