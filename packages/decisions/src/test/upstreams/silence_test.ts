/** Timeouts of silent upstreams. */
import {expect} from 'chai';
import {RouteKind} from '../../lib/fleet/route_table.js';
import {
  isExcessiveSilence,
  silenceTimeout,
} from '../../lib/upstreams/silence.js';
import type {Route} from '../../lib/fleet/route_table.js';

function route(kind: RouteKind, target: number): Route {
  return {
    name: 'r',
    host: 'desk.example',
    pathPrefix: '/',
    kind,
    timeout: 5_000,
    latencyTarget: target,
    priority: 0,
    targets: [],
    maxUpstreams: 2,
    isPublic: false,
    resumable: true,
    maxEventGap: 0,
    homes: [],
  };
}

describe('silent upstreams', () => {
  const cases = [
    {
      kind: RouteKind.Idempotent,
      target: 100,
      timeout: 60,
      excessiveSilence: 401,
    },
    {kind: RouteKind.Idempotent, target: 10, timeout: 50, excessiveSilence: 41},
    {
      kind: RouteKind.Streaming,
      target: 500,
      timeout: 1_500,
      excessiveSilence: 2_001,
    },
  ];
  for (const {kind, target, timeout, excessiveSilence} of cases) {
    it(`${kind}, target ${target} ms: times out after ${timeout} ms`, () => {
      const testRoute = route(kind, target);
      expect(silenceTimeout(testRoute)).to.equal(timeout);
      expect(isExcessiveSilence(testRoute, excessiveSilence)).to.equal(true);
      expect(isExcessiveSilence(testRoute, excessiveSilence - 2)).to.equal(
        false,
      );
    });
  }
});
