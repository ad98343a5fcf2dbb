/**
 * The shares of prepaid budgets that one instance holds, and the writes to the
 * store that keep each share at its target size. A share is the number of
 * tokens that the instance has taken from a budget in advance, so that it can
 * admit requests without a call to the store. The sizes are chosen for these
 * situations: one account sends many times its usual traffic; the store is
 * unavailable for many seconds; a budget runs out.
 */
import {AccountShare} from './account_share.js';
import {STATEMENT_INTERVAL} from './budget_reading.js';
import {PageEntries} from './page_entries.js';
import {Predecessors} from './predecessors.js';
import {
  applyUpdate,
  knownTaken,
  takenByHolder,
  totalTaken,
} from './prepaid_page.js';
import {prepaidShareSize} from './share_size.js';
import {MAX_HISTORY_LOSS} from './take_ceilings.js';
import {TakeLimits} from './take_limits.js';
import type {MachineClock, Millis} from '../base/clock.js';
import type {BudgetReading} from './budget_reading.js';
import type {PageWrite} from './page_entries.js';
import type {PageChange, PrepaidPage} from './prepaid_page.js';
import type {SharePolicy} from './share_policy.js';
import type {StorePosition} from '../fleet/store_position.js';
import type {AccountBudget} from './take_limits.js';
import type {Witnesses} from './witnesses.js';
import {setTokens} from './token_counts.js';
import type {TokenCounts} from './token_counts.js';

/** Tokens of all accounts of one process, by their state. */
export interface TokenTotals {
  /** Taken from the budgets, according to the known pages. */
  taken: number;
  spent: number;
  reserved: number;
  /** Given to peers, less those received from them. */
  given: number;
}

/** Settings that identify the instance and determine the size of its shares. */
export interface ShareSettings extends SharePolicy {
  /** Identity of this process; a restarted instance has another one. */
  holder: string;
  /** Name of the machine; it stays the same when the process restarts. */
  instance: string;
  clock: MachineClock;
  /** Peers that bear witness of how long this process has run. */
  witnesses: Witnesses;
  /** Returns the era of the store; see `Store.era`. */
  storeEra: () => number;
}

/** State of the fleet that the size of a share depends on. */
export interface ShareView {
  now: Millis;
  /** Number of instances that may be running, at least 1. */
  instances: number;
  /**
   * Number of instances that take tokens from the store while each follower has
   * a relay; undefined if all do.
   */
  drawers?: number;
  /** Tokens granted to an account in total, spent ones included. */
  granted(account: string): number;
}

/** A share is refilled when it falls below this fraction of its target size. */
const REFILL_THRESHOLD = 0.8;

/** A share is reduced when it exceeds this multiple of its target size. */
const SURPLUS_MULTIPLE = 1.4;

/** Minimum time between two samples of the spending rates. */
const RATE_SAMPLE_INTERVAL: Millis = 1_000;

/** The shares that one instance holds of the accounts on one page. */
export class PrepaidShares {
  private readonly shares = new Map<string, AccountShare>();
  private readonly entries: PageEntries;
  private readonly takeLimits: TakeLimits;
  private lastSampleAt: Millis = 0;
  private readonly predecessors: Predecessors;
  /** When the page was first known. */
  private pageKnownSince: Millis = Infinity;

  constructor(private readonly settings: ShareSettings) {
    const {holder, clock, witnesses} = settings;
    this.entries = new PageEntries(holder, clock, witnesses);
    this.predecessors = new Predecessors(settings, this.entries);
    this.takeLimits = new TakeLimits(settings, this.entries, this.predecessors);
  }

  /** Whether a page was read or written. */
  hasPage(): boolean {
    return this.entries.position().revision >= 0;
  }

  /**
   * Whether the page must be read before it is written: it is not known, it was
   * read too long ago, or the store has gone back since.
   */
  mustRead(): boolean {
    return this.entries.isStale() || this.hasStoreGoneBack();
  }

