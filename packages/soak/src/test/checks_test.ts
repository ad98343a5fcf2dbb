/** Each check finds what it is there for, and nothing else. */
import {expect} from 'chai';
import {ServerFault} from '@citrontrestle/stand_ins';
import {findViolations, RequestKind} from '../lib/checks.js';
import type {SentRequest, RunObservations} from '../lib/checks.js';
import type {CallerResult, ServerRun} from '@citrontrestle/stand_ins';

const ID = 'r1';

/** Events with numbers. */
function streamBody(...ids: number[]): string {
  return ids.map(id => `id: ${id}\ndata: token ${id}\n\n`).join('');
}

function sentRequest(
  changes: Partial<SentRequest>,
  resultChanges: Partial<CallerResult>,
): SentRequest {
  const identity = {headers: {}, requestId: ID, hasSeal: true};
  const completeAnswer = {
    status: 200,
    body: 'done',
    complete: true,
    hasFraming: true,
  };
  return {
    id: ID,
    kind: RequestKind.Order,
    account: 'club',
    apiKey: 'club-1',
    gateway: 'g1',
    sentAt: 10_000,
    ...changes,
    result: {...identity, endedAt: 10_100, ...completeAnswer, ...resultChanges},
  };
}

function upstreamRun(
  changes: Partial<ServerRun> = {},
): RunObservations['upstreamRuns'][number] {
  const request = {method: 'GET', path: '/', body: '', headers: {}};
  const fault = ServerFault.None;
  const defaults = {
    id: ID,
    startedAt: 10_050,
    cancelled: false,
    fault,
    ...request,
  };
  return {upstream: 'u1', run: {...defaults, ...changes}};
}

function observe(changes: Partial<RunObservations>): RunObservations {
  return {
    sentRequests: [sentRequest({}, {})],
    upstreamRuns: [upstreamRun()],
    grantedTokens: new Map([['club', 1_000]]),
    disruptions: [],
    plannedStops: [],
    revocations: [],
    upstreamDrains: [],
    ...changes,
  };
}

interface Case {
  name: string;
  observations: RunObservations;
  /** Promise that is broken; undefined if none is. */
  violated: string | undefined;
}

const STREAM = {kind: RequestKind.NonResumableStream};
const COMPLETE_STREAM = {body: streamBody(1, 2, 3, 4, 5, 6)};
const DISRUPTION = {gateway: 'g1', from: 9_000, until: 9_500};
const ABORTED = {status: 0, complete: false, endedAt: 11_000};
const PLANNED_STOPS = [{gateway: 'g1', signalledAt: 10_500}];

const CASES: Case[] = [
  {name: 'an order answered', observations: observe({}), violated: undefined},
  {
    name: 'a stream answered',
    observations: observe({
      sentRequests: [sentRequest(STREAM, COMPLETE_STREAM)],
    }),
    violated: undefined,
  },
  {
    name: 'a budget overspent',
    observations: observe({
      sentRequests: [sentRequest(STREAM, COMPLETE_STREAM)],
      grantedTokens: new Map([['club', 120]]),
    }),
    violated: 'a budget is never overspent',
  },
  {
    name: 'an order run twice',
    observations: observe({upstreamRuns: [upstreamRun(), upstreamRun()]}),
    violated: 'at most once',
  },
  {
    name: 'a read run twice',
    observations: observe({
      sentRequests: [sentRequest({kind: RequestKind.Read}, {})],
      upstreamRuns: [upstreamRun(), upstreamRun()],
    }),
    violated: undefined,
  },
  {
    name: 'a refusal that ran',
    observations: observe({sentRequests: [sentRequest({}, {status: 503})]}),
    violated: 'not run means not run',
  },
  {
    name: 'a refusal that did not run',
    observations: observe({
      sentRequests: [sentRequest({}, {status: 503})],
      upstreamRuns: [],
    }),
    violated: undefined,
  },
  {
    name: 'an answer of another request',
    observations: observe({
      sentRequests: [sentRequest({}, {requestId: 'other'})],
    }),
    violated: 'a whole answer of its own',
  },
  {
    name: 'an answer without a seal',
    observations: observe({sentRequests: [sentRequest({}, {hasSeal: false})]}),
    violated: 'a whole answer of its own',
  },
  {
    name: 'half an answer that looks whole',
    observations: observe({sentRequests: [sentRequest({}, {body: 'do'})]}),
    violated: 'a whole answer of its own',
  },
  {
    name: 'half an answer that is visibly cut',
    observations: observe({
      sentRequests: [sentRequest({}, {body: 'do', complete: false})],
    }),
    violated: undefined,
  },
  {
    name: 'an event missing',
    observations: observe({
      sentRequests: [sentRequest(STREAM, {body: streamBody(1, 3)})],
    }),
    violated: 'a whole answer of its own',
  },
  {
    name: 'an event twice',
    observations: observe({
      sentRequests: [sentRequest(STREAM, {body: streamBody(1, 1, 2)})],
    }),
    violated: 'a whole answer of its own',
  },
  {
    name: 'a short stream that looks whole',
    observations: observe({
      sentRequests: [sentRequest(STREAM, {body: streamBody(1, 2)})],
    }),
    violated: 'a whole answer of its own',
  },
  {
    name: 'cut by a planned stop',
    observations: observe({
      sentRequests: [sentRequest({}, ABORTED)],
      plannedStops: PLANNED_STOPS,
    }),
    violated: 'a planned stop cuts nothing',
  },
  {
    name: 'cut by its upstream during a planned stop',
    observations: observe({
      sentRequests: [sentRequest({}, ABORTED)],
      upstreamRuns: [upstreamRun({fault: ServerFault.LostAnswer})],
      plannedStops: PLANNED_STOPS,
    }),
    violated: undefined,
  },
  {
    name: 'cut by a planned stop just after a freeze',
    observations: observe({
      sentRequests: [sentRequest({}, ABORTED)],
      plannedStops: PLANNED_STOPS,
      disruptions: [DISRUPTION],
    }),
    violated: undefined,
  },
  {
    name: 'served with a key that is gone',
    observations: observe({
      revocations: [{apiKey: 'club-1', revokedAt: 7_000}],
    }),
    violated: 'a key that is gone serves nobody',
  },
  {
    name: 'served with a key that just went',
    observations: observe({
      revocations: [{apiKey: 'club-1', revokedAt: 9_000}],
    }),
    violated: undefined,
  },
  {
    name: 'run by an upstream that left',
    observations: observe({
      upstreamDrains: [{upstream: 'u1', announcedAt: 7_000}],
    }),
    violated: 'an upstream that leaves gets nothing new',
  },
  {
    name: 'run by an upstream that left, out of touch',
    observations: observe({
      upstreamDrains: [{upstream: 'u1', announcedAt: 7_000}],
      disruptions: [DISRUPTION],
    }),
    violated: undefined,
  },
];

describe('checks of the soak', () => {
  for (const {name, observations, violated} of CASES) {
    it(`${name}: ${violated ?? 'kept'}`, () => {
      const guarantees = findViolations(observations).map(
        violation => violation.guarantee,
      );
      expect(guarantees).to.deep.equal(
        violated === undefined ? [] : [violated],
      );
    });
  }
});
