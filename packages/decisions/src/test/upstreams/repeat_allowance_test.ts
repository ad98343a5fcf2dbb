/** The repeats of all instances together must stay within the fleet's limit. */
import {expect} from 'chai';
import {RepeatAllowance} from '../../lib/upstreams/repeat_allowance.js';

const BOUNDS = {ratio: 0.2, slack: 56, window: 10_000};

describe('repeat allowance', () => {
  const fleetSizes = [1, 3, 8, 65];
  for (const instances of fleetSizes) {
    it(`keeps ${instances} instances within the limit in a retry storm`, () => {
      const fleet = Array.from(
        {length: instances},
        () => new RepeatAllowance(BOUNDS),
      );
      const requestsPerInstance = 40;
      let repeats = 0;
      for (let now = 0; now < BOUNDS.window; now += 250) {
        for (const allowance of fleet) {
          allowance.recordRequest('desk', now);
          repeats += allowance.tryTake('desk', instances, now) ? 1 : 0;
        }
      }
      const maxRepeats =
        BOUNDS.ratio * requestsPerInstance * instances + BOUNDS.slack;
      expect(repeats).to.be.at.most(maxRepeats);
    });
  }

  it('allows a repeat again once the last one has left the window', () => {
    const allowance = new RepeatAllowance({ratio: 0, slack: 2, window: 100});
    expect(allowance.tryTake('desk', 1, 0)).to.equal(true);
    expect(allowance.tryTake('desk', 1, 50)).to.equal(false);
    expect(allowance.tryTake('desk', 1, 200)).to.equal(true);
  });

  it('limits each service separately', () => {
    const allowance = new RepeatAllowance({ratio: 0, slack: 2, window: 100});
    expect(allowance.tryTake('desk', 1, 0)).to.equal(true);
    expect(allowance.tryTake('models', 1, 0)).to.equal(true);
  });
});
