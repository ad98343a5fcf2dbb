/**
 * Token allocation of one wallet: grants tokens to waiting requests, requests
 * missing tokens from peers and the ledger, and transfers tokens to peers.
 */
import {
  GiveState,
  SEARCH_RESULT_LIFETIME,
  SearchStage,
  TokenSearch,
} from './token_search.js';
import {SECOND} from '../base/clock.js';
import {countUnallocatedTokens} from './ledger.js';
import {WaiterKind} from '../admission/wait_queue.js';
import {BudgetRefusal, WalletEffectKind} from './wallet_messages.js';
import type {WalletState} from './wallet_state.js';
import type {EventOf, WalletEventKind} from './wallet_messages.js';
import type {Millis} from '../base/clock.js';
import type {Waiter} from '../admission/wait_queue.js';

/** Period of spending that a request to a peer adds to the shortfall. */
const PEER_PREFETCH_TIME: Millis = 2 * SECOND;

/** How long a budget counts as scarce after a peer reported it exhausted. */
const SCARCE_DURATION: Millis = 2 * SECOND;

/** How long refills pause after the home entry sent less than requested. */
const REFILL_PAUSE: Millis = 2 * SECOND;

/**
 * Allocates the tokens of one wallet to requests and peers. Internal to the
 * wallet.
 */
export class TokenAllocator {
  private readonly searches = new Map<string, TokenSearch>();

  constructor(private readonly state: WalletState) {}

  /**
   * Reserves tokens for a request. The caller has checked that the local share
   * has enough.
   */
  grantTokens(request: string, budget: string, tokens: number): void {
    this.state.share(budget).reserve(tokens);
    this.state.chargeTracker.addReservation(request, {budget, tokens});
    this.state.effects.push({kind: WalletEffectKind.Granted, request});
  }

  /** Adds a request or a peer to the wait queue of a budget. */
  enqueue(budget: string, waiter: Waiter, now: Millis): void {
    this.state.share(budget);
    this.state.waitQueue.add(budget, waiter);
    const waitsForLedger =
      this.searches.get(budget)?.currentStage() === SearchStage.Ledger;
    if (waiter.kind === WaiterKind.Peer || waitsForLedger) {
      this.requestFromLedger(budget, now);
    }
  }

  /**
   * Schedules a ledger write that requests tokens, unless a recent view of the
   * ledger shows that none are unallocated.
   */
  private requestFromLedger(budget: string, now: Millis): void {
    const {ledgerAsOf} = this.state.partitionTable.partitionOf(budget).state();
    if (
      ledgerAsOf < now - SEARCH_RESULT_LIFETIME ||
      this.state.hasUnallocatedTokens(budget)
    ) {
      this.state.partitionTable.scheduleWriteOf(budget, now);
    }
  }

  /** Advances the search for a budget through all stages that are complete. */
  private advanceSearch(budget: string, now: Millis): void {
    if (!this.state.waitQueue.hasWaitingRequest(budget)) {
      return;
    }
    const neededTokens = this.state.waitQueue.firstWaiter(budget)?.tokens ?? 0;
    let search = this.searches.get(budget);
    if (search === undefined || search.isObsoleteFor(neededTokens, now)) {
      search = this.startSearch(budget, neededTokens, now);
    }
    let previousStage: SearchStage;
    do {
      previousStage = search.currentStage();
      this.stageHandlers[previousStage](budget, search, now);
    } while (search.currentStage() !== previousStage);
  }

  private startSearch(
    budget: string,
    neededTokens: number,
    now: Millis,
  ): TokenSearch {
    const home = this.state.homeOf(budget);
    const search = new TokenSearch(now, neededTokens, home);
    this.searches.set(budget, search);
    if (home === undefined) {
      this.requestFromLedger(budget, now);
    } else {
      this.requestFromPeer(home, budget);
    }
    return search;
  }

  /** Requests the shortfall of a budget, and some tokens more, from a peer. */
  private requestFromPeer(to: string, budget: string): void {
    const prefetch = this.state.isScarce(budget)
      ? 0
      : this.prefetchTokens(budget);
    const tokens = Math.ceil(this.state.shortfall(budget) + prefetch);
    this.state.effects.push({
      kind: WalletEffectKind.SendAsk,
      to,
      budget,
      tokens,
    });
  }

  /**
   * Tokens to request from peers beyond the shortfall: at most half of what one
   * holder may keep.
   */
  private prefetchTokens(budget: string): number {
    const record = this.state.partitionTable.budgetRecordOf(budget);
    const maxTokens =
      (record?.granted ?? 0) * this.state.settings.shareLimits.maxGrantFraction;
    const expectedSpending =
      this.state.share(budget).spendingRate() * PEER_PREFETCH_TIME;
    return Math.min(expectedSpending, maxTokens / 2);
  }

