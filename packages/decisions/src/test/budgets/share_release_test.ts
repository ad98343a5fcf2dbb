/** What an ended process cannot have used is returned, and nothing else. */
import {expect} from 'chai';
import {closePageHolder} from '../../lib/budgets/prepaid_page.js';
import {
  RELEASE_END,
  RELEASE_START,
  usableTokens,
} from '../../lib/budgets/share_release.js';
import type {PageHolder} from '../../lib/budgets/prepaid_page.js';
import type {MachineTime} from '../../lib/base/clock.js';

const ACCOUNT = 'club';
const TAKEN = 100;
const LIMIT = 30;
const CEILING = 150;
const ERA = 7;
const HALF_RELEASED = (RELEASE_START + RELEASE_END) / 2;

const CONFIRMED_AT: MachineTime = {monotonic: 50_000, wall: 1_000_000};

const ENTRY: PageHolder = {
  instance: 'i0',
  taken: {[ACCOUNT]: TAKEN},
  used: {[ACCOUNT]: 10},
  limits: {[ACCOUNT]: LIMIT},
  confirmedAt: CONFIRMED_AT,
  witnesses: [],
  ceilings: {[ACCOUNT]: CEILING},
  durableCeilings: {},
  era: ERA,
};

/** Returns a time after `CONFIRMED_AT` by the given durations. */
function later(monotonic: number, wall = monotonic): MachineTime {
  return {
    monotonic: CONFIRMED_AT.monotonic + monotonic,
    wall: CONFIRMED_AT.wall + wall,
  };
}

describe('the tokens that a process may use', () => {
  const cases = [
    {age: 0, taken: TAKEN, usable: LIMIT},
    {age: RELEASE_START, taken: TAKEN, usable: LIMIT},
    {age: HALF_RELEASED, taken: TAKEN, usable: (LIMIT + TAKEN) / 2},
    {age: RELEASE_END, taken: TAKEN, usable: TAKEN},
    {age: 2 * RELEASE_END, taken: TAKEN, usable: TAKEN},
    {age: 0, taken: LIMIT - 10, usable: LIMIT - 10},
  ];
  for (const {age, taken, usable} of cases) {
    it(`are ${usable} of ${taken} at an age of ${age} ms`, () => {
      expect(usableTokens(taken, LIMIT, age)).to.equal(usable);
    });
  }
});

describe('tokens of an ended process', () => {
  const cases: Array<{
    name: string;
    entry?: Partial<PageHolder>;
    endedAt?: MachineTime | undefined;
    /** Highest time that witnesses have heard. */
    witnessedTime?: number;
    kept: number;
  }> = [
    {name: 'are returned beyond its limit', kept: LIMIT},
    {
      name: 'are returned if it had released them only in part',
      endedAt: later(HALF_RELEASED),
      kept: (LIMIT + TAKEN) / 2,
    },
    {
      name: 'are kept if its last write is old',
      endedAt: later(RELEASE_END),
      kept: TAKEN,
    },
    {
      name: 'are kept if the machine was restarted: lower monotonic time',
      endedAt: later(-1_000, 1_000),
      kept: TAKEN,
    },
    {
      name: 'are kept if the machine was restarted: similar monotonic time',
      endedAt: later(1_000, 9_000),
      kept: TAKEN,
    },
    {
      name: 'are kept if the time of day was set back',
      endedAt: later(1_000, -1_000),
      kept: TAKEN,
    },
    {
      name: 'are kept if the process may still run',
      endedAt: undefined,
      kept: TAKEN,
    },
    {
      name: 'are returned if the machine was off, but witnesses bound its time',
      endedAt: later(-49_000, 9_000),
      witnessedTime: later(1_500).monotonic,
      kept: LIMIT,
    },
    {
      name: 'are returned if it ended long ago, but witnesses bound its time',
      endedAt: later(2 * RELEASE_END),
      witnessedTime: later(HALF_RELEASED).monotonic,
      kept: (LIMIT + TAKEN) / 2,
    },
    {
      name: 'are kept if witnesses heard it for long after its last write',
      endedAt: later(-49_000, 9_000),
      witnessedTime: later(RELEASE_END).monotonic,
      kept: TAKEN,
    },
    {
      name: 'are kept up to the ceiling if the store has lost changes that a witness cannot know',
      entry: {era: 6},
      witnessedTime: later(0).monotonic,
      kept: CEILING,
    },
    {
      name: 'are kept up to the ceiling if the store has lost changes since',
      entry: {era: 6},
      kept: CEILING,
    },
    {
      name: 'are kept if an earlier version wrote the entry',
      entry: {
        confirmedAt: undefined,
        limits: {},
        used: {},
        ceilings: {},
        era: 0,
      },
      kept: TAKEN,
    },
  ];
  for (const {name, entry, witnessedTime, kept, ...options} of cases) {
    it(name, () => {
      const endedAt = 'endedAt' in options ? options.endedAt : later(1_000);
      const closed = closePageHolder(
        'i0.1',
        {...ENTRY, ...entry},
        {endedAt, era: ERA, usedBefore: undefined, witnessedTime},
      );
      expect(closed.maxUsed).to.deep.equal({[ACCOUNT]: kept});
    });
  }
});
