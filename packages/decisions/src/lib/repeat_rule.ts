/**
 * Whether a request may run at one more upstream. Load patterns: upstreams crash,
 * lose answers, or answer with failures of their own.
 */
import {RouteKind} from './route_table.js';
import type {Route} from './route_table.js';

/** What is known of a request that an upstream did not serve. */
export interface RepeatView {
  route: Route;
  /** Upstreams that ran it or may have run it. */
  ran: number;
  /** Whether the caller has a part of an answer. */
  begun: boolean;
  /** Whether the answer can go on after what the caller has. */
  resumable: boolean;
}

/** Whether a request may run at one more upstream. */
export function mayRepeat({route, ran, begun, resumable}: RepeatView): boolean {
  const streaming = route.kind === RouteKind.Streaming;
  const resumes = streaming && route.resumable;
  const repeats = route.kind === RouteKind.Idempotent || resumes;
  const fresh = !begun || (resumes && resumable);
  return repeats && fresh && ran < route.mostUpstreams;
}
