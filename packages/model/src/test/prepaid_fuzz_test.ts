/** Shares of prepaid budgets never overspend; planted faults are found. */
import {expect} from 'chai';
import {fuzzPrepaid, PrepaidPlantedBug} from '../lib/prepaid_model.js';

const {env} = process;
const SEEDS = env['FUZZ_SEED'] ? [Number(env['FUZZ_SEED'])] : [1, 2, 3];
const RUNS = Number(env['FUZZ_RUNS'] ?? 3_000);

/** Enough for every planted fault at seed 1. */
const PLANTED_BUG_RUNS = 20_000;

describe('fuzzing shares of prepaid budgets', () => {
  for (const seed of SEEDS) {
    it(`never overspends: seed ${seed}`, () => {
      const {counterexample} = fuzzPrepaid(PrepaidPlantedBug.None, seed, RUNS);
      expect(counterexample).to.equal('');
    });
  }

  const plantedBugs = Object.values(PrepaidPlantedBug).filter(
    plantedBug => plantedBug !== PrepaidPlantedBug.None,
  );
  for (const bug of plantedBugs) {
    it(`finds a planted fault: ${bug}`, () => {
      const {counterexample} = fuzzPrepaid(bug, 1, PLANTED_BUG_RUNS);
      expect(counterexample).to.match(/taken|consumed/);
    });
  }
});
