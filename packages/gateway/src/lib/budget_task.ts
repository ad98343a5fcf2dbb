/** Reservations of prepaid tokens, and the writes that supply them. */
import {partitionIndex} from '@citrontrestle/decisions';
import {BudgetPage} from './budget_page.js';
import type {Store} from './ports.js';
import type {Clock, Millis, ShareView} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Answer to a reservation. */
export enum BudgetAnswer {
  Reserved = 'reserved',
  /** What is left does not cover the request. */
  Exhausted = 'exhausted',
  /** Nobody could be asked, or what is left lies with others. */
  Unavailable = 'unavailable',
}

/** What the task needs of its instance. */
export interface BudgetOwner {
  granted(account: string): number;
  accounts(): string[];
  instances(): number;
  /** Whether a relay that lives supplies this instance. */
  relayed(): boolean;
  /** Asks the relay for tokens; false if there is none. */
  askRelay(account: string, tokens: number, ahead: number): boolean;
  /** Gives tokens back to the relay; false if there is none. */
  giveRelay(account: string, tokens: number): boolean;
  /** Asks the peers for tokens. */
  ask(account: string, tokens: number): void;
  /** Gives tokens to a peer; false if there is none. */
  handOver(account: string, tokens: number): boolean;
  /** Calls back after a time. */
  after(span: Millis, callback: () => void): void;
}

/** Key prefix of the pages in the store. */
const PAGE_PREFIX = 'citrontrestle/prepaid/';

/** Number of pages; an account's name decides on its page. */
const PAGES = 2;

/** Time that a share lasts without the store. */
const HORIZON: Millis = 12_000;

/** Most that all instances hold, as a part of what nobody holds. */
const HELD_PART = 0.65;

/** Time to the end of a budget from which on less is held. */
const SCARCE_SPAN: Millis = 20_000;

/** Part of a full budget that all instances hold without any demand. */
const IDLE_PART = 0.6;

/** Interval of the upkeep of shares. */
const UPKEEP_INTERVAL: Millis = 250;

/** Least time between two writes of a page that nobody waits for. */
const CALM_INTERVAL: Millis = 1_200;

/** Longest wait of a request for tokens. */
const MOST_WAIT: Millis = 120;

/** Timers may fire this much before a clock shows that their time is over. */
const TIMER_SLACK: Millis = 1;

/** Time for the store to answer before the peers are asked too. */
const STORE_WAIT: Millis = 12;

/** Time for the peers to answer before the request is refused. */
const PEER_WAIT: Millis = 25;

/** Age at which a page is read again before a budget counts as ended. */
const CONFIRM_INTERVAL: Millis = 500;

/** Time after the start in which peers are found before shares are taken. */
const FIRST_CALM: Millis = 1_500;

/** Time that a share lasts which a relay fills up. */
const FOLLOWER_HORIZON: Millis = 3_000;

/** Most that a relay gives ahead of need, as a part of what it has. */
const AHEAD_PART = 0.2;

/** Time for the relay to answer before the peers are asked too. */
const RELAY_WAIT: Millis = 60;

/** What an instance that follows this one got. */
export interface SuppliedTokens {
  given: number;
  answer: BudgetAnswer;
}

interface Waiter {
  account: string;
  tokens: number;
  since: Millis;
  asked: boolean;
  /** Whether the relay was asked. */
  atRelay: boolean;
  /** What the relay said instead of giving tokens. */
  refusal: BudgetAnswer | undefined;
  resolve(answer: BudgetAnswer): void;
}

/** The budgets of one instance. */
export class BudgetTask {
  private readonly pages: BudgetPage[] = [];
  private waiters: Waiter[] = [];
  private timer: NodeJS.Timeout | undefined;
  private readonly startedAt: Millis;
  private leaving = false;

  constructor(
    holder: string,
    instance: string,
    store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: BudgetOwner,
  ) {
    this.startedAt = clock.now();
    for (let index = 0; index < PAGES; index++) {
      const key = `${PAGE_PREFIX}${index}`;
      const settings = {
        holder,
        instance,
        horizon: HORIZON,
        maxHeldFraction: HELD_PART,
        lowBudgetTime: SCARCE_SPAN,
        idleFraction: IDLE_PART,
      };
      const changed = () => this.serve();
      this.pages.push(
        new BudgetPage(key, settings, store, clock, log, changed),
      );
    }
  }

