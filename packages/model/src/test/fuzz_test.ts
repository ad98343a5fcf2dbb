/**
 * Fuzzes budgets and orders: the product violates no invariant, and the oracle
 * detects each planted bug.
 */
import {expect} from 'chai';
import {fuzz} from '../lib/fuzz.js';
import {fuzzOrders} from '../lib/order_fuzz.js';
import {PlantedBug} from '../lib/planted_bug.js';
import {BudgetPolicy} from '@citrontrestle/decisions';

const {env} = process;

/** Seeds of CI. FUZZ_SEED replaces them by one other seed to search further. */
const SEEDS = env['FUZZ_SEED'] ? [Number(env['FUZZ_SEED'])] : [1, 2, 3];
const RUNS = Number(env['FUZZ_RUNS'] ?? 400);

/** Number of sequences within which the seed below detects every planted bug. */
const PLANTED_BUG_RUNS = 2_000;
const PLANTED_BUG_SEED = 1;

describe('fuzzing budgets', () => {
  for (const policy of Object.values(BudgetPolicy)) {
    for (const seed of SEEDS) {
      it(`violates no invariant: ${policy}, seed ${seed}`, () => {
        const {counterexample} = fuzz({policy}, seed, RUNS);
        expect(counterexample).to.equal('');
      });
    }
  }

  const plantedBugCases = [
    {
      plantedBug: PlantedBug.LeaseReclaim,
      expectedViolation: /committed of|spendable of/,
    },
    {
      plantedBug: PlantedBug.TopUpWithNewId,
      expectedViolation: /granted \d+ of/,
    },
    {
      plantedBug: PlantedBug.ForgottenDigests,
      expectedViolation: /billed 2 times/,
    },
    {
      plantedBug: PlantedBug.DoubleCreditedTransfer,
      expectedViolation: /committed of|spendable of/,
    },
    {plantedBug: PlantedBug.UnsecuredAnswer, expectedViolation: /never billed/},
    {
      plantedBug: PlantedBug.PrematureRelease,
      expectedViolation: /spendable of|never billed/,
    },
  ];
  for (const {plantedBug, expectedViolation} of plantedBugCases) {
    it(`detects a planted bug: ${plantedBug}`, () => {
      const {counterexample} = fuzz(
        {plantedBug},
        PLANTED_BUG_SEED,
        PLANTED_BUG_RUNS,
      );
      expect(counterexample).to.match(expectedViolation);
    });
  }
});

describe('fuzzing orders', () => {
  for (const seed of SEEDS) {
    it(`violates no invariant: seed ${seed}`, () => {
      const {counterexample} = fuzzOrders(PlantedBug.None, seed, 3 * RUNS);
      expect(counterexample).to.equal('');
    });
  }

  const plantedBugCases = [
    {
      plantedBug: PlantedBug.OrderBeforeRecord,
      expectedViolation: /ran 2 times/,
    },
    {
      plantedBug: PlantedBug.PrematureNotRun,
      expectedViolation: /ran after "not run"/,
    },
  ];
  for (const {plantedBug, expectedViolation} of plantedBugCases) {
    it(`detects a planted bug: ${plantedBug}`, () => {
      const {counterexample} = fuzzOrders(
        plantedBug,
        PLANTED_BUG_SEED,
        PLANTED_BUG_RUNS,
      );
      expect(counterexample).to.match(expectedViolation);
    });
  }
});
