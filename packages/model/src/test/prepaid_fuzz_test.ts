/** Shares of prepaid budgets never overspend; planted faults are found. */
import {expect} from 'chai';
import {fuzzPrepaid, PrepaidPlant} from '../lib/prepaid_model.js';

const {env} = process;
const SEEDS = env['FUZZ_SEED'] ? [Number(env['FUZZ_SEED'])] : [1, 2, 3];
const RUNS = Number(env['FUZZ_RUNS'] ?? 3_000);

/** Enough for every planted fault at seed 1. */
const PLANT_RUNS = 20_000;

describe('fuzzing shares of prepaid budgets', () => {
  for (const seed of SEEDS) {
    it(`never overspends: seed ${seed}`, () => {
      const {counterexample} = fuzzPrepaid(PrepaidPlant.None, seed, RUNS);
      expect(counterexample).to.equal('');
    });
  }

  const planted = Object.values(PrepaidPlant).filter(
    plant => plant !== PrepaidPlant.None,
  );
  for (const plant of planted) {
    it(`finds a planted fault: ${plant}`, () => {
      const {counterexample} = fuzzPrepaid(plant, 1, PLANT_RUNS);
      expect(counterexample).to.match(/taken|consumed/);
    });
  }
});