  /** Whether the store is known to have gone back since the known page. */
  hasStoreGoneBack(): boolean {
    return this.settings.storeEra() > this.entries.position().era;
  }

  /** Whether this process has an entry in the page, or had one. */
  hasEntry(): boolean {
    return this.entries.hasEntry();
  }

  /**
   * Whether the store has lost this process's entry and has not got it again.
   */
  hasLostEntry(): boolean {
    return this.entries.hasLostEntry();
  }

  /**
   * Records that no earlier process of this instance runs any more. Until then
   * all tokens of earlier ones count as used.
   */
  recordPredecessorsEnded(): void {
    this.predecessors.recordEnded();
  }

  /** Records a page that was read or written. Older pages are ignored. */
  recordPage(position: StorePosition, page: PrepaidPage): void {
    const isFirst = !this.hasPage();
    this.entries.recordPage(position, page);
    if (isFirst && this.hasPage()) {
      this.pageKnownSince = this.now();
    }
  }

  /** Returns the tokens of an account that may be reserved now. */
  availableTokens(account: string): number {
    const usable = this.entries.usableTokens(account);
    return usable - this.shareOf(account).usedTokens();
  }

  /**
   * Returns the tokens of an account that this process holds unused, those that
   * it may not use yet included.
   */
  heldTokens(account: string): number {
    const taken = this.entries.takenTokens(account);
    return taken - this.shareOf(account).usedTokens();
  }

  /** Reserves tokens of the share; returns false if it holds too few. */
  reserve(account: string, tokens: number): boolean {
    const share = this.shareOf(account);
    share.recordDemand(tokens);
    if (this.availableTokens(account) < tokens) {
      return false;
    }
    share.reserve(tokens);
    return true;
  }

  /** Ends a reservation of which `used` tokens were consumed. */
  settle(account: string, reserved: number, used: number): void {
    this.shareOf(account).settle(reserved, used);
  }

  /**
   * Ends a reservation that was made on behalf of another instance: its tokens
   * now count as given to that instance.
   */
  transferReservation(account: string, tokens: number): void {
    this.shareOf(account).transferReservation(tokens);
  }

  /**
   * Adds to the tokens that waiting requests need. A negative number means that
   * a request no longer waits.
   */
  adjustAwaitedTokens(account: string, tokens: number): void {
    this.shareOf(account).adjustAwaitedTokens(tokens);
  }

  /** Returns the tokens that waiting requests need. */
  awaitedTokens(account: string): number {
    return this.shareOf(account).awaitedTokens();
  }

  /**
   * Gives a peer up to `tokens` tokens that no waiting request of this instance
   * needs; returns how many.
   */
  giveToPeer(account: string, tokens: number): number {
    const share = this.shareOf(account);
    const spare = Math.floor(
      this.availableTokens(account) - share.awaitedTokens(),
    );
    const given = Math.max(0, Math.min(tokens, spare));
    share.give(given);
    return given;
  }

  /**
   * Adds tokens that a peer gave. A negative number means tokens that were
   * handed over to a peer.
   */
  receiveFromPeer(account: string, tokens: number): void {
    this.shareOf(account).give(-tokens);
  }

  /**
   * Returns how many tokens an instance that is supplied by a relay lacks
   * (positive) or can spare (negative) if its share is to last for `horizon` at
   * the current spending rate. Such an instance does not write to the store.
   */
  imbalance(account: string, horizon: Millis): number {
    const available = this.availableTokens(account);
    return this.shareOf(account).imbalance(available, horizon);
  }

  /**
   * Returns how many tokens this instance is to give back to its relay now; it
   * then gives them with `giveToPeer`.
   */
  takeSurplus(account: string, horizon: Millis, now: Millis): number {
    const available = this.availableTokens(account);
    return this.shareOf(account).takeSurplus(available, horizon, now);
  }

