/** The list of upstreams: order by revision, leaving, lapses, relisting. */
import {expect} from 'chai';
import {
  UpstreamUpdateOutcome,
  UpstreamRegistry,
} from '../lib/upstream_registry.js';
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
  const usableIds = (now: number) =>
    registry.usableUpstreams(SERVICE, now).map(upstream => upstream.id);
  const applyUpdate = (
    id: string,
    revision: number,
    listed: UpstreamListing | undefined,
    now = 0,
    lapsed = false,
  ) => registry.applyUpdate({id, revision, listing: listed}, now, lapsed);

  beforeEach(() => {
    registry = new UpstreamRegistry();
    applyUpdate('a', 5, listing('a'));
  });

  it('uses what is listed', () => {
    expect(usableIds(0)).to.deep.equal(['a']);
    expect(registry.usableUpstreams('other', 0)).to.deep.equal([]);
  });

  const cases = [
    {name: 'older news', revision: 4, one: undefined, left: ['a']},
    {name: 'the same news', revision: 5, one: undefined, left: ['a']},
    {name: 'removed', revision: 6, one: undefined, left: []},
    {name: 'leaving', revision: 6, one: listing('a', true), left: []},
  ];
  for (const {name, revision, one, left} of cases) {
    it(`${name}: ${left.length} left`, () => {
      applyUpdate('a', revision, one);
      expect(usableIds(0)).to.deep.equal(left);
    });
  }

  it('never goes back from gone to listed by older news', () => {
    applyUpdate('a', 9, undefined);
    expect(applyUpdate('a', 7, listing('a'))).to.equal(
      UpstreamUpdateOutcome.Stale,
    );
    expect(usableIds(0)).to.deep.equal([]);
  });

  it('holds a lapsed entry for a while, then takes it as gone', () => {
    applyUpdate('a', 6, undefined, 100, true);
    expect(usableIds(1_000)).to.deep.equal(['a']);
    expect(usableIds(2_000)).to.deep.equal([]);
  });

  it('takes a lapsed entry back that returns in time', () => {
    applyUpdate('a', 6, undefined, 100, true);
    applyUpdate('a', 8, listing('a'), 500);
    expect(usableIds(5_000)).to.deep.equal(['a']);
  });

  it('takes what a list lacks as gone, but not what is newer', () => {
    applyUpdate('b', 20, listing('b'));
    const found = registry.updatesFromList([], 10).map(update => update.id);
    expect(found).to.deep.equal(['a']);
  });

  it('gives no work to an address that another incarnation has', () => {
    registry.markReplaced('a');
    expect(usableIds(0)).to.deep.equal([]);
    applyUpdate('a', 6, listing('a'));
    expect(usableIds(0)).to.deep.equal(['a']);
  });
});
