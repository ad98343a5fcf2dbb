/** Checks on what upstreams ran and how often. */
import {completeEventIds, sharedParts} from '@citrontrestle/stand_ins';
import {
  NOT_EXECUTED_STATUSES,
  RequestKind,
  STREAM_TOKENS,
  TOKENS_PER_EVENT,
} from '../observations.js';
import {
  gatewayFinder,
  isUndisturbed,
  tryNumberOf,
  tryOf,
  tryOfRun,
} from './matching.js';
import type {RunObservations, Violation} from '../observations.js';
import type {Millis} from '@citrontrestle/decisions';

/** Crashes under a part before the propagation limit begins to count. */
const FREE_CRASHES = 5;

/** Time until all instances refuse a part that crashes upstreams. */
const CRASH_PROPAGATION_LIMIT: Millis = 3_000;

/** Number of requests with the part that may reach upstreams after that. */
const MAX_LATE_CRASHES = 3;

/** Kinds of requests that use tokens. */
const STREAM_KINDS: ReadonlySet<RequestKind> = new Set([
  RequestKind.NonResumableStream,
  RequestKind.ResumableStream,
]);

/** Time after its caller has left from which on a request must not begin to run. */
export const DEPARTURE_LIMIT: Millis = 500;

/**
 * Finds accounts whose streams used more tokens than were granted. Counts the
 * prompt and the output that callers received of each stream that was run.
 */
export function findOverspentBudgets({
  sentRequests,
  upstreamRuns,
  grantedTokens,
}: RunObservations): Violation[] {
  const ranTries = new Set(upstreamRuns.map(({run}) => tryOfRun(run)));
  const usedTokens = new Map<string, number>();
  for (const request of sentRequests) {
    const {account, kind, result} = request;
    if (STREAM_KINDS.has(kind) && ranTries.has(tryOf(request))) {
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

/** Status of a request that the balance of its account does not cover. */
const EXHAUSTED_STATUS = 402;

/**
 * Finds requests that were refused as the balance does not cover them, though all
 * that had run until then, at its most, leaves enough of what was granted.
 */
export function findFalseExhaustions({
  sentRequests,
  upstreamRuns,
  grantedTokens,
  exactAccounts = new Set(),
}: RunObservations): Violation[] {
  const {input, maxOutput} = STREAM_TOKENS;
  const runsByTry = new Map(upstreamRuns.map(({run}) => [tryOfRun(run), run]));
  const usedUntil = (account: string, time: number) =>
    sentRequests
      .filter(request => {
        const run = runsByTry.get(tryOf(request));
        const isStream = STREAM_KINDS.has(request.kind);
        const hasBegun = run !== undefined && run.startedAt <= time;
        return isStream && request.account === account && hasBegun;
      })
      .reduce(sum => sum + input + maxOutput, 0);
  return sentRequests
    .filter(
      ({account, result}) =>
        result.status === EXHAUSTED_STATUS && exactAccounts.has(account),
    )
    .flatMap(({id, account, result}) => {
      const granted = grantedTokens.get(account) ?? 0;
      const used = usedUntil(account, result.endedAt);
      return used + input + maxOutput <= granted
        ? [
            {
              guarantee: 'exhausted means spent',
              detail: `${account}: refused when ${used} of ${granted} were used at most`,
              requestIds: [id],
            },
          ]
        : [];
    });
}

/**
 * Finds requests that must run at most once and were run more often. The runs of
 * all tries count: a caller comes back only if no earlier try was run.
 */
export function findRepeatedRuns({
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
export function findRefusalsThatRan({
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
 * Finds tries that an upstream began to run when their caller had left for longer
 * than the limit. Instances that stall are no excuse; bytes that a link held are.
 */
export function findRunsAfterDeparture({
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

/** Finds parts with which too many requests reached upstreams too late. */
export function findLateCrashes({
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
