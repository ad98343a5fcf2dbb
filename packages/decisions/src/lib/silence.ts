/**
 * How long an upstream may be silent. Load patterns: upstreams run requests and
 * lose the answers; an upstream hangs while its health check is good.
 */
import {RouteKind} from './route_table.js';
import type {Millis} from './clock.js';
import type {Route} from './route_table.js';

/** Part of its target after which silent plain work is tried elsewhere. */
const PLAIN_PART = 0.6;

/** Least silence after which plain work is tried elsewhere. */
const LEAST_SILENCE: Millis = 50;

/** Multiple of its target after which a silent stream is tried elsewhere. */
const STREAM_MULTIPLE = 3;

/** Multiple of its target after which silence counts against an upstream. */
const SUSPECT_MULTIPLE = 4;

/** Silence after which a request that may be repeated is tried elsewhere. */
export function silenceBound({kind, target}: Route): Millis {
  return kind === RouteKind.Streaming
    ? target * STREAM_MULTIPLE
    : Math.max(LEAST_SILENCE, target * PLAIN_PART);
}

/** Whether an attempt without an answer counts against its upstream. */
export function isSuspectSilence({target}: Route, silence: Millis): boolean {
  return silence > target * SUSPECT_MULTIPLE;
}
