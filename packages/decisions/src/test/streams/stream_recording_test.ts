/**
 * The beginnings of streams must be recorded by an instance that knows them and
 * reaches the store, and no write may replace streams that still run.
 */
import {expect} from 'chai';
import {isRecorder} from '../../lib/streams/recorder_choice.js';
import {
  SEGMENT_COUNT,
  StreamSegments,
} from '../../lib/streams/stream_segments.js';
import type {Millis} from '../../lib/base/clock.js';
import type {ExchangePartners} from '../../lib/fleet/topology.js';

const NO_PARTNERS: ExchangePartners = {
  relay: undefined,
  followers: [],
  meshPeers: [],
};

describe('the instance that records streams', () => {
  const cases: {
    name: string;
    partners?: Partial<ExchangePartners>;
    ownSilence?: Millis;
    peers: [address: string, storeSilence: Millis][];
    records: boolean;
  }[] = [
    {name: 'is the only one', peers: [], records: true},
    {name: 'is the first one', peers: [['10.0.0.3:1', 0]], records: true},
    {name: 'is not the second one', peers: [['10.0.0.1:1', 0]], records: false},
    {
      name: 'is the second one if the first does not reach the store',
      peers: [['10.0.0.1:1', 5_000]],
      records: true,
    },
    {
      name: 'is not the first one if it does not reach the store',
      ownSilence: 5_000,
      peers: [['10.0.0.3:1', 0]],
      records: false,
    },
    {
      name: 'is a relay',
      partners: {followers: ['10.0.0.9:1']},
      peers: [['10.0.0.1:1', 0]],
      records: true,
    },
    {
      name: 'is not a follower',
      partners: {relay: '10.0.0.9:1'},
      peers: [],
      records: false,
    },
  ];
  for (const {name, partners, ownSilence = 0, peers, records} of cases) {
    it(name, () => {
      const self = {address: '10.0.0.2:1', storeSilence: ownSilence};
      const candidates = peers.map(([address, storeSilence]) => ({
        address,
        storeSilence,
      }));
      const all = {...NO_PARTNERS, ...partners};
      expect(isRecorder(self, all, candidates)).to.equal(records);
    });
  }
});

describe('the segments of recorded streams', () => {
  let segments: StreamSegments;

  beforeEach(() => {
    segments = new StreamSegments();
  });

  it('begin after the one that was written last', () => {
    const stored = [
      {number: 3, revision: 8},
      {number: 4, revision: 9},
      {number: 5, revision: 2},
    ];
    segments.position(stored, 0);
    segments.add('s1', 'v1');
    const {number, revision} = segments.nextWrite();
    expect([number, revision]).to.deep.equal([5, 2]);
  });

  it('keep the streams of the last ten seconds together, then go on', () => {
    segments.position([], 0);
    const numbers = new Set<number>();
    for (let second = 0; second < 30; second++) {
      segments.add(`s${second}`, 'v1');
      const write = segments.nextWrite();
      numbers.add(write.number);
      segments.confirm(write, second + 1, second * 1_000);
    }
    expect([...numbers]).to.deep.equal([0, 1, 2]);
  });

  it('use a key again only after all others', () => {
    segments.position([], 0);
    const keys: number[] = [];
    for (let second = 0; second < 200; second += 10) {
      segments.add(`s${second}`, 'v1');
      const write = segments.nextWrite();
      keys.push(write.number);
      segments.confirm(write, second + 1, second * 1_000 + 20_000);
    }
    const expected = keys.map((_, index) => index % SEGMENT_COUNT);
    expect(keys).to.deep.equal(expected);
  });

  it('hold the streams of a rejected write in the next one', () => {
    segments.position([], 0);
    segments.add('s1', 'v1');
    segments.nextWrite();
    expect(segments.isWriteDue()).to.equal(false);
    segments.reject();
    segments.position([{number: 0, revision: 7}], 0);
    segments.add('s2', 'v2');
    const {number, streams} = segments.nextWrite();
    expect(number).to.equal(1);
    expect([...streams]).to.deep.equal([
      ['s1', 'v1'],
      ['s2', 'v2'],
    ]);
  });
});