  private readonly stageHandlers: Record<
    SearchStage,
    (budget: string, search: TokenSearch, now: Millis) => void
  > = {
    [SearchStage.Home]: (budget, search, now) => {
      if (search.isStageComplete(now)) {
        search.enterLedgerStage(now);
        this.requestFromLedger(budget, now);
      }
    },
    [SearchStage.Ledger]: (budget, search, now) => {
      const isExhausted = this.isLedgerExhausted(
        budget,
        search.neededTokens,
        search.startedAt,
      );
      if (isExhausted || this.state.partitionTable.isFailing()) {
        search.isLedgerExhausted = isExhausted;
        this.requestFromPeers(budget, search, now);
      }
    },
    [SearchStage.Peers]: (_budget, search, now) => {
      if (search.isStageComplete(now)) {
        search.endWithoutSuccess(now);
      }
    },
    [SearchStage.Ended]: () => undefined,
  };

  private requestFromPeers(
    budget: string,
    search: TokenSearch,
    now: Millis,
  ): void {
    const {joined} = this.state.partitionTable.partitionOf(budget).state();
    const askedPeers =
      joined && this.state.rule.asksPeers
        ? this.state.peers.pickPeersToAsk(this.state.homeOf(budget) ?? '')
        : [];
    search.enterPeerStage(askedPeers, now);
    for (const to of askedPeers) {
      this.requestFromPeer(to, budget);
    }
  }

  /** Answers the waiters of a budget in order, as far as possible now. */
  serveWaiters(budget: string, now: Millis): void {
    this.advanceSearch(budget, now);
    let waiter = this.state.waitQueue.firstWaiter(budget);
    while (waiter !== undefined) {
      const isCovered = this.state.availableTokens(budget) >= waiter.tokens;
      if (!isCovered && !this.mustAnswerNow(budget, waiter, now)) {
        return;
      }
      this.state.waitQueue.removeFirst(budget);
      this.answerWaiter(budget, waiter, isCovered);
      waiter = this.state.waitQueue.firstWaiter(budget);
    }
    this.discardUnfinishedSearch(budget);
    this.sendSurplusHome(budget, now);
  }

  /**
   * Discards the search of a budget that has no waiters left. A search that
   * ended without success stays, so that its result also answers later requests
   * until it expires.
   */
  private discardUnfinishedSearch(budget: string): void {
    if (this.searches.get(budget)?.currentStage() !== SearchStage.Ended) {
      this.searches.delete(budget);
    }
  }

  /**
   * Whether a waiter must be answered now although too few tokens are
   * available: no source has enough, or the maximum wait is over.
   */
  private mustAnswerNow(budget: string, waiter: Waiter, now: Millis): boolean {
    if (now - waiter.waitingSince >= this.state.settings.maxReservationWait) {
      return true;
    }
    if (waiter.kind === WaiterKind.Peer) {
      const {tokens, waitingSince} = waiter;
      return (
        this.state.partitionTable.isFailing() ||
        this.isLedgerExhausted(budget, tokens, waitingSince)
      );
    }
    const search = this.searches.get(budget);
    const hasEnded = search?.currentStage() === SearchStage.Ended;
    const isRecent =
      hasEnded &&
      search.startedAt >= waiter.waitingSince - SEARCH_RESULT_LIFETIME;
    return isRecent && waiter.tokens >= search.neededTokens;
  }

  /**
   * Whether the last known ledger and the local share together have fewer than
   * `tokens`. False if that ledger view is too old for a wait that began at
   * `since`. A policy that cannot take more counts no tokens in the ledger.
   */
  private isLedgerExhausted(
    budget: string,
    tokens: number,
    since: Millis,
  ): boolean {
    const {ledgerAsOf} = this.state.partitionTable.partitionOf(budget).state();
    const record = this.state.partitionTable.budgetRecordOf(budget);
    const unallocatedTokens =
      record === undefined || !this.state.rule.canTakeMore
        ? 0
        : countUnallocatedTokens(record);
    const isInsufficient =
      unallocatedTokens + this.state.availableTokens(budget) < tokens;
    return isInsufficient && ledgerAsOf >= since - SEARCH_RESULT_LIFETIME;
  }

  private answerWaiter(
    budget: string,
    waiter: Waiter,
    isCovered: boolean,
  ): void {
    if (waiter.kind === WaiterKind.Peer) {
      const isExhausted = this.isLedgerExhausted(
        budget,
        waiter.tokens,
        waiter.waitingSince,
      );
      const {Exhausted, Short} = GiveState;
      this.sendTokens(
        waiter.id,
        budget,
        waiter.tokens,
        isExhausted ? Exhausted : Short,
      );
    } else if (isCovered) {
      this.grantTokens(waiter.id, budget, waiter.tokens);
    } else {
      const isExhausted = this.searches.get(budget)?.isLedgerExhausted ?? false;
      const {Exhausted, Unavailable} = BudgetRefusal;
      const reason = isExhausted ? Exhausted : Unavailable;
      const kind = WalletEffectKind.Refused;
      this.state.effects.push({kind, request: waiter.id, reason});
    }
  }

