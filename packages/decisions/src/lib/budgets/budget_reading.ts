/**
 * What one instance knows of a budget, to prove that the balance does not cover a
 * request. Covers this failure: requests are refused for good although tokens are
 * left that this instance may not take yet, that others hold unused, or that an
 * old page does not show.
 */
import type {Millis} from '../base/clock.js';
import type {PageHolder} from './prepaid_page.js';
import {tokensOf} from './token_counts.js';

/** The state of a budget, according to the newest page that is known. */
export interface BudgetReading {
  /** Tokens granted in total, spent ones included. */
  granted: number;
  /**
   * Tokens that no process is known to have taken. They are more than the
   * untaken ones while the store may have lost entries.
   */
  unclaimed: number;
  /** Tokens that this process holds unused, also those not usable yet. */
  heldHere: number;
  /**
   * Tokens that other processes had taken and neither used nor given away at
   * their last writes. Those silent for `MAX_ENTRY_SILENCE` are left out.
   */
  heldByOthers: number;
  /**
   * The same of processes that have been silent for longer. They have ended or
   * are out of touch, and may have used these tokens since.
   */
  heldBySilent: number;
  /** Tokens that requests of this process have reserved. */
  reservedHere: number;
}

/**
 * Time without a change of its entry after which a process counts as silent. By
 * then, its machine has had the time to start another process and return what
 * an ended one held.
 */
export const MAX_ENTRY_SILENCE: Millis = 8_000;

/**
 * Time after which a process writes an entry again that states unused tokens, so
 * that it is not taken for silent and states soon that it has used them.
 */
export const STATEMENT_INTERVAL: Millis = 4_000;

/** Returns the tokens that could still be reserved for a request somewhere. */
export function obtainableTokens(reading: BudgetReading): number {
  const {unclaimed, heldHere, heldByOthers} = reading;
  return Math.max(0, unclaimed) + Math.max(0, heldHere) + heldByOthers;
}

/**
 * Returns the tokens that may not have been used: those that could still be
 * reserved, and what processes out of touch may hold. Only if a request needs
 * more does the balance certainly not cover it.
 */
export function possiblyUnusedTokens(reading: BudgetReading): number {
  return obtainableTokens(reading) + reading.heldBySilent;
}

/** Returns the tokens that a process held unused when it wrote its entry. */
export function unusedTokens(entry: PageHolder, account: string): number {
  const taken = tokensOf(entry.taken, account) ?? 0;
  return Math.max(0, taken - (tokensOf(entry.used, account) ?? 0));
}
