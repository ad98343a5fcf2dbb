/** Keeps shares at their size: refills them, and passes on what is idle. */
import {GiveState} from './search.js';
import {unallocated} from './ledger.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {Account} from './account.js';
import type {Books} from './books.js';
import type {Millis} from './clock.js';
import type {Supply} from './supply.js';

/** Wait before a refill that nobody needs yet. */
const REFILL_DELAY: Millis = 500;

/** A budget with less than this part left takes back idle shares. */
const SCARCE_PART = 0.25;

/** Shares above this multiple of the target are idle. */
const IDLE_MULTIPLE = 3;

/** The upkeep of shares of one wallet; internal to it. */
export class Upkeep {
  constructor(
    private readonly books: Books,
    private readonly supply: Supply,
  ) {}

  /** Takes samples of the spending rates and acts upon them. */
  sample(now: Millis): void {
    for (const [budget, account] of this.books.accounts) {
      account.sample(now);
      this.refill(budget, now);
      this.returnIdle(budget, account, now);
    }
  }

  /** Gets more before it is needed. */
  private refill(budget: string, now: Millis): void {
    const want = this.books.wantOf(budget);
    const paused = now < (this.books.noRefill.get(budget) ?? 0);
    const late =
      paused || this.books.isScarce(budget) || !this.books.room(budget);
    if (want === undefined || late) {
      return;
    }
    const to = this.books.homeOf(budget);
    if (to === undefined) {
      this.books.table.dueFor(budget, now + REFILL_DELAY);
    } else {
      const tokens = Math.ceil(want.desired);
      this.books.out.push({kind: WalletEffectKind.SendAsk, to, budget, tokens});
    }
  }

  /** Passes on what this entry does not need. */
  private returnIdle(budget: string, account: Account, now: Millis): void {
    const record = this.books.table.view(budget)?.budgets[budget];
    if (record === undefined || !this.books.rule.asksPeers) {
      return;
    }
    const {cap, horizon} = this.books.settings.limits;
    const most = record.granted * cap;
    const scarce = unallocated(record) < record.granted * SCARCE_PART;
    const target = IDLE_MULTIPLE * account.spendingRate() * horizon;
    const keep = scarce ? Math.min(most, target) : most;
    const extra = Math.floor(account.available() - keep);
    if (extra <= 0 || this.books.line.has(budget)) {
      return;
    }
    const home = this.books.homeOf(budget);
    if (home !== undefined) {
      this.supply.give(home, budget, extra, GiveState.Short);
      return;
    }
    account.giveBack(extra);
    this.books.dirty.add(budget);
    this.books.table.dueFor(budget, now + REFILL_DELAY);
  }
}
