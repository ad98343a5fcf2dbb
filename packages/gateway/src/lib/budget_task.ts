/** Reservations of prepaid tokens, and the writes that supply them. */
import {partitionIndex} from '@citrontrestle/decisions';
import {BudgetPage} from './budget_page.js';
import type {Store} from './ports.js';
import type {Clock, Millis, ShareView} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Answer to a reservation. */
export enum ReservationOutcome {
  Reserved = 'reserved',
  /** What is left does not cover the request. */
  Exhausted = 'exhausted',
  /** Nobody could be asked, or what is left lies with others. */
  Unavailable = 'unavailable',
}

/** What the task needs of its instance. */
export interface BudgetOwner {
  grantedTokens(account: string): number;
  budgetedAccounts(): string[];
  instanceCount(): number;
  /** Whether a relay that lives supplies this instance. */
  hasRelay(): boolean;
  /** Asks the relay for tokens; false if there is none. */
  askRelay(account: string, tokens: number, prefetch: number): boolean;
  /** Gives tokens back to the relay; false if there is none. */
  giveToRelay(account: string, tokens: number): boolean;
  /** Asks the peers for tokens. */
  askPeers(account: string, tokens: number): void;
  /** Gives tokens to a peer; false if there is none. */
  handOverToPeer(account: string, tokens: number): boolean;
  /** Calls back after a time. */
  callAfter(delay: Millis, callback: () => void): void;
}

/** Key prefix of the pages in the store. */
const PAGE_KEY_PREFIX = 'citrontrestle/prepaid/';

/** Number of pages; an account's name decides on its page. */
const PAGE_COUNT = 2;

/** Time that a share lasts without the store. */
const SHARE_HORIZON: Millis = 12_000;

/** Most that all instances hold, as a part of what nobody holds. */
const MAX_HELD_FRACTION = 0.65;

/** Time to the end of a budget from which on less is held. */
const LOW_BUDGET_TIME: Millis = 20_000;

/** Part of a full budget that all instances hold without any demand. */
const IDLE_FRACTION = 0.6;

/** Interval of the upkeep of shares. */
const MAINTENANCE_INTERVAL: Millis = 250;

/** Least time between two writes of a page that nobody waits for. */
const ROUTINE_WRITE_INTERVAL: Millis = 1_200;

/** Longest wait of a request for tokens. */
const MAX_WAIT: Millis = 120;

/** Timers may fire this much before a clock shows that their time is over. */
const TIMER_TOLERANCE: Millis = 1;

/** Time for the store to answer before the peers are asked too. */
const STORE_WAIT: Millis = 12;

/** Time for the peers to answer before the request is refused. */
const PEER_WAIT: Millis = 25;

/** Age at which a page is read again before a budget counts as ended. */
const MAX_PAGE_AGE: Millis = 500;

/** Time after the start in which peers are found before shares are taken. */
const PEER_DISCOVERY_TIME: Millis = 1_500;

/** Time that a share lasts which a relay fills up. */
const FOLLOWER_SHARE_HORIZON: Millis = 3_000;

/** Most that a relay gives ahead of need, as a part of what it has. */
const MAX_PREFETCH_FRACTION = 0.2;

/** Time for the relay to answer before the peers are asked too. */
const RELAY_WAIT: Millis = 60;

/** What an instance that follows this one got. */
export interface SupplyResult {
  given: number;
  outcome: ReservationOutcome;
}

interface WaitingRequest {
  account: string;
  tokens: number;
  waitingSince: Millis;
  peersAsked: boolean;
  /** Whether the relay was asked. */
  relayAsked: boolean;
  /** What the relay said instead of giving tokens. */
  relayRefusal: ReservationOutcome | undefined;
  resolve(outcome: ReservationOutcome): void;
}

/** The budgets of one instance. */
export class BudgetTask {
  private readonly pages: BudgetPage[] = [];
  private waitingRequests: WaitingRequest[] = [];
  private maintenanceTimer: NodeJS.Timeout | undefined;
  private readonly startedAt: Millis;
  private isLeaving = false;

