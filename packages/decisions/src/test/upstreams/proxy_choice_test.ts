/**
 * The peers that forward requests for partitioned instances must get equal parts
 * for their capacity, and one that fails must be left alone for a while.
 */
import {expect} from 'chai';
import {ProxyChoice} from '../../lib/upstreams/proxy_choice.js';
import type {ProxyPeer} from '../../lib/upstreams/proxy_choice.js';

const NONE: ReadonlySet<string> = new Set();

function peer(address: string, capacity = 1, zone = 'north'): ProxyPeer {
  return {address, capacity, zone};
}

/** Chooses peers for requests that all run at once; counts them by address. */
function spread(peers: ProxyPeer[], requests: number): Map<string, number> {
  const choice = new ProxyChoice('north');
  const counts = new Map<string, number>();
  for (let index = 0; index < requests; index++) {
    const address = choice.choose(peers, NONE, 0, () => 0)?.address ?? '';
    choice.recordStart(address);
    counts.set(address, (counts.get(address) ?? 0) + 1);
  }
  return counts;
}

const SPREAD_CASES = [
  {
    name: 'equal peers',
    peers: [peer('a'), peer('b'), peer('c')],
    expected: [20, 20, 20],
  },
  {
    name: 'a peer of twice the capacity',
    peers: [peer('a', 2), peer('b'), peer('c')],
    expected: [30, 15, 15],
  },
  {
    name: 'a peer in another zone, a little less',
    peers: [peer('a'), peer('b'), peer('c', 1, 'south')],
    expected: [21, 21, 18],
  },
];

describe('the choice of peers that forward requests', () => {
  for (const {name, peers, expected} of SPREAD_CASES) {
    it(`spreads requests: ${name}`, () => {
      const counts = spread(peers, 60);
      peers.forEach(({address}, index) => {
        expect(counts.get(address)).to.be.closeTo(expected[index] ?? 0, 1);
      });
    });
  }

  it('avoids a peer that failed for a second', () => {
    const choice = new ProxyChoice('north');
    const peers = [peer('a')];
    choice.recordFailure('a', 0);
    expect(choice.choose(peers, NONE, 900, () => 0)).to.equal(undefined);
    expect(choice.choose(peers, NONE, 1_100, () => 0)?.address).to.equal('a');
  });

  it('does not try a peer again for the same request', () => {
    const choice = new ProxyChoice('north');
    const chosen = choice.choose([peer('a')], new Set(['a']), 0, () => 0);
    expect(chosen).to.equal(undefined);
  });

  it('counts requests that have ended no longer', () => {
    const choice = new ProxyChoice('north');
    choice.recordStart('a');
    choice.recordEnd('a');
    choice.recordStart('b');
    const chosen = choice.choose([peer('a'), peer('b')], NONE, 0, () => 0);
    expect(chosen?.address).to.equal('a');
  });
});
