/**
 * What one process has done with the tokens that it took from one budget, and
 * what it needs of them.
 */
import {SpendingRate} from './spending_rate.js';
import type {Millis} from '../base/clock.js';

/** Time for which the limit of a share lasts at the long-term spending rate. */
const LIMIT_HORIZON: Millis = 2_500;

/** Fraction of a share that the limit allows to be used without demand. */
const IDLE_LIMIT_FRACTION = 0.2;

/**
 * An instance that gets its tokens from a relay refills its share when that
 * falls below this fraction of its target size.
 */
const FOLLOWER_REFILL_THRESHOLD = 0.5;

/** It reduces its share when that exceeds this multiple of its target size. */
const FOLLOWER_SURPLUS_MULTIPLE = 2;

/**
 * Fraction of the largest reservation below which a surplus is kept, as giving
 * it back costs a message.
 */
const MIN_SURPLUS_FRACTION = 0.25;

/**
 * Minimum time between two parts of a surplus. A share that was taken from the
 * store becomes usable little by little.
 */
const SURPLUS_INTERVAL: Millis = 1_000;

/** The use of the tokens that one process took from one budget. */
export class AccountShare {
  private spent = 0;
  private reserved = 0;
  private netGiven = 0;
  private awaited = 0;
  private largest = 0;
  /** When a surplus was last given back. */
  private surplusGivenAt: Millis = -Infinity;
  private readonly spendingRate = new SpendingRate();

  /** Tokens spent by requests that have ended. */
  spentTokens(): number {
    return this.spent;
  }

  /** Tokens reserved for running requests: the maximum that each may use. */
  reservedTokens(): number {
    return this.reserved;
  }

  /** Tokens given to peers minus tokens received from them. */
  givenTokens(): number {
    return this.netGiven;
  }

  /** Tokens that are spent, reserved, or given to peers on balance. */
  usedTokens(): number {
    return this.spent + this.reserved + this.netGiven;
  }

  /** Tokens that waiting requests need. */
  awaitedTokens(): number {
    return this.awaited;
  }

  /** Largest reservation that was wanted so far, in tokens. */
  largestReservation(): number {
    return this.largest;
  }

  /** The rate at which tokens are reserved. */
  rate(): SpendingRate {
    return this.spendingRate;
  }

  /** Records that a request wants to reserve tokens. */
  recordDemand(tokens: number): void {
    this.largest = Math.max(this.largest, tokens);
  }

  /** Reserves tokens; the caller has checked that they are available. */
  reserve(tokens: number): void {
    this.reserved += tokens;
    this.spendingRate.record(tokens);
  }

  /** Ends a reservation of which `used` tokens were consumed. */
  settle(reserved: number, used: number): void {
    this.reserved -= reserved;
    this.spent += Math.min(reserved, Math.max(0, used));
  }

  /** Ends a reservation whose tokens now count as given to a peer. */
  transferReservation(tokens: number): void {
    this.reserved -= tokens;
    this.netGiven += tokens;
  }

  /** Adds to the awaited tokens; a negative number means fewer. */
  adjustAwaitedTokens(tokens: number): void {
    this.awaited += tokens;
  }

  /** Counts tokens as given to a peer; a negative number means received. */
  give(tokens: number): void {
    this.netGiven += tokens;
  }

  /**
   * Returns the most tokens that the process may use in all until it next writes
   * its entry, if it then holds `held` unused ones.
   */
  limit(held: number): number {
    const margin = Math.max(
      this.spendingRate.longTerm() * LIMIT_HORIZON,
      held * IDLE_LIMIT_FRACTION,
    );
    const usable = Math.min(held, this.awaited + margin);
    return Math.floor(this.usedTokens() + usable);
  }

  /**
   * Returns how many tokens an instance that is supplied by a relay lacks
   * (positive) or can spare (negative) if its share is to last for `horizon` at
   * the current spending rate. A share above its maximum is reduced well below
   * it, so that a falling rate does not cause a message with each sample.
   */
  imbalance(available: number, horizon: Millis): number {
    const targetSize = this.spendingRate.recent() * horizon;
    if (available < targetSize * FOLLOWER_REFILL_THRESHOLD) {
      return Math.ceil(targetSize - available);
    }
    const maxAvailable = targetSize * FOLLOWER_SURPLUS_MULTIPLE + this.largest;
    const surplus = Math.floor(available - targetSize - this.largest);
    const isWorthwhile = surplus >= this.largest * MIN_SURPLUS_FRACTION;
    return available > maxAvailable && isWorthwhile ? -surplus : 0;
  }

  /**
   * Returns how many tokens are to be given back to the relay now; see
   * `imbalance`. After one part, it returns 0 for a while.
   */
  takeSurplus(available: number, horizon: Millis, now: Millis): number {
    if (now - this.surplusGivenAt < SURPLUS_INTERVAL) {
      return 0;
    }
    const surplus = Math.max(0, -this.imbalance(available, horizon));
    if (surplus > 0) {
      this.surplusGivenAt = now;
    }
    return surplus;
  }
}
