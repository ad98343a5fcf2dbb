/**
 * Reserves tokens of prepaid accounts for requests, and supplies this instance
 * with tokens from the store, from its relay or from its peers. The tokens that
 * an instance has taken from a budget in advance are its share of the budget,
 * from which it reserves tokens without a call to the store.
 */
import {
  decideTokenWait,
  ExhaustionProofs,
  MAX_READING_AGE,
  MIN_PATIENCE,
  partitionIndex,
  possiblyUnusedTokens,
  SHARE_POLICY,
  STATEMENT_INTERVAL,
  WaitDecision,
} from '@citrontrestle/decisions';
import {BudgetPage} from './budget_page.js';
import {RelayQuestions} from './relay_questions.js';
import {TokenQueue} from './token_queue.js';
import type {RelayRefusal} from './relay_questions.js';
import type {WaitingRequest} from './token_queue.js';
import type {Store} from '../process/ports.js';
import type {
  BudgetReading,
  Clock,
  MachineClock,
  Millis,
  ShareView,
  TokenTotals,
  WaitSituation,
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
  /**
   * The tokens can't be obtained for now: only processes that are out of touch
   * or have ended may have left them unused.
   */
  Withheld = 'withheld',
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
   * Returns how many instances take tokens from the store while each follower
   * has a relay; at most `drawingInstanceCount`.
   */
  supplierCount(): number;
  /**
   * Whether this instance follows a relay that sent a heartbeat recently. It
   * then gets its tokens from the relay instead of the store.
   */
  hasResponsiveRelay(): boolean;
  /**
   * Asks the relay for tokens; returns false if there is no responsive relay.
   * @param options.prefetch tokens wanted in addition, for later requests.
   * @param options.wait time within which the relay is to answer.
   * @param options.ask identifies the question in a refusal.
   */
  requestFromRelay(
    account: string,
    tokens: number,
    options: {prefetch: number; wait: Millis; ask: number},
  ): boolean;
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

/** Interval at which waiting requests are checked. */
const WAIT_CHECK_INTERVAL: Millis = 20;

/** Minimum time between two requests to the peers for tokens of an account. */
const ASK_INTERVAL: Millis = 30;

/** Delay of a retry if the tokens may be unobtainable for longer. */
const LONG_RETRY_DELAY: Millis = 2_000;

/** Delay of a retry if only silent processes may have them. */
const WITHHELD_RETRY_DELAY: Millis = 5_000;

/** Delay of a retry otherwise, if the tokens could not be obtained in time. */
const USUAL_RETRY_DELAY: Millis = 700;

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

/** Tokens that were taken from the share of this instance for another one. */
export interface SupplyResult {
  /** Number of tokens to give, the prefetched ones included. */
  given: number;
  outcome: ReservationOutcome;
}

/** What a refusal for lack of tokens relies on. For logs. */
export interface BudgetEvidence extends BudgetReading {
  /** Untaken tokens that this instance may take. */
  takeable: number;
  /** Time since the store confirmed the reading; undefined if it never did. */
  age: Millis | undefined;
  /** Whether the tokens of this instance come from a relay. */
  isSupplied: boolean;
  /** Age of the reading by which the relay last refused tokens of the account. */
  relayAge: Millis | undefined;
}

/** How a request may wait for tokens. */
export interface WaitOptions {
  /** Time for which it may wait. */
  patience?: Millis;
  /** Whether the relay and the peers may be asked for tokens. */
  mayAskPeers?: boolean;
}

/**
 * The prepaid budgets of one instance. Requests that its shares do not cover
 * wait until tokens arrive, or until `decideTokenWait` refuses them.
 */
export class PrepaidBudgets {
  private readonly pages: BudgetPage[] = [];
  private readonly queue = new TokenQueue();
  private isCheckScheduled = false;
  private readonly proofs = new ExhaustionProofs();
  /** When the peers were last asked for tokens of each account. */
  private readonly peersAskedAt = new Map<string, Millis>();
  private readonly relayQuestions: RelayQuestions;
  /**
   * Time for which the entry of a supplied instance may state unused tokens. It
   * differs between instances, as many lose or find a relay at the same time.
   */
  private readonly suppliedStatementInterval: Millis =
    STATEMENT_INTERVAL * (0.5 + Math.random() / 2);
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
    this.relayQuestions = new RelayQuestions(
      this.queue,
      context,
      clock,
      account => this.pageOf(account).shares,
    );
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

  /** Reserves tokens for a request, waiting for them as the options allow. */
  reserve(
    account: string,
    tokens: number,
    {patience = MIN_PATIENCE, mayAskPeers = true}: WaitOptions = {},
  ): Promise<ReservationOutcome> {
    const {shares} = this.pageOf(account);
    if (shares.reserve(account, tokens)) {
      return Promise.resolve(ReservationOutcome.Reserved);
    }
    const now = this.clock.now();
    const granted = this.context.grantedTokens(account);
    const refusal = this.proofs.refusalOf(account, tokens, {granted, now});
    const refusalOutcome = refusal && OUTCOMES[refusal];
    if (refusalOutcome !== undefined) {
      return Promise.resolve(refusalOutcome);
    }
    if (this.queue.isFull(account)) {
      return Promise.resolve(ReservationOutcome.Unavailable);
    }
    const missingTokens = missingFor(
      tokens,
      shares.availableTokens(account),
      shares.awaitedTokens(account),
    );
    shares.adjustAwaitedTokens(account, tokens);
    return new Promise(resolve => {
      const request: WaitingRequest = {
        account,
        tokens,
        waitingSince: now,
        patience,
        mayAskPeers,
        peersAskedSince: undefined,
        relayQuestion: undefined,
        relayRefusal: undefined,
        askedBeforePooling: false,
        resolve,
      };
      this.queue.add(request);
      if (mayAskPeers) {
        const prefetch = shares.imbalance(account, FOLLOWER_SHARE_HORIZON);
        this.relayQuestions.ask(request, missingTokens, Math.max(0, prefetch));
      }
      // Requests behind others wait for the next check, so that a burst does not
      // check the whole queue once for each.
      if (this.queue.of(account).length === 1) {
        this.serveAccount(account);
      }
      this.scheduleCheck();
    });
  }

  /**
   * Takes tokens for another instance, waiting for them as for a request.
   * @param tokens number of tokens that the instance needs; all or none of them
   *     are given.
   * @param options.prefetch further tokens that it wants for later requests; as
   *     many are given as this instance can spare at once.
   */
  async supply(
    account: string,
    tokens: number,
    {prefetch, ...options}: WaitOptions & {prefetch: number},
  ): Promise<SupplyResult> {
    const {shares} = this.pageOf(account);
    if (tokens > 0) {
      const outcome = await this.reserve(account, tokens, options);
      if (outcome !== ReservationOutcome.Reserved) {
        return {given: 0, outcome};
      }
      shares.transferReservation(account, tokens);
    }
    // Near the end of a budget no extra tokens are given, as one follower would
    // hold unused what another one needs.
    const available = shares.availableTokens(account);
    const isNearEnd = this.untakenTokens(account) < available;
    const maxExtraTokens = isNearEnd
      ? 0
      : Math.floor(available * MAX_PREFETCH_FRACTION);
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

  /** Handles the relay's refusal of tokens; see `RelayQuestions`. */
  recordRelayRefusal(
    account: string,
    tokens: number,
    refusal: RelayRefusal,
  ): void {
    if (this.relayQuestions.recordRefusal(account, tokens, refusal)) {
      this.serveAccount(account);
    }
  }

  /** Ends a reservation of which `used` tokens were consumed. */
  settle(account: string, reserved: number, used: number): void {
    this.pageOf(account).shares.settle(account, reserved, used);
    this.serveIfCovered(account);
  }

  /** Gives a peer up to `tokens` that are not needed here; returns how many. */
  giveToPeer(account: string, tokens: number): number {
    return this.pageOf(account).shares.giveToPeer(account, tokens);
  }

  /** Adds tokens that a peer or the relay gave. */
  receiveFromPeer(account: string, tokens: number): void {
    this.pageOf(account).shares.receiveFromPeer(account, tokens);
    this.serveIfCovered(account);
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

  /**
   * Returns the delay of a retry by a caller that got no tokens. It is longer if
   * the store is unreachable or if others, which may have ended, hold the tokens.
   */
  retryDelay(
    account: string,
    tokens: number,
    outcome: ReservationOutcome,
  ): Millis {
    if (outcome === ReservationOutcome.Withheld) {
      return WITHHELD_RETRY_DELAY;
    }
    if (this.context.hasResponsiveRelay()) {
      return USUAL_RETRY_DELAY;
    }
    const page = this.pageOf(account);
    const {reading} = this.situationOf(account, page);
    const isNear = reading.unclaimed + reading.heldHere >= tokens;
    return page.isFailing() || !isNear ? LONG_RETRY_DELAY : USUAL_RETRY_DELAY;
  }

  /**
   * Returns the age of the reading that proved last that an account is
   * exhausted; that of its page if none did lately.
   */
  readingAge(account: string): Millis {
    const now = this.clock.now();
    const provedAt = this.proofs.provedAt(account);
    return provedAt === undefined
      ? this.pageOf(account).ageAt(now)
      : now - provedAt;
  }

  /** Returns the tokens granted to an account, as this instance knows them. */
  grantedTokens(account: string): number {
    return this.context.grantedTokens(account);
  }

  /** Returns the untaken tokens of an account that this instance may take. */
  takeableTokens(account: string): number {
    return this.pageOf(account).shares.takeableTokens(
      account,
      this.currentView(),
    );
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

  /**
   * Returns the same for logs; undefined if a relay supplies this instance, whose
   * own page may then be as old as the process.
   */
  knownUntakenTokens(account: string): number | undefined {
    return this.context.hasResponsiveRelay()
      ? undefined
      : this.untakenTokens(account);
  }

  /** Returns what is known of an account. For logs. */
  evidence(account: string): BudgetEvidence {
    const page = this.pageOf(account);
    const {shares} = page;
    const view = this.currentView();
    const age = page.ageAt(view.now);
    const relayReadAt = this.relayQuestions.lastReadAt(account);
    return {
      ...shares.reading(account, view),
      takeable: shares.takeableTokens(account, view),
      age: age === Infinity ? undefined : age,
      isSupplied: this.context.hasResponsiveRelay(),
      relayAge: relayReadAt === undefined ? undefined : view.now - relayReadAt,
    };
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
    this.proofs.prune(now);
    for (const page of this.pages) {
      page.shares.sampleRates(now);
      if (hasResponsiveRelay) {
        this.returnSurplusToRelay(page, now);
      }
      this.readOrWriteIfDue(page);
    }
  }

  /** Gives tokens that are not needed soon back to the relay. */
  private returnSurplusToRelay({shares}: BudgetPage, now: Millis): void {
    for (const account of shares.accounts()) {
      const surplus = shares.takeSurplus(account, FOLLOWER_SHARE_HORIZON, now);
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
    if (!this.isStarted || this.isStopping || !page.canCallStore()) {
      return;
    }
    if (isSupplied && !mustRestore) {
      this.stateIfDue(page, now);
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

  /**
   * Starts a call to the store if this instance, which a relay supplies, has
   * left an entry there that states unused tokens.
   */
  private stateIfDue(page: BudgetPage, now: Millis): void {
    const {shares} = page;
    const isPaused = now - page.lastWriteStartedAt <= ROUTINE_WRITE_INTERVAL;
    if (isPaused || !shares.mustState(this.suppliedStatementInterval)) {
      return;
    }
    const write = shares.planStatement();
    if (write === undefined) {
      void page.read();
    } else {
      void page.write(write);
    }
  }

  /** Whether requests wait for tokens of a page that may be out of date. */
  private needsConfirmation(page: BudgetPage, now: Millis): boolean {
    return (
      page.ageAt(now) >= MAX_READING_AGE &&
      this.queue.accounts().some(account => this.pageOf(account) === page)
    );
  }

  /** Checks all waiting requests soon, and again while there are any. */
  private scheduleCheck(): void {
    if (this.isCheckScheduled || this.queue.isEmpty()) {
      return;
    }
    this.isCheckScheduled = true;
    this.context.callAfter(WAIT_CHECK_INTERVAL, () => {
      this.isCheckScheduled = false;
      this.serveWaitingRequests();
      this.scheduleCheck();
    });
  }

  /**
   * Completes the waiting requests whose outcome is known, and tries to obtain
   * tokens for the others.
   */
  private serveWaitingRequests(): void {
    const pages = new Set<BudgetPage>();
    for (const account of this.queue.accounts()) {
      this.completeRequests(account);
      pages.add(this.pageOf(account));
    }
    pages.forEach(page => this.readOrWriteIfDue(page));
  }

  /** Serves the requests of an account if its share covers one of them. */
  private serveIfCovered(account: string): void {
    const requests = this.queue.of(account);
    if (requests.length > 0) {
      const available = this.availableTokens(account);
      if (requests.some(({tokens}) => tokens <= available)) {
        this.serveAccount(account);
      }
    }
  }

  private serveAccount(account: string): void {
    this.completeRequests(account);
    this.readOrWriteIfDue(this.pageOf(account));
  }

  /**
   * Completes the requests of an account, in their order. Takes time linear in
   * their number and in the entries of the page.
   */
  private completeRequests(account: string): void {
    const requests = this.queue.of(account);
    if (requests.length === 0) {
      return;
    }
    const page = this.pageOf(account);
    const {shares} = page;
    const situation = this.situationOf(account, page);
    const waiting: WaitingRequest[] = [];
    const asking: WaitingRequest[] = [];
    const isSupplied = this.context.hasResponsiveRelay();
    const served: Array<[WaitingRequest, ReservationOutcome]> = [];
    let available = shares.availableTokens(account);
    for (const request of requests) {
      if (available >= request.tokens) {
        shares.reserve(account, request.tokens);
        available -= request.tokens;
        served.push([request, ReservationOutcome.Reserved]);
        continue;
      }
      const decision = this.decide(request, situation);
      const outcome = OUTCOMES[decision];
      if (outcome !== undefined) {
        served.push([request, outcome]);
        continue;
      }
      waiting.push(request);
      // A follower relies on its relay, so it asks its peers only once: otherwise
      // all followers would ask each other at the end of a budget.
      const mayAsk =
        request.mayAskPeers &&
        !(isSupplied && request.peersAskedSince !== undefined);
      if (decision === WaitDecision.AskPeers && mayAsk) {
        asking.push(request);
      }
    }
    this.queue.replace(account, waiting);
    for (const [request, outcome] of served) {
      this.complete(request, outcome, situation);
    }
    this.askPeers(account, asking, available);
  }

  private decide(
    request: WaitingRequest,
    situation: WaitSituation,
  ): WaitDecision {
    if (request.relayRefusal !== undefined) {
      return request.relayRefusal;
    }
    // Called for each waiting request, so the request is not spread.
    const {tokens, waitingSince, patience, peersAskedSince} = request;
    const awaitsRelay = request.relayQuestion !== undefined;
    return decideTokenWait(
      {tokens, waitingSince, patience, awaitsRelay, peersAskedSince},
      situation,
    );
  }

  /** Ends the wait of a request. */
  private complete(
    request: WaitingRequest,
    outcome: ReservationOutcome,
    situation: WaitSituation,
  ): void {
    const {account, tokens, resolve} = request;
    this.pageOf(account).shares.adjustAwaitedTokens(account, -tokens);
    if (PROVED_OUTCOMES.has(outcome)) {
      this.recordProof(request, situation);
    }
    resolve(outcome);
  }

  /** Remembers a refusal that holds for later requests as well. */
  private recordProof(
    {account, tokens, relayRefusal}: WaitingRequest,
    {reading, readAt}: WaitSituation,
  ): void {
    const {granted} = reading;
    const proof =
      relayRefusal !== undefined
        ? {
            possiblyUnused: 0,
            provedAt: this.relayQuestions.lastReadAt(account) ?? -Infinity,
          }
        : {possiblyUnused: possiblyUnusedTokens(reading), provedAt: readAt};
    this.proofs.record(account, {tokens, granted, ...proof});
  }

  private situationOf(account: string, page: BudgetPage): WaitSituation {
    const view = this.currentView();
    const {now} = view;
    return {
      now,
      reading: page.shares.reading(account, view),
      readAt: now - page.ageAt(now),
      isStoreFailing: page.isFailing(),
    };
  }

  /** Asks the peers for what requests lack together, unless just asked. */
  private askPeers(
    account: string,
    requests: readonly WaitingRequest[],
    available: number,
  ): void {
    const now = this.clock.now();
    const askedAt = this.peersAskedAt.get(account) ?? -Infinity;
    if (requests.length === 0 || now - askedAt < ASK_INTERVAL) {
      return;
    }
    this.peersAskedAt.set(account, now);
    const wanted = requests.reduce((sum, {tokens}) => sum + tokens, 0);
    this.context.requestFromPeers(account, wanted - Math.max(0, available));
    for (const request of requests) {
      request.peersAskedSince ??= now;
    }
  }

  private currentView(): ShareView {
    return {
      now: this.clock.now(),
      instances: this.context.drawingInstanceCount(),
      drawers: this.context.supplierCount(),
      granted: account => this.context.grantedTokens(account),
    };
  }

  private pageOf(account: string): BudgetPage {
    return this.pages[partitionIndex(account, PAGE_COUNT)] as BudgetPage;
  }
}

/** Outcomes of the decisions that end the wait of a request. */
const OUTCOMES: Partial<Record<WaitDecision, ReservationOutcome>> = {
  [WaitDecision.Exhausted]: ReservationOutcome.Exhausted,
  [WaitDecision.Withheld]: ReservationOutcome.Withheld,
  [WaitDecision.Unavailable]: ReservationOutcome.Unavailable,
};

/** Outcomes that hold for later requests as well. */
const PROVED_OUTCOMES: ReadonlySet<ReservationOutcome> = new Set([
  ReservationOutcome.Exhausted,
  ReservationOutcome.Withheld,
]);

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
