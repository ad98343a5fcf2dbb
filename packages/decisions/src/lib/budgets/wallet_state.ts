/**
 * State shared by the components of a wallet: local shares, charges, ledger
 * partitions, peers and the wait queue.
 */
import {LocalShare} from './local_share.js';
import {BUDGET_RULES} from './budget_policy.js';
import {ChargeTracker} from './charge_tracker.js';
import {ChargeCopyStore} from './charge_copy_store.js';
import {budgetOf, countOpenHolders, countUnallocatedTokens} from './ledger.js';
import {PartitionTable} from './partition_table.js';
import {PeerTable} from '../fleet/peer_table.js';
import {WaitQueue} from '../admission/wait_queue.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {BudgetRule} from './budget_policy.js';
import type {Millis} from '../base/clock.js';
import type {PartitionOwner} from './partition.js';
import type {AllocationRequest} from './ledger_batch.js';
import type {WalletEffect} from './wallet_messages.js';
import type {WalletSettings} from './wallet_settings.js';

/** The state of one wallet. Internal to the wallet. */
export class WalletState {
  readonly rule: BudgetRule;
  /** Local shares by budget. */
  readonly shares = new Map<string, LocalShare>();
  readonly waitQueue = new WaitQueue();
  readonly peers: PeerTable;
  readonly chargeTracker = new ChargeTracker();
  /** Copies of charges that this entry keeps for peers. */
  readonly copies = new ChargeCopyStore();
  /** Budgets whose share or charges changed since the last ledger batch. */
  readonly changedBudgets = new Set<string>();
  /** Time until which the share of each budget is not refilled in advance. */
  readonly refillPausedUntil = new Map<string, Millis>();
  /** Time until which each budget in the map counts as scarce. */
  readonly scarceUntil = new Map<string, Millis>();
  readonly partitionTable: PartitionTable;
  /** Whether the process is about to stop and takes no more requests. */
  isDraining = false;
  /** Effects of the event being handled; returned to the caller. */
  effects: WalletEffect[] = [];

  constructor(
    readonly settings: WalletSettings,
    createOwner: (state: WalletState) => PartitionOwner,
  ) {
    this.rule = BUDGET_RULES[settings.policy];
    const {partitionCount, minWriteInterval, holder, zone} = settings;
    this.peers = new PeerTable({holder, zone}, settings.maxPeersAsked);
    this.partitionTable = new PartitionTable(
      partitionCount,
      createOwner(this),
      minWriteInterval,
    );
  }

  /** The local share of a budget; created on first use. */
  share(budget: string): LocalShare {
    let share = this.shares.get(budget);
    if (share === undefined) {
      share = new LocalShare();
      this.shares.set(budget, share);
      this.partitionTable.registerBudget(budget);
    }
    return share;
  }

  /** Whether the last known ledger has unallocated tokens of a budget. */
  hasUnallocatedTokens(budget: string): boolean {
    const record = this.partitionTable.budgetRecordOf(budget);
    return record !== undefined && countUnallocatedTokens(record) > 0;
  }

  /** Tokens that all waiters of a budget need beyond those available. */
  shortfall(budget: string): number {
    return Math.max(
      0,
      this.waitQueue.requestedTokens(budget) - this.availableTokens(budget),
    );
  }

  /**
   * The home entry of a budget, which takes tokens from the ledger for all
   * entries. Undefined if this entry should ask the ledger itself: it is the
   * home entry, it has no record in the partition, or the policy asks no peers.
   */
  homeOf(budget: string): string | undefined {
    const home = this.peers.homeOf(this.partitionTable.indexOf(budget));
    const isThisEntry = home === this.settings.holder;
    const {joined} = this.partitionTable.partitionOf(budget).state();
    return isThisEntry || !joined || !this.rule.asksPeers ? undefined : home;
  }

  /** Whether a budget is scarce: a peer recently reported it exhausted. */
  isScarce(budget: string): boolean {
    return this.scarceUntil.has(budget);
  }

  /**
   * Ends the wait for a charge, if a request waits for it. `secured` tells
   * whether the charge is in the ledger or copied to another entry.
   */
  reportSecured(digest: string, secured: boolean): void {
    const request = this.chargeTracker.removeUnsecuredCharge(digest);
    if (request !== undefined) {
      this.effects.push({kind: WalletEffectKind.Secured, request, secured});
    }
  }

  /** Tokens of a budget to request from the ledger; undefined if none. */
  allocationRequestFor(budget: string): AllocationRequest | undefined {
    const share = this.share(budget);
    const ledger = this.partitionTable.ledgerOf(budget);
    const record = ledger && budgetOf(ledger, budget);
    const isLeaving = this.isDraining && !this.waitQueue.hasWaiters(budget);
    if (ledger === undefined || record === undefined || isLeaving) {
      return undefined;
    }
    const {holder, declaredEntries, shareLimits} = this.settings;
    const view = {
      granted: record.granted,
      shortfall: this.shortfall(budget),
      available: share.availableTokens(),
      taken: record.shares[holder]?.taken ?? 0,
      spendingRate: share.spendingRate(),
      openHolders: countOpenHolders(ledger),
      declaredEntries,
    };
    return this.rule.computeAllocationRequest(view, shareLimits);
  }

  /** Whether no request is running and nobody waits for tokens. */
  isIdle(): boolean {
    return this.chargeTracker.hasNoReservations() && this.waitQueue.isEmpty();
  }

  /** Tokens of the local share of a budget that requests may reserve now. */
  availableTokens(budget: string): number {
    return this.shares.get(budget)?.availableTokens() ?? 0;
  }
}
