/** How long requests wait for tokens, and what proves that there are none. */
import {expect} from 'chai';
import {
  decideTokenWait,
  patienceFor,
  WaitDecision,
} from '../../lib/budgets/token_wait.js';
import type {TokenWait, WaitSituation} from '../../lib/budgets/token_wait.js';

const PATIENCE_CASES = [
  {name: 'no target', target: 0, timeLeft: 5_000, expected: 120},
  {name: 'a target', target: 1_000, timeLeft: 5_000, expected: 500},
  {name: 'a near deadline', target: 1_000, timeLeft: 70, expected: 70},
  {name: 'a deadline that has passed', target: 400, timeLeft: -1, expected: 0},
];

describe('the time for which a request may wait for tokens', () => {
  for (const {name, target, timeLeft, expected} of PATIENCE_CASES) {
    it(`is ${expected} ms with ${name}`, () => {
      expect(patienceFor(target, timeLeft)).to.equal(expected);
    });
  }
});

const WAIT: TokenWait = {
  tokens: 100,
  waitingSince: 10_000,
  patience: 400,
  awaitsRelay: false,
  peersAskedSince: 10_000,
};

/** A spent budget whose page was just read, and whose peers were asked. */
const SPENT: WaitSituation = {
  now: 10_100,
  reading: {
    granted: 5_000,
    unclaimed: 0,
    heldHere: 60,
    heldByOthers: 39,
    heldBySilent: 0,
    reservedHere: 0,
  },
  readAt: 9_900,
  isStoreFailing: false,
};

const {Exhausted, Withheld, Unavailable, AskPeers, Wait} = WaitDecision;

const DECISION_CASES: {
  name: string;
  change: Partial<TokenWait & WaitSituation>;
  expected: WaitDecision;
}[] = [
  {name: 'nobody has the tokens', change: {}, expected: Exhausted},
  {
    name: 'the page is too old',
    change: {readAt: 9_400, peersAskedSince: 10_060},
    expected: AskPeers,
  },
  {
    name: 'the peers have not been asked long enough',
    change: {peersAskedSince: 10_090},
    expected: AskPeers,
  },
  {
    name: 'others have them, and have been asked for long',
    change: {reading: {...SPENT.reading, heldByOthers: 40}},
    expected: Unavailable,
  },
  // Guards against a false 402 after a process is lost for good (review, case 11).
  {
    name: 'a silent process may have left them unused',
    change: {reading: {...SPENT.reading, heldBySilent: 1}},
    expected: Withheld,
  },
  {
    name: 'a silent process can have left too few of them unused',
    change: {reading: {...SPENT.reading, heldByOthers: 0, heldBySilent: 39}},
    expected: Exhausted,
  },
  {
    name: 'the store has just been asked',
    change: {now: 10_005, reading: {...SPENT.reading, unclaimed: 900}},
    expected: Wait,
  },
  {
    name: 'the store has them, and they may not be taken yet',
    change: {reading: {...SPENT.reading, unclaimed: 900}},
    expected: Wait,
  },
  {
    name: 'they could not be taken until the end of its patience',
    change: {now: 10_400, reading: {...SPENT.reading, unclaimed: 900}},
    expected: Unavailable,
  },
];

describe('a request that waits for tokens', () => {
  for (const {name, change, expected} of DECISION_CASES) {
    it(`is to "${expected}" if ${name}`, () => {
      const wait = {...WAIT, ...change};
      const situation = {...SPENT, ...change};
      expect(decideTokenWait(wait, situation)).to.equal(expected);
    });
  }
});
