/**
 * Checks that the gateway's guarantees held in one run, from what callers and
 * upstreams observed. All times are milliseconds since the epoch.
 */
import {completeEventIds, sharedParts} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';
import type {CallerResult, ServerRun} from '@citrontrestle/stand_ins';

/** Kinds of requests that callers send; the values name the routes. */
export enum RequestKind {
  /** An idempotent request. */
  Read = 'read',
  /** A request that must run at most once. */
  Order = 'order',
  /** A token stream that must run at most once. */
  NonResumableStream = 'talk',
  /** A token stream that may be resumed at another upstream. */
  ResumableStream = 'long',
}

/** Header in which callers number their tries of one request, from 1. */
export const TRY_HEADER = 'x-caller-try';

/** One try of a caller's request and its result. */
export interface SentRequest {
  /** The same in all tries of a request. */
  id: string;
  /** Number of the try, from 1. */
  tryNumber: number;
  kind: RequestKind;
  account: string;
  apiKey: string;
  /** Name of the instance that received the request. */
  gateway: string;
  sentAt: number;
  /** The request whose stream it takes up, and the last event of that. */
  resumed?: {id: string; lastEvent: number} | undefined;
  /** When its caller left before the response had ended; undefined if it stayed. */
  leftAt?: number;
  /** Filled in once the response or the connection has ended. */
  result: CallerResult;
}

/** A period during which a fault affected one or all instances. */
export interface Disruption {
  /** Name of the affected instance; undefined if all are affected. */
  gateway: string | undefined;
  from: number;
  until: number;
  /** Whether a link held bytes back, which may arrive after a request has ended. */
  holdsBytes: boolean;
}

/** An API key that was removed from the configuration. */
export interface Revocation {
  apiKey: string;
  revokedAt: number;
}

/** An upstream that was marked as draining. */
export interface UpstreamDrain {
  upstream: string;
  announcedAt: number;
}

/** A zone that the operator evacuated. */
export interface Evacuation {
  zone: string;
  orderedAt: number;
  /** Infinity until it is taken back. */
  takenBackAt: number;
}

/** A prompt part under which upstreams crashed. */
export interface CrashingPart {
  part: string;
  /** When upstreams crashed under it, the first one first. */
  crashTimes: number[];
}

/** What was observed in one run. */
export interface RunObservations {
  sentRequests: SentRequest[];
  /** Requests that upstreams started to run, each with its upstream and zone. */
  upstreamRuns: {upstream: string; zone: string; run: ServerRun}[];
  /** Tokens granted to each account by the end of the run. */
  grantedTokens: ReadonlyMap<string, number>;
  /**
   * While one lasts, time bounds are not checked for the affected instances.
   */
  disruptions: Disruption[];
  /** Instances that were told to stop by SIGTERM. */
  plannedStops: {gateway: string; signalledAt: number}[];
  revocations: Revocation[];
  upstreamDrains: UpstreamDrain[];
  crashingParts: CrashingPart[];
  evacuations: Evacuation[];
}

/** A guarantee that did not hold. */
export interface Violation {
  /** Key of the check in `CHECKS`. */
  guarantee: string;
  detail: string;
  /** Identifiers of the requests concerned; empty if it is about an account. */
  requestIds: string[];
}

/** Output tokens in one event of a stream. */
export const TOKENS_PER_EVENT = 5;

/** Prompt tokens and maximum output tokens that a stream request declares. */
export const STREAM_TOKENS = {input: 100, maxOutput: 30};

/** Number of events in a complete stream. */
export const EVENTS_PER_STREAM = 6;

/**
 * Maximum time until all instances apply the revocation of a key, the drain of an
 * upstream or the evacuation of a zone.
 */
export const CHANGE_PROPAGATION_LIMIT: Millis = 2_000;

/** Crashes under a part before the propagation limit begins to count. */
const FREE_CRASHES = 5;

/** Time until all instances refuse a part that crashes upstreams. */
const CRASH_PROPAGATION_LIMIT: Millis = 3_000;

/** Number of requests with the part that may reach upstreams after that. */
const MAX_LATE_CRASHES = 3;

