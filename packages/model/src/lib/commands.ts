/**
 * The random steps that the fuzzer applies to a fleet model: requests, faults,
 * operators' actions and the passage of time.
 */
import fc from 'fast-check';
import VError from 'verror';
import {checkInvariants} from './oracle.js';
import type {FleetModel} from './fleet_model.js';

/** Counter that is shared by all sequences of a fuzzing run. */
export interface Progress {
  /** Number of steps executed so far. */
  steps: number;
}

/**
 * One step of a sequence. After the step, 1 ms passes and the invariants are
 * checked; a violation is thrown as an error.
 */
export class Step implements fc.Command<Progress, FleetModel> {
  constructor(
    private readonly name: string,
    private readonly action: (model: FleetModel) => void,
  ) {}

  /** Every step is possible in every state of the model. */
  check(): boolean {
    return true;
  }

  run(progress: Progress, model: FleetModel): void {
    progress.steps += 1;
    this.action(model);
    model.advance(1);
    const violations = checkInvariants(model);
    if (violations.length > 0) {
      throw new VError('after %s: %s', this.name, violations.join('; '));
    }
  }

  /** Returns the step as it is printed in a counterexample. */
  toString(): string {
    return this.name;
  }
}

/**
 * Maximum tokens of one request or top-up. For most budgets, entries and network
 * partitions, exceeding this or the maxima below makes no difference.
 */
const MAX_TOKENS = 1_500;

/** Maximum time that one step lets pass. */
const MAX_ADVANCE_MS = 12_000;

/** Maximum latency added to each call to the key-value service. */
const MAX_ADDED_LATENCY_MS = 3_000;

/** Time that passes after a burst of requests, so that they are served. */
const RUSH_DURATION_MS = 1_000;

/**
 * Returns generators of steps for models with `entryCount` entries and the given
 * budgets. Frequent steps are listed more than once.
 */
export function stepArbitraries(
  entryCount: number,
  budgets: string[],
): fc.Arbitrary<Step>[] {
  const entryArbitrary = fc.nat({max: entryCount - 1});
  const budgetArbitrary = fc.constantFrom(...budgets);
  const tokensArbitrary = fc.integer({min: 1, max: MAX_TOKENS});
  const entryStep = (
    name: string,
    action: (model: FleetModel, index: number) => void,
  ) =>
    entryArbitrary.map(
      index => new Step(`${name}(${index})`, model => action(model, index)),
    );
  const requests = fc
    .tuple(
      entryArbitrary,
      budgetArbitrary,
      tokensArbitrary,
      fc.integer({min: 1, max: 8}),
    )
    .map(
      ([entry, budget, tokens, count]) =>
        new Step(`request(${entry},${budget},${tokens},x${count})`, model => {
          for (let i = 0; i < count; i++) {
            model.request(entry, budget, tokens);
          }
        }),
    );
  const rushes = fc
    .tuple(budgetArbitrary, tokensArbitrary, fc.integer({min: 1, max: 4}))
    .map(
      ([budget, tokens, countPerEntry]) =>
        new Step(`rush(${budget},${tokens},x${countPerEntry})`, model => {
          for (let i = 0; i < countPerEntry * entryCount; i++) {
            model.request(i % entryCount, budget, tokens);
          }
          model.advance(RUSH_DURATION_MS);
        }),
    );
  const losses = entryArbitrary.map(
    index =>
      new Step(`lose(${index})`, model => {
        model.kill(index);
        model.release(index);
      }),
  );
  const pauses = fc
    .oneof(
      fc.integer({min: 1, max: 600}),
      fc.integer({min: 1, max: MAX_ADVANCE_MS}),
    )
    .map(span => new Step(`advance(${span})`, model => model.advance(span)));
  return [
    // Requests and time make up most of a real sequence, so they are listed
    // several times.
    requests,
    requests,
    requests,
    rushes,
    rushes,
    losses,
    pauses,
    pauses,
    pauses,
    fc.tuple(entryArbitrary, fc.nat({max: 20})).map(
      ([entry, offset]) =>
        new Step(`retry(${entry},${offset})`, model => {
          const attempt = model.attempts.at(-1 - offset);
          if (attempt !== undefined) {
            model.request(
              entry,
              attempt.budget,
              attempt.reservedTokens,
              attempt.idempotencyKey,
            );
          }
        }),
    ),
    entryStep('kill', (model, index) => model.kill(index)),
    entryStep('restart', (model, index) => model.restart(index)),
    entryStep('freeze', (model, index) => model.freeze(index)),
    entryStep('wake', (model, index) => model.wake(index)),
    entryStep('drain', (model, index) => model.drain(index)),
    entryStep('release', (model, index) => model.release(index)),
    fc
      .tuple(entryArbitrary, entryArbitrary, fc.boolean())
      .map(
        ([first, second, isCut]) =>
          new Step(`${isCut ? 'cut' : 'heal'}(${first},${second})`, model =>
            model.setLinkCut(first, second, isCut),
          ),
      ),
    fc
      .tuple(budgetArbitrary, tokensArbitrary)
      .map(
        ([budget, tokens]) =>
          new Step(`topUp(${budget},${tokens})`, model =>
            model.topUp(budget, tokens),
          ),
      ),
    fc.boolean().map(
      isDown =>
        new Step(isDown ? 'outage' : 'back', model => {
          model.store.faults.isDown = isDown;
        }),
    ),
    fc.nat({max: MAX_ADDED_LATENCY_MS}).map(
      addedLatency =>
        new Step(`slow(${addedLatency})`, model => {
          model.store.faults.addedLatency = addedLatency;
        }),
    ),
    fc.integer({min: 1, max: 3}).map(
      answersToLose =>
        new Step(`lost(${answersToLose})`, model => {
          model.store.faults.answersToLose += answersToLose;
        }),
    ),
  ];
}
