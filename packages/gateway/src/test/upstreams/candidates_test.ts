/**
 * A request that evacuations or homes keep from all upstreams of its service is
 * refused for that reason; one that another upstream may get is not.
 */
import {expect} from 'chai';
import {Homes, Regions} from '@citrontrestle/decisions';
import {RefusalReason} from '../../lib/requests/refusal.js';
import {Candidates} from '../../lib/upstreams/candidates.js';
import type {UpstreamListing} from '@citrontrestle/decisions';

const {ZoneEvacuated, OutsideHomes} = RefusalReason;
const REGIONS = new Regions({a1: 'A', a2: 'A', b1: 'B'});

const CASES: {
  name: string;
  zones: string[];
  evacuated?: string[];
  homes?: string[][];
  /** Zones of the upstreams that may get the request. */
  open: string[];
  reason?: RefusalReason;
}[] = [
  {name: 'nothing binds', zones: ['a1', 'b1'], open: ['a1', 'b1']},
  {name: 'no upstream at all', zones: [], evacuated: ['a1'], open: []},
  {
    name: 'another zone is open',
    zones: ['a1', 'b1'],
    evacuated: ['a1'],
    open: ['b1'],
  },
  {
    name: 'the only zone',
    zones: ['a1'],
    evacuated: ['a1', 'unknown'],
    open: [],
    reason: ZoneEvacuated,
  },
  {
    name: 'all zones',
    zones: ['a1', 'b1'],
    evacuated: ['a1', 'b1'],
    open: [],
    reason: ZoneEvacuated,
  },
  {
    name: 'homes elsewhere',
    zones: ['a1', 'a2'],
    homes: [['B'], []],
    open: [],
    reason: OutsideHomes,
  },
  {
    name: 'both homes bind',
    zones: ['a1', 'b1'],
    homes: [['A', 'B'], ['B']],
    open: ['b1'],
  },
  {
    name: 'only home is evacuated',
    zones: ['a1', 'b1'],
    evacuated: ['b1'],
    homes: [['B'], []],
    open: [],
    reason: ZoneEvacuated,
  },
];

describe('the upstreams that may get a request', () => {
  for (const {name, zones, evacuated = [], homes = [], ...expected} of CASES) {
    it(`are in open zones at home: ${name}`, () => {
      const pass = (upstreams: UpstreamListing[]) => upstreams;
      const watches = {
        upstreamRegistry: {
          usableUpstreams: () => zones.map(zone => ({id: zone, zone})),
        },
        limitWatch: {withinLimits: pass},
        brittleWatch: {withRoom: pass},
        coldWatch: {withinPermits: pass},
        statementWatch: {withoutResting: pass},
        evacuationWatch: {
          isAnyEvacuated: () => evacuated.length > 0,
          withoutEvacuated: (upstreams: UpstreamListing[]) =>
            upstreams.filter(({zone}) => !evacuated.includes(zone)),
        },
      } as unknown as ConstructorParameters<typeof Candidates>[0];
      const bound = new Homes(homes, REGIONS);
      const candidates = new Candidates(watches, 's', bound);
      const available = candidates.available(undefined, 0);
      expect(available.map(({zone}) => zone)).to.deep.equal(expected.open);
      expect(candidates.blockedReason(undefined, 0)).to.equal(expected.reason);
    });
  }
});