  constructor(
    holder: string,
    instance: string,
    store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: BudgetOwner,
  ) {
    this.startedAt = clock.now();
    for (let index = 0; index < PAGE_COUNT; index++) {
      const key = `${PAGE_KEY_PREFIX}${index}`;
      const settings = {
        holder,
        instance,
        horizon: SHARE_HORIZON,
        maxHeldFraction: MAX_HELD_FRACTION,
        lowBudgetTime: LOW_BUDGET_TIME,
        idleFraction: IDLE_FRACTION,
      };
      const onCallEnded = () => this.serveWaitingRequests();
      this.pages.push(
        new BudgetPage(key, settings, store, clock, log, onCallEnded),
      );
    }
  }

  /** Begins the upkeep. */
  start(): void {
    this.maintenanceTimer = setInterval(
      () => this.maintain(),
      MAINTENANCE_INTERVAL,
    );
    this.maintain();
  }

  /** Ends the upkeep. */
  stop(): void {
    clearInterval(this.maintenanceTimer);
  }

  /** Reserves tokens for a request. */
  reserve(
    account: string,
    tokens: number,
    asksPeers = true,
  ): Promise<ReservationOutcome> {
    const {shares} = this.pageOf(account);
    if (shares.reserve(account, tokens)) {
      return Promise.resolve(ReservationOutcome.Reserved);
    }
    shares.adjustAwaited(account, tokens);
    return new Promise(resolve => {
      const waitingSince = this.clock.now();
      const missing = tokens - Math.max(0, shares.availableTokens(account));
      const prefetch = Math.max(
        0,
        shares.imbalance(account, FOLLOWER_SHARE_HORIZON),
      );
      const relayAsked =
        asksPeers && this.owner.askRelay(account, missing, prefetch);
      this.waitingRequests.push({
        account,
        tokens,
        waitingSince,
        peersAsked: !asksPeers,
        relayAsked,
        relayRefusal: undefined,
        resolve,
      });
      this.serveWaitingRequests();
      const firstWait = relayAsked ? RELAY_WAIT : STORE_WAIT;
      this.owner.callAfter(firstWait + TIMER_TOLERANCE, () =>
        this.serveWaitingRequests(),
      );
      this.owner.callAfter(MAX_WAIT + TIMER_TOLERANCE, () =>
        this.serveWaitingRequests(),
      );
    });
  }

  /** Takes tokens for an instance that follows this one. */
  async supply(
    account: string,
    tokens: number,
    {prefetch, asksPeers}: {prefetch: number; asksPeers: boolean},
  ): Promise<SupplyResult> {
    const {shares} = this.pageOf(account);
    if (tokens > 0) {
      const outcome = await this.reserve(account, tokens, asksPeers);
      if (outcome !== ReservationOutcome.Reserved) {
        return {given: 0, outcome};
      }
      shares.transferReservation(account, tokens);
    }
    const maxExtra = Math.floor(
      shares.availableTokens(account) * MAX_PREFETCH_FRACTION,
    );
    const extra = shares.giveToPeer(
      account,
      Math.min(prefetch, Math.max(0, maxExtra)),
    );
    return {given: tokens + extra, outcome: ReservationOutcome.Reserved};
  }

  /** Whether the store served the last call for an account's page. */
  reachesStore(account: string): boolean {
    const page = this.pageOf(account);
    return page.shares.knownRevision() >= 0 && !page.isFailing();
  }

  /** Takes the relay's word that it has not got some tokens. */
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

  /** Ends a reservation with what was used of it. */
  settle(account: string, reserved: number, used: number): void {
    this.pageOf(account).shares.settle(account, reserved, used);
    if (this.waitingRequests.length > 0) {
      this.serveWaitingRequests();
    }
  }

  /** Gives tokens to a peer that asks. */
  giveToPeer(account: string, tokens: number): number {
    return this.pageOf(account).shares.giveToPeer(account, tokens);
  }

  /** Takes tokens that a peer gave. */
  receiveFromPeer(account: string, tokens: number): void {
    this.pageOf(account).shares.receiveFromPeer(account, tokens);
    this.serveWaitingRequests();
  }

  /** The grants may have risen. */
  onGrantsChanged(): void {
    this.maintain();
    this.serveWaitingRequests();
  }