  /** Returns the accounts of which this instance has a share, even if empty. */
  accounts(): string[] {
    return [...this.shares.keys()];
  }

  /** Returns the sums over all accounts. For metrics. */
  totals(): TokenTotals {
    const totals: TokenTotals = {taken: 0, spent: 0, reserved: 0, given: 0};
    for (const [account, share] of this.shares) {
      totals.taken += takenByHolder(
        this.entries.page(),
        this.settings.holder,
        account,
      );
      totals.spent += share.spentTokens();
      totals.reserved += share.reservedTokens();
      totals.given += share.givenTokens();
    }
    return totals;
  }

  /** Returns the tokens of an account that no instance has taken. */
  untakenTokens(account: string, view: ShareView): number {
    return view.granted(account) - this.totalTaken(account);
  }

  /** Returns how many of the untaken tokens this instance may take now. */
  takeableTokens(account: string, view: ShareView): number {
    const untaken = Math.max(0, this.untakenTokens(account, view));
    return Math.min(untaken, this.maxTake(account, view));
  }

  /**
   * Returns the tokens of an account that no instance is known to have taken.
   * They are more than the untaken ones while the store may have lost entries:
   * these may yet turn out not to have been taken.
   */
  unclaimedTokens(account: string, view: ShareView): number {
    return view.granted(account) - knownTaken(this.entries.page(), account);
  }

  /**
   * Returns what is known of a budget. Takes time linear in the entries of the
   * page, that is, in the instances that take tokens from the store.
   */
  reading(account: string, view: ShareView): BudgetReading {
    const {inTouch, silent} = this.entries.unusedByOthers(account);
    return {
      granted: view.granted(account),
      unclaimed: this.unclaimedTokens(account, view),
      // As on the known page: a return that may not have taken effect yet is
      // not among the unclaimed tokens either.
      heldHere: this.ownTaken(account) - this.shareOf(account).usedTokens(),
      heldByOthers: inTouch,
      heldBySilent: silent,
      reservedHere: this.shareOf(account).reservedTokens(),
    };
  }

  /** Samples the spending rates, unless the last sample is too recent. */
  sampleRates(now: Millis): void {
    const elapsed = now - this.lastSampleAt;
    if (elapsed < RATE_SAMPLE_INTERVAL) {
      return;
    }
    this.lastSampleAt = now;
    for (const share of this.shares.values()) {
      share.rate().sample(elapsed);
    }
  }

  /** Whether requests wait for tokens that the store may have. */
  hasUrgentDemand(view: ShareView): boolean {
    for (const [account, share] of this.shares) {
      const awaited = share.awaitedTokens();
      const available = Math.max(0, this.availableTokens(account));
      if (awaited <= available) {
        continue;
      }
      const canTake =
        this.takeableTokens(account, view) > 0 ||
        (this.untakenTokens(account, view) > 0 &&
          !this.entries.hasCeiling(account));
      const canBeSupplied = canTake || this.heldTokens(account) > available;
      if (canBeSupplied) {
        return true;
      }
    }
    return false;
  }

  /** Returns the write that brings the shares to their target sizes, if any. */
  planWrite(
    accounts: Iterable<string>,
    view: ShareView,
  ): PageWrite | undefined {
    if (this.mustRead()) {
      return undefined;
    }
    const repeated = this.entries.writeToRepeat();
    if (repeated !== undefined) {
      return repeated;
    }
    const change = this.changeToTarget(accounts, view);
    return this.isChangeDue(change)
      ? this.createWrite(change, view)
      : undefined;
  }

  /** Whether the shares need a write to reach their target sizes. */
  isWriteDue(accounts: Iterable<string>, view: ShareView): boolean {
    return this.isChangeDue(this.changeToTarget(accounts, view));
  }

