/**
 * Decides whether a request may be repeated at one more upstream after an
 * upstream crashed, lost the answer, or answered with a failure of its own.
 */
import {RouteKind} from '../fleet/route_table.js';
import type {Route} from '../fleet/route_table.js';

/** A request that an upstream failed to serve. */
export interface RepeatCandidate {
  route: Route;
  /** Number of upstreams that ran the request or may have run it. */
  upstreamsUsed: number;
  /** Whether the caller has received a part of an answer. */
  answerBegun: boolean;
  /** Whether another upstream can continue after that part. */
  canResume: boolean;
}

/** Whether a request may be sent to one more upstream. */
export function mayRepeat({
  route,
  upstreamsUsed,
  answerBegun,
  canResume,
}: RepeatCandidate): boolean {
  const isResumable = isResumableStream(route);
  const isRepeatable = route.kind === RouteKind.Idempotent || isResumable;
  const answerCanContinue = !answerBegun || (isResumable && canResume);
  return (
    isRepeatable && answerCanContinue && upstreamsUsed < route.maxUpstreams
  );
}

/** Whether streams of a route may go on at another upstream. */
export function isResumableStream({kind, resumable}: Route): boolean {
  return kind === RouteKind.Streaming && resumable;
}
