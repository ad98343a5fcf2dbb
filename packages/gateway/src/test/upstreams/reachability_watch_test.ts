/**
 * What an instance takes for a partition from the upstreams: not that its own link
 * is full (issue 49, SHORT), but a partition while it is full all the same.
 */
import {LinkLoad, Reachability} from '@citrontrestle/decisions';
import {SILENT_LOG} from '@citrontrestle/runtime';
import {expect} from 'chai';
import {ReachabilityWatch} from '../../lib/upstreams/reachability_watch.js';
import type {UpstreamAgent} from '../../lib/upstreams/upstream_agent.js';
import type {UpstreamRegistry} from '@citrontrestle/decisions';

const UPSTREAMS = ['u1', 'u2', 'u3'];

/** Bytes that occupy a link of 1 Mbit/s for half of a second. */
const HALF_OF_LINK = 62_500;

const CASES = [
  {name: 'an idle link', use: 0, silence: 10, timedOut: true, is: true},
  {name: 'a full link', use: 1, silence: 10, timedOut: true, is: false},
  {name: 'refusals, full link', use: 1, silence: 10, timedOut: false, is: true},
  {
    name: 'silence, full link',
    use: 1,
    silence: 2_500,
    timedOut: true,
    is: true,
  },
];

describe('connections that fail to all upstreams', () => {
  for (const {name, use, silence, timedOut, is} of CASES) {
    it(`${is ? 'show' : 'show no'} partition: ${name}`, () => {
      let now = 10_000;
      const link = new LinkLoad(1);
      const watch = new ReachabilityWatch(
        new Reachability(),
        {listedUpstreams: () => []} as unknown as UpstreamRegistry,
        {} as UpstreamAgent,
        link,
        {now: () => now},
        SILENT_LOG,
        () => undefined,
      );
      watch.observerOf('u1').onHeard();
      now += silence;
      link.recordBytes(use * HALF_OF_LINK, 0, now);
      for (const upstream of UPSTREAMS) {
        watch.observerOf(upstream).onConnectFailed(timedOut);
      }
      expect(watch.isPartitioned()).to.equal(is);
    });
  }
});
