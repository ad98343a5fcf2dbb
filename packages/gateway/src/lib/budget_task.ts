/** Reservations of prepaid tokens, and the writes that supply them. */
import {emptyPage, PrepaidShares} from '@citrontrestle/decisions';
import {PAGE_CODEC} from './page_codec.js';
import {StoreOutcome} from './ports.js';
import type {Store, StoreItem, StoreWriting} from './ports.js';
import type {
  Clock,
  Millis,
  PageWrite,
  ShareView,
} from '@citrontrestle/decisions';
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

/** Part of a full budget that all instances hold without any demand. */
const IDLE_PART = 0.6;

/** Interval of the upkeep of shares. */
const UPKEEP_INTERVAL: Millis = 250;

/** Least time between two writes of a page that nobody waits for. */
const CALM_INTERVAL: Millis = 1_200;

/** Pause after the store did not answer. */
const FAILURE_PAUSE: Millis = 400;

/** Longest wait of a request for tokens. */
const MOST_WAIT: Millis = 120;

/** Time for the store to answer before the peers are asked too. */
const STORE_WAIT: Millis = 12;

/** Time for the peers to answer before the request is refused. */
const PEER_WAIT: Millis = 25;

/** Age at which a page is read again before a budget counts as ended. */
const CONFIRM_INTERVAL: Millis = 500;

/** Attempts to give a page's shares back to the store. */
const MOST_RETURNS = 4;

/** Time after the start in which peers are found before shares are taken. */
const FIRST_CALM: Millis = 1_500;

interface Waiter {
  account: string;
  tokens: number;
  since: Millis;
  asked: boolean;
  resolve(answer: BudgetAnswer): void;
}

interface Page {
  key: string;
  shares: PrepaidShares;
  busy: boolean;
  /** No call to the store before this time. */
  pausedUntil: Millis;
  /** Whether the last call was not served. */
  failing: boolean;
  wroteAt: Millis;
  /** When the page was last known to be as in the store. */
  confirmedAt: Millis;
}

/** The budgets of one instance. */
export class BudgetTask {
  private readonly pages: Page[] = [];
  private waiters: Waiter[] = [];
  private timer: NodeJS.Timeout | undefined;
  private readonly startedAt: Millis;
  private leaving = false;

