/**
 * Order in which an engine admits requests. Load pattern: long prompts and
 * short ones wait at the same engine, and a short one is late behind a long.
 */
import type {Millis} from './clock.js';

/** Urgency of a request that has none; 0 goes first, 9 last. */
export const USUAL_URGENCY = 5;

/** What the order depends on. */
export interface UrgencyView {
  /** Time to read what the engine does not keep of the prompt. */
  reading: Millis;
  /** Time to the first token for full value. */
  target: Millis;
}

/** Steps by the part of the target that reading takes. */
const STEPS: readonly {part: number; urgency: number}[] = [
  {part: 0.1, urgency: 3},
  {part: 0.3, urgency: 4},
  {part: 0.8, urgency: USUAL_URGENCY},
  {part: 1.5, urgency: 6},
];

/** Urgency of what can't be in time in any case. */
const LEAST_URGENT = 7;

/** The urgency of a request at its engine. */
export function urgencyOf({reading, target}: UrgencyView): number {
  const part = target > 0 ? reading / target : 0;
  const step = STEPS.find(one => part <= one.part);
  return step?.urgency ?? LEAST_URGENT;
}
