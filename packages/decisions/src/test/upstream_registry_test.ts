/** The list of upstreams: order by revision, leaving, lapses, relisting. */
import {expect} from 'chai';
import {NewsOutcome, UpstreamRegistry} from '../lib/upstream_registry.js';
import type {UpstreamListing} from '../lib/upstream_registry.js';

const SERVICE = 'desk';

function listing(id: string, leaving = false): UpstreamListing {
  return {
    id,
    service: SERVICE,
    address: '10.0.0.1:1',
    zone: 'north',
    slots: 6,
    leaving,
    startedAt: 0,
    cold: 0,
  };
}

describe('list of upstreams', () => {
  let registry: UpstreamRegistry;
  const usable = (now: number) =>
    registry.usable(SERVICE, now).map(one => one.id);
  const learn = (
    id: string,
    revision: number,
    one: UpstreamListing | undefined,
    now = 0,
    lapsed = false,
  ) => registry.learn({id, revision, listing: one}, now, lapsed);

  beforeEach(() => {
    registry = new UpstreamRegistry();
    learn('a', 5, listing('a'));
  });

  it('uses what is listed', () => {
    expect(usable(0)).to.deep.equal(['a']);
    expect(registry.usable('other', 0)).to.deep.equal([]);
  });

  const news = [
    {name: 'older news', revision: 4, one: undefined, left: ['a']},
    {name: 'the same news', revision: 5, one: undefined, left: ['a']},
    {name: 'removed', revision: 6, one: undefined, left: []},
    {name: 'leaving', revision: 6, one: listing('a', true), left: []},
  ];
  for (const {name, revision, one, left} of news) {
    it(`${name}: ${left.length} left`, () => {
      learn('a', revision, one);
      expect(usable(0)).to.deep.equal(left);
    });
  }

  it('never goes back from gone to listed by older news', () => {
    learn('a', 9, undefined);
    expect(learn('a', 7, listing('a'))).to.equal(NewsOutcome.Stale);
    expect(usable(0)).to.deep.equal([]);
  });

  it('holds a lapsed entry for a while, then takes it as gone', () => {
    learn('a', 6, undefined, 100, true);
    expect(usable(1_000)).to.deep.equal(['a']);
    expect(usable(2_000)).to.deep.equal([]);
  });

  it('takes a lapsed entry back that returns in time', () => {
    learn('a', 6, undefined, 100, true);
    learn('a', 8, listing('a'), 500);
    expect(usable(5_000)).to.deep.equal(['a']);
  });

  it('takes what a list lacks as gone, but not what is newer', () => {
    learn('b', 20, listing('b'));
    const found = registry.relist([], 10).map(one => one.id);
    expect(found).to.deep.equal(['a']);
  });

  it('gives no work to an address that another incarnation has', () => {
    registry.replaced('a');
    expect(usable(0)).to.deep.equal([]);
    learn('a', 6, listing('a'));
    expect(usable(0)).to.deep.equal(['a']);
  });
});