/** Time after the end of a disruption until time bounds apply again. */
const RECOVERY_TIME: Millis = 3_000;

/** Time that a stopping instance has to finish its requests. */
const STOP_GRACE_PERIOD: Millis = 8_000;

/**
 * Time from sending a request after which the instance has read it. A request
 * that ended sooner may have been on its way when the instance stopped.
 */
const REQUEST_READ_TIME: Millis = 200;

/** Time after its caller has left from which on a request must not begin to run. */
export const DEPARTURE_LIMIT: Millis = 500;

/** Statuses that guarantee that the request was not and will not be run. */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

type Check = (observations: RunObservations) => Violation[];

/**
 * Runs all checks on one run; returns an empty array if all guarantees held.
 */
export function findViolations(observations: RunObservations): Violation[] {
  return Object.values(CHECKS).flatMap(check => check(observations));
}

/** The checks by the name of the guarantee that each verifies. */
export const CHECKS: Readonly<Record<string, Check>> = {
  'a budget is never overspent': findOverspentBudgets,
  'at most once': findRepeatedRuns,
  'not run means not run': findRefusalsThatRan,
  'a whole answer of its own': findInvalidResponses,
  'a planned stop cuts nothing': findRequestsCutByStop,
  'a key that is gone serves nobody': findUsesOfRevokedKeys,
  'an upstream that leaves gets nothing new': findRunsAfterDrain,
  'an evacuated zone gets nothing new': findRunsAfterEvacuation,
  'a stream goes on at one version': findJoinedStreams,
  'what crashes upstreams is refused': findLateCrashes,
  'nobody works for a caller that has left': findRunsAfterDeparture,
};

/**
 * Finds accounts whose streams used more tokens than were granted. Counts the
 * prompt and the output that callers received of each stream that was run.
 */
function findOverspentBudgets({
  sentRequests,
  upstreamRuns,
  grantedTokens,
}: RunObservations): Violation[] {
  const ranTries = new Set(upstreamRuns.map(({run}) => tryOfRun(run)));
  const usedTokens = new Map<string, number>();
  for (const request of sentRequests) {
    const {account, kind, result} = request;
    const isStream =
      kind === RequestKind.NonResumableStream ||
      kind === RequestKind.ResumableStream;
    if (isStream && ranTries.has(tryOf(request))) {
      const output = completeEventIds(result).length * TOKENS_PER_EVENT;
      const tokens =
        STREAM_TOKENS.input + Math.min(STREAM_TOKENS.maxOutput, output);
      usedTokens.set(account, (usedTokens.get(account) ?? 0) + tokens);
    }
  }
  return [...usedTokens]
    .filter(([account, tokens]) => tokens > (grantedTokens.get(account) ?? 0))
    .map(([account, tokens]) => ({
      guarantee: 'a budget is never overspent',
      detail: `${account}: ${tokens} of ${grantedTokens.get(account)}`,
      requestIds: [],
    }));
}

/**
 * Finds requests that must run at most once and were run more often. The runs of
 * all tries count: a caller comes back only if no earlier try was run.
 */
function findRepeatedRuns({
  sentRequests,
  upstreamRuns,
}: RunObservations): Violation[] {
  const triesById = new Map<string, number[]>();
  for (const {run} of upstreamRuns) {
    const tries = triesById.get(run.id) ?? [];
    triesById.set(run.id, [...tries, tryNumberOf(run)]);
  }
  const kinds = new Map(
    sentRequests
      .filter(
        ({kind}) =>
          kind === RequestKind.Order || kind === RequestKind.NonResumableStream,
      )
      .map(({id, kind}) => [id, kind]),
  );
  return [...kinds].flatMap(([id, kind]) => {
    const tries = triesById.get(id) ?? [];
    const detail = `${kind} ran ${tries.length} times, in tries ${tries.join(',')}`;
    return tries.length > 1
      ? [{guarantee: 'at most once', detail, requestIds: [id]}]
      : [];
  });
}

/**
 * Finds tries that were run although their status says that they were not, be it
 * before the caller was told or later. Runs of the request's other tries don't
 * count.
 */
