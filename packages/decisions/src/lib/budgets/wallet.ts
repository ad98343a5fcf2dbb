/**
 * The budget wallet of one entry. It reserves tokens for requests from the
 * entry's local shares of the budgets, charges finished requests, requests more
 * tokens from peers and the ledger, and keeps copies of peers' charges.
 *
 * An entry is a process that accepts requests of callers; a holder is one
 * incarnation of an entry. The ledger records how many tokens of each budget
 * each holder has taken. It is split into partitions, each of which is one
 * value of a key-value service.
 */
import {LedgerSync} from './ledger_sync.js';
import {WalletState} from './wallet_state.js';
import {SECOND} from '../base/clock.js';
import {TokenAllocator} from './token_allocator.js';
import {ShareBalancer} from './share_balancer.js';
import {WaiterKind} from '../admission/wait_queue.js';
import {
  BudgetRefusal,
  WalletEffectKind,
  WalletEventKind,
} from './wallet_messages.js';
import type {EventOf, WalletEffect, WalletEvent} from './wallet_messages.js';
import type {Millis} from '../base/clock.js';
import type {Settlement} from './ledger.js';
import type {WalletSettings} from './wallet_settings.js';

/** Minimum interval between samples of the spending rates. */
const SAMPLE_INTERVAL: Millis = SECOND;

/** Token counts of one budget at one entry, for the status page. */
export interface ShareStatus {
  budget: string;
  /** Tokens that new requests may reserve. */
  available: number;
  /** Tokens reserved for running requests. */
  held: number;
  /** Tokens charged, but not yet confirmed by the ledger. */
  unsettled: number;
}

/**
 * State machine for the budgets of one entry. It does no input or output: each
 * event returns the effects that the caller must carry out.
 */
export class Wallet {
  private readonly state: WalletState;
  private readonly allocator: TokenAllocator;
  private readonly balancer: ShareBalancer;
  private lastSampleAt: Millis = 0;

  constructor(settings: WalletSettings) {
    this.state = new WalletState(settings, state => new LedgerSync(state));
    this.allocator = new TokenAllocator(this.state);
    this.balancer = new ShareBalancer(this.state, this.allocator);
  }

  /** Processes one event and returns the effects to carry out. */
  handle(event: WalletEvent, now: Millis): WalletEffect[] {
    this.state.effects = [];
    const handler = this.handlers[event.kind] as (
      event: WalletEvent,
      now: Millis,
    ) => void;
    handler(event, now);
    this.state.effects.push(...this.state.partitionTable.startDueCalls(now));
    for (const budget of this.state.waitQueue.budgetsWithWaiters()) {
      this.allocator.serveWaiters(budget, now);
    }
    if (this.state.isDraining) {
      this.continueDrain(now);
    }
    return this.state.effects;
  }

  /** Tokens of the local share of a budget that requests may reserve now. */
  availableTokens(budget: string): number {
    return this.state.availableTokens(budget);
  }

  /** Whether this holder has a record in every ledger partition. */
  isJoined(): boolean {
    return this.state.partitionTable.isJoined();
  }

  /** Whether the last call to the key-value service failed. */
  isLedgerFailing(): boolean {
    return this.state.partitionTable.isFailing();
  }

  /** Token counts of each budget that this entry has used. */
  shareStatuses(): ShareStatus[] {
    return [...this.state.shares].map(([budget, share]) => ({
      budget,
      available: share.availableTokens(),
      held: share.reservedTokens(),
      unsettled: share.unsettledTokens(),
    }));
  }

  private readonly handlers: {
    [K in WalletEventKind]: (event: EventOf<K>, now: Millis) => void;
  } = {
    [WalletEventKind.Reserve]: (event, now) => this.reserve(event, now),
    [WalletEventKind.Release]: ({request}, now) => this.release(request, now),
    [WalletEventKind.Withhold]: ({request}) => {
      // The local share keeps counting the tokens as reserved, so that nobody
      // else spends tokens that the request may have used.
      this.state.chargeTracker.removeReservation(request);
    },
    [WalletEventKind.Settle]: (event, now) => this.settle(event, now),
    [WalletEventKind.LedgerRead]: (event, now) =>
      this.handleLedgerValue(event, now),
    [WalletEventKind.LedgerConflict]: (event, now) =>
      this.handleLedgerValue(event, now),
    [WalletEventKind.LedgerWritten]: ({partition, version}) => {
      this.state.partitionTable.recordSuccess();
      this.state.partitionTable
        .partitionAt(partition)
        .handleWriteConfirmed(version);
    },
    [WalletEventKind.LedgerOutcomeUnknown]: ({partition}, now) =>
      this.state.partitionTable.recordFailure(partition, true, now),
    [WalletEventKind.LedgerUnavailable]: ({partition}, now) =>
      this.state.partitionTable.recordFailure(partition, false, now),
    [WalletEventKind.PeerAsk]: (event, now) =>
      this.allocator.handlePeerAsk(event, now),
    [WalletEventKind.PeerGive]: (event, now) =>
      this.allocator.handlePeerGive(event, now),
    [WalletEventKind.PeerCopy]: (event, now) => this.handlePeerCopy(event, now),
    [WalletEventKind.PeerCopied]: ({digest}) =>
      this.state.reportSecured(digest, true),
    [WalletEventKind.PeerDrop]: ({from, digests}) =>
      this.state.copies.remove(from, digests),
    [WalletEventKind.Peers]: ({peers}) => this.state.peers.setPeers(peers),
    [WalletEventKind.Tick]: (_event, now) => this.handleTick(now),
    [WalletEventKind.Drain]: () => {
      this.state.isDraining = true;
    },
  };

