/**
 * Tokens that machines held when they lost power, and had not used, must not be
 * lost to callers while other instances can tell what had not been used.
 */
import {expect} from 'chai';
import {REQUEST_TOKENS, ShareFleet} from './share_fleet.js';

/** Requests per second, evenly spread. */
const REQUEST_RATE = 16;

/** Time for which the budget lasts, in seconds. */
const BUDGET_SECONDS = 50;

/** When the machines lose power, in seconds. */
const POWER_LOSS = 8;

/** Time until the next processes have closed the entries, in seconds. */
const SETTLING_SECONDS = 4;

/** Three losses may cost a tenth of a budget, so one a thirtieth. */
const MAX_LOST_FRACTION = 1 / 30;

const CASES: Array<{name: string; indexes: readonly number[]}> = [
  {name: 'one of eight machines', indexes: [3]},
  {name: 'five of eight machines', indexes: [0, 1, 2, 3, 4]},
  {name: 'seven of eight machines', indexes: [0, 1, 2, 3, 4, 5, 6]},
];

describe('tokens lost with machines that lose power', () => {
  for (const {name, indexes} of CASES) {
    it(`are few: ${name}`, () => {
      const granted = BUDGET_SECONDS * REQUEST_RATE * REQUEST_TOKENS;
      const fleet = new ShareFleet(granted);
      fleet.run(POWER_LOSS, REQUEST_RATE);
      fleet.kill(indexes, true);
      fleet.run(SETTLING_SECONDS, REQUEST_RATE);
      expect(fleet.lostTokens() / granted).to.be.at.most(MAX_LOST_FRACTION);
    });
  }
});
