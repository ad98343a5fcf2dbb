/**
 * Stateful fuzzing of orders, that is, of non-idempotent requests: an order runs
 * at most once, and a caller is told "not run" only if it did not run.
 */
import fc from 'fast-check';
import VError from 'verror';
import {OrderModel, UpstreamBehaviour} from './order_model.js';
import type {FuzzResult} from './fuzz.js';
import type {PlantedBug} from './planted_bug.js';

const ENTRY_COUNT = 3;
const IDEMPOTENCY_KEYS = ['k1', 'k2'];

/** Maximum number of steps in a sequence. */
const MAX_STEPS = 40;

/** One step of a sequence. */
interface Step {
  /** The step as it is printed in a counterexample. */
  name: string;
  action: (model: OrderModel) => void;
}

const entryArbitrary = fc.nat({max: ENTRY_COUNT - 1});
const entryStep = (
  name: string,
  action: (model: OrderModel, index: number) => void,
) =>
  entryArbitrary.map((index): Step => ({
    name: `${name}(${index})`,
    action: model => action(model, index),
  }));

const orders = fc
  .tuple(fc.constantFrom(...IDEMPOTENCY_KEYS), entryArbitrary)
  .map(([idempotencyKey, index]): Step => ({
    name: `order(${idempotencyKey},${index})`,
    action: model => model.sendOrder(idempotencyKey, index),
  }));

const pauses = fc
  .oneof(fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 4_000}))
  .map((span): Step => ({
    name: `advance(${span})`,
    action: model => model.advance(span),
  }));

const stepArbitrary = fc.oneof(
  {weight: 4, arbitrary: orders},
  {weight: 4, arbitrary: pauses},
  entryStep('kill', (model, index) => model.kill(index)),
  entryStep('freeze', (model, index) => model.freeze(index)),
  entryStep('wake', (model, index) => model.wake(index)),
  fc.boolean().map((isDown): Step => ({
    name: isDown ? 'outage' : 'back',
    action: model => (model.store.faults.isDown = isDown),
  })),
  fc.nat({max: 2_000}).map((addedLatency): Step => ({
    name: `slow(${addedLatency})`,
    action: model => (model.store.faults.addedLatency = addedLatency),
  })),
  fc.integer({min: 1, max: 3}).map((answersToLose): Step => ({
    name: `lost(${answersToLose})`,
    action: model => (model.store.faults.answersToLose += answersToLose),
  })),
  fc
    .constantFrom(...Object.values(UpstreamBehaviour))
    .map((behaviour): Step => ({
      name: `fate(${behaviour})`,
      action: model => (model.upstreamBehaviour = behaviour),
    })),
);

/**
 * Fuzzes the order model with a planted bug or none.
 * @param runs number of sequences to try.
 */
export function fuzzOrders(
  plantedBug: PlantedBug,
  seed: number,
  runs: number,
): FuzzResult {
  let stepCount = 0;
  const property = fc.property(
    fc.array(stepArbitrary, {maxLength: MAX_STEPS, size: 'max'}),
    steps => {
      const model = new OrderModel(plantedBug);
      for (const {name, action} of steps) {
        action(model);
        model.advance(1);
        stepCount += 1;
        throwOnViolations(model.checkInvariants(), name);
      }
      model.quiesce();
      throwOnViolations(model.checkInvariants(), 'the end of all faults');
    },
  );
  const details = fc.check(property, {seed, numRuns: runs});
  const stepNames = details.counterexample?.[0]
    .map(step => step.name)
    .join(',');
  const error = details.errorInstance;
  const reason = error instanceof Error ? error.message : String(error);
  return {
    runs: details.numRuns,
    steps: stepCount,
    violations: details.failed ? 1 : 0,
    counterexample: details.failed ? `${stepNames}: ${reason}` : '',
  };
}

/** Throws an error that lists the violations, if there are any. */
function throwOnViolations(violations: string[], stepName: string): void {
  if (violations.length > 0) {
    throw new VError('after %s: %s', stepName, violations.join('; '));
  }
}
