/** Checks that no caller takes a part of an upstream's answer for the whole. */
import {
  AnswerFraming,
  completeEventIds,
  ConnectionEnd,
  ServerFault,
} from '@citrontrestle/stand_ins';
import {EVENTS_PER_STREAM, RequestKind} from '../observations.js';
import {tryOf, tryOfRun} from './matching.js';
import type {RunObservations, SentRequest, Violation} from '../observations.js';
import type {AnswerEnding} from '@citrontrestle/stand_ins';

/** A run of a request at an upstream. */
type UpstreamRun = RunObservations['upstreamRuns'][number];

/** The runs of each try, in the order of their start. */
type RunsByTry = ReadonlyMap<string, UpstreamRun[]>;

/** First and last status that an answer may have. */
const VALID_STATUSES = {min: 100, max: 599};

/** Kinds of requests whose answers are no streams. */
const PLAIN_KINDS: ReadonlySet<RequestKind> = new Set([
  RequestKind.Read,
  RequestKind.Order,
]);

/**
 * Finds answers that a caller took for whole although their upstream did not end
 * them so. A stream without a length whose living upstream closes the connection
 * after a whole event, short of the last one, can't be told from a whole one and
 * is the only case in which a caller may be told that a part is whole. An answer
 * without a length, closed by a living upstream, may also reach the caller without
 * a length and closed, as that says no more than the upstream did.
 */
export function findPartsTakenForWhole({
  sentRequests,
  upstreamRuns,
}: RunObservations): Violation[] {
  const runsByTry = groupRuns(upstreamRuns);
  return sentRequests.flatMap(request => {
    const {id, kind, result} = request;
    const ending = answeringRun(request, runsByTry)?.run.ending;
    const isTaken = result.status === 200 && result.complete;
    if (!isTaken || ending === undefined || isWhole(request, ending)) {
      return [];
    }
    const {writtenPieces, allPieces, framing, end, isEarly} = ending;
    const early = isEarly ? ', early' : '';
    const lengthNote = result.hasFraming ? '' : ' without a length';
    return [
      {
        guarantee: 'a part is never taken for the whole',
        detail: `${kind} ended as complete${lengthNote} though its upstream wrote ${writtenPieces} of ${allPieces} pieces (${framing}, ${end}${early})`,
        requestIds: [id],
      },
    ];
  });
}

/**
 * Finds answers with a status that no answer may have, and those that bear an
 * upstream's seal with another status than the upstream gave.
 */
export function findForeignStatuses({
  sentRequests,
  upstreamRuns,
}: RunObservations): Violation[] {
  const runsByTry = groupRuns(upstreamRuns);
  return sentRequests.flatMap(request => {
    const {id, kind, result} = request;
    const hasHead = Object.keys(result.headers).length > 0;
    const {min, max} = VALID_STATUSES;
    const isInvalid = hasHead && (result.status < min || result.status > max);
    const run = result.hasSeal ? sealedRun(request, runsByTry) : undefined;
    const given = run === undefined ? undefined : statusOf(run);
    const isForeign = given !== undefined && given !== result.status;
    const givenNote = isForeign ? `, its upstream gave ${given}` : '';
    return isInvalid || isForeign
      ? [
          {
            guarantee: 'a status is the one that its upstream gave',
            detail: `${kind}: status ${result.status}${givenNote}`,
            requestIds: [id],
          },
        ]
      : [];
  });
}

/** Returns whether a caller may take an answer that ended so for whole. */
function isWhole({kind, result}: SentRequest, ending: AnswerEnding): boolean {
  const {framing, end, writtenPieces, allPieces} = ending;
  const isUnframed = framing === AnswerFraming.Unframed;
  const isClosed = end === ConnectionEnd.Close;
  if (ending.isWhole) {
    return true;
  }
  if (writtenPieces === allPieces) {
    // A kill after the last piece ends the connection as a close does.
    const isReset = !isClosed && end !== ConnectionEnd.Kill;
    return framing === AnswerFraming.Length || (isUnframed && !isReset);
  }
  if (!result.hasFraming || PLAIN_KINDS.has(kind)) {
    return isUnframed && isClosed && !result.hasFraming;
  }
  const lastEvent = completeEventIds(result).at(-1) ?? 0;
  const writtenEvent = EVENTS_PER_STREAM - allPieces + writtenPieces;
  return (
    isUnframed && isClosed && writtenPieces > 0 && lastEvent === writtenEvent
  );
}

/** Returns the status that an upstream gave; undefined if it is not known. */
function statusOf({run}: UpstreamRun): number | undefined {
  return run.ending === undefined
    ? STATUSES[run.fault]
    : Number(run.ending.status);
}

/** Statuses of answers that an upstream ends as usual, as far as known. */
const STATUSES: Partial<Record<ServerFault, number>> = {
  [ServerFault.None]: 200,
  [ServerFault.Failure]: 500,
};

/** Returns the run whose end the caller saw: the last one of a stream. */
export function answeringRun(
  request: SentRequest,
  runsByTry: RunsByTry,
): UpstreamRun | undefined {
  return request.kind === RequestKind.ResumableStream
    ? runsByTry.get(tryOf(request))?.at(-1)
    : sealedRun(request, runsByTry);
}

/** Returns the run by the upstream whose seal an answer bears. */
function sealedRun(
  request: SentRequest,
  runsByTry: RunsByTry,
): UpstreamRun | undefined {
  const seal = request.result.headers['x-response-seal'];
  return runsByTry
    .get(tryOf(request))
    ?.findLast(({upstream}) => seal === `seal-${upstream}`);
}

/** Groups runs by their tries, in the order of their start. */
export function groupRuns(
  runs: readonly UpstreamRun[],
): Map<string, UpstreamRun[]> {
  const groups = new Map<string, UpstreamRun[]>();
  const sorted = [...runs].sort((a, b) => a.run.startedAt - b.run.startedAt);
  for (const upstreamRun of sorted) {
    const key = tryOfRun(upstreamRun.run);
    groups.set(key, [...(groups.get(key) ?? []), upstreamRun]);
  }
  return groups;
}
