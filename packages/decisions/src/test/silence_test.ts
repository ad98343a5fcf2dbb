/** How long silent upstreams are waited for. */
import {expect} from 'chai';
import {RouteKind} from '../lib/route_table.js';
import {isSuspectSilence, silenceBound} from '../lib/silence.js';
import {urgencyOf, USUAL_URGENCY} from '../lib/urgency.js';
import type {Route} from '../lib/route_table.js';

function route(kind: RouteKind, target: number): Route {
  return {
    name: 'r',
    host: 'desk.example',
    prefix: '/',
    kind,
    timeout: 5_000,
    target,
    rank: 0,
    targets: [],
    mostUpstreams: 2,
    open: false,
    resumable: true,
    eventPause: 0,
  };
}

describe('silent upstreams', () => {
  const bounds = [
    {kind: RouteKind.Idempotent, target: 100, bound: 60, suspect: 401},
    {kind: RouteKind.Idempotent, target: 10, bound: 50, suspect: 41},
    {kind: RouteKind.Streaming, target: 500, bound: 1_500, suspect: 2_001},
  ];
  for (const {kind, target, bound, suspect} of bounds) {
    it(`${kind}, target ${target} ms: elsewhere after ${bound} ms`, () => {
      const one = route(kind, target);
      expect(silenceBound(one)).to.equal(bound);
      expect(isSuspectSilence(one, suspect)).to.equal(true);
      expect(isSuspectSilence(one, suspect - 2)).to.equal(false);
    });
  }
});

describe('urgency', () => {
  it('long prompts against short ones: never before a shorter one', () => {
    const target = 500;
    const readings = [0, 20, 100, 300, 600, 2_000];
    const order = readings.map(reading => urgencyOf({reading, target}));
    expect(order).to.deep.equal([...order].sort((a, b) => a - b));
    expect(order).to.include(USUAL_URGENCY);
    expect(Math.max(...order)).to.be.at.most(9);
  });
});
