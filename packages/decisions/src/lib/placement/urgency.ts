/**
 * Urgency by which an engine orders its queue and chooses what to preempt.
 * Covers this load pattern: important and less important requests, with long and
 * short prompts, wait at the same engine. The more important go first; among
 * equals, a short prompt would miss its latency target behind a long one.
 */
import type {Millis} from '../base/clock.js';
import type {PriorityRank} from './priorities.js';

/** Number of urgencies: 0 goes first, 9 goes last. */
const URGENCY_COUNT = 10;

/** What the urgency of a request depends on. */
export interface UrgencyInputs {
  /** Expected time to process the tokens of the prompt that are not cached. */
  prefillTime: Millis;
  /** Latency target of the route; 0 or less if there is none. */
  latencyTarget: Millis;
  priority: PriorityRank;
}

/**
 * Highest ratio of the prompt's processing time to the latency target in each
 * class of prompts. A prompt above the last one misses its target anyway.
 */
const CLASS_RATIOS: readonly number[] = [0.1, 0.3, 0.8, 1.5, Infinity];

/** Returns the urgency that is sent to the engine with a request. */
export function urgencyOf({
  prefillTime,
  latencyTarget,
  priority: {rank, count},
}: UrgencyInputs): number {
  const bands = Math.min(count, CLASS_RATIOS.length);
  const band = Math.floor((rank * bands) / count);
  const levels = Math.floor(URGENCY_COUNT / bands);
  const ratio = latencyTarget > 0 ? prefillTime / latencyTarget : 0;
  const promptClass = CLASS_RATIOS.findIndex(maxRatio => ratio <= maxRatio);
  const level = Math.floor((promptClass * levels) / CLASS_RATIOS.length);
  return band * levels + level;
}
