/**
 * While an instance is partitioned from the upstreams, the body of a request with
 * homes goes to no peer outside them but in the instance's own region.
 */
import {expect} from 'chai';
import {Homes, Regions} from '@citrontrestle/decisions';
import {UpstreamPaths} from '../../lib/upstreams/upstream_paths.js';
import type {UpstreamPathsContext} from '../../lib/upstreams/upstream_paths.js';
import type {UpstreamListing} from '@citrontrestle/decisions';

const REGIONS = new Regions({a1: 'A', a2: 'A', b1: 'B', c1: 'C'});

const CASES: {homes: string[]; peers: string[]; chosen: string[]}[] = [
  {homes: [], peers: ['b1'], chosen: ['b1']},
  {homes: ['B'], peers: ['b1', 'c1'], chosen: ['b1']},
  {homes: ['B'], peers: ['a2', 'c1'], chosen: ['a2']},
  {homes: ['B'], peers: ['c1', 'unknown'], chosen: []},
];

describe('the ways to an upstream for a request with homes', () => {
  for (const {homes, peers, chosen} of CASES) {
    it(`[${homes.join()}] lead through [${chosen.join()}] of ${peers.join()}`, () => {
      const paths = new UpstreamPaths({
        zone: 'a1',
        clock: {now: () => 0},
        reachability: {reachesDirectly: () => false},
        proxies: () =>
          peers.map(zone => ({address: `in ${zone}`, zone, capacity: 1})),
        random: () => 0,
      } as unknown as UpstreamPathsContext);
      const upstream = {id: 'u', zone: 'b1'} as UpstreamListing;
      const tried = new Set<string>();
      const found: string[] = [];
      for (;;) {
        const proxy = paths.choose(
          upstream,
          'r1',
          tried,
          new Homes([homes], REGIONS),
        )?.proxy;
        if (proxy === undefined) {
          break;
        }
        tried.add(proxy.address);
        found.push(proxy.zone);
      }
      expect(found).to.deep.equal(chosen);
    });
  }
});
