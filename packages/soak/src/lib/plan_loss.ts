/**
 * Draws runs in which an instance is lost for good while its accounts run out of
 * tokens, from a generator of their own.
 */
import {apartRandom} from './apart_random.js';
import {FaultKind} from './run_plan.js';
import type {RunPlan} from './run_plan.js';
import type {Millis} from '@citrontrestle/decisions';

/** One in this many runs has a loss. */
const RUNS_PER_LOSS = 6;

/** Time for which such a run lasts: the lost instance is silent for the last third. */
const LOAD_DURATION: Millis = 18_000;

/** When the instance is lost at the latest. */
const LAST_LOSS: Millis = 3_000;

/** Tokens granted at the start, and the rate at which they are used. */
const INITIAL_GRANT = 20_000;
const REQUESTS_PER_SECOND = 50;

/** Faults that may come beside a loss: after them no share is written off. */
const COMPANIONS: ReadonlySet<FaultKind> = new Set([
  FaultKind.Freeze,
  FaultKind.StallSeries,
  FaultKind.StoreFault,
  FaultKind.StoreOutage,
  FaultKind.UpstreamDrain,
  FaultKind.UpstreamFault,
  FaultKind.AnswerEndings,
  FaultKind.Partition,
  FaultKind.RotateKey,
]);

/** Makes a run one with a loss, if its seed has one. */
export function addLoss(plan: RunPlan): void {
  const random = apartRandom(plan.seed, 6);
  if (random() >= 1 / RUNS_PER_LOSS) {
    return;
  }
  plan.loadDuration = LOAD_DURATION;
  plan.initialGrant = INITIAL_GRANT;
  plan.requestsPerSecond = REQUESTS_PER_SECOND;
  plan.gatewayCount = Math.max(3, plan.gatewayCount);
  plan.faults = plan.faults.filter(({kind}) => COMPANIONS.has(kind));
  plan.faults.push({
    kind: FaultKind.Loss,
    startsAfter: random() * LAST_LOSS,
    duration: 0,
    targetFraction: random(),
    variantFraction: random(),
  });
}
