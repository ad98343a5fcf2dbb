/**
 * Fuzzes shares of prepaid budgets: they never overspend, requests are refused for
 * good only if nobody has the tokens, and the model detects each planted bug.
 */
import {expect} from 'chai';
import {fuzzPrepaid, PrepaidPlantedBug} from '../lib/prepaid_model.js';

const {env} = process;
const SEEDS = env['FUZZ_SEED'] ? [Number(env['FUZZ_SEED'])] : [1, 2, 3];
const RUNS = Number(env['FUZZ_RUNS'] ?? 3_000);

/** Number of sequences within which seed 1 detects every planted bug. */
const PLANTED_BUG_RUNS = 20_000;

/** What the violation says; other bugs overspend the budget. */
const VIOLATIONS: Partial<Record<PrepaidPlantedBug, RegExp>> = {
  [PrepaidPlantedBug.ForgottenHolders]: /refused for good/,
  [PrepaidPlantedBug.StaleRefusal]: /refused for good/,
};

const OVERSPENT = /tokens (taken of|consumed)/;

describe('fuzzing shares of prepaid budgets', () => {
  for (const seed of SEEDS) {
    it(`never overspends, nor refuses for good without need: seed ${seed}`, () => {
      const {counterexample} = fuzzPrepaid(PrepaidPlantedBug.None, seed, RUNS);
      expect(counterexample).to.equal('');
    });
  }

  const plantedBugs = Object.values(PrepaidPlantedBug).filter(
    plantedBug => plantedBug !== PrepaidPlantedBug.None,
  );
  for (const bug of plantedBugs) {
    it(`detects a planted bug: ${bug}`, () => {
      const {counterexample} = fuzzPrepaid(bug, 1, PLANTED_BUG_RUNS);
      expect(counterexample).to.match(VIOLATIONS[bug] ?? OVERSPENT);
    });
  }
});
