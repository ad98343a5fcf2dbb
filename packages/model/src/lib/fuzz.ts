/** Stateful fuzzing of a fleet model against the oracle. */
import fc from 'fast-check';
import VError from 'verror';
import {checkAfterQuiescence} from './oracle.js';
import {FleetModel, MODEL_DEFAULTS} from './fleet_model.js';
import {stepArbitraries} from './commands.js';
import type {ModelSettings} from './fleet_model.js';

/** Result of a fuzzing run. */
export interface FuzzResult {
  runs: number;
  steps: number;
  violations: number;
  /** The shrunk case, when there is one. */
  counterexample: string;
}

const MAX_STEPS = 60;

/** Grants, in tokens: soon exhausted, and not. */
const INITIAL_GRANTS = [3_000, 8_000, 30_000];

/** Parts of the grant that one holder keeps: large and small shares. */
const SHARE_CAPS = [0.3, 0.02];

/** Fuzzes models of one kind. */
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
        throw new VError('after all: %s', violations.join('; '));
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
