/**
 * Reserves tokens of prepaid accounts for requests, and supplies this instance
 * with tokens from the store, from its relay or from its peers. The tokens that
 * an instance has taken from a budget in advance are its share of the budget,
 * from which it reserves tokens without a call to the store.
 */
import {partitionIndex, SHARE_POLICY} from '@citrontrestle/decisions';
import {BudgetPage} from './budget_page.js';
import type {Store} from '../process/ports.js';
import type {
  Clock,
  MachineClock,
  Millis,
  ShareView,
  TokenTotals,
  Witnesses,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Outcome of a reservation. */
export enum ReservationOutcome {
  Reserved = 'reserved',
  /** The remaining tokens of the account do not cover the request. */
  Exhausted = 'exhausted',
  /**
   * The tokens could not be obtained in time: the store and the peers did not
   * answer, or other instances hold the remaining tokens.
   */
  Unavailable = 'unavailable',
}

/** The process for which a `PrepaidBudgets` works, and what it uses. */
export interface BudgetDependencies {
  /** Identity of this process; a restarted instance has another. */
  holder: string;
  /** Name of the instance, the same after a restart. */
  instance: string;
  store: Store;
  clock: Clock;
  machineClock: MachineClock;
  witnesses: Witnesses;
  log: Log;
}

/** What a `PrepaidBudgets` needs from the other components of its instance. */
export interface BudgetContext {
  /** Returns the highest known era of the store. */
  storeEra(): number;
  /** Returns the tokens granted to an account in total, spent ones included. */
  grantedTokens(account: string): number;
  /** Returns the names of all accounts that have a budget. */
  budgetedAccounts(): string[];
  /** Returns how many instances, with this one, take tokens from the store. */
  drawingInstanceCount(): number;
  /**
   * Whether this instance follows a relay that sent a heartbeat recently. It
   * then gets its tokens from the relay instead of the store.
   */
  hasResponsiveRelay(): boolean;
  /**
   * Asks the relay for tokens; returns false if there is no responsive relay.
   * @param prefetch tokens wanted in addition, for later requests.
   */
  requestFromRelay(account: string, tokens: number, prefetch: number): boolean;
  /** Gives tokens back to the relay; returns false if none is responsive. */
  returnToRelay(account: string, tokens: number): boolean;
  /** Asks some peers for tokens. */
  requestFromPeers(account: string, tokens: number): void;
  /** Gives tokens to one of the peers; returns false if none is running. */
  giveToRandomPeer(account: string, tokens: number): boolean;
  /** Calls `callback` once after `delay`. */
  callAfter(delay: Millis, callback: () => void): void;
}

/** Prefix of the keys of the pages in the store. */
const PAGE_KEY_PREFIX = 'citrontrestle/prepaid/';

/** Number of pages. The name of an account determines its page. */
const PAGE_COUNT = 2;

/** Interval at which shares are checked and adjusted. */
const MAINTENANCE_INTERVAL: Millis = 250;

/** Minimum time between two writes of a page that no request waits for. */
const ROUTINE_WRITE_INTERVAL: Millis = 1_200;

/** Maximum time for which a request waits for tokens. */
const MAX_WAIT: Millis = 120;

/**
 * Added to the delay of each timer, because a timer may fire this much before
 * the clock shows that its delay has passed.
 */
const TIMER_TOLERANCE: Millis = 1;

/** Time after which a request that waits for the store also asks the peers. */
const STORE_WAIT: Millis = 12;

/**
 * Minimum time for which a request waits before it fails because the budget is
 * exhausted, so that the peers can answer.
 */
const PEER_WAIT: Millis = 25;

/**
 * A page confirmed longer ago than this is read again before a budget counts as
 * exhausted.
 */
const MAX_PAGE_AGE: Millis = 500;

/**
 * Time after the start during which shares are taken only for waiting requests:
 * the peers are still being found, and the size of a share depends on their
 * number.
 */
const PEER_DISCOVERY_TIME: Millis = 1_500;

/** Time for which a share that is refilled by a relay should last. */
const FOLLOWER_SHARE_HORIZON: Millis = 3_000;

/**
 * Maximum that an instance gives to another one in advance, as a fraction of
 * its own available tokens.
 */
const MAX_PREFETCH_FRACTION = 0.2;

/** Time after which a request that waits for the relay also asks the peers. */
const RELAY_WAIT: Millis = 60;

/** Tokens that were taken from the share of this instance for another one. */
export interface SupplyResult {
  /** Number of tokens to give, the prefetched ones included. */
  given: number;
  outcome: ReservationOutcome;
}

/** A request that waits for tokens. */
interface WaitingRequest {
  account: string;
  tokens: number;
  waitingSince: Millis;
  /** Whether the peers were asked; also true if they must not be asked. */
  peersAsked: boolean;
  /** Whether the relay was asked for the missing tokens. */
  relayAsked: boolean;
  /** Outcome if the relay refused the tokens; undefined if it did not. */
  relayRefusal: ReservationOutcome | undefined;
  resolve(outcome: ReservationOutcome): void;
}

/**
 * The prepaid budgets of one instance. Requests that its shares do not cover
 * wait until tokens arrive or `MAX_WAIT` has passed.
 */
export class PrepaidBudgets {
  private readonly pages: BudgetPage[] = [];
  private waitingRequests: WaitingRequest[] = [];
  private maintenanceTimer: NodeJS.Timeout | undefined;
  private readonly startedAt: Millis;
  /** Whether `start` was called; the store is not called before. */
  private isStarted = false;
  /** Whether the shares are being returned before a planned stop. */
  private isStopping = false;

  private readonly clock: Clock;
  private readonly log: Log;

  constructor(
    dependencies: BudgetDependencies,
    private readonly context: BudgetContext,
  ) {
    const {holder, instance, store, clock, log} = dependencies;
    const {machineClock, witnesses} = dependencies;
    this.clock = clock;
    this.log = log;
    this.startedAt = clock.now();
    for (let index = 0; index < PAGE_COUNT; index++) {
      const key = `${PAGE_KEY_PREFIX}${index}`;
      const settings = {
        ...SHARE_POLICY,
        holder,
        instance,
        clock: machineClock,
        witnesses,
        storeEra: () => context.storeEra(),
      };
      const page = new BudgetPage(key, settings, store, clock, log, () => {
        this.serveWaitingRequests();
        this.readOrWriteIfDue(page);
      });
      this.pages.push(page);
    }
  }

  /**
   * Starts adjusting the shares at regular intervals. To be called when the
   * addresses of the instance are listened on: no earlier process of it runs
   * then, so what that left unused can be returned.
   */
  start(): void {
    this.isStarted = true;
    this.pages.forEach(page => page.shares.recordPredecessorsEnded());
    this.maintenanceTimer = setInterval(
      () => this.maintain(),
      MAINTENANCE_INTERVAL,
    );
    this.maintain();
  }

  /** Stops adjusting the shares. Tokens can still be reserved. */
  stop(): void {
    clearInterval(this.maintenanceTimer);
  }

  /**
   * Reserves tokens for a request, waiting for them for at most `MAX_WAIT`.
   * @param mayAskPeers whether the relay and the peers may be asked for tokens.
   */
  reserve(
    account: string,
    tokens: number,
    mayAskPeers = true,
  ): Promise<ReservationOutcome> {
    const {shares} = this.pageOf(account);
    if (shares.reserve(account, tokens)) {
      return Promise.resolve(ReservationOutcome.Reserved);
    }
    const missingTokens = missingFor(
      tokens,
      shares.availableTokens(account),
      shares.awaitedTokens(account),
    );
    shares.adjustAwaitedTokens(account, tokens);
    return new Promise(resolve => {
      const waitingSince = this.clock.now();
      const prefetch = Math.max(
        0,
        shares.imbalance(account, FOLLOWER_SHARE_HORIZON),
      );
      const relayAsked =
        mayAskPeers &&
        this.context.requestFromRelay(account, missingTokens, prefetch);
      this.waitingRequests.push({
        account,
        tokens,
        waitingSince,
        peersAsked: !mayAskPeers,
        relayAsked,
        relayRefusal: undefined,
        resolve,
      });
      this.serveWaitingRequests();
      const firstWait = relayAsked ? RELAY_WAIT : STORE_WAIT;
      this.context.callAfter(firstWait + TIMER_TOLERANCE, () =>
        this.serveWaitingRequests(),
      );
      this.context.callAfter(MAX_WAIT + TIMER_TOLERANCE, () =>
        this.serveWaitingRequests(),
      );
    });
  }

  /**
   * Takes tokens for another instance, waiting for them as for a request.
   * @param tokens number of tokens that the instance needs; all or none of them
   *     are given.
   * @param options.prefetch further tokens that it wants for later requests; as
   *     many are given as this instance can spare at once.
   * @param options.mayAskPeers whether the relay and the peers may be asked.
   */
  async supply(
    account: string,
    tokens: number,
    {prefetch, mayAskPeers}: {prefetch: number; mayAskPeers: boolean},
  ): Promise<SupplyResult> {
    const {shares} = this.pageOf(account);
    if (tokens > 0) {
      const outcome = await this.reserve(account, tokens, mayAskPeers);
      if (outcome !== ReservationOutcome.Reserved) {
        return {given: 0, outcome};
      }
      shares.transferReservation(account, tokens);
    }
    const maxExtraTokens = Math.floor(
      shares.availableTokens(account) * MAX_PREFETCH_FRACTION,
    );
    const extraTokens = shares.giveToPeer(
      account,
      Math.min(prefetch, Math.max(0, maxExtraTokens)),
    );
    return {given: tokens + extraTokens, outcome: ReservationOutcome.Reserved};
  }

  /** Whether the last call to the store for an account's page succeeded. */
  reachesStore(account: string): boolean {
    const page = this.pageOf(account);
    return page.shares.hasPage() && !page.isFailing();
  }

  /**
   * Handles the relay's refusal of tokens: requests of the account that wait
   * for as many tokens or more fail, unless the share now covers them.
   * @param exhausted whether the budget is exhausted; otherwise the relay could
   * not obtain the tokens in time.
   */
  recordRelayRefusal(
    account: string,
    tokens: number,
    exhausted: boolean,
  ): void {
    const {Exhausted, Unavailable} = ReservationOutcome;
    for (const request of this.waitingRequests) {
      if (request.account === account && request.tokens >= tokens) {
        request.relayRefusal = exhausted ? Exhausted : Unavailable;
      }
    }
    this.serveWaitingRequests();
  }

  /** Ends a reservation of which `used` tokens were consumed. */
  settle(account: string, reserved: number, used: number): void {
    this.pageOf(account).shares.settle(account, reserved, used);
    if (this.waitingRequests.length > 0) {
      this.serveWaitingRequests();
    }
  }

  /** Gives a peer up to `tokens` that are not needed here; returns how many. */
  giveToPeer(account: string, tokens: number): number {
    return this.pageOf(account).shares.giveToPeer(account, tokens);
  }

  /** Adds tokens that a peer or the relay gave. */
  receiveFromPeer(account: string, tokens: number): void {
    this.pageOf(account).shares.receiveFromPeer(account, tokens);
    this.serveWaitingRequests();
  }

  /** Adjusts the shares after the granted tokens of accounts have changed. */
  handleChangedGrants(): void {
    this.maintain();
    this.serveWaitingRequests();
  }

  /**
   * Returns all unreserved tokens before a planned stop: to the store, or to
   * the peers if the store is unavailable.
   */
  async returnShares(): Promise<void> {
    this.isStopping = true;
    this.stop();
    await Promise.all(this.pages.map(page => page.close()));
    for (const account of this.context.budgetedAccounts()) {
      const {shares} = this.pageOf(account);
      const spareTokens = Math.floor(shares.availableTokens(account));
      if (
        spareTokens > 0 &&
        this.context.giveToRandomPeer(account, spareTokens)
      ) {
        shares.receiveFromPeer(account, -spareTokens);
        this.log.info('budget.handed-over', {account, tokens: spareTokens});
      }
    }
  }

  /** Returns the tokens of an account that may be reserved now. For logs. */
  availableTokens(account: string): number {
    return this.pageOf(account).shares.availableTokens(account);
  }

  /**
   * Returns the tokens of an account that no instance has taken, according to
   * the last known page. For logs.
   */
  untakenTokens(account: string): number {
    return this.pageOf(account).shares.untakenTokens(
      account,
      this.currentView(),
    );
  }

  /** Returns the untaken tokens that this instance may take. For logs. */
  takeableTokens(account: string): number {
    return this.pageOf(account).shares.takeableTokens(
      account,
      this.currentView(),
    );
  }

  /** Returns the sums over all accounts. For metrics. */
  totals(): TokenTotals {
    const totals: TokenTotals = {taken: 0, spent: 0, reserved: 0, given: 0};
    for (const {shares} of this.pages) {
      const {taken, spent, reserved, given} = shares.totals();
      totals.taken += taken;
      totals.spent += spent;
      totals.reserved += reserved;
      totals.given += given;
    }
    return totals;
  }

  /** Samples spending rates and brings the shares to their target sizes. */
  private maintain(): void {
    const now = this.clock.now();
    const hasResponsiveRelay = this.context.hasResponsiveRelay();
    for (const page of this.pages) {
      page.shares.sampleRates(now);
      if (hasResponsiveRelay) {
        this.returnSurplusToRelay(page);
      }
      this.readOrWriteIfDue(page);
    }
  }

  /** Gives tokens that are not needed soon back to the relay. */
  private returnSurplusToRelay({shares}: BudgetPage): void {
    for (const account of shares.accounts()) {
      const surplus = -shares.imbalance(account, FOLLOWER_SHARE_HORIZON);
      const given = surplus > 0 ? shares.giveToPeer(account, surplus) : 0;
      if (given > 0) {
        this.context.returnToRelay(account, given);
      }
    }
  }

  /** Starts a read or a write of a page if one is due. */
  private readOrWriteIfDue(page: BudgetPage): void {
    const now = this.clock.now();
    const {shares} = page;
    const isSupplied = this.context.hasResponsiveRelay();
    const mustRestore =
      shares.hasLostEntry() || (shares.hasStoreGoneBack() && shares.hasEntry());
    if (
      !this.isStarted ||
      this.isStopping ||
      !page.canCallStore() ||
      (isSupplied && !mustRestore)
    ) {
      return;
    }
    if (!shares.hasPage() || shares.hasStoreGoneBack()) {
      void page.read();
      return;
    }
    const view = this.currentView();
    const isUrgent = shares.hasLostEntry() || shares.hasUrgentDemand(view);
    if (this.needsConfirmation(page, now) && !isUrgent) {
      void page.read();
      return;
    }
    const isDiscoveringPeers = now - this.startedAt < PEER_DISCOVERY_TIME;
    const isRoutineWriteDue =
      now - page.lastWriteStartedAt > ROUTINE_WRITE_INTERVAL &&
      !isDiscoveringPeers;
    if (!isUrgent && !isRoutineWriteDue) {
      return;
    }
    const accounts = this.context
      .budgetedAccounts()
      .filter(account => this.pageOf(account) === page);
    if (shares.mustRead()) {
      if (shares.isWriteDue(accounts, view)) {
        void page.read();
      }
      return;
    }
    const write = page.shares.planWrite(accounts, view);
    if (write !== undefined) {
      void page.write(write);
    }
  }

  /** Whether requests wait for tokens of a page that may be out of date. */
  private needsConfirmation(page: BudgetPage, now: Millis): boolean {
    const isCurrent = page.isCurrentAt(now, MAX_PAGE_AGE);
    return (
      !isCurrent &&
      this.waitingRequests.some(
        request => this.pageOf(request.account) === page,
      )
    );
  }

  /**
   * Completes the waiting requests whose outcome is known, in their order, and
   * tries to obtain tokens for the others.
   */
  private serveWaitingRequests(): void {
    const requests = this.waitingRequests;
    this.waitingRequests = [];
    // Tokens that requests before the current one wait for, by account.
    const awaitedBefore = new Map<string, number>();
    for (const request of requests) {
      const {account, tokens} = request;
      const awaited = awaitedBefore.get(account) ?? 0;
      const outcome = this.tryReserve(request, awaited);
      if (outcome === undefined) {
        this.waitingRequests.push(request);
        awaitedBefore.set(account, awaited + tokens);
      } else {
        const {shares} = this.pageOf(account);
        shares.adjustAwaitedTokens(account, -tokens);
        request.resolve(outcome);
      }
    }
    const pages = new Set(
      this.waitingRequests.map(request => this.pageOf(request.account)),
    );
    pages.forEach(page => this.readOrWriteIfDue(page));
  }

  /**
   * Reserves tokens for a waiting request or asks the peers for them. Returns
   * undefined while the request must wait further.
   * @param awaitedBefore tokens that earlier requests of the account wait for.
   */
  private tryReserve(
    request: WaitingRequest,
    awaitedBefore: number,
  ): ReservationOutcome | undefined {
    const {account, tokens} = request;
    const page = this.pageOf(account);
    if (page.shares.reserve(account, tokens)) {
      return ReservationOutcome.Reserved;
    }
    if (request.relayRefusal !== undefined) {
      return request.relayRefusal;
    }
    const now = this.clock.now();
    if (request.relayAsked && now - request.waitingSince < RELAY_WAIT) {
      return undefined;
    }
    const unclaimed = page.shares.unclaimedTokens(account, this.currentView());
    const isHeld = page.shares.heldTokens(account) + unclaimed >= tokens;
    const isCurrent = page.isCurrentAt(request.waitingSince, MAX_PAGE_AGE);
    const storeHasTooFew = isCurrent && !isHeld;
    const waitTime = now - request.waitingSince;
    const isStoreSlow = waitTime >= STORE_WAIT;
    if (
      !request.peersAsked &&
      (storeHasTooFew || page.isFailing() || isStoreSlow)
    ) {
      request.peersAsked = true;
      const available = page.shares.availableTokens(account);
      this.context.requestFromPeers(
        account,
        missingFor(tokens, available, awaitedBefore),
      );
      this.context.callAfter(PEER_WAIT + TIMER_TOLERANCE, () =>
        this.serveWaitingRequests(),
      );
    }
    if (storeHasTooFew && request.peersAsked && waitTime >= PEER_WAIT) {
      return ReservationOutcome.Exhausted;
    }
    return waitTime >= MAX_WAIT ? ReservationOutcome.Unavailable : undefined;
  }

  private currentView(): ShareView {
    return {
      now: this.clock.now(),
      instances: this.context.drawingInstanceCount(),
      granted: account => this.context.grantedTokens(account),
    };
  }

  private pageOf(account: string): BudgetPage {
    return this.pages[partitionIndex(account, PAGE_COUNT)] as BudgetPage;
  }
}

/**
 * Returns the tokens that a request lacks.
 * @param awaitedBefore tokens that earlier requests wait for; they get what is
 *     available first.
 */
function missingFor(
  tokens: number,
  available: number,
  awaitedBefore: number,
): number {
  return tokens - Math.max(0, available - awaitedBefore);
}
