/**
 * Keeps the local shares at their target size: refills low shares ahead of need
 * and returns idle tokens.
 */
import {GiveState} from './token_search.js';
import {countUnallocatedTokens} from './ledger.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {LocalShare} from './local_share.js';
import type {WalletState} from './wallet_state.js';
import type {Millis} from '../base/clock.js';
import type {TokenAllocator} from './token_allocator.js';

/** Delay of ledger writes that no request waits for. */
const REFILL_DELAY: Millis = 500;

/**
 * If less than this fraction of a grant is unallocated, entries return tokens
 * that they are unlikely to need soon.
 */
const LOW_UNALLOCATED_FRACTION = 0.25;

/**
 * When few tokens are unallocated, tokens of a share beyond this multiple of
 * the expected spending within the horizon are idle.
 */
const IDLE_MULTIPLE = 3;

/** Balances the local shares of one wallet. Internal to the wallet. */
export class ShareBalancer {
  constructor(
    private readonly state: WalletState,
    private readonly allocator: TokenAllocator,
  ) {}

  /** Samples the spending rates, then refills or reduces each share. */
  balanceShares(now: Millis): void {
    for (const [budget, share] of this.state.shares) {
      share.sampleSpendingRate(now);
      this.refill(budget, now);
      this.returnIdleTokens(budget, share, now);
    }
  }

  /** Requests tokens before requests have to wait for them. */
  private refill(budget: string, now: Millis): void {
    const request = this.state.allocationRequestFor(budget);
    const isPaused = now < (this.state.refillPausedUntil.get(budget) ?? 0);
    const isBlocked =
      isPaused ||
      this.state.isScarce(budget) ||
      !this.state.hasUnallocatedTokens(budget);
    if (request === undefined || isBlocked) {
      return;
    }
    const to = this.state.homeOf(budget);
    if (to === undefined) {
      this.state.partitionTable.scheduleWriteOf(budget, now + REFILL_DELAY);
    } else {
      const tokens = Math.ceil(request.desiredTokens);
      this.state.effects.push({
        kind: WalletEffectKind.SendAsk,
        to,
        budget,
        tokens,
      });
    }
  }

  /** Returns idle tokens to the home entry, or to the ledger without one. */
  private returnIdleTokens(
    budget: string,
    share: LocalShare,
    now: Millis,
  ): void {
    const record = this.state.partitionTable.budgetRecordOf(budget);
    if (record === undefined || !this.state.rule.asksPeers) {
      return;
    }
    const {maxGrantFraction, horizon} = this.state.settings.shareLimits;
    const maxTokens = record.granted * maxGrantFraction;
    const isUnallocatedLow =
      countUnallocatedTokens(record) <
      record.granted * LOW_UNALLOCATED_FRACTION;
    const idleThreshold = IDLE_MULTIPLE * share.spendingRate() * horizon;
    const tokensToKeep = isUnallocatedLow
      ? Math.min(maxTokens, idleThreshold)
      : maxTokens;
    const idleTokens = Math.floor(share.availableTokens() - tokensToKeep);
    if (idleTokens <= 0 || this.state.waitQueue.hasWaiters(budget)) {
      return;
    }
    const home = this.state.homeOf(budget);
    if (home !== undefined) {
      this.allocator.sendTokens(home, budget, idleTokens, GiveState.Short);
      return;
    }
    share.returnTokens(idleTokens);
    this.state.changedBudgets.add(budget);
    this.state.partitionTable.scheduleWriteOf(budget, now + REFILL_DELAY);
  }
}
