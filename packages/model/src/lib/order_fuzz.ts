/** Stateful fuzzing of orders: at most once, and "not run" only if so. */
import fc from 'fast-check';
import VError from 'verror';
import {OrderModel, RunFate} from './order_model.js';
import type {FuzzResult} from './fuzz.js';
import type {Plant} from './plant.js';

const ENTRIES = 3;
const KEYS = ['k1', 'k2'];
const MOST_COMMANDS = 40;

interface Step {
  name: string;
  act: (model: OrderModel) => void;
}

const entry = fc.nat({max: ENTRIES - 1});
const onEntry = (
  name: string,
  act: (model: OrderModel, index: number) => void,
) =>
  entry.map((index): Step => ({
    name: `${name}(${index})`,
    act: m => act(m, index),
  }));

const orders = fc
  .tuple(fc.constantFrom(...KEYS), entry)
  .map(([key, index]): Step => ({
    name: `order(${key},${index})`,
    act: model => model.order(key, index),
  }));

const pauses = fc
  .oneof(fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 4_000}))
  .map((span): Step => ({
    name: `advance(${span})`,
    act: model => model.advance(span),
  }));

const step = fc.oneof(
  {weight: 4, arbitrary: orders},
  {weight: 4, arbitrary: pauses},
  onEntry('kill', (model, index) => model.kill(index)),
  onEntry('freeze', (model, index) => model.freeze(index)),
  onEntry('wake', (model, index) => model.wake(index)),
  fc.boolean().map((down): Step => ({
    name: down ? 'outage' : 'back',
    act: model => (model.store.faults.down = down),
  })),
  fc.nat({max: 2_000}).map((slow): Step => ({
    name: `slow(${slow})`,
    act: model => (model.store.faults.slow = slow),
  })),
  fc.integer({min: 1, max: 3}).map((lost): Step => ({
    name: `lost(${lost})`,
    act: model => (model.store.faults.lost += lost),
  })),
  fc.constantFrom(...Object.values(RunFate)).map((fate): Step => ({
    name: `fate(${fate})`,
    act: model => (model.fate = fate),
  })),
);

/** Fuzzes orders. */
export function fuzzOrders(
  plant: Plant,
  seed: number,
  runs: number,
): FuzzResult {
  let taken = 0;
  const property = fc.property(
    fc.array(step, {maxLength: MOST_COMMANDS, size: 'max'}),
    steps => {
      const model = new OrderModel(plant);
      for (const {name, act} of steps) {
        act(model);
        model.advance(1);
        taken += 1;
        expectNothing(model.check(), name);
      }
      model.quiesce();
      expectNothing(model.check(), 'all');
    },
  );
  const details = fc.check(property, {seed, numRuns: runs});
  const names = details.counterexample?.[0].map(one => one.name).join(',');
  const error = details.errorInstance;
  const reason = error instanceof Error ? error.message : String(error);
  return {
    runs: details.numRuns,
    steps: taken,
    violations: details.failed ? 1 : 0,
    counterexample: details.failed ? `${names}: ${reason}` : '',
  };
}

function expectNothing(wrong: string[], name: string): void {
  if (wrong.length > 0) {
    throw new VError('after %s: %s', name, wrong.join('; '));
  }
}
