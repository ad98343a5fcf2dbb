/** Checks on the answers that callers got. */
import {completeEventIds} from '@citrontrestle/stand_ins';
import {answeringRun, groupRuns} from './endings.js';
import {EVENTS_PER_STREAM, RequestKind} from '../observations.js';
import {isUndisturbed, tryOf, tryOfRun} from './matching.js';
import type {RunObservations, SentRequest, Violation} from '../observations.js';
import type {Millis} from '@citrontrestle/decisions';

/** Time that a stopping instance has to finish its requests. */
const STOP_GRACE_PERIOD: Millis = 8_000;

/**
 * Time from sending a request after which the instance has read it. A request
 * that ended sooner may have been on its way when the instance stopped.
 */
const REQUEST_READ_TIME: Millis = 200;

/**
 * Finds successful responses that belong to another request, that lack the seal
 * with which an upstream signs its responses, that are incomplete while the
 * caller can't tell, or whose stream misses or repeats events.
 */
export function findInvalidResponses({
  sentRequests,
  upstreamRuns,
}: RunObservations): Violation[] {
  const runsByTry = groupRuns(upstreamRuns);
  return sentRequests.flatMap(request => {
    const ending = answeringRun(request, runsByTry)?.run.ending;
    const fault =
      request.result.status === 200
        ? describeResponseFault(request, ending?.isWhole === false)
        : undefined;
    const guarantee = 'a whole answer of its own';
    return fault === undefined
      ? []
      : [
          {
            guarantee,
            detail: `${request.kind}: ${fault}`,
            requestIds: [request.id],
          },
        ];
  });
}

/**
 * Returns what is wrong with a response of status 200; undefined if nothing.
 * @param hasOwnEnding whether the upstream that answered ended it in part, whose
 *     completeness `findPartsTakenForWhole` checks.
 */
function describeResponseFault(
  {id, kind, resumed, result}: SentRequest,
  hasOwnEnding: boolean,
): string | undefined {
  if (result.requestId !== id) {
    return 'response carries the identifier of another request';
  }
  if (!result.hasSeal) {
    return 'status 200 without the seal of an upstream';
  }
  const looksComplete = result.complete && result.hasFraming && !hasOwnEnding;
  if (kind === RequestKind.Read || kind === RequestKind.Order) {
    return looksComplete && result.body !== 'done'
      ? 'body is incomplete or wrong'
      : undefined;
  }
  const eventIds = completeEventIds(result);
  const firstEvent = 1 + (resumed?.lastEvent ?? 0);
  if (eventIds.some((eventId, index) => eventId !== index + firstEvent)) {
    return `events are not consecutive from ${firstEvent}: ${eventIds.join(',')}`;
  }
  const lastEvent = eventIds.at(-1) ?? firstEvent - 1;
  const isTruncated = lastEvent < EVENTS_PER_STREAM && looksComplete;
  return isTruncated
    ? `stream ended as complete after ${eventIds.length} events`
    : undefined;
}

/**
 * Finds requests that a planned stop of their instance interrupted. Leaves out
 * requests that met an upstream's fault or a disruption of the instance.
 */
export function findRequestsCutByStop({
  sentRequests,
  upstreamRuns,
  disruptions,
  plannedStops,
}: RunObservations): Violation[] {
  const faultyTries = new Set(
    upstreamRuns
      .filter(({run}) => run.fault !== 'none' || run.ending !== undefined)
      .map(({run}) => tryOfRun(run)),
  );
  return sentRequests
    .filter(request => {
      const stop = plannedStops.find(
        ({gateway, signalledAt}) =>
          gateway === request.gateway &&
          request.result.endedAt >= signalledAt &&
          request.result.endedAt < signalledAt + STOP_GRACE_PERIOD,
      );
      const isIncomplete =
        request.result.status === 0 || !request.result.complete;
      const wasRead =
        request.result.endedAt - request.sentAt > REQUEST_READ_TIME;
      const wasUndisturbed = isUndisturbed(
        disruptions,
        request.gateway,
        request.sentAt,
        request.result.endedAt,
      );
      return (
        stop !== undefined &&
        request.leftAt === undefined &&
        isIncomplete &&
        wasRead &&
        wasUndisturbed &&
        !faultyTries.has(tryOf(request))
      );
    })
    .map(({id, kind, gateway, sentAt, result}) => ({
      guarantee: 'a planned stop cuts nothing',
      detail: `${kind} interrupted while ${gateway} was stopping, ${result.endedAt - sentAt} ms after it was sent, status ${result.status}`,
      requestIds: [id],
    }));
}

/** Finds streams with events of several versions, over a caller's tries. */
export function findJoinedStreams({
  sentRequests,
}: RunObservations): Violation[] {
  const versionsByStream = new Map<string, Set<string>>();
  for (const {id, resumed, result} of sentRequests) {
    const stream = resumed?.id ?? id;
    const versions = versionsByStream.get(stream) ?? new Set();
    versionsByStream.set(stream, versions);
    for (const match of result.body?.matchAll(/ of (\S+)\n/g) ?? []) {
      versions.add(match[1] ?? '');
    }
  }
  return [...versionsByStream]
    .filter(([, versions]) => versions.size > 1)
    .map(([id, versions]) => ({
      guarantee: 'a stream goes on at one version',
      detail: `events of ${[...versions].join(', ')}`,
      requestIds: [id],
    }));
}
