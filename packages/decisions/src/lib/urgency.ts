/**
 * Order in which an engine admits requests. Load pattern: long prompts and
 * short ones wait at the same engine, and a short one is late behind a long.
 */
import type {Millis} from './clock.js';

/** Urgency of a request that has none; 0 goes first, 9 last. */
export const DEFAULT_URGENCY = 5;

/** What the order depends on. */
export interface UrgencyInputs {
  /** Time to read what the engine does not keep of the prompt. */
  prefillTime: Millis;
  /** Time to the first token for full value. */
  latencyTarget: Millis;
}

/** Steps by the part of the target that reading takes. */
const URGENCY_STEPS: readonly {maxRatio: number; urgency: number}[] = [
  {maxRatio: 0.1, urgency: 3},
  {maxRatio: 0.3, urgency: 4},
  {maxRatio: 0.8, urgency: DEFAULT_URGENCY},
  {maxRatio: 1.5, urgency: 6},
];

/** Urgency of what can't be in time in any case. */
const LOWEST_URGENCY = 7;

/** The urgency of a request at its engine. */
export function urgencyOf({prefillTime, latencyTarget}: UrgencyInputs): number {
  const ratio = latencyTarget > 0 ? prefillTime / latencyTarget : 0;
  const step = URGENCY_STEPS.find(candidate => ratio <= candidate.maxRatio);
  return step?.urgency ?? LOWEST_URGENCY;
}