  /** Begins the upkeep. */
  start(): void {
    this.timer = setInterval(() => this.upkeep(), UPKEEP_INTERVAL);
    this.upkeep();
  }

  /** Ends the upkeep. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Reserves tokens for a request. */
  reserve(
    account: string,
    tokens: number,
    asksPeers = true,
  ): Promise<BudgetAnswer> {
    const {shares} = this.pageOf(account);
    if (shares.reserve(account, tokens)) {
      return Promise.resolve(BudgetAnswer.Reserved);
    }
    shares.adjustAwaited(account, tokens);
    return new Promise(resolve => {
      const since = this.clock.now();
      const missing = tokens - Math.max(0, shares.availableTokens(account));
      const ahead = Math.max(0, shares.imbalance(account, FOLLOWER_HORIZON));
      const atRelay = asksPeers && this.owner.askRelay(account, missing, ahead);
      this.waiters.push({
        account,
        tokens,
        since,
        asked: !asksPeers,
        atRelay,
        refusal: undefined,
        resolve,
      });
      this.serve();
      const first = atRelay ? RELAY_WAIT : STORE_WAIT;
      this.owner.after(first + TIMER_SLACK, () => this.serve());
      this.owner.after(MOST_WAIT + TIMER_SLACK, () => this.serve());
    });
  }

  /** Takes tokens for an instance that follows this one. */
  async supply(
    account: string,
    tokens: number,
    {ahead, asksPeers}: {ahead: number; asksPeers: boolean},
  ): Promise<SuppliedTokens> {
    const {shares} = this.pageOf(account);
    if (tokens > 0) {
      const answer = await this.reserve(account, tokens, asksPeers);
      if (answer !== BudgetAnswer.Reserved) {
        return {given: 0, answer};
      }
      shares.transferReservation(account, tokens);
    }
    const most = Math.floor(shares.availableTokens(account) * AHEAD_PART);
    const extra = shares.giveToPeer(
      account,
      Math.min(ahead, Math.max(0, most)),
    );
    return {given: tokens + extra, answer: BudgetAnswer.Reserved};
  }

  /** Whether the store served the last call for an account's page. */
  reachesStore(account: string): boolean {
    const page = this.pageOf(account);
    return page.shares.knownRevision() >= 0 && !page.isFailing();
  }

  /** Takes the relay's word that it has not got some tokens. */
  refused(account: string, tokens: number, exhausted: boolean): void {
    const {Exhausted, Unavailable} = BudgetAnswer;
    for (const waiter of this.waiters) {
      if (waiter.account === account && waiter.tokens >= tokens) {
        waiter.refusal = exhausted ? Exhausted : Unavailable;
      }
    }
    this.serve();
  }

  /** Ends a reservation with what was used of it. */
  settle(account: string, reserved: number, used: number): void {
    this.pageOf(account).shares.settle(account, reserved, used);
    if (this.waiters.length > 0) {
      this.serve();
    }
  }

  /** Gives tokens to a peer that asks. */
  give(account: string, tokens: number): number {
    return this.pageOf(account).shares.giveToPeer(account, tokens);
  }

  /** Takes tokens that a peer gave. */
  receive(account: string, tokens: number): void {
    this.pageOf(account).shares.receiveFromPeer(account, tokens);
    this.serve();
  }

  /** The grants may have risen. */
  granted(): void {
    this.upkeep();
    this.serve();
  }

  /**
   * Gives back all that is not in use, as before a planned stop: to the store,
   * or to the peers if the store is away.
   */
  async returnShares(): Promise<void> {
    this.leaving = true;
    this.stop();
    await Promise.all(this.pages.map(page => page.close()));
    for (const account of this.owner.accounts()) {
      const {shares} = this.pageOf(account);
      const spare = Math.floor(shares.availableTokens(account));
      if (spare > 0 && this.owner.handOver(account, spare)) {
        shares.receiveFromPeer(account, -spare);
        this.log.info('budget.handed-over', {account, tokens: spare});
      }
    }
  }

  /** Tokens that may be reserved, by account; for logs. */
  available(account: string): number {
    return this.pageOf(account).shares.availableTokens(account);
  }

