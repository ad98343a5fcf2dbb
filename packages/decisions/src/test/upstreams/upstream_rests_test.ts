/** An upstream that asks for a rest gets no requests until it ends. */
import {expect} from 'chai';
import {MAX_REST, UpstreamRests} from '../../lib/upstreams/upstream_rests.js';

const PROCESS = {id: 'a', startedAt: 1};

describe('rests of upstreams', () => {
  const cases = [
    {name: 'before the end', rests: [500], now: 499, resting: true},
    {name: 'at the end', rests: [500], now: 500, resting: false},
    {
      name: 'a shorter one after it',
      rests: [500, 100],
      now: 400,
      resting: true,
    },
    {name: 'a longer one after it', rests: [100, 500], now: 400, resting: true},
    {name: 'absurdly long', rests: [1e12], now: MAX_REST, resting: false},
    {name: 'of no time', rests: [0], now: 0, resting: false},
  ];
  for (const {name, rests, now, resting} of cases) {
    it(`${name}: ${resting ? 'lasts' : 'has ended'}`, () => {
      const upstreamRests = new UpstreamRests();
      rests.forEach(time => upstreamRests.record(PROCESS, time, 0));
      expect(upstreamRests.isResting(PROCESS, now)).to.equal(resting);
    });
  }

  it('is not that of the next process', () => {
    const upstreamRests = new UpstreamRests();
    upstreamRests.record(PROCESS, 500, 0);
    expect(upstreamRests.isResting({id: 'a', startedAt: 2}, 0)).to.equal(false);
  });
});
