/** Each check finds what it is there for, and nothing else. */
import {expect} from 'chai';
import {ServerFault} from '@citrontrestle/stand_ins';
import {check, RequestKind} from '../lib/checks.js';
import type {Sent, Sight} from '../lib/checks.js';
import type {CallerResult, ServerRun} from '@citrontrestle/stand_ins';

const ID = 'r1';

/** Events with numbers. */
function events(...ids: number[]): string {
  return ids.map(id => `id: ${id}\ndata: token ${id}\n\n`).join('');
}

function sent(changes: Partial<Sent>, result: Partial<CallerResult>): Sent {
  const own = {headers: {}, requestId: ID, hasSeal: true};
  const whole = {status: 200, body: 'done', complete: true, hasFraming: true};
  return {
    id: ID,
    kind: RequestKind.Order,
    account: 'club',
    key: 'club-1',
    gateway: 'g1',
    at: 10_000,
    ...changes,
    result: {...own, endedAt: 10_100, ...whole, ...result},
  };
}

function run(changes: Partial<ServerRun> = {}): Sight['runs'][number] {
  const shape = {method: 'GET', path: '/', body: '', headers: {}};
  const fault = ServerFault.None;
  const one = {id: ID, startedAt: 10_050, cancelled: false, fault, ...shape};
  return {upstream: 'u1', run: {...one, ...changes}};
}

function sight(changes: Partial<Sight>): Sight {
  return {
    sent: [sent({}, {})],
    runs: [run()],
    granted: new Map([['club', 1_000]]),
    troubles: [],
    stops: [],
    revocations: [],
    leavings: [],
    ...changes,
  };
}

interface Case {
  name: string;
  sight: Sight;
  /** Promise that is broken; undefined if none is. */
  broken: string | undefined;
}

const TALK = {kind: RequestKind.Talk};
const WHOLE = {body: events(1, 2, 3, 4, 5, 6)};
const TROUBLE = {name: 'g1', from: 9_000, until: 9_500};
const BROKEN_OFF = {status: 0, complete: false, endedAt: 11_000};
const STOPS = [{gateway: 'g1', at: 10_500}];

const CASES: Case[] = [
  {name: 'an order answered', sight: sight({}), broken: undefined},
  {
    name: 'a stream answered',
    sight: sight({sent: [sent(TALK, WHOLE)]}),
    broken: undefined,
  },
  {
    name: 'a budget overspent',
    sight: sight({
      sent: [sent(TALK, WHOLE)],
      granted: new Map([['club', 120]]),
    }),
    broken: 'a budget is never overspent',
  },
  {
    name: 'an order run twice',
    sight: sight({runs: [run(), run()]}),
    broken: 'at most once',
  },
  {
    name: 'a read run twice',
    sight: sight({
      sent: [sent({kind: RequestKind.Read}, {})],
      runs: [run(), run()],
    }),
    broken: undefined,
  },
  {
    name: 'a refusal that ran',
    sight: sight({sent: [sent({}, {status: 503})]}),
    broken: 'not run means not run',
  },
  {
    name: 'a refusal that did not run',
    sight: sight({sent: [sent({}, {status: 503})], runs: []}),
    broken: undefined,
  },
  {
    name: 'an answer of another request',
    sight: sight({sent: [sent({}, {requestId: 'other'})]}),
    broken: 'a whole answer of its own',
  },
  {
    name: 'an answer without a seal',
    sight: sight({sent: [sent({}, {hasSeal: false})]}),
    broken: 'a whole answer of its own',
  },
  {
    name: 'half an answer that looks whole',
    sight: sight({sent: [sent({}, {body: 'do'})]}),
    broken: 'a whole answer of its own',
  },
  {
    name: 'half an answer that is visibly cut',
    sight: sight({sent: [sent({}, {body: 'do', complete: false})]}),
    broken: undefined,
  },
  {
    name: 'an event missing',
    sight: sight({sent: [sent(TALK, {body: events(1, 3)})]}),
    broken: 'a whole answer of its own',
  },
  {
    name: 'an event twice',
    sight: sight({sent: [sent(TALK, {body: events(1, 1, 2)})]}),
    broken: 'a whole answer of its own',
  },
  {
    name: 'a short stream that looks whole',
    sight: sight({sent: [sent(TALK, {body: events(1, 2)})]}),
    broken: 'a whole answer of its own',
  },
  {
    name: 'cut by a planned stop',
    sight: sight({sent: [sent({}, BROKEN_OFF)], stops: STOPS}),
    broken: 'a planned stop cuts nothing',
  },
  {
    name: 'cut by its upstream during a planned stop',
    sight: sight({
      sent: [sent({}, BROKEN_OFF)],
      runs: [run({fault: ServerFault.LostAnswer})],
      stops: STOPS,
    }),
    broken: undefined,
  },
  {
    name: 'cut by a planned stop just after a freeze',
    sight: sight({
      sent: [sent({}, BROKEN_OFF)],
      stops: STOPS,
      troubles: [TROUBLE],
    }),
    broken: undefined,
  },
  {
    name: 'served with a key that is gone',
    sight: sight({revocations: [{key: 'club-1', at: 7_000}]}),
    broken: 'a key that is gone serves nobody',
  },
  {
    name: 'served with a key that just went',
    sight: sight({revocations: [{key: 'club-1', at: 9_000}]}),
    broken: undefined,
  },
  {
    name: 'run by an upstream that left',
    sight: sight({leavings: [{upstream: 'u1', at: 7_000}]}),
    broken: 'an upstream that leaves gets nothing new',
  },
  {
    name: 'run by an upstream that left, out of touch',
    sight: sight({
      leavings: [{upstream: 'u1', at: 7_000}],
      troubles: [TROUBLE],
    }),
    broken: undefined,
  },
];

describe('checks of the soak', () => {
  for (const {name, sight, broken} of CASES) {
    it(`${name}: ${broken ?? 'kept'}`, () => {
      const promises = check(sight).map(one => one.promise);
      expect(promises).to.deep.equal(broken === undefined ? [] : [broken]);
    });
  }
});
