/**
 * Limits on the time for which an upstream may send nothing. Covers these
 * faults: an upstream runs requests but its responses are lost; an upstream
 * hangs while its health check still passes.
 */
import {RouteKind} from '../fleet/route_table.js';
import type {Millis} from '../base/clock.js';
import type {Route} from '../fleet/route_table.js';

/**
 * Timeout of a request other than a stream, as a fraction of its latency
 * target.
 */
const NON_STREAM_TARGET_FRACTION = 0.6;

/** Minimum timeout of a request other than a stream. */
const MIN_NON_STREAM_TIMEOUT: Millis = 50;

/** Timeout of a stream's first event, as a multiple of its latency target. */
const STREAM_TARGET_MULTIPLE = 3;

/** Silence above this multiple of the latency target counts as a failure. */
const EXCESSIVE_SILENCE_MULTIPLE = 4;

/** Time without a response after which a request may go to another upstream. */
export function silenceTimeout({kind, latencyTarget}: Route): Millis {
  return kind === RouteKind.Streaming
    ? latencyTarget * STREAM_TARGET_MULTIPLE
    : Math.max(
        MIN_NON_STREAM_TIMEOUT,
        latencyTarget * NON_STREAM_TARGET_FRACTION,
      );
}

/** Whether the upstream of an attempt without a response counts as failed. */
export function isExcessiveSilence(
  {latencyTarget}: Route,
  silence: Millis,
): boolean {
  return silence > latencyTarget * EXCESSIVE_SILENCE_MULTIPLE;
}