  /** Whether a write with this change is needed, even if that is empty. */
  private isChangeDue(change: PageChange): boolean {
    return (
      change.size > 0 ||
      this.entries.mustConfirm() ||
      this.entries.mustState(STATEMENT_INTERVAL) ||
      this.entries.hasLostEntry() ||
      [...this.shares.keys()].some(account => !this.entries.hasCeiling(account))
    );
  }

  /** Returns the change that brings the shares to their target sizes. */
  private changeToTarget(
    accounts: Iterable<string>,
    view: ShareView,
  ): PageChange {
    const change = new Map<string, number>();
    for (const account of accounts) {
      const tokens = this.tokensToTake(account, view);
      if (tokens !== 0) {
        change.set(account, tokens);
      }
    }
    return change;
  }

  /** Returns the write that gives back all unreserved tokens, if any. */
  planReturn(): PageWrite | undefined {
    if (this.mustRead()) {
      return undefined;
    }
    const change = this.spareTokens(this.accounts());
    return change.size === 0 ? undefined : this.createWrite(change, undefined);
  }

  /** Returns the change that gives back all tokens that are not reserved. */
  private spareTokens(accounts: Iterable<string>): PageChange {
    const change = new Map<string, number>();
    for (const account of accounts) {
      const spare = Math.floor(this.heldTokens(account));
      if (spare > 0) {
        change.set(account, -spare);
      }
    }
    return change;
  }

  /**
   * Whether an instance that gets its tokens from a relay, and so writes nothing
   * else, must write its entry: that has stated unused tokens for `interval`.
   */
  mustState(interval: Millis): boolean {
    return this.entries.mustState(interval);
  }

  /**
   * Returns the write of such an instance: it gives back the accounts of which
   * no request of its own waits for tokens, so that its entry states nothing
   * unused of them from then on.
   */
  planStatement(): PageWrite | undefined {
    const accounts = this.accounts().filter(
      account => this.awaitedTokens(account) === 0,
    );
    return this.mustRead()
      ? undefined
      : this.createWrite(this.spareTokens(accounts), undefined);
  }

  /** Forgets a write that is known to have had no effect. */
  discardWrite(write: PageWrite): void {
    this.entries.discardWrite(write);
  }

  /** @param view undefined if nothing more is to be taken. */
  private createWrite(
    change: PageChange,
    view: ShareView | undefined,
  ): PageWrite {
    const {holder, instance} = this.settings;
    const ceilings = this.ceilingsAfter(change, view);
    const closed = this.predecessors.closable();
    const page = applyUpdate(this.entries.page(), {
      holder,
      entry: {
        instance,
        used: this.usedByAccount(),
        limits: this.limitsAfter(change),
        confirmedAt: this.entries.nextConfirmedAt(),
        witnesses: this.entries.nextWitnesses(),
        ceilings,
        durableCeilings: this.durableCeilings(ceilings),
        era: this.entries.position().era,
      },
      change,
      closed,
    });
    const isOld = this.now() - this.pageKnownSince >= MAX_HISTORY_LOSS;
    const write: PageWrite = {
      expectedRevision: this.entries.position().revision,
      era: this.entries.position().era,
      page: {...page, isYoung: page.isYoung && !isOld},
      change,
      closed,
    };
    this.entries.recordWrite(write);
    return write;
  }

  /** Tokens spent, reserved, or given to peers on balance, by account. */
  private usedByAccount(): TokenCounts {
    const used: TokenCounts = {};
    for (const [account, share] of this.shares) {
      setTokens(used, account, share.usedTokens());
    }
    return used;
  }

  /** Returns the limits to write with a change of the taken tokens. */
  private limitsAfter(change: PageChange): TokenCounts {
    const limits: TokenCounts = {};
    for (const [account, share] of this.shares) {
      const held = this.heldTokens(account) + (change.get(account) ?? 0);
      setTokens(limits, account, share.limit(held));
    }
    return limits;
  }

