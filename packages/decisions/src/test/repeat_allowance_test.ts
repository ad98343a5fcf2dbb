/** Repeats of the whole fleet stay within its bounds. */
import {expect} from 'chai';
import {RepeatAllowance} from '../lib/repeat_allowance.js';

const BOUNDS = {ratio: 0.2, slack: 56, window: 10_000};

describe('allowance of repeats', () => {
  const fleets = [1, 3, 8, 65];
  for (const instances of fleets) {
    it(`retry storm over ${instances} instances: within the bounds`, () => {
      const fleet = Array.from(
        {length: instances},
        () => new RepeatAllowance(BOUNDS),
      );
      const requests = 40;
      let repeats = 0;
      for (let now = 0; now < BOUNDS.window; now += 250) {
        for (const one of fleet) {
          one.request('desk', now);
          repeats += one.take('desk', instances, now) ? 1 : 0;
        }
      }
      const most = BOUNDS.ratio * requests * instances + BOUNDS.slack;
      expect(repeats).to.be.at.most(most);
    });
  }

  it('gives back what is older than the window', () => {
    const one = new RepeatAllowance({ratio: 0, slack: 2, window: 100});
    expect(one.take('desk', 1, 0)).to.equal(true);
    expect(one.take('desk', 1, 50)).to.equal(false);
    expect(one.take('desk', 1, 200)).to.equal(true);
  });

  it('counts each service by itself', () => {
    const one = new RepeatAllowance({ratio: 0, slack: 2, window: 100});
    expect(one.take('desk', 1, 0)).to.equal(true);
    expect(one.take('models', 1, 0)).to.equal(true);
  });
});
