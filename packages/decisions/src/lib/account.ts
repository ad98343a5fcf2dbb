/**
 * One holder's own account of one budget. Nothing here talks to anyone; the
 * wallet decides when to ask for more.
 */
import type {Position} from './ledger_batch.js';
import type {Settlement, Share} from './ledger.js';
import type {Millis} from './clock.js';

/** Part of a new rate sample in the running average. */
const RATE_WEIGHT = 0.2;

/** Counts of one budget at one holder, in tokens. */
export class Account {
  private taken = 0;
  private returned = 0;
  private billed = 0;
  private held = 0;
  private pendingTokens = 0;
  private used = 0;
  private rate = 0;
  private ratedAt: Millis | undefined;
  private readonly sent: Record<string, number> = {};
  private readonly received: Record<string, number> = {};
  private readonly pending: Settlement[] = [];

  /** Tokens that may be committed now. */
  available(): number {
    return this.balance() - this.held;
  }

  /** Tokens of this holder that are neither billed nor waiting to be. */
  balance(): number {
    let moved = 0;
    for (const count of Object.values(this.received)) {
      moved += count;
    }
    for (const count of Object.values(this.sent)) {
      moved -= count;
    }
    return (
      this.taken - this.returned + moved - this.billed - this.pendingTokens
    );
  }

  /** Tokens committed to runs that are not over. */
  heldTokens(): number {
    return this.held;
  }

  /** Charges that the ledger has not confirmed. */
  unsettled(): readonly Settlement[] {
    return this.pending;
  }

  /** Tokens of charges that the ledger has not confirmed. */
  unsettledTokens(): number {
    return this.pendingTokens;
  }

  /** Commits `tokens` to a run. */
  hold(tokens: number): void {
    this.held += tokens;
    this.used += tokens;
  }

  /** Frees the commitment of a run that used nothing. */
  free(tokens: number): void {
    this.held -= tokens;
    this.used -= tokens;
  }

  /** Turns the commitment of a run into a charge. */
  charge(held: number, settlement: Settlement): void {
    this.held -= held;
    this.used -= held - settlement.tokens;
    this.pendingTokens += settlement.tokens;
    this.pending.push(settlement);
  }

  /** Sends tokens to another holder; returns the total ever sent to it. */
  send(to: string, tokens: number): number {
    this.sent[to] = (this.sent[to] ?? 0) + tokens;
    return this.sent[to];
  }

  /** Total ever sent to another holder, in tokens. */
  sentTo(to: string): number {
    return this.sent[to] ?? 0;
  }

  /** Notes the total ever received from another holder. */
  receive(from: string, total: number): boolean {
    if (total <= (this.received[from] ?? 0)) {
      return false;
    }
    this.received[from] = total;
    return true;
  }

  /** Gives tokens back to the ledger with the next batch. */
  giveBack(tokens: number): void {
    this.returned += tokens;
  }

  /** The counts that only this holder knows. */
  position(): Position {
    return {
      returned: this.returned,
      sent: {...this.sent},
      received: {...this.received},
    };
  }

  /**
   * Takes over the ledger's counts.
   * @param isSettled whether a charge is dealt with in these counts.
   * @return the charges that were dealt with.
   */
  absorb(
    share: Share,
    isSettled: (settlement: Settlement) => boolean,
  ): Settlement[] {
    const settled: Settlement[] = [];
    this.taken = share.taken;
    this.billed = share.billed;
    for (const [from, total] of Object.entries(share.received)) {
      this.receive(from, total);
    }
    for (let i = this.pending.length - 1; i >= 0; i--) {
      const settlement = this.pending[i];
      if (settlement !== undefined && isSettled(settlement)) {
        this.pending.splice(i, 1);
        this.pendingTokens -= settlement.tokens;
        settled.push(settlement);
      }
    }
    return settled;
  }

  /** Takes a sample of the spending rate. */
  sample(now: Millis): void {
    const span = this.ratedAt === undefined ? 0 : now - this.ratedAt;
    this.ratedAt = now;
    if (span > 0) {
      const seen = Math.max(0, this.used) / span;
      this.rate += RATE_WEIGHT * (seen - this.rate);
      this.used = 0;
    }
  }

  /** Spending rate in tokens a millisecond. */
  spendingRate(): number {
    return this.rate;
  }
}
