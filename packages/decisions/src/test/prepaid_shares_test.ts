/**
 * Shares must keep requests served while the store is unavailable or the load
 * shifts between instances. They must also stay small enough that little of a
 * budget is lost when instances are killed.
 */
import {expect} from 'chai';
import {emptyPage, totalTaken} from '../lib/prepaid_page.js';
import {PrepaidShares} from '../lib/prepaid_shares.js';
import type {PrepaidPage} from '../lib/prepaid_page.js';
import type {ShareView} from '../lib/prepaid_shares.js';

const ACCOUNT = 'club';
const INSTANCES = 8;
const SECOND = 1_000;
const REQUEST_TOKENS = 10_000;

/** Instances with one budget, and a store that answers at once or never. */
class TestFleet {
  readonly instanceShares = Array.from(
    {length: INSTANCES},
    (_, index) =>
      new PrepaidShares({
        holder: `i${index}.0`,
        instance: `i${index}`,
        horizon: 12 * SECOND,
        maxHeldFraction: 0.65,
        lowBudgetTime: 30 * SECOND,
        idleFraction: 0.6,
      }),
  );
  page: PrepaidPage = emptyPage();
  storeAvailable = true;
  served = 0;
  refused = 0;
  private revision = 1;
  private now = 0;

  constructor(private readonly granted: number) {
    for (const share of this.instanceShares) {
      share.recordPage(this.revision, this.page);
    }
    this.writeShares();
  }

  /** Sends requests to the first `instances` instances in turn. */
  run(seconds: number, perSecond: number, instances = INSTANCES): void {
    for (let tick = 0; tick < seconds * 4; tick++) {
      this.now += SECOND / 4;
      this.instanceShares.forEach(share => share.sampleRates(this.now));
      for (let count = 0; count < perSecond / 4; count++) {
        this.request((tick + count) % instances);
      }
      this.writeShares();
    }
  }

  /** Lets each instance read the page and write it once. */
  writeShares(): void {
    for (const share of this.storeAvailable ? this.instanceShares : []) {
      share.recordPage(this.revision, this.page);
      const write = share.planWrite([ACCOUNT], this.view());
      if (write !== undefined) {
        this.revision += 1;
        this.page = write.page;
        share.recordPage(this.revision, write.page);
      }
    }
  }

  private request(instance: number): void {
    const share = this.instanceShares[instance];
    const peers = this.instanceShares.filter(other => other !== share);
    let reserved = share?.reserve(ACCOUNT, REQUEST_TOKENS) ?? false;
    for (const peer of peers) {
      if (!reserved) {
        share?.receiveFromPeer(
          ACCOUNT,
          peer.giveToPeer(ACCOUNT, REQUEST_TOKENS),
        );
        reserved = share?.reserve(ACCOUNT, REQUEST_TOKENS) ?? false;
      }
    }
    if (reserved) {
      share?.settle(ACCOUNT, REQUEST_TOKENS, REQUEST_TOKENS);
      this.served += 1;
    } else {
      this.refused += 1;
    }
  }

  private view(): ShareView {
    return {
      now: this.now,
      instances: INSTANCES,
      granted: () => this.granted,
    };
  }
}

describe('shares of prepaid budgets', () => {
  it('serves all requests for 10 s without the store from a large budget', () => {
    const fleet = new TestFleet(10_000_000);
    fleet.run(10, 16);
    fleet.storeAvailable = false;
    fleet.run(10, 16);
    expect(fleet.refused).to.equal(0);
  });

  it('serves requests without the store before any demand is known', () => {
    const fleet = new TestFleet(10_000_000);
    fleet.storeAvailable = false;
    fleet.run(10, 16);
    expect(fleet.refused).to.equal(0);
  });

  it('lets one instance spend the shares of its peers without the store', () => {
    const fleet = new TestFleet(10_000_000);
    fleet.run(10, 16);
    fleet.storeAvailable = false;
    fleet.run(8, 16, 1);
    expect(fleet.refused).to.equal(0);
  });

  it('spends between 97 % and 100 % of a budget that runs out', () => {
    const fleet = new TestFleet(4_000_000);
    fleet.run(60, 16);
    const used = fleet.served * REQUEST_TOKENS;
    expect(used).to.be.within(0.97 * 4_000_000, 4_000_000);
  });

  it('holds at most two fifths of the remaining budget outside the store', () => {
    const fleet = new TestFleet(10_000_000);
    fleet.run(20, 16);
    const used = fleet.served * REQUEST_TOKENS;
    const remaining = 10_000_000 - used;
    const held = totalTaken(fleet.page, ACCOUNT) - used;
    expect(held / remaining).to.be.at.most(0.4);
  });

  it('keeps two thirds of the remaining budget in the store near its end, refusing nothing', () => {
    const fleet = new TestFleet(10_000_000);
    // The remaining budget then lasts for about 10 seconds.
    fleet.run(52, 16);
    const used = fleet.served * REQUEST_TOKENS;
    const remaining = 10_000_000 - used;
    const held = totalTaken(fleet.page, ACCOUNT) - used;
    expect(held / remaining).to.be.at.most(1 / 3);
    expect(fleet.refused).to.equal(0);
  });

  it('gives back tokens that are no longer in demand', () => {
    const fleet = new TestFleet(10_000_000);
    fleet.run(10, 16);
    const before = fleet.instanceShares[7]?.availableTokens(ACCOUNT) ?? 0;
    fleet.run(20, 16, 2);
    const after = fleet.instanceShares[7]?.availableTokens(ACCOUNT) ?? 0;
    expect(after).to.be.below(before / 2);
  });
});
