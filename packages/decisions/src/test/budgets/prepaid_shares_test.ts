/**
 * Shares must keep requests served while the store is unavailable or the load
 * shifts between instances. They must also stay small enough that little of a
 * budget is lost when instances are killed.
 */
import {expect} from 'chai';
import {ManualClock, ManualMachineClock} from '../../lib/base/clock.js';
import {emptyPage, totalTaken} from '../../lib/budgets/prepaid_page.js';
import {PrepaidShares} from '../../lib/budgets/prepaid_shares.js';
import {SHARE_POLICY} from '../../lib/budgets/share_policy.js';
import {Witnesses} from '../../lib/budgets/witnesses.js';
import {ACCOUNT, REQUEST_TOKENS, ShareFleet} from './share_fleet.js';

/** Returns the shares of one process that knows no page yet. */
function createShares(clock: ManualClock): PrepaidShares {
  return new PrepaidShares({
    ...SHARE_POLICY,
    holder: 'i0.1',
    instance: 'i0',
    clock: new ManualMachineClock(clock),
    witnesses: new Witnesses({holder: 'i0.1', zone: 'z0'}),
    storeEra: () => 0,
  });
}

describe('shares of prepaid budgets', () => {
  it('serves all requests for 10 s without the store from a large budget', () => {
    const fleet = new ShareFleet(10_000_000);
    fleet.run(10, 16);
    fleet.storeAvailable = false;
    fleet.run(10, 16);
    expect(fleet.refused).to.equal(0);
  });

  it('serves requests without the store before any demand is known', () => {
    const fleet = new ShareFleet(10_000_000);
    fleet.storeAvailable = false;
    fleet.run(10, 16);
    expect(fleet.refused).to.equal(0);
  });

  it('lets one instance spend the shares of its peers without the store', () => {
    const fleet = new ShareFleet(10_000_000);
    fleet.run(10, 16);
    fleet.storeAvailable = false;
    fleet.run(8, 16, 1);
    expect(fleet.refused).to.equal(0);
  });

  it('spends between 97 % and 100 % of a budget that runs out', () => {
    const fleet = new ShareFleet(4_000_000);
    fleet.run(60, 16);
    const used = fleet.served * REQUEST_TOKENS;
    expect(used).to.be.within(0.97 * 4_000_000, 4_000_000);
  });

  it('holds at most two fifths of the remaining budget outside the store', () => {
    const fleet = new ShareFleet(10_000_000);
    fleet.run(20, 16);
    const used = fleet.served * REQUEST_TOKENS;
    const remaining = 10_000_000 - used;
    const held = totalTaken(fleet.page, ACCOUNT, 0) - used;
    expect(held / remaining).to.be.at.most(0.4);
  });

  it('keeps two thirds of the remaining budget in the store near its end, refusing nothing', () => {
    const fleet = new ShareFleet(10_000_000);
    // The remaining budget then lasts for about 10 seconds.
    fleet.run(52, 16);
    const used = fleet.served * REQUEST_TOKENS;
    const remaining = 10_000_000 - used;
    const held = totalTaken(fleet.page, ACCOUNT, 0) - used;
    expect(held / remaining).to.be.at.most(1 / 3);
    expect(fleet.refused).to.equal(0);
  });

  it('gives back tokens that are no longer in demand', () => {
    const fleet = new ShareFleet(10_000_000);
    fleet.run(10, 16);
    const before = fleet.instanceShares[7]?.availableTokens(ACCOUNT) ?? 0;
    fleet.run(20, 16, 2);
    const after = fleet.instanceShares[7]?.availableTokens(ACCOUNT) ?? 0;
    expect(after).to.be.below(before / 2);
  });

  it('serves requests at once when a budget that has run out is topped up', () => {
    const fleet = new ShareFleet(4_000_000);
    fleet.run(60, 16);
    const refusedBefore = fleet.refused;
    expect(refusedBefore).to.be.above(0);
    fleet.topUp(3_000_000);
    // The instances take tokens a moment after the first request.
    fleet.run(1, 16);
    const refusedAtFirst = fleet.refused;
    fleet.run(4, 16);
    expect(fleet.refused).to.equal(refusedAtFirst);
  });

  it('takes the whole budget of an account that was added, if it is needed', () => {
    const clock = new ManualClock(100_000);
    const shares = createShares(clock);
    const page = {...emptyPage(), isYoung: false};
    shares.recordPage({era: 0, revision: 1}, page);
    shares.adjustAwaitedTokens(ACCOUNT, 10 * REQUEST_TOKENS);
    const granted = () => 10 * REQUEST_TOKENS;
    const now = clock.now();
    // At first it may not know that the others get their tokens from it.
    shares.hasUrgentDemand({now, instances: 18, granted});
    const write = shares.planWrite([ACCOUNT], {now, instances: 1, granted});
    expect(write?.change.get(ACCOUNT)).to.equal(10 * REQUEST_TOKENS);
  });

  it('lets an instance without a relay take a request larger than an equal part', () => {
    const clock = new ManualClock(100_000);
    const shares = createShares(clock);
    const page = {...emptyPage(), isYoung: false};
    shares.recordPage({era: 0, revision: 1}, page);
    shares.adjustAwaitedTokens(ACCOUNT, 5 * REQUEST_TOKENS);
    const granted = () => 60 * REQUEST_TOKENS;
    const view = {now: clock.now(), instances: 75, drawers: 4, granted};
    const write = shares.planWrite([ACCOUNT], view);
    expect(write?.change.get(ACCOUNT)).to.be.at.least(5 * REQUEST_TOKENS);
    expect(write?.change.get(ACCOUNT)).to.be.at.most(15 * REQUEST_TOKENS);
  });

  it('may take its part of all that is left in a burst after a calm time', () => {
    const clock = new ManualClock(100_000);
    const shares = createShares(clock);
    const granted = () => 60 * REQUEST_TOKENS;
    const view = {now: clock.now(), instances: 4, granted};
    const page = {...emptyPage(), isYoung: false};
    shares.recordPage({era: 0, revision: 1}, page);
    shares.reserve(ACCOUNT, 0);
    const write = shares.planWrite([ACCOUNT], view);
    shares.recordPage({era: 0, revision: 2}, write?.page ?? page);
    clock.advance(10_000);
    const untaken = shares.untakenTokens(ACCOUNT, view);
    const takeable = shares.takeableTokens(ACCOUNT, view);
    expect(takeable).to.be.at.least(untaken / view.instances);
  });

  it('refills its share with the write for which requests wait', () => {
    const clock = new ManualClock(100_000);
    const shares = createShares(clock);
    const granted = () => 40 * REQUEST_TOKENS;
    const view = {now: clock.now(), instances: 1, granted};
    shares.recordPage({era: 0, revision: 1}, emptyPage());
    shares.adjustAwaitedTokens(ACCOUNT, 0);
    const first = shares.planWrite([ACCOUNT], view);
    expect(first).to.not.equal(undefined);
    shares.recordPage({era: 0, revision: 2}, first?.page ?? emptyPage());
    const held = shares.heldTokens(ACCOUNT);
    // All that is held is needed, and no more: the next request needs more.
    shares.adjustAwaitedTokens(ACCOUNT, held);
    const second = shares.planWrite([ACCOUNT], view);
    expect(second?.change.get(ACCOUNT) ?? 0).to.be.at.least(REQUEST_TOKENS);
  });

  it('neither takes nor calls exhausted what an entry of an earlier era may have taken', () => {
    const fleet = new ShareFleet(10_000_000);
    fleet.run(12, 16);
    const shares = fleet.instanceShares[0] as PrepaidShares;
    const view = fleet.view();
    const before = shares.untakenTokens(ACCOUNT, view);
    shares.recordPage({era: 1, revision: 1}, fleet.page);
    expect(shares.untakenTokens(ACCOUNT, view)).to.be.below(before);
    expect(shares.unclaimedTokens(ACCOUNT, view)).to.equal(before);
  });

  it('creates a bounded number of writes while the store does not answer', () => {
    const fleet = new ShareFleet(10_000_000);
    const [shares] = fleet.instanceShares;
    const pages = new Set<unknown>();
    for (let second = 0; second < 60; second++) {
      shares?.reserve(ACCOUNT, REQUEST_TOKENS);
      const write = shares?.planWrite([ACCOUNT], fleet.view());
      if (write !== undefined) {
        pages.add(write.page);
      }
    }
    expect(pages.size).to.be.within(1, 10);
  });
});
