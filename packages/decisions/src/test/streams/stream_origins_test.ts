/** Streams must be found where they began, and be forgotten when they are over. */
import {expect} from 'chai';
import {StreamOrigins} from '../../lib/streams/stream_origins.js';

const CASES = [
  {name: 'a stream that began', records: ['v1'], after: 5_000, version: 'v1'},
  {name: 'an unknown stream', records: [], after: 0, version: undefined},
  {
    name: 'a stream that is over',
    records: ['v1'],
    after: 61_000,
    version: undefined,
  },
  {
    name: 'a stream of which a later report has another version',
    records: ['v1', 'v2'],
    after: 0,
    version: 'v1',
  },
];

describe('the origin of a stream', () => {
  for (const {name, records, after, version} of CASES) {
    it(`${name}: ${version ?? 'unknown'}`, () => {
      const origins = new StreamOrigins();
      records.forEach(recorded => origins.record('stream', recorded, 0));
      expect(origins.find('stream', after)).to.equal(version);
    });
  }

  it('is kept for a bounded number of streams, the newest ones', () => {
    const origins = new StreamOrigins();
    for (let index = 0; index < 60_000; index++) {
      origins.record(`stream ${index}`, 'v1', 0);
    }
    expect(origins.find('stream 0', 0)).to.equal(undefined);
    expect(origins.find('stream 59999', 0)).to.equal('v1');
  });
});