  /** Tokens that nobody has taken, as last known; for logs. */
  untaken(account: string): number {
    return this.pageOf(account).shares.untakenTokens(account, this.view());
  }

  private upkeep(): void {
    const now = this.clock.now();
    const relayed = this.owner.relayed();
    for (const page of this.pages) {
      page.shares.sampleRates(now);
      if (relayed) {
        this.giveBack(page);
      }
      this.tend(page);
    }
  }

  /** Gives what a follower does not need soon back to its relay. */
  private giveBack({shares}: BudgetPage): void {
    for (const account of shares.accounts()) {
      const surplus = -shares.imbalance(account, FOLLOWER_HORIZON);
      const given = surplus > 0 ? shares.giveToPeer(account, surplus) : 0;
      if (given > 0) {
        this.owner.giveRelay(account, given);
      }
    }
  }

  /** Reads or writes a page if that is due. */
  private tend(page: BudgetPage): void {
    const now = this.clock.now();
    if (this.leaving || !page.free() || this.owner.relayed()) {
      return;
    }
    if (page.shares.knownRevision() < 0) {
      void page.read();
      return;
    }
    const view = this.view();
    const urgent = page.shares.hasUrgentDemand(view);
    if (this.unsure(page, now) && !urgent) {
      void page.read();
      return;
    }
    const early = now - this.startedAt < FIRST_CALM;
    const calm = now - page.wroteAt > CALM_INTERVAL && !early;
    if (!urgent && !calm) {
      return;
    }
    const accounts = this.owner
      .accounts()
      .filter(account => this.pageOf(account) === page);
    const write = page.shares.planWrite(accounts, view);
    if (write !== undefined) {
      void page.write(write);
    }
  }

  /** Whether requests wait for tokens and the page may be out of date. */
  private unsure(page: BudgetPage, now: Millis): boolean {
    const known = page.confirmedSince(now, CONFIRM_INTERVAL);
    return (
      !known && this.waiters.some(one => this.pageOf(one.account) === page)
    );
  }

  /** Serves those who wait, in their order, and asks on for the others. */
  private serve(): void {
    const waiting = this.waiters;
    this.waiters = [];
    for (const waiter of waiting) {
      const answer = this.tryServe(waiter);
      if (answer === undefined) {
        this.waiters.push(waiter);
      } else {
        const {shares} = this.pageOf(waiter.account);
        shares.adjustAwaited(waiter.account, -waiter.tokens);
        waiter.resolve(answer);
      }
    }
    const pages = new Set(this.waiters.map(one => this.pageOf(one.account)));
    pages.forEach(page => this.tend(page));
  }

  private tryServe(waiter: Waiter): BudgetAnswer | undefined {
    const {account, tokens} = waiter;
    const page = this.pageOf(account);
    if (page.shares.reserve(account, tokens)) {
      return BudgetAnswer.Reserved;
    }
    if (waiter.refusal !== undefined) {
      return waiter.refusal;
    }
    const now = this.clock.now();
    if (waiter.atRelay && now - waiter.since < RELAY_WAIT) {
      return undefined;
    }
    const untaken = page.shares.untakenTokens(account, this.view());
    const missing = tokens - page.shares.availableTokens(account);
    const confirmed = page.confirmedSince(waiter.since, CONFIRM_INTERVAL);
    const storeHasNone = confirmed && untaken < missing;
    const waited = now - waiter.since;
    const slow = waited >= STORE_WAIT;
    if (!waiter.asked && (storeHasNone || page.isFailing() || slow)) {
      waiter.asked = true;
      this.owner.ask(account, missing);
      this.owner.after(PEER_WAIT + TIMER_SLACK, () => this.serve());
    }
    if (storeHasNone && waiter.asked && waited >= PEER_WAIT) {
      return BudgetAnswer.Exhausted;
    }
    return waited >= MOST_WAIT ? BudgetAnswer.Unavailable : undefined;
  }

  private view(): ShareView {
    return {
      now: this.clock.now(),
      instances: this.owner.instances(),
      granted: account => this.owner.granted(account),
    };
  }

  private pageOf(account: string): BudgetPage {
    return this.pages[partitionIndex(account, PAGES)] as BudgetPage;
  }
}
