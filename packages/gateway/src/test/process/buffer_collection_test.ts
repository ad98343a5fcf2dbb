/**
 * Guards against buffers that fill the machine before the engine collects them
 * (issue 39, bytes without end).
 */
import {expect} from 'chai';
import {BufferCollection} from '../../lib/process/buffer_collection.js';

const MIB = 2 ** 20;

/** Growth at which the memory is collected. */
const MAX_GROWTH = 8 * MIB;

/** One check of the memory: what is allocated then, and what a collection leaves. */
interface Check {
  allocated: number;
  left: number;
}

const CASES: Array<{name: string; checks: Check[]; collections: number}> = [
  {
    name: 'not while it grows by less',
    checks: [4, 6, 7].map(mib => ({allocated: mib * MIB, left: 0})),
    collections: 0,
  },
  {
    name: 'once it has grown so much',
    checks: [{allocated: 8 * MIB, left: MIB}],
    collections: 1,
  },
  {
    name: 'not again while what is in use fills it',
    checks: [8, 9, 12].map(mib => ({allocated: mib * MIB, left: 8 * MIB})),
    collections: 1,
  },
  {
    name: 'again when it has grown as much once more',
    checks: [
      {allocated: 8 * MIB, left: 6 * MIB},
      {allocated: 13 * MIB, left: 6 * MIB},
      {allocated: 14 * MIB, left: 6 * MIB},
    ],
    collections: 2,
  },
  {
    name: 'from the least that was seen, as buffers may be freed late',
    checks: [
      {allocated: 20 * MIB, left: 20 * MIB},
      {allocated: 2 * MIB, left: 0},
      {allocated: 11 * MIB, left: 0},
    ],
    collections: 2,
  },
];

describe('memory of buffers is collected', () => {
  for (const {name, checks, collections} of CASES) {
    it(name, () => {
      let allocated = 0;
      let left = 0;
      let collected = 0;
      const collection = new BufferCollection(
        {
          allocatedBytes: () => allocated,
          collect: () => {
            collected += 1;
            allocated = left;
          },
        },
        MAX_GROWTH,
      );
      for (const check of checks) {
        ({allocated, left} = check);
        collection.recordRead(MIB);
      }
      expect(collected).to.equal(collections);
    });
  }

  it('only when enough was read since the last look', () => {
    let looks = 0;
    const collection = new BufferCollection(
      {allocatedBytes: () => (looks += 1), collect: () => undefined},
      MAX_GROWTH,
    );
    looks = 0;
    for (let read = 0; read < 2 * MIB; read += 1024) {
      collection.recordRead(1024);
    }
    expect(looks).to.equal(2);
  });
});