  constructor(
    holder: string,
    instance: string,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: BudgetOwner,
  ) {
    this.startedAt = clock.now();
    for (let index = 0; index < PAGES; index++) {
      this.pages.push({
        key: `${PAGE_PREFIX}${index}`,
        shares: new PrepaidShares({
          holder,
          instance,
          horizon: HORIZON,
          heldPart: HELD_PART,
          idlePart: IDLE_PART,
        }),
        busy: false,
        pausedUntil: 0,
        failing: false,
        wroteAt: -Infinity,
        confirmedAt: -Infinity,
      });
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
  reserve(account: string, tokens: number): Promise<BudgetAnswer> {
    const {shares} = this.pageOf(account);
    if (shares.reserve(account, tokens)) {
      return Promise.resolve(BudgetAnswer.Reserved);
    }
    shares.want(account, tokens);
    return new Promise(resolve => {
      const since = this.clock.now();
      this.waiters.push({account, tokens, since, asked: false, resolve});
      this.serve();
      this.owner.after(STORE_WAIT, () => this.serve());
      this.owner.after(MOST_WAIT, () => this.serve());
    });
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
    return this.pageOf(account).shares.give(account, tokens);
  }

  /** Takes tokens that a peer gave. */
  receive(account: string, tokens: number): void {
    this.pageOf(account).shares.receive(account, tokens);
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
    await Promise.all(this.pages.map(page => this.returnPage(page)));
    for (const account of this.owner.accounts()) {
      const {shares} = this.pageOf(account);
      const spare = Math.floor(shares.available(account));
      if (spare > 0 && this.owner.handOver(account, spare)) {
        shares.receive(account, -spare);
        this.log.info('budget.handed-over', {account, tokens: spare});
      }
    }
  }

  private async returnPage(page: Page): Promise<void> {
    for (let attempt = 0; attempt < MOST_RETURNS; attempt++) {
      const away = this.clock.now() < page.pausedUntil;
      const write = page.busy || away ? undefined : page.shares.planReturn();
      if (write === undefined) {
        return;
      }
      await this.write(page, write);
    }
  }

  /** Tokens that may be reserved, by account; for logs. */
  available(account: string): number {
    return this.pageOf(account).shares.available(account);
  }

  /** Tokens that nobody has taken, as last known; for logs. */
  untaken(account: string): number {
    return this.pageOf(account).shares.untaken(account, this.view());
  }

  private upkeep(): void {
    const now = this.clock.now();
    for (const page of this.pages) {
      page.shares.sample(now);
      this.tend(page);
    }
  }

  /** Reads or writes a page if that is due. */
  private tend(page: Page): void {
    const now = this.clock.now();
    if (page.busy || this.leaving || now < page.pausedUntil) {
      return;
    }
    if (page.shares.knownRevision() < 0) {
      void this.read(page);
      return;
    }
    const view = this.view();
    const urgent = page.shares.urgent(view);
    if (this.unsure(page, now) && !urgent) {
      void this.read(page);
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
    const write = page.shares.plan(accounts, view);
    if (write !== undefined) {
      void this.write(page, write);
    }
  }

  /** Whether requests wait for tokens and the page may be out of date. */
  private unsure(page: Page, now: Millis): boolean {
    const old = now - page.confirmedAt > CONFIRM_INTERVAL;
    return old && this.waiters.some(one => this.pageOf(one.account) === page);
  }

  private async read(page: Page): Promise<void> {
    page.busy = true;
    const reading = await this.store.read(page.key);
    page.busy = false;
    if (reading.outcome !== StoreOutcome.Done) {
      this.failed(page);
      this.log.warn('budget.unread', {key: page.key, reason: reading.reason});
    } else if (reading.item === undefined) {
      page.shares.observe(0, emptyPage());
      this.confirmed(page);
    } else {
      this.observe(page, reading.item);
    }
    this.serve();
  }

  private async write(page: Page, write: PageWrite): Promise<void> {
    page.busy = true;
    page.wroteAt = this.clock.now();
    const value = PAGE_CODEC.encode(write.page);
    const {expectedRevision} = write;
    const writing = await this.store.write(page.key, expectedRevision, value);
    page.busy = false;
    WRITE_HANDLERS[writing.outcome](this, page, write, writing);
    this.serve();
  }

  /** Called by the handlers of write outcomes. */
  written(page: Page, write: PageWrite, revision: number): void {
    page.shares.observe(revision, write.page);
    this.confirmed(page);
    this.log.info('budget.written', {
      key: page.key,
      revision,
      change: JSON.stringify([...write.change]),
    });
  }

  /** Called by the handlers of write outcomes. */
  conflicted(page: Page, item: StoreItem | undefined): void {
    if (item === undefined) {
      void this.read(page);
      return;
    }
    this.observe(page, item);
  }

  /** Called by the handlers of write outcomes. */
  refused(page: Page, write: PageWrite, reason: string): void {
    page.shares.rejected(write);
    this.failed(page);
    this.log.warn('budget.refused', {key: page.key, reason});
  }

  /** Called by the handlers of write outcomes. */
  unanswered(page: Page, reason: string): void {
    this.failed(page);
    this.log.warn('budget.unanswered', {key: page.key, reason});
    if (!this.leaving) {
      void this.read(page);
    }
  }

  private observe(page: Page, item: StoreItem): void {
    const decoded = PAGE_CODEC.decode(item.value);
    if (!decoded.ok) {
      this.log.error('budget.unreadable', {
        key: page.key,
        reason: decoded.reason,
      });
      page.pausedUntil = this.clock.now() + FAILURE_PAUSE;
      return;
    }
    page.shares.observe(item.revision, decoded.value);
    this.confirmed(page);
  }

  private confirmed(page: Page): void {
    page.confirmedAt = this.clock.now();
    page.failing = false;
  }

  private failed(page: Page): void {
    page.pausedUntil = this.clock.now() + FAILURE_PAUSE;
    page.failing = true;
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
        shares.want(waiter.account, -waiter.tokens);
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
    const now = this.clock.now();
    const untaken = page.shares.untaken(account, this.view());
    const missing = tokens - page.shares.available(account);
    const confirmed = waiter.since - page.confirmedAt < CONFIRM_INTERVAL;
    const storeHasNone = confirmed && untaken < missing;
    const waited = now - waiter.since;
    const slow = waited >= STORE_WAIT;
    if (!waiter.asked && (storeHasNone || page.failing || slow)) {
      waiter.asked = true;
      this.owner.ask(account, missing);
      this.owner.after(PEER_WAIT, () => this.serve());
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

  private pageOf(account: string): Page {
    let hash = 0;
    for (const char of account) {
      hash = (Math.imul(hash, 31) + char.charCodeAt(0)) >>> 0;
    }
    return this.pages[hash % PAGES] as Page;
  }
}

type WriteHandler = (
  task: BudgetTask,
  page: Page,
  write: PageWrite,
  writing: StoreWriting,
) => void;

const WRITE_HANDLERS: Readonly<Record<StoreWriting['outcome'], WriteHandler>> =
  {
    [StoreOutcome.Done]: (task, page, write, writing) => {
      if (writing.outcome === StoreOutcome.Done) {
        task.written(page, write, writing.revision);
      }
    },
    [StoreOutcome.Conflict]: (task, page, _write, writing) => {
      if (writing.outcome === StoreOutcome.Conflict) {
        task.conflicted(page, writing.item);
      }
    },
    [StoreOutcome.Refused]: (task, page, write, writing) => {
      if (writing.outcome === StoreOutcome.Refused) {
        task.refused(page, write, writing.reason);
      }
    },
    [StoreOutcome.Unknown]: (task, page, _write, writing) => {
      if (writing.outcome === StoreOutcome.Unknown) {
        task.unanswered(page, writing.reason);
      }
    },
  };