  /**
   * Transfers up to `tokens` to another holder and reports the result to it;
   * `shortfallState` is the state to report if less is sent.
   */
  sendTokens(
    to: string,
    budget: string,
    tokens: number,
    shortfallState: GiveState,
  ): void {
    const share = this.state.share(budget);
    // Without a record of this holder in the partition, a transfer could not be
    // accounted for when the share of a failed holder is released.
    const {joined} = this.state.partitionTable.partitionOf(budget).state();
    const isAllowed = joined && !this.state.peers.isClosed(to);
    const maxTokens = isAllowed ? Math.max(0, share.availableTokens()) : 0;
    const amount = Math.min(maxTokens, tokens);
    if (amount > 0) {
      share.recordSent(to, amount);
      this.state.changedBudgets.add(budget);
    }
    const total = share.totalSentTo(to);
    const state = amount < tokens ? shortfallState : GiveState.Enough;
    const kind = WalletEffectKind.SendGive;
    this.state.effects.push({kind, to, budget, total, state});
  }

  /** Handles a request of another entry for tokens. */
  handlePeerAsk(
    {from, budget, tokens}: EventOf<WalletEventKind.PeerAsk>,
    now: Millis,
  ): void {
    if (this.state.peers.isClosed(from) || !this.state.rule.asksPeers) {
      return;
    }
    const hasEnough = this.state.availableTokens(budget) >= tokens;
    const hasWaiters = this.state.waitQueue.hasWaiters(budget);
    const servesFromLedger =
      this.state.homeOf(budget) === undefined && !this.state.isDraining;
    if (servesFromLedger && (hasWaiters || !hasEnough)) {
      const kind = WaiterKind.Peer;
      this.enqueue(budget, {kind, id: from, tokens, waitingSince: now}, now);
      return;
    }
    // If two entries with waiting requests ask each other for tokens, one must
    // yield: only the one with the greater holder name gives its tokens away.
    const mayGive = !hasWaiters || from < this.state.settings.holder;
    this.sendTokens(from, budget, mayGive ? tokens : 0, GiveState.Short);
  }

  /** Handles the answer of another entry to a request for tokens. */
  handlePeerGive(
    {from, budget, total, state}: EventOf<WalletEventKind.PeerGive>,
    now: Millis,
  ): void {
    const {joined} = this.state.partitionTable.partitionOf(budget).state();
    if (this.state.peers.isClosed(from) || !joined) {
      return;
    }
    if (this.state.share(budget).recordReceived(from, total)) {
      this.state.changedBudgets.add(budget);
      this.state.partitionTable.scheduleWriteOf(
        budget,
        now + this.state.settings.ownerSettleInterval,
      );
    }
    if (state !== GiveState.Enough && from === this.state.homeOf(budget)) {
      this.state.refillPausedUntil.set(budget, now + REFILL_PAUSE);
    }
    if (state === GiveState.Exhausted) {
      this.state.scarceUntil.set(budget, now + SCARCE_DURATION);
    }
    this.recordPeerAnswer(budget, from, state, now);
  }

  /** Records a peer's answer and advances the search that waited for it. */
  private recordPeerAnswer(
    budget: string,
    from: string,
    state: GiveState,
    now: Millis,
  ): void {
    const search = this.searches.get(budget);
    if (
      !search?.recordAnswer(from) ||
      search.currentStage() !== SearchStage.Home
    ) {
      return;
    }
    if (state === GiveState.Enough) {
      this.searches.delete(budget);
    } else if (state === GiveState.Exhausted) {
      search.isLedgerExhausted = true;
      this.requestFromPeers(budget, search, now);
    }
  }

  /**
   * Sends the unreserved tokens of a scarce budget to its home entry. The rest
   * of the budget is then in one place, and no request is refused because the
   * tokens it needs are spread over several entries.
   */
  sendSurplusHome(budget: string, now: Millis): void {
    const scarceUntil = this.state.scarceUntil.get(budget);
    if (scarceUntil === undefined) {
      return;
    }
    if (now >= scarceUntil) {
      this.state.scarceUntil.delete(budget);
      return;
    }
    const home = this.state.homeOf(budget);
    const surplus = this.state.availableTokens(budget);
    if (
      home !== undefined &&
      surplus > 0 &&
      !this.state.waitQueue.hasWaiters(budget)
    ) {
      this.sendTokens(home, budget, surplus, GiveState.Short);
    }
  }
}
