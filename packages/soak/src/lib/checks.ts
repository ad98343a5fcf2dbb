/** The promises, checked on what callers and upstreams saw of one run. */
import type {Millis} from '@citrontrestle/decisions';
import type {CallerResult, ServerRun} from '@citrontrestle/stand_ins';

/** Kinds of requests. */
export enum RequestKind {
  Read = 'read',
  Order = 'order',
  /** A stream that may not be run again. */
  NonResumableStream = 'talk',
  /** A stream that may be resumed at another upstream. */
  ResumableStream = 'long',
}

/** One request of a caller and what came of it. */
export interface SentRequest {
  id: string;
  kind: RequestKind;
  account: string;
  apiKey: string;
  gateway: string;
  sentAt: number;
  result: CallerResult;
}

/** A span of time in which something was out of order. */
export interface Disruption {
  /** Instance or upstream; undefined for all. */
  gateway: string | undefined;
  from: number;
  until: number;
}

/** A key that was taken away. */
export interface Revocation {
  apiKey: string;
  revokedAt: number;
}

/** An upstream that was announced as leaving. */
export interface UpstreamDrain {
  upstream: string;
  announcedAt: number;
}

/** What was seen in one run. */
export interface RunObservations {
  sentRequests: SentRequest[];
  /** Requests that upstreams began to run, by upstream. */
  upstreamRuns: {upstream: string; run: ServerRun}[];
  /** Tokens granted to each account at last. */
  grantedTokens: ReadonlyMap<string, number>;
  /** Troubles of instances: while one lasts, bounds of time don't hold. */
  disruptions: Disruption[];
  /** Planned stops. */
  plannedStops: {gateway: string; signalledAt: number}[];
  revocations: Revocation[];
  upstreamDrains: UpstreamDrain[];
}

/** A promise that was broken. */
export interface Violation {
  guarantee: string;
  detail: string;
  /** Identifiers of the requests concerned. */
  requestIds: string[];
}

/** Tokens of one event. */
export const TOKENS_PER_EVENT = 5;

/** Prompt and most output tokens of a stream. */
export const STREAM_TOKENS = {input: 100, maxOutput: 30};

/** Events of a whole stream. */
export const EVENTS_PER_STREAM = 6;

/** Bound within which a change is in force. */
const CHANGE_PROPAGATION_LIMIT: Millis = 2_000;

/** Time without trouble after which bounds of time hold. */
const RECOVERY_TIME: Millis = 3_000;

/** Time for which a planned stop takes. */
const STOP_GRACE_PERIOD: Millis = 8_000;

/** Time after the last byte of a request after which it counts as read. */
const REQUEST_READ_TIME: Millis = 200;

/** Statuses that promise that the request never runs. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);

type Check = (observations: RunObservations) => Violation[];

/** Checks a run. */
export function findViolations(observations: RunObservations): Violation[] {
  return Object.values(CHECKS).flatMap(findViolationsOf =>
    findViolationsOf(observations),
  );
}

/** The checks by promise. */
export const CHECKS: Readonly<Record<string, Check>> = {
  'a budget is never overspent': findOverspentBudgets,
  'at most once': findRepeatedRuns,
  'not run means not run': findRefusalsThatRan,
  'a whole answer of its own': findInvalidResponses,
  'a planned stop cuts nothing': findRequestsCutByStop,
  'a key that is gone serves nobody': findUsesOfRevokedKeys,
  'an upstream that leaves gets nothing new': findRunsAfterDrain,
};

