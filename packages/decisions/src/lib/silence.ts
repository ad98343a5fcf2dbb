/**
 * How long an upstream may be silent. Load patterns: upstreams run requests and
 * lose the answers; an upstream hangs while its health check is good.
 */
import {RouteKind} from './route_table.js';
import type {Millis} from './clock.js';
import type {Route} from './route_table.js';

/** Part of its target after which silent plain work is tried elsewhere. */
const PLAIN_TARGET_FRACTION = 0.6;

/** Least silence after which plain work is tried elsewhere. */
const MIN_PLAIN_TIMEOUT: Millis = 50;

/** Multiple of its target after which a silent stream is tried elsewhere. */
const STREAM_TARGET_MULTIPLE = 3;

/** Multiple of its target after which silence counts against an upstream. */
const EXCESSIVE_SILENCE_MULTIPLE = 4;

/** Silence after which a request that may be repeated is tried elsewhere. */
export function silenceTimeout({kind, latencyTarget}: Route): Millis {
  return kind === RouteKind.Streaming
    ? latencyTarget * STREAM_TARGET_MULTIPLE
    : Math.max(MIN_PLAIN_TIMEOUT, latencyTarget * PLAIN_TARGET_FRACTION);
}

/** Whether an attempt without an answer counts against its upstream. */
export function isExcessiveSilence(
  {latencyTarget}: Route,
  silence: Millis,
): boolean {
  return silence > latencyTarget * EXCESSIVE_SILENCE_MULTIPLE;
}