  /**
   * Gives back all that is not in use, as before a planned stop: to the store,
   * or to the peers if the store is away.
   */
  async returnShares(): Promise<void> {
    this.isLeaving = true;
    this.stop();
    await Promise.all(this.pages.map(page => page.close()));
    for (const account of this.owner.budgetedAccounts()) {
      const {shares} = this.pageOf(account);
      const spare = Math.floor(shares.availableTokens(account));
      if (spare > 0 && this.owner.handOverToPeer(account, spare)) {
        shares.receiveFromPeer(account, -spare);
        this.log.info('budget.handed-over', {account, tokens: spare});
      }
    }
  }

  /** Tokens that may be reserved, by account; for logs. */
  availableTokens(account: string): number {
    return this.pageOf(account).shares.availableTokens(account);
  }

  /** Tokens that nobody has taken, as last known; for logs. */
  untakenTokens(account: string): number {
    return this.pageOf(account).shares.untakenTokens(
      account,
      this.currentView(),
    );
  }

  private maintain(): void {
    const now = this.clock.now();
    const hasRelay = this.owner.hasRelay();
    for (const page of this.pages) {
      page.shares.sampleRates(now);
      if (hasRelay) {
        this.returnSurplusToRelay(page);
      }
      this.readOrWriteIfDue(page);
    }
  }

  /** Gives what a follower does not need soon back to its relay. */
  private returnSurplusToRelay({shares}: BudgetPage): void {
    for (const account of shares.accounts()) {
      const surplus = -shares.imbalance(account, FOLLOWER_SHARE_HORIZON);
      const given = surplus > 0 ? shares.giveToPeer(account, surplus) : 0;
      if (given > 0) {
        this.owner.giveToRelay(account, given);
      }
    }
  }

  /** Reads or writes a page if that is due. */
  private readOrWriteIfDue(page: BudgetPage): void {
    const now = this.clock.now();
    if (this.isLeaving || !page.canCallStore() || this.owner.hasRelay()) {
      return;
    }
    if (page.shares.knownRevision() < 0) {
      void page.read();
      return;
    }
    const view = this.currentView();
    const isUrgent = page.shares.hasUrgentDemand(view);
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
    const accounts = this.owner
      .budgetedAccounts()
      .filter(account => this.pageOf(account) === page);
    const write = page.shares.planWrite(accounts, view);
    if (write !== undefined) {
      void page.write(write);
    }
  }

  /** Whether requests wait for tokens and the page may be out of date. */
  private needsConfirmation(page: BudgetPage, now: Millis): boolean {
    const isCurrent = page.isCurrentAt(now, MAX_PAGE_AGE);
    return (
      !isCurrent &&
      this.waitingRequests.some(
        request => this.pageOf(request.account) === page,
      )
    );
  }

  /** Serves those who wait, in their order, and asks on for the others. */
  private serveWaitingRequests(): void {
    const requests = this.waitingRequests;
    this.waitingRequests = [];
    for (const request of requests) {
      const outcome = this.tryReserve(request);
      if (outcome === undefined) {
        this.waitingRequests.push(request);
      } else {
        const {shares} = this.pageOf(request.account);
        shares.adjustAwaited(request.account, -request.tokens);
        request.resolve(outcome);
      }
    }
    const pages = new Set(
      this.waitingRequests.map(request => this.pageOf(request.account)),
    );
    pages.forEach(page => this.readOrWriteIfDue(page));
  }

  private tryReserve(request: WaitingRequest): ReservationOutcome | undefined {
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
    const untaken = page.shares.untakenTokens(account, this.currentView());
    const missing = tokens - page.shares.availableTokens(account);
    const isCurrent = page.isCurrentAt(request.waitingSince, MAX_PAGE_AGE);
    const storeHasTooFew = isCurrent && untaken < missing;
    const waitTime = now - request.waitingSince;
    const storeIsSlow = waitTime >= STORE_WAIT;
    if (
      !request.peersAsked &&
      (storeHasTooFew || page.isFailing() || storeIsSlow)
    ) {
      request.peersAsked = true;
      this.owner.askPeers(account, missing);
      this.owner.callAfter(PEER_WAIT + TIMER_TOLERANCE, () =>
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
      instances: this.owner.instanceCount(),
      granted: account => this.owner.grantedTokens(account),
    };
  }

  private pageOf(account: string): BudgetPage {
    return this.pages[partitionIndex(account, PAGE_COUNT)] as BudgetPage;
  }
}
