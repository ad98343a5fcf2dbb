/**
 * Urgency by which an engine orders its queue. Covers this load pattern: long
 * and short prompts wait at the same engine, and a short one would miss its
 * latency target behind a long one.
 */
import type {Millis} from '../base/clock.js';

/** Urgency of a request that states none; 0 goes first, 9 goes last. */
export const DEFAULT_URGENCY = 5;

/** What the urgency of a request depends on. */
export interface UrgencyInputs {
  /** Expected time to process the tokens of the prompt that are not cached. */
  prefillTime: Millis;
  /** Latency target of the route; 0 or less if there is none. */
  latencyTarget: Millis;
}

/**
 * Urgency by the ratio of the prompt's processing time to the latency target:
 * the first step whose maximum is not exceeded applies.
 */
const URGENCY_STEPS: readonly {maxRatio: number; urgency: number}[] = [
  {maxRatio: 0.1, urgency: 3},
  {maxRatio: 0.3, urgency: 4},
  {maxRatio: 0.8, urgency: DEFAULT_URGENCY},
  {maxRatio: 1.5, urgency: 6},
];

/** Urgency above the last step, where a request misses its target anyway. */
const LOWEST_URGENCY = 7;

/** Returns the urgency that is sent to the engine with a request. */
export function urgencyOf({prefillTime, latencyTarget}: UrgencyInputs): number {
  const ratio = latencyTarget > 0 ? prefillTime / latencyTarget : 0;
  const step = URGENCY_STEPS.find(candidate => ratio <= candidate.maxRatio);
  return step?.urgency ?? LOWEST_URGENCY;
}
