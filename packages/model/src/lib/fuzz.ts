/**
 * Stateful fuzzing of the fleet model: applies random sequences of steps and
 * checks the invariants of the oracle.
 */
import fc from 'fast-check';
import VError from 'verror';
import {checkAfterQuiescence} from './oracle.js';
import {FleetModel, MODEL_DEFAULTS} from './fleet_model.js';
import {stepArbitraries} from './commands.js';
import type {ModelSettings} from './fleet_model.js';

/** Result of a fuzzing run, which stops at the first violation. */
export interface FuzzResult {
  /** Number of sequences executed. */
  runs: number;
  /** Number of steps executed in all sequences, those of shrinking included. */
  steps: number;
  /** 1 if a sequence violated an invariant, otherwise 0. */
  violations: number;
  /** The shrunk sequence and its violation; empty if there is none. */
  counterexample: string;
}

/** Maximum number of steps in a sequence. */
const MAX_STEPS = 60;

/** Initial grants in tokens; the smaller ones are soon exhausted. */
const INITIAL_GRANTS = [3_000, 8_000, 30_000];

/** Values of `ModelSettings.cap`, for large and for small shares. */
const SHARE_CAPS = [0.3, 0.02];

/**
 * Fuzzes fleet models with the given settings.
 * @param runs number of sequences to try.
 */
export function fuzz(
  settings: Partial<ModelSettings>,
  seed: number,
  runs: number,
): FuzzResult {
  const modelSettings = {...MODEL_DEFAULTS, ...settings};
  const progress = {steps: 0};
  const steps = stepArbitraries(
    modelSettings.entryCount,
    modelSettings.budgets,
  );
  const property = fc.property(
    fc.constantFrom(...INITIAL_GRANTS),
    fc.constantFrom(...SHARE_CAPS),
    fc.commands(steps, {maxCommands: MAX_STEPS, size: 'max'}),
    (initialGrant, cap, commands) => {
      const model = new FleetModel({...modelSettings, initialGrant, cap});
      fc.modelRun(() => ({model: progress, real: model}), commands);
      model.quiesce();
      const violations = checkAfterQuiescence(model);
      if (violations.length > 0) {
        throw new VError(
          'after the end of all faults: %s',
          violations.join('; '),
        );
      }
    },
  );
  const details = fc.check(property, {seed, numRuns: runs});
  const error = details.errorInstance;
  const reason = error instanceof Error ? error.message : String(error);
  return {
    runs: details.numRuns,
    steps: progress.steps,
    violations: details.failed ? 1 : 0,
    counterexample: details.failed
      ? `${String(details.counterexample?.join(' '))}: ${reason}`
      : '',
  };
}
