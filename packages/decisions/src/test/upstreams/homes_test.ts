/**
 * A request reaches no upstream outside its homes, and its body goes to no other
 * instance outside them but in the region of the instance that it reached.
 */
import {expect} from 'chai';
import {Homes, Regions} from '../../lib/upstreams/homes.js';

const REGIONS = new Regions({a1: 'A', a2: 'A', b1: 'B', c1: 'C'});

const CASES: {
  name: string;
  sets: string[][];
  zone: string;
  ownZone: string;
  upstream: boolean;
  peer: boolean;
}[] = [
  {
    name: 'no homes',
    sets: [[], []],
    zone: 'x',
    ownZone: 'a1',
    upstream: true,
    peer: true,
  },
  {
    name: 'at home',
    sets: [['A'], []],
    zone: 'a2',
    ownZone: 'b1',
    upstream: true,
    peer: true,
  },
  {
    name: 'elsewhere',
    sets: [['A'], []],
    zone: 'b1',
    ownZone: 'a1',
    upstream: false,
    peer: false,
  },
  {
    name: 'in the region of the instance',
    sets: [['B'], []],
    zone: 'a2',
    ownZone: 'a1',
    upstream: false,
    peer: true,
  },
  {
    name: 'in one of two sets',
    sets: [['A', 'B'], ['B']],
    zone: 'a2',
    ownZone: 'c1',
    upstream: false,
    peer: false,
  },
  {
    name: 'in both sets',
    sets: [
      ['A', 'B'],
      ['C', 'B'],
    ],
    zone: 'b1',
    ownZone: 'c1',
    upstream: true,
    peer: true,
  },
  {
    name: 'sets without a common region',
    sets: [['A'], ['B']],
    zone: 'a1',
    ownZone: 'c1',
    upstream: false,
    peer: false,
  },
  {
    name: 'a zone without a region',
    sets: [['A'], []],
    zone: 'constructor',
    ownZone: 'a1',
    upstream: false,
    peer: false,
  },
  {
    name: 'the zone of an instance without a region',
    sets: [['A'], []],
    zone: 'x',
    ownZone: 'x',
    upstream: false,
    peer: true,
  },
];

describe('the homes of a request', () => {
  for (const {name, sets, zone, ownZone, upstream, peer} of CASES) {
    it(`bind: ${name}`, () => {
      const homes = new Homes(sets, REGIONS);
      expect(homes.allowsUpstream(zone)).to.equal(upstream);
      expect(homes.allowsPeer(zone, ownZone)).to.equal(peer);
    });
  }

  it('are the regions that both sets hold', () => {
    const homes = new Homes([['A', 'B'], ['B']], REGIONS);
    expect(homes.regionNames()).to.deep.equal(['B']);
  });
});