  private handleLedgerValue(
    event: EventOf<WalletEventKind.LedgerRead | WalletEventKind.LedgerConflict>,
    now: Millis,
  ): void {
    const {partition, version, ledger} = event;
    this.state.partitionTable.recordSuccess();
    this.state.effects.push(
      ...this.state.partitionTable
        .partitionAt(partition)
        .handleCurrentLedger(version, ledger, now),
    );
  }

  private reserve(
    {request, budget, tokens}: EventOf<WalletEventKind.Reserve>,
    now: Millis,
  ): void {
    if (this.state.isDraining) {
      const reason = BudgetRefusal.Unavailable;
      this.state.effects.push({
        kind: WalletEffectKind.Refused,
        request,
        reason,
      });
      return;
    }
    const hasWaiters = this.state.waitQueue.hasWaiters(budget);
    if (!hasWaiters && this.state.share(budget).availableTokens() >= tokens) {
      this.allocator.grantTokens(request, budget, tokens);
      return;
    }
    const kind = WaiterKind.Request;
    this.allocator.enqueue(
      budget,
      {kind, id: request, tokens, waitingSince: now},
      now,
    );
  }

  private release(request: string, now: Millis): void {
    const reservation = this.state.chargeTracker.removeReservation(request);
    if (reservation !== undefined) {
      this.state.share(reservation.budget).release(reservation.tokens);
      this.returnUnusedTokens(reservation.budget, now);
    }
  }

  private settle(
    {request, digest, tokens, begun}: EventOf<WalletEventKind.Settle>,
    now: Millis,
  ): void {
    const reservation = this.state.chargeTracker.removeReservation(request);
    if (reservation === undefined) {
      const kind = WalletEffectKind.Secured;
      this.state.effects.push({kind, request, secured: false});
      return;
    }
    const {budget} = reservation;
    const {holder} = this.state.settings;
    // Usage beyond the reservation is not billed; the service bears its cost.
    const chargedTokens = Math.min(tokens, reservation.tokens);
    const settlement = {digest, holder, budget, tokens: chargedTokens, begun};
    this.state.share(budget).charge(reservation.tokens, settlement);
    this.state.changedBudgets.add(budget);
    this.returnUnusedTokens(budget, now);
    const deadline = now + this.state.settings.maxSecureWait;
    this.state.chargeTracker.addUnsecuredCharge(digest, {
      request,
      budget,
      deadline,
    });
    this.sendChargeCopy(settlement, now);
  }

  private sendChargeCopy(settlement: Settlement, now: Millis): void {
    const {budget, digest} = settlement;
    const to = this.state.peers.copyHolderOf(
      this.state.partitionTable.indexOf(budget),
    );
    if (to === undefined) {
      this.state.partitionTable.scheduleWriteOf(budget, now);
      return;
    }
    this.state.chargeTracker.setCopyHolder(digest, to);
    this.state.effects.push({kind: WalletEffectKind.SendCopy, to, settlement});
    // The peer normally writes the charge first, in one batch with those of
    // other entries. This later write is a fallback.
    this.state.partitionTable.scheduleWriteOf(
      budget,
      now + this.state.settings.ownerSettleInterval,
    );
  }

  private returnUnusedTokens(budget: string, now: Millis): void {
    this.allocator.sendSurplusHome(budget, now);
    const unusedTokens = this.state.availableTokens(budget);
    if (
      !this.state.rule.returnsUnusedAtOnce ||
      unusedTokens <= 0 ||
      this.state.waitQueue.hasWaiters(budget)
    ) {
      return;
    }
    this.state.share(budget).returnTokens(unusedTokens);
    this.state.changedBudgets.add(budget);
    this.state.partitionTable.scheduleWriteOf(budget, now);
  }

  private handlePeerCopy(
    {from, settlement}: EventOf<WalletEventKind.PeerCopy>,
    now: Millis,
  ): void {
    if (this.state.peers.isClosed(from) || this.state.isDraining) {
      return;
    }
    const dueAt = now + this.state.settings.copySettleInterval;
    this.state.copies.add(settlement);
    this.state.partitionTable.scheduleWriteOf(settlement.budget, dueAt);
    const {digest} = settlement;
    this.state.effects.push({
      kind: WalletEffectKind.SendCopied,
      to: from,
      digest,
    });
  }

  private handleTick(now: Millis): void {
    for (const {digest, budget} of this.state.chargeTracker.overdueCharges(
      now,
    )) {
      this.state.reportSecured(digest, false);
      this.state.partitionTable.scheduleWriteOf(budget, now);
    }
    if (now - this.lastSampleAt >= SAMPLE_INTERVAL) {
      this.lastSampleAt = now;
      this.balancer.balanceShares(now);
    }
  }

  private continueDrain(now: Millis): void {
    if (
      this.state.isIdle() &&
      !this.state.partitionTable.scheduleLeaving(now)
    ) {
      this.state.effects.push({kind: WalletEffectKind.Left});
      this.state.isDraining = false;
    }
  }
}
