/** A short run of the soak, and each seed that ever broke a promise. */
import {expect} from 'chai';
import {planRun} from '../lib/plan.js';
import {executeRun} from '../lib/soak.js';

/** Seeds of each CI run. */
const SEEDS = [1, 3];

/** Seeds that once broke a promise, with the cause. */
const REGRESSIONS: {seed: number; cause: string}[] = [];

describe('soak of real gateways', function () {
  this.timeout(60_000);

  for (const seed of SEEDS) {
    it(`keeps the promises with seed ${seed}`, async () => {
      const result = await executeRun(seed);
      expect(result.violations, result.logLines.join('\n')).to.deep.equal([]);
      expect(result.served).to.be.above(0);
    });
  }

  for (const {seed, cause} of REGRESSIONS) {
    it(`keeps the promises with seed ${seed}: ${cause}`, async () => {
      const result = await executeRun(seed);
      expect(result.violations, result.logLines.join('\n')).to.deep.equal([]);
    });
  }

  it('draws the same run from the same seed', () => {
    expect(planRun(7)).to.deep.equal(planRun(7));
    expect(planRun(7)).to.not.deep.equal(planRun(8));
  });
});
