/**
 * Local bookkeeping of one holder's share of one budget. It sends no messages;
 * the wallet decides when to request more tokens.
 */
import type {ReportedCounts} from './ledger_batch.js';
import type {Settlement, Share} from './ledger.js';
import type {Millis} from '../base/clock.js';

/** Weight of a new sample in the moving average of the spending rate. */
const RATE_WEIGHT = 0.2;

/** One holder's share of one budget. All counts are in tokens. */
export class LocalShare {
  /** Total ever taken from the ledger. */
  private taken = 0;
  /** Total ever returned to the ledger. */
  private returned = 0;
  /** Total ever billed to this holder in the ledger. */
  private billed = 0;
  /** Tokens reserved for requests that have not been settled or released. */
  private reserved = 0;
  /** Tokens of `pendingCharges`. */
  private pendingTokens = 0;
  /** Tokens reserved since the last rate sample, less those not used. */
  private usedSinceSample = 0;
  /** Moving average of the spending rate, in tokens per millisecond. */
  private rate = 0;
  private lastSampleAt: Millis | undefined;
  /** Total ever sent to each holder. */
  private readonly sent: Record<string, number> = {};
  /** Total ever received from each holder. */
  private readonly received: Record<string, number> = {};
  /** Charges that the ledger has not confirmed. */
  private readonly pendingCharges: Settlement[] = [];

  /** Tokens that may be reserved now. */
  availableTokens(): number {
    return this.balance() - this.reserved;
  }

  /** Tokens of this holder that are not charged; includes reserved ones. */
  balance(): number {
    let netReceived = 0;
    for (const count of Object.values(this.received)) {
      netReceived += count;
    }
    for (const count of Object.values(this.sent)) {
      netReceived -= count;
    }
    return (
      this.taken -
      this.returned +
      netReceived -
      this.billed -
      this.pendingTokens
    );
  }

  /** Tokens reserved for requests that have not been settled or released. */
  reservedTokens(): number {
    return this.reserved;
  }

  /** Charges that the ledger has not confirmed. */
  unsettledCharges(): readonly Settlement[] {
    return this.pendingCharges;
  }

  /** Tokens of charges that the ledger has not confirmed. */
  unsettledTokens(): number {
    return this.pendingTokens;
  }

  /** Reserves tokens for a request. */
  reserve(tokens: number): void {
    this.reserved += tokens;
    this.usedSinceSample += tokens;
  }

  /** Releases the reservation of a request that used nothing. */
  release(tokens: number): void {
    this.reserved -= tokens;
    this.usedSinceSample -= tokens;
  }

  /** Replaces a reservation by a charge, which may be smaller. */
  charge(reservedTokens: number, settlement: Settlement): void {
    this.reserved -= reservedTokens;
    this.usedSinceSample -= reservedTokens - settlement.tokens;
    this.pendingTokens += settlement.tokens;
    this.pendingCharges.push(settlement);
  }

  /** Records a transfer; returns the total ever sent to the recipient. */
  recordSent(to: string, tokens: number): number {
    this.sent[to] = (this.sent[to] ?? 0) + tokens;
    return this.sent[to];
  }

  /** Total ever sent to another holder. */
  totalSentTo(to: string): number {
    return this.sent[to] ?? 0;
  }

  /**
   * Records the total ever received from another holder; false if it is not
   * larger than the total known before.
   */
  recordReceived(from: string, total: number): boolean {
    if (total <= (this.received[from] ?? 0)) {
      return false;
    }
    this.received[from] = total;
    return true;
  }

  /** Records tokens to return to the ledger with the next batch. */
  returnTokens(tokens: number): void {
    this.returned += tokens;
  }

  /** Returns a copy of the counts that this holder reports to the ledger. */
  reportedCounts(): ReportedCounts {
    return {
      returned: this.returned,
      sent: {...this.sent},
      received: {...this.received},
    };
  }

  /**
   * Replaces the local counts by those of the ledger.
   * @param isSettled whether a charge is already accounted for in the ledger.
   * @return the pending charges that are now settled.
   */
  applyLedgerShare(
    ledgerShare: Share,
    isSettled: (settlement: Settlement) => boolean,
  ): Settlement[] {
    const settled: Settlement[] = [];
    this.taken = ledgerShare.taken;
    this.billed = ledgerShare.billed;
    for (const [from, total] of Object.entries(ledgerShare.received)) {
      this.recordReceived(from, total);
    }
    for (let i = this.pendingCharges.length - 1; i >= 0; i--) {
      const settlement = this.pendingCharges[i];
      if (settlement !== undefined && isSettled(settlement)) {
        this.pendingCharges.splice(i, 1);
        this.pendingTokens -= settlement.tokens;
        settled.push(settlement);
      }
    }
    return settled;
  }

  /** Updates the spending rate with the spending since the last sample. */
  sampleSpendingRate(now: Millis): void {
    const elapsed =
      this.lastSampleAt === undefined ? 0 : now - this.lastSampleAt;
    this.lastSampleAt = now;
    if (elapsed > 0) {
      const sampledRate = Math.max(0, this.usedSinceSample) / elapsed;
      this.rate += RATE_WEIGHT * (sampledRate - this.rate);
      this.usedSinceSample = 0;
    }
  }

  /** Average spending rate in tokens per millisecond. */
  spendingRate(): number {
    return this.rate;
  }
}
