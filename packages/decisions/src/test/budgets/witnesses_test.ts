/** Two witnesses bound how long a process has run; one may be out of reach. */
import {expect} from 'chai';
import {HeardTimes, Witnesses} from '../../lib/budgets/witnesses.js';
import type {HeardTime} from '../../lib/budgets/witnesses.js';

const SELF = {holder: 'i0.2', zone: 'z0'};
const PREDECESSOR = 'i0.1';
const NOW = 50_000;

/** Times that peers have stated of one process, by the peer's identity. */
type StatedTimes = Record<string, number>;

function witnessesWith(times: StatedTimes, process: string): Witnesses {
  const witnesses = new Witnesses(SELF);
  for (const [holder, time] of Object.entries(times)) {
    const heard = [{holder: process, time}];
    witnesses.recordStatement({holder, zone: 'z1'}, heard, NOW);
  }
  return witnesses;
}

describe('the time that witnesses let a process count', () => {
  const cases: Array<{
    name: string;
    chosen: string[];
    times: StatedTimes;
    time: number;
  }> = [
    {name: 'no witness', chosen: [], times: {}, time: Infinity},
    {name: 'one witness', chosen: ['a'], times: {}, time: Infinity},
    {name: 'none has heard', chosen: ['a', 'b'], times: {}, time: -Infinity},
    {
      name: 'all but one have heard',
      chosen: ['a', 'b', 'c'],
      times: {a: 5, b: 7},
      time: 5,
    },
    {
      name: 'two are out of reach',
      chosen: ['a', 'b', 'c'],
      times: {a: 5},
      time: -Infinity,
    },
    {
      name: 'all have heard',
      chosen: ['a', 'b', 'c'],
      times: {a: 9, b: 7, c: 5},
      time: 7,
    },
    {
      name: 'a peer that is no witness',
      chosen: ['a', 'b'],
      times: {a: 5, b: 7, d: 1},
      time: 7,
    },
  ];
  for (const {name, chosen, times, time} of cases) {
    it(`is ${time}: ${name}`, () => {
      const witnesses = witnessesWith(times, SELF.holder);
      expect(witnesses.witnessedTime(chosen)).to.equal(time);
    });
  }
});

describe('the time that an ended process can have counted', () => {
  const cases: Array<{
    name: string;
    chosen: string[];
    times: StatedTimes;
    time: number | undefined;
  }> = [
    {
      name: 'one statement',
      chosen: ['a', 'b'],
      times: {a: 5},
      time: undefined,
    },
    {
      name: 'one witness out of reach may have heard more',
      chosen: ['a', 'b', 'c'],
      times: {a: 5, b: 7},
      time: 7,
    },
    {
      name: 'all tell',
      chosen: ['a', 'b', 'c'],
      times: {a: 5, b: 7, c: 9},
      time: 7,
    },
    {
      name: 'statements of other peers',
      chosen: ['a', 'b'],
      times: {c: 5, d: 7},
      time: undefined,
    },
  ];
  for (const {name, chosen, times, time} of cases) {
    it(`is ${time}: ${name}`, () => {
      const witnesses = witnessesWith(times, PREDECESSOR);
      expect(witnesses.maxWitnessedTime(chosen, PREDECESSOR)).to.equal(time);
    });
  }
});

describe('the choice of witnesses', () => {
  const cases: Array<{
    name: string;
    /** Peers with the process that they told of, and when they did. */
    peers: Array<{holder: string; zone: string; of: string; at: number}>;
    chosen: string[];
  }> = [
    {
      name: 'none if one peer answers',
      peers: [{holder: 'a', zone: 'z1', of: SELF.holder, at: NOW}],
      chosen: [],
    },
    {
      name: 'other zones first',
      peers: [
        {holder: 'a', zone: SELF.zone, of: SELF.holder, at: NOW},
        {holder: 'b', zone: 'z1', of: SELF.holder, at: NOW},
      ],
      chosen: ['b', 'a'],
    },
    {
      name: 'no peer that is silent or has not heard this process',
      peers: [
        {holder: 'a', zone: 'z1', of: SELF.holder, at: NOW - 2_000},
        {holder: 'b', zone: 'z1', of: PREDECESSOR, at: NOW},
        {holder: 'c', zone: 'z1', of: SELF.holder, at: NOW},
        {holder: 'd', zone: SELF.zone, of: SELF.holder, at: NOW - 500},
      ],
      chosen: ['c', 'd'],
    },
  ];
  for (const {name, peers, chosen} of cases) {
    it(name, () => {
      const witnesses = new Witnesses(SELF);
      for (const {holder, zone, of, at} of peers) {
        const heard: HeardTime[] = [{holder: of, time: 1}];
        witnesses.recordStatement({holder, zone}, heard, at);
      }
      expect(witnesses.choose(NOW)).to.deep.equal(chosen);
    });
  }

  it('is of at most eight', () => {
    const names = Array.from({length: 20}, (_, index) => `p${index}`);
    const times = Object.fromEntries(names.map(name => [name, 1]));
    const witnesses = witnessesWith(times, SELF.holder);
    expect(witnesses.choose(NOW).length).to.equal(8);
  });
});

describe('the times that an instance has heard', () => {
  it('never fall, and are kept for the last processes of a machine', () => {
    const heardTimes = new HeardTimes();
    for (let process = 0; process < 10; process++) {
      heardTimes.record('a:1', {holder: `p${process}`, time: process});
    }
    heardTimes.record('a:1', {holder: 'p9', time: 3});
    const heard = heardTimes.of('a:1');
    expect(heard.length).to.equal(8);
    expect(heard.at(-1)).to.deep.equal({holder: 'p9', time: 9});
    expect(heardTimes.of('b:1')).to.deep.equal([]);
  });
});
