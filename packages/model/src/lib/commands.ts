/** The fuzzer's commands over a fleet model. */
import fc from 'fast-check';
import VError from 'verror';
import {checkAlways} from './oracle.js';
import type {FleetModel} from './fleet_model.js';

/** Shared by all steps of one sequence: the number of steps taken. */
export interface Progress {
  steps: number;
}

/** One step of a sequence. */
export class Step implements fc.Command<Progress, FleetModel> {
  constructor(
    private readonly name: string,
    private readonly act: (model: FleetModel) => void,
  ) {}

  check(): boolean {
    return true;
  }

  run(progress: Progress, model: FleetModel): void {
    progress.steps += 1;
    this.act(model);
    model.advance(1);
    const wrong = checkAlways(model);
    if (wrong.length > 0) {
      throw new VError('after %s: %s', this.name, wrong.join('; '));
    }
  }

  toString(): string {
    return this.name;
  }
}

/** Most budgets, entries and partitions do not matter beyond these. */
const MOST_TOKENS = 1_500;
const LONGEST_ADVANCE = 12_000;
const LONGEST_DELAY = 3_000;

/** Time for a rush to be served. */
const RUSH = 1_000;

/** Commands over models with so many entries and these budgets. */
export function stepArbitraries(
  entries: number,
  budgets: string[],
): fc.Arbitrary<Step>[] {
  const entry = fc.nat({max: entries - 1});
  const budget = fc.constantFrom(...budgets);
  const tokens = fc.integer({min: 1, max: MOST_TOKENS});
  const on = (name: string, act: (model: FleetModel, index: number) => void) =>
    entry.map(index => new Step(`${name}(${index})`, m => act(m, index)));
  const requests = fc
    .tuple(entry, budget, tokens, fc.integer({min: 1, max: 8}))
    .map(
      ([e, b, t, n]) =>
        new Step(`request(${e},${b},${t},x${n})`, model => {
          for (let i = 0; i < n; i++) {
            model.request(e, b, t);
          }
        }),
    );
  const rushes = fc.tuple(budget, tokens, fc.integer({min: 1, max: 4})).map(
    ([b, t, n]) =>
      new Step(`rush(${b},${t},x${n})`, model => {
        for (let i = 0; i < n * entries; i++) {
          model.request(i % entries, b, t);
        }
        model.advance(RUSH);
      }),
  );
  const losses = entry.map(
    index =>
      new Step(`lose(${index})`, model => {
        model.kill(index);
        model.release(index);
      }),
  );
  const pauses = fc
    .oneof(
      fc.integer({min: 1, max: 600}),
      fc.integer({min: 1, max: LONGEST_ADVANCE}),
    )
    .map(span => new Step(`advance(${span})`, m => m.advance(span)));
  return [
    // Requests and pauses stand for most of a real sequence.
    requests,
    requests,
    requests,
    rushes,
    rushes,
    losses,
    pauses,
    pauses,
    pauses,
    fc.tuple(entry, fc.nat({max: 20})).map(
      ([e, back]) =>
        new Step(`retry(${e},${back})`, model => {
          const run = model.runs.at(-1 - back);
          if (run !== undefined) {
            model.request(e, run.budget, run.reserved, run.key);
          }
        }),
    ),
    on('kill', (model, index) => model.kill(index)),
    on('restart', (model, index) => model.restart(index)),
    on('freeze', (model, index) => model.freeze(index)),
    on('wake', (model, index) => model.wake(index)),
    on('drain', (model, index) => model.drain(index)),
    on('release', (model, index) => model.release(index)),
    fc
      .tuple(entry, entry, fc.boolean())
      .map(
        ([a, b, cut]) =>
          new Step(`${cut ? 'cut' : 'heal'}(${a},${b})`, m =>
            m.setCut(a, b, cut),
          ),
      ),
    fc
      .tuple(budget, tokens)
      .map(([b, t]) => new Step(`topUp(${b},${t})`, m => m.topUp(b, t))),
    fc.boolean().map(
      down =>
        new Step(down ? 'outage' : 'back', model => {
          model.store.faults.down = down;
        }),
    ),
    fc.nat({max: LONGEST_DELAY}).map(
      slow =>
        new Step(`slow(${slow})`, model => {
          model.store.faults.slow = slow;
        }),
    ),
    fc.integer({min: 1, max: 3}).map(
      lost =>
        new Step(`lost(${lost})`, model => {
          model.store.faults.lost += lost;
        }),
    ),
  ];
}
