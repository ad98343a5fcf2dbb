/** Only requests that may run more than once are sent to another upstream. */
import {expect} from 'chai';
import {mayRepeat} from '../../lib/upstreams/repeat_rule.js';
import {RouteKind} from '../../lib/fleet/route_table.js';
import type {RepeatCandidate} from '../../lib/upstreams/repeat_rule.js';
import type {Route} from '../../lib/fleet/route_table.js';

function route(changes: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'desk.example',
    pathPrefix: '/r/',
    kind: RouteKind.Idempotent,
    timeout: 1_000,
    latencyTarget: 100,
    priority: 0,
    targets: [{service: 'desk', weight: 1}],
    maxUpstreams: 2,
    isPublic: false,
    resumable: false,
    maxEventGap: 0,
    homes: [],
    ...changes,
  };
}

const STREAM = {kind: RouteKind.Streaming};
const RESUMABLE_STREAM = {...STREAM, resumable: true};

interface Case {
  name: string;
  route: Partial<Route>;
  candidate: Partial<RepeatCandidate>;
  allowed: boolean;
}

const CASES: Case[] = [
  {name: 'idempotent', route: {}, candidate: {}, allowed: true},
  {
    name: 'idempotent, after the maximum number of upstreams',
    route: {},
    candidate: {upstreamsUsed: 2},
    allowed: false,
  },
  {
    name: 'idempotent, after a part of the answer',
    route: {},
    candidate: {answerBegun: true},
    allowed: false,
  },
  {
    name: 'not idempotent',
    route: {kind: RouteKind.NonIdempotent},
    candidate: {},
    allowed: false,
  },
  {name: 'a stream', route: STREAM, candidate: {}, allowed: false},
  {
    name: 'a resumable stream',
    route: RESUMABLE_STREAM,
    candidate: {},
    allowed: true,
  },
  {
    name: 'a resumable stream after a numbered event',
    route: RESUMABLE_STREAM,
    candidate: {answerBegun: true, canResume: true},
    allowed: true,
  },
  {
    name: 'a resumable stream after an unnumbered event',
    route: RESUMABLE_STREAM,
    candidate: {answerBegun: true, canResume: false},
    allowed: false,
  },
  {
    name: 'a resumable stream after the maximum number of upstreams',
    route: RESUMABLE_STREAM,
    candidate: {upstreamsUsed: 2},
    allowed: false,
  },
];

describe('repeating a request at another upstream', () => {
  for (const {name, route: changes, candidate, allowed} of CASES) {
    it(`${name}: ${allowed ? 'repeated' : 'not repeated'}`, () => {
      const defaults = {upstreamsUsed: 1, answerBegun: false, canResume: true};
      const outcome = mayRepeat({
        ...defaults,
        ...candidate,
        route: route(changes),
      });
      expect(outcome).to.equal(allowed);
    });
  }
});
