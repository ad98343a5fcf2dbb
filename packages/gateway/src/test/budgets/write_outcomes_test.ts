/**
 * What becomes of tokens that a write returns to the store. While its outcome is
 * unknown they may be returned, so they must not be used.
 */
import {expect} from 'chai';
import {
  ManualClock,
  ManualMachineClock,
  SHARE_POLICY,
  Witnesses,
} from '@citrontrestle/decisions';
import {createLog} from '@citrontrestle/runtime';
import {BudgetPage} from '../../lib/budgets/budget_page.js';
import {StoreOutcome} from '../../lib/process/ports.js';
import type {Store, StoreItem} from '../../lib/process/ports.js';

const ACCOUNT = 'club';
const VIEW = {now: 0, instances: 1, drawers: 1, granted: () => 100_000};

/** A store with one page, which answers the next writes with an outcome. */
class PageStore {
  outcome = StoreOutcome.Done;
  private item: StoreItem | undefined;

  read(): unknown {
    const {item} = this;
    const {Done: outcome} = StoreOutcome;
    return {outcome, item, revision: item?.revision ?? 0, era: 0};
  }

  write(key: string, expectedRevision: number, value: Buffer): unknown {
    const {outcome} = this;
    const revision = expectedRevision + 1;
    if (outcome === StoreOutcome.Done) {
      this.item = {key, value, revision};
      return {outcome, revision, era: 0};
    }
    return {outcome, item: this.item, era: 0, reason: 'as the test wants'};
  }
}

describe('a write that returns tokens', () => {
  const cases = [
    {outcome: StoreOutcome.Done, isKept: false},
    {outcome: StoreOutcome.Unknown, isKept: false},
    {outcome: StoreOutcome.Refused, isKept: true},
    {outcome: StoreOutcome.Conflict, isKept: true},
  ];
  for (const {outcome, isKept} of cases) {
    it(`leaves the tokens ${isKept ? 'usable' : 'unusable'}: ${outcome}`, async () => {
      const store = new PageStore();
      const clock = new ManualClock(100_000);
      const holder = 'g1.1';
      const settings = {
        ...SHARE_POLICY,
        holder,
        instance: 'g1',
        clock: new ManualMachineClock(clock),
        witnesses: new Witnesses({holder, zone: 'north'}),
        storeEra: () => 0,
      };
      const log = createLog('error', {instance: 'g1', zone: 'north'});
      const port = store as unknown as Store;
      const page = new BudgetPage('page', settings, port, clock, log, () => {});
      const {shares} = page;
      await page.read();
      shares.adjustAwaitedTokens(ACCOUNT, 1_000);
      for (let write = 0; write < 2; write++) {
        const view = {...VIEW, now: clock.now()};
        await page.write(shares.planWrite([ACCOUNT], view) as never);
      }
      const held = shares.availableTokens(ACCOUNT);
      expect(held).to.be.at.least(1_000);
      store.outcome = outcome;
      await page.write(shares.planReturn() as never);
      await new Promise(resolve => setImmediate(resolve));
      const remaining = isKept ? held : held % 1;
      expect(shares.availableTokens(ACCOUNT)).to.equal(remaining);
    });
  }
});