function findRefusalsThatRan({
  sentRequests,
  upstreamRuns,
}: RunObservations): Violation[] {
  const runsByTry = new Map(upstreamRuns.map(({run}) => [tryOfRun(run), run]));
  return sentRequests.flatMap(request => {
    const {id, kind, tryNumber, result} = request;
    const run = runsByTry.get(tryOf(request));
    if (run === undefined || !NOT_EXECUTED_STATUSES.has(result.status)) {
      return [];
    }
    const wait = run.startedAt - result.endedAt;
    const when = wait > 0 ? `${wait} ms later` : `${-wait} ms before`;
    return [
      {
        guarantee: 'not run means not run',
        detail: `${kind}, try ${tryNumber}: status ${result.status}, but an upstream ran it ${when}`,
        requestIds: [id],
      },
    ];
  });
}

/**
 * Finds successful responses that belong to another request, that lack the seal
 * with which an upstream signs its responses, that are incomplete while the
 * caller can't tell, or whose stream misses or repeats events.
 */
function findInvalidResponses({sentRequests}: RunObservations): Violation[] {
  return sentRequests.flatMap(request => {
    const fault =
      request.result.status === 200
        ? describeResponseFault(request)
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
 */
function describeResponseFault({
  id,
  kind,
  resumed,
  result,
}: SentRequest): string | undefined {
  if (result.requestId !== id) {
    return 'response carries the identifier of another request';
  }
  if (!result.hasSeal) {
    return 'status 200 without the seal of an upstream';
  }
  const looksComplete = result.complete && result.hasFraming;
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
function findRequestsCutByStop({
  sentRequests,
  upstreamRuns,
  disruptions,
  plannedStops,
}: RunObservations): Violation[] {
  const faultyTries = new Set(
    upstreamRuns
      .filter(({run}) => run.fault !== 'none')
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

/**
 * Finds requests that were served with a key that had been revoked for longer
 * than the propagation limit.
 */
function findUsesOfRevokedKeys({
  sentRequests,
  disruptions,
  revocations,
}: RunObservations): Violation[] {
  return sentRequests
    .filter(request => {
      const revocation = revocations.find(
        ({apiKey}) => apiKey === request.apiKey,
      );
      const propagatedAt =
        (revocation?.revokedAt ?? Infinity) + CHANGE_PROPAGATION_LIMIT;
      const wasServedLate =
        request.sentAt > propagatedAt && request.result.status === 200;
      return (
        wasServedLate &&
        isUndisturbed(
          disruptions,
          request.gateway,
          request.sentAt,
          request.sentAt,
        )
      );
    })
    .map(({id, gateway}) => ({
      guarantee: 'a key that is gone serves nobody',
      detail: `served by ${gateway} with a revoked key`,
      requestIds: [id],
    }));
}

/**
 * Finds tries that an upstream began to run when their caller had left for longer
 * than the limit. Instances that stall are no excuse; bytes that a link held are.
 */
function findRunsAfterDeparture({
  sentRequests,
  upstreamRuns,
  disruptions,
}: RunObservations): Violation[] {
  const held = disruptions.filter(({holdsBytes}) => holdsBytes);
  const runsByTry = new Map(upstreamRuns.map(({run}) => [tryOfRun(run), run]));
  return sentRequests.flatMap(request => {
    const {id, kind, gateway, sentAt, leftAt = Infinity} = request;
    const startedAt = runsByTry.get(tryOf(request))?.startedAt ?? 0;
    const isLate = startedAt - leftAt > DEPARTURE_LIMIT;
    return isLate && isUndisturbed(held, gateway, sentAt, startedAt)
      ? [
          {
            guarantee: 'nobody works for a caller that has left',
            detail: `${kind} began to run ${startedAt - leftAt} ms after its caller had left ${gateway}`,
            requestIds: [id],
          },
        ]
      : [];
  });
}

/**
 * Finds requests that an upstream started to run after it had been draining for
 * longer than the propagation limit.
 */
function findRunsAfterDrain({
  sentRequests,
  upstreamRuns,
  disruptions,
  upstreamDrains,
}: RunObservations): Violation[] {
  const gatewayOf = gatewayFinder(sentRequests);
  return upstreamRuns
    .filter(({upstream, run}) => {
      const drain = upstreamDrains.find(
        candidate => candidate.upstream === upstream,
      );
      const isLate =
        run.startedAt >
        (drain?.announcedAt ?? Infinity) + CHANGE_PROPAGATION_LIMIT;
      const gateway = gatewayOf(run);
      return (
        isLate &&
        isUndisturbed(disruptions, gateway, run.startedAt, run.startedAt)
      );
    })
    .map(({upstream, run}) => ({
      guarantee: 'an upstream that leaves gets nothing new',
      detail: `draining ${upstream} ran a request from ${gatewayOf(run)}`,
      requestIds: [run.id],
    }));
}

/**
 * Finds requests that an upstream started to run after its zone had been
 * evacuated for longer than the propagation limit, and before it was taken back.
 */
function findRunsAfterEvacuation({
  sentRequests,
  upstreamRuns,
  disruptions,
  evacuations,
}: RunObservations): Violation[] {
  const gatewayOf = gatewayFinder(sentRequests);
  return upstreamRuns
    .filter(({zone, run}) => {
      const {startedAt} = run;
      const isLate = evacuations.some(
        evacuation =>
          evacuation.zone === zone &&
          startedAt > evacuation.orderedAt + CHANGE_PROPAGATION_LIMIT &&
          startedAt < evacuation.takenBackAt,
      );
      const gateway = gatewayOf(run);
      return (
        isLate && isUndisturbed(disruptions, gateway, startedAt, startedAt)
      );
    })
    .map(({upstream, zone, run}) => ({
      guarantee: 'an evacuated zone gets nothing new',
      detail: `${upstream} in ${zone} ran a request from ${gatewayOf(run)}`,
      requestIds: [run.id],
    }));
}

/** Finds streams with events of several versions, over a caller's tries. */
function findJoinedStreams({sentRequests}: RunObservations): Violation[] {
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

/** Finds parts with which too many requests reached upstreams too late. */
function findLateCrashes({
  sentRequests,
  upstreamRuns,
  disruptions,
  crashingParts,
}: RunObservations): Violation[] {
  const gatewayOf = gatewayFinder(sentRequests);
  return crashingParts.flatMap(({part, crashTimes}) => {
    const fifthCrashAt = crashTimes[FREE_CRASHES - 1] ?? Infinity;
    const late = upstreamRuns.filter(
      ({run}) =>
        sharedParts(run).includes(part) &&
        run.startedAt > fifthCrashAt + CRASH_PROPAGATION_LIMIT &&
        isUndisturbed(
          disruptions,
          gatewayOf(run),
          run.startedAt,
          run.startedAt,
        ),
    );
    return late.length <= MAX_LATE_CRASHES
      ? []
      : [
          {
            guarantee: 'what crashes upstreams is refused',
            detail: `${part} reached upstreams ${late.length} times too late`,
            requestIds: late.map(({run}) => run.id),
          },
        ];
  });
}

/** Returns a function that tells which instance got the try of a run. */
function gatewayFinder(
  sentRequests: readonly SentRequest[],
): (run: ServerRun) => string {
  const gateways = new Map(
    sentRequests.map(request => [tryOf(request), request.gateway]),
  );
  return run => gateways.get(tryOfRun(run)) ?? '';
}

/** Returns a key of a try. */
function tryOf({id, tryNumber}: Pick<SentRequest, 'id' | 'tryNumber'>): string {
  return `${id} ${tryNumber}`;
}

/** Returns the key of the try that an upstream ran. */
function tryOfRun(run: ServerRun): string {
  return tryOf({id: run.id, tryNumber: tryNumberOf(run)});
}

function tryNumberOf({headers}: ServerRun): number {
  return Number(headers[TRY_HEADER] ?? 1);
}

/**
 * Returns whether no disruption of an instance, nor the recovery time after it,
 * overlapped a period.
 */
function isUndisturbed(
  disruptions: Disruption[],
  gateway: string,
  from: number,
  until: number,
): boolean {
  return !disruptions.some(
    disruption =>
      (disruption.gateway === undefined || disruption.gateway === gateway) &&
      disruption.from <= until &&
      disruption.until + RECOVERY_TIME >= from,
  );
}