  /** Ceilings to write with a change of the taken tokens. */
  private ceilingsAfter(
    change: PageChange,
    view: ShareView | undefined,
  ): TokenCounts {
    const ceilings: TokenCounts = {};
    for (const [account, share] of this.shares) {
      const added = change.get(account) ?? 0;
      const takenBefore = this.ownTaken(account);
      const taken = takenBefore + added;
      // A write that returns tokens may have no effect, which leaves them here.
      setTokens(ceilings, account, Math.max(takenBefore, taken));
      if (view !== undefined) {
        const budget = this.accountBudget(account, view);
        const ceiling = this.takeLimits.nextCeiling(
          account,
          taken,
          {
            rate: share.rate().longTerm(),
            largestReservation: share.largestReservation(),
          },
          {...budget, untaken: budget.untaken - added},
        );
        setTokens(ceilings, account, Math.max(ceiling, takenBefore));
      }
    }
    return ceilings;
  }

  /** Ceilings for the next process, none higher than those stated with them. */
  private durableCeilings(ceilings: TokenCounts): TokenCounts {
    return Object.fromEntries(
      Object.entries(ceilings).map(([account, ceiling]) => [
        account,
        Math.min(ceiling, this.takeLimits.durableCeiling(account)),
      ]),
    );
  }

  /** Tokens that may be taken now in addition, however many are untaken. */
  private maxTake(account: string, view: ShareView): number {
    const budget = this.accountBudget(account, view);
    return this.takeLimits.maxTake(account, this.ownTaken(account), budget);
  }

  private accountBudget(account: string, view: ShareView): AccountBudget {
    return {
      granted: view.granted(account),
      untaken: this.untakenTokens(account, view),
      instances: Math.max(1, view.instances),
      drawers: Math.max(1, view.drawers ?? view.instances),
    };
  }

  /** Tokens of an account that this process has taken, by the known page. */
  private ownTaken(account: string): number {
    return takenByHolder(this.entries.page(), this.settings.holder, account);
  }

  /** The most tokens of an account that all processes can have taken. */
  private totalTaken(account: string): number {
    const {era} = this.entries.position();
    return totalTaken(this.entries.page(), account, era);
  }

  private now(): Millis {
    return this.settings.clock.machineTime().monotonic;
  }

  /** Tokens to take from the store (positive) or to return (negative). */
  private tokensToTake(account: string, view: ShareView): number {
    const share = this.shareOf(account);
    // What is left when the waiting requests are served; negative if they need
    // more than is held.
    const held = this.heldTokens(account) - share.awaitedTokens();
    const untaken = Math.max(0, this.untakenTokens(account, view));
    const granted = view.granted(account);
    const takeable = this.takeableTokens(account, view);
    const instanceFraction = this.instanceFraction(account, view);
    const remaining = Math.max(0, untaken + held);
    const size = prepaidShareSize(this.settings, share.rate(), {
      remaining,
      granted,
      instanceFraction,
      instances: view.instances,
    });
    if (held < size * REFILL_THRESHOLD || held < 0) {
      return Math.floor(Math.min(Math.ceil(size - held), takeable));
    }
    const largest = share.largestReservation();
    if (held > size * SURPLUS_MULTIPLE + largest) {
      return -Math.floor(held - size - largest);
    }
    return 0;
  }

  /**
   * Fraction of all taken tokens that this instance has taken, but at least an
   * equal part.
   */
  private instanceFraction(account: string, view: ShareView): number {
    const ownTaken = this.ownTaken(account);
    const allTaken = this.totalTaken(account);
    const equalFraction = 1 / Math.max(1, view.instances);
    return allTaken > 0
      ? Math.max(equalFraction, ownTaken / allTaken)
      : equalFraction;
  }

  private shareOf(account: string): AccountShare {
    let share = this.shares.get(account);
    if (share === undefined) {
      share = new AccountShare();
      this.shares.set(account, share);
    }
    return share;
  }
}
