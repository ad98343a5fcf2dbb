/** Only what may run again is tried at another upstream. */
import {expect} from 'chai';
import {mayRepeat} from '../lib/repeat_rule.js';
import {RouteKind} from '../lib/route_table.js';
import type {RepeatView} from '../lib/repeat_rule.js';
import type {Route} from '../lib/route_table.js';

function route(changes: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'desk.example',
    prefix: '/r/',
    kind: RouteKind.Idempotent,
    timeout: 1_000,
    target: 100,
    rank: 0,
    targets: [{service: 'desk', weight: 1}],
    mostUpstreams: 2,
    open: false,
    resumable: false,
    eventPause: 0,
    ...changes,
  };
}

const STREAM = {kind: RouteKind.Streaming};
const RESUMED = {...STREAM, resumable: true};

interface Case {
  name: string;
  route: Partial<Route>;
  view: Partial<RepeatView>;
  may: boolean;
}

const CASES: Case[] = [
  {name: 'idempotent', route: {}, view: {}, may: true},
  {
    name: 'idempotent, at its last upstream',
    route: {},
    view: {ran: 2},
    may: false,
  },
  {
    name: 'idempotent, partly answered',
    route: {},
    view: {begun: true},
    may: false,
  },
  {
    name: 'not idempotent',
    route: {kind: RouteKind.NonIdempotent},
    view: {},
    may: false,
  },
  {name: 'a stream', route: STREAM, view: {}, may: false},
  {name: 'a stream that may be resumed', route: RESUMED, view: {}, may: true},
  {
    name: 'the same after an event with a number',
    route: RESUMED,
    view: {begun: true, resumable: true},
    may: true,
  },
  {
    name: 'the same after an event without one',
    route: RESUMED,
    view: {begun: true, resumable: false},
    may: false,
  },
  {
    name: 'the same at its last upstream',
    route: RESUMED,
    view: {ran: 2},
    may: false,
  },
];

describe('repeating a request', () => {
  for (const {name, route: changes, view, may} of CASES) {
    it(`${name}: ${may ? 'tried again' : 'never again'}`, () => {
      const base = {ran: 1, begun: false, resumable: true};
      const outcome = mayRepeat({...base, ...view, route: route(changes)});
      expect(outcome).to.equal(may);
    });
  }
});
