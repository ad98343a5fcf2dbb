/** Sizes of shares under their load patterns. */
import {expect} from 'chai';
import {emptyPage, takenOf} from '../lib/prepaid_page.js';
import {PrepaidShares} from '../lib/prepaid_shares.js';
import type {PrepaidPage} from '../lib/prepaid_page.js';
import type {ShareView} from '../lib/prepaid_shares.js';

const ACCOUNT = 'club';
const INSTANCES = 8;
const SECOND = 1_000;
const REQUEST_TOKENS = 10_000;

/** All instances and the store, which answers at once or not at all. */
class SmallFleet {
  readonly shares = Array.from(
    {length: INSTANCES},
    (_, index) =>
      new PrepaidShares({
        holder: `i${index}.0`,
        instance: `i${index}`,
        horizon: 12 * SECOND,
        heldPart: 0.65,
        scarceSpan: 30 * SECOND,
        idlePart: 0.6,
      }),
  );
  page: PrepaidPage = emptyPage();
  storeUp = true;
  served = 0;
  refused = 0;
  private revision = 1;
  private now = 0;

  constructor(private readonly granted: number) {
    for (const share of this.shares) {
      share.observe(this.revision, this.page);
    }
    this.supply();
  }

  /** Runs for some seconds with requests at the first instances. */
  run(seconds: number, perSecond: number, instances = INSTANCES): void {
    for (let tick = 0; tick < seconds * 4; tick++) {
      this.now += SECOND / 4;
      this.shares.forEach(share => share.sample(this.now));
      for (let count = 0; count < perSecond / 4; count++) {
        this.request((tick + count) % instances);
      }
      this.supply();
    }
  }

  /** Lets each instance write once. */
  supply(): void {
    for (const share of this.storeUp ? this.shares : []) {
      share.observe(this.revision, this.page);
      const write = share.plan([ACCOUNT], this.view());
      if (write !== undefined) {
        this.revision += 1;
        this.page = write.page;
        share.observe(this.revision, write.page);
      }
    }
  }

  private request(instance: number): void {
    const share = this.shares[instance];
    const peers = this.shares.filter(other => other !== share);
    let reserved = share?.reserve(ACCOUNT, REQUEST_TOKENS) ?? false;
    for (const peer of peers) {
      if (!reserved) {
        share?.receive(ACCOUNT, peer.give(ACCOUNT, REQUEST_TOKENS));
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
  it('outage: a plentiful budget lasts 10 s without the store', () => {
    const fleet = new SmallFleet(10_000_000);
    fleet.run(10, 16);
    fleet.storeUp = false;
    fleet.run(10, 16);
    expect(fleet.refused).to.equal(0);
  });

  it('early outage: shares exist before demand is known', () => {
    const fleet = new SmallFleet(10_000_000);
    fleet.storeUp = false;
    fleet.run(10, 16);
    expect(fleet.refused).to.equal(0);
  });

  it('shift: one instance spends what the others hold', () => {
    const fleet = new SmallFleet(10_000_000);
    fleet.run(10, 16);
    fleet.storeUp = false;
    fleet.run(8, 16, 1);
    expect(fleet.refused).to.equal(0);
  });

  it('budget near its end: 97 in 100 of it are used', () => {
    const fleet = new SmallFleet(4_000_000);
    fleet.run(60, 16);
    const used = fleet.served * REQUEST_TOKENS;
    expect(used).to.be.within(0.97 * 4_000_000, 4_000_000);
  });

  it('kills: what all hold together is at most two fifths of the rest', () => {
    const fleet = new SmallFleet(10_000_000);
    fleet.run(20, 16);
    const used = fleet.served * REQUEST_TOKENS;
    const rest = 10_000_000 - used;
    const held = takenOf(fleet.page, ACCOUNT) - used;
    expect(held / rest).to.be.at.most(0.4);
  });

  it('kills near the end of a budget: most of the rest lies in the store', () => {
    const fleet = new SmallFleet(10_000_000);
    // What is left after it lasts 10 seconds.
    fleet.run(52, 16);
    const used = fleet.served * REQUEST_TOKENS;
    const rest = 10_000_000 - used;
    const held = takenOf(fleet.page, ACCOUNT) - used;
    expect(held / rest).to.be.at.most(1 / 3);
    expect(fleet.refused).to.equal(0);
  });

  it('gives back what it holds without demand', () => {
    const fleet = new SmallFleet(10_000_000);
    fleet.run(10, 16);
    const before = fleet.shares[7]?.available(ACCOUNT) ?? 0;
    fleet.run(20, 16, 2);
    const after = fleet.shares[7]?.available(ACCOUNT) ?? 0;
    expect(after).to.be.below(before / 2);
  });
});