function findOverspentBudgets({
  sentRequests,
  upstreamRuns,
  grantedTokens,
}: RunObservations): Violation[] {
  const runIds = new Set(upstreamRuns.map(({run}) => run.id));
  const usedTokens = new Map<string, number>();
  for (const {id, account, kind, result} of sentRequests) {
    const isStream =
      kind === RequestKind.NonResumableStream ||
      kind === RequestKind.ResumableStream;
    if (isStream && runIds.has(id)) {
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

function findRepeatedRuns({
  sentRequests,
  upstreamRuns,
}: RunObservations): Violation[] {
  const runCounts = new Map<string, number>();
  for (const {run} of upstreamRuns) {
    runCounts.set(run.id, (runCounts.get(run.id) ?? 0) + 1);
  }
  return sentRequests
    .filter(
      ({kind}) =>
        kind === RequestKind.Order || kind === RequestKind.NonResumableStream,
    )
    .filter(({id}) => (runCounts.get(id) ?? 0) > 1)
    .map(({id, kind}) => ({
      guarantee: 'at most once',
      detail: `${kind} ran ${runCounts.get(id)} times`,
      requestIds: [id],
    }));
}

function findRefusalsThatRan({
  sentRequests,
  upstreamRuns,
}: RunObservations): Violation[] {
  const runIds = new Set(upstreamRuns.map(({run}) => run.id));
  return sentRequests
    .filter(
      ({id, result}) =>
        NOT_EXECUTED_STATUSES.has(result.status) && runIds.has(id),
    )
    .map(({id, result}) => ({
      guarantee: 'not run means not run',
      detail: `${result.status}, and it ran`,
      requestIds: [id],
    }));
}

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

function describeResponseFault({
  id,
  kind,
  result,
}: SentRequest): string | undefined {
  if (result.requestId !== id) {
    return 'answer of another request';
  }
  if (!result.hasSeal) {
    return 'success without a seal';
  }
  const looksComplete = result.complete && result.hasFraming;
  if (kind === RequestKind.Read || kind === RequestKind.Order) {
    return looksComplete && result.body !== 'done'
      ? 'not the whole body'
      : undefined;
  }
  const ids = completeEventIds(result);
  if (ids.some((event, index) => event !== index + 1)) {
    return `events ${ids.join(',')}`;
  }
  const isTruncated = ids.length < EVENTS_PER_STREAM && looksComplete;
  return isTruncated ? `complete after ${ids.length} events` : undefined;
}

function findRequestsCutByStop({
  sentRequests,
  upstreamRuns,
  disruptions,
  plannedStops,
}: RunObservations): Violation[] {
  const faultyRunIds = new Set(
    upstreamRuns.filter(({run}) => run.fault !== 'none').map(({run}) => run.id),
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
        isIncomplete &&
        wasRead &&
        wasUndisturbed &&
        !faultyRunIds.has(request.id)
      );
    })
    .map(({id, gateway}) => ({
      guarantee: 'a planned stop cuts nothing',
      detail: `cut at ${gateway}`,
      requestIds: [id],
    }));
}

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
      const deadline =
        (revocation?.revokedAt ?? Infinity) + CHANGE_PROPAGATION_LIMIT;
      const isLate = request.sentAt > deadline && request.result.status === 200;
      return (
        isLate &&
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
      detail: `served by ${gateway}`,
      requestIds: [id],
    }));
}

function findRunsAfterDrain({
  sentRequests,
  upstreamRuns,
  disruptions,
  upstreamDrains,
}: RunObservations): Violation[] {
  const gateways = new Map(
    sentRequests.map(request => [request.id, request.gateway]),
  );
  return upstreamRuns
    .filter(({upstream, run}) => {
      const drain = upstreamDrains.find(
        candidate => candidate.upstream === upstream,
      );
      const isLate =
        run.startedAt >
        (drain?.announcedAt ?? Infinity) + CHANGE_PROPAGATION_LIMIT;
      const gateway = gateways.get(run.id) ?? '';
      return (
        isLate &&
        isUndisturbed(disruptions, gateway, run.startedAt, run.startedAt)
      );
    })
    .map(({upstream, run}) => ({
      guarantee: 'an upstream that leaves gets nothing new',
      detail: `${upstream} ran a request of ${gateways.get(run.id)}`,
      requestIds: [run.id],
    }));
}

/** Whether an instance was in touch for the whole of a span. */
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

/** Identifiers of the whole events of an answer. */
function completeEventIds({body}: CallerResult): number[] {
  return [...body.matchAll(/^id: (\d+)\ndata: token \d+\n\n/gm)].map(match =>
    Number(match[1]),
  );
}
