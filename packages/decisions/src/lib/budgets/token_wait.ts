/**
 * What to do with a request that waits for tokens. Covers two failures: requests
 * are refused although their latency targets leave time to wait, or for good
 * without a proof that the balance does not cover them.
 */
import {obtainableTokens, possiblyUnusedTokens} from './budget_reading.js';
import type {Millis} from '../base/clock.js';
import type {BudgetReading} from './budget_reading.js';

/** What to do with a waiting request. */
export enum WaitDecision {
  Wait = 'wait',
  /** Wait, and ask the peers for tokens. */
  AskPeers = 'ask-peers',
  /** Refuse it: the balance certainly does not cover it. */
  Exhausted = 'exhausted',
  /**
   * Refuse it: nobody in touch has the tokens, and it is not known whether a
   * silent process has used those that it held.
   */
  Withheld = 'withheld',
  /** Refuse it: the tokens could not be obtained in time. */
  Unavailable = 'unavailable',
}

/** A request that waits for tokens. */
export interface TokenWait {
  tokens: number;
  waitingSince: Millis;
  /** Time for which it may wait. */
  patience: Millis;
  /** Whether a relay was asked and has not answered. */
  awaitsRelay: boolean;
  /**
   * Since when the peers have been asked again and again for tokens of the
   * account; undefined if they are not being asked.
   */
  peersAskedSince: Millis | undefined;
}

/** What is known about the budget of a waiting request. */
export interface WaitSituation {
  now: Millis;
  reading: BudgetReading;
  /** When the store confirmed the reading; -Infinity if it never did. */
  readAt: Millis;
  /** Whether the last call to the store failed. */
  isStoreFailing: boolean;
}

/** Patience of a request that states no latency target. */
export const MIN_PATIENCE: Millis = 120;

/** Fraction of the latency target for which a request may wait for tokens. */
const PATIENCE_FRACTION = 0.5;

/** Time after which a request that waits for the store also asks the peers. */
export const STORE_WAIT: Millis = 12;

/**
 * Fraction of its patience after which a request that waits for a relay also
 * asks the peers.
 */
export const RELAY_WAIT_FRACTION = 0.5;

/**
 * Time for which the peers have been asked when a budget counts as exhausted:
 * two rounds of messages, so that a relay can first collect what its followers
 * hold.
 */
const PROOF_WAIT: Millis = 80;

/** Maximum age, when a request arrives, of a reading that proves anything. */
export const MAX_READING_AGE: Millis = 500;

/** Returns how long a request may wait for tokens. */
export function patienceFor(latencyTarget: Millis, timeLeft: Millis): Millis {
  const wanted = Math.max(MIN_PATIENCE, latencyTarget * PATIENCE_FRACTION);
  return Math.max(0, Math.min(wanted, timeLeft));
}

/** Decides about a request that the share of its instance doesn't cover. */
export function decideTokenWait(
  wait: TokenWait,
  situation: WaitSituation,
): WaitDecision {
  const {tokens, waitingSince, patience, awaitsRelay} = wait;
  const {now, reading, isStoreFailing} = situation;
  if (reading.granted < tokens) {
    return WaitDecision.Exhausted;
  }
  const elapsed = now - waitingSince;
  if (isProvedUnobtainable(wait, situation)) {
    return refusalOfUnobtainable(tokens, possiblyUnusedTokens(reading));
  }
  if (elapsed >= patience) {
    return WaitDecision.Unavailable;
  }
  if (awaitsRelay && elapsed < patience * RELAY_WAIT_FRACTION) {
    return WaitDecision.Wait;
  }
  const isWithinReach = reading.unclaimed + reading.heldHere >= tokens;
  const isTooFew = isReadingNew(wait, situation) && !isWithinReach;
  const {peersAskedSince = now} = wait;
  if (now - peersAskedSince >= PROOF_WAIT) {
    // The peers have given what they can. Only tokens that this instance holds
    // or the store has, and that are not usable yet, are worth waiting for.
    return isTooFew ? WaitDecision.Unavailable : WaitDecision.Wait;
  }
  return isTooFew || isStoreFailing || elapsed >= STORE_WAIT
    ? WaitDecision.AskPeers
    : WaitDecision.Wait;
}

/**
 * Returns how to refuse a request whose tokens nobody in touch has.
 * @param possiblyUnused tokens of its account that may not have been used.
 */
export function refusalOfUnobtainable(
  tokens: number,
  possiblyUnused: number,
): WaitDecision.Exhausted | WaitDecision.Withheld {
  return possiblyUnused < tokens
    ? WaitDecision.Exhausted
    : WaitDecision.Withheld;
}

/**
 * Whether a new reading shows that nobody in touch has the tokens, and the peers,
 * which may hold tokens that no page shows, have been asked in vain.
 */
function isProvedUnobtainable(
  wait: TokenWait,
  situation: WaitSituation,
): boolean {
  const {now, reading} = situation;
  const {peersAskedSince} = wait;
  return (
    isReadingNew(wait, situation) &&
    obtainableTokens(reading) < wait.tokens &&
    peersAskedSince !== undefined &&
    now - peersAskedSince >= PROOF_WAIT
  );
}

function isReadingNew(
  {waitingSince}: TokenWait,
  {readAt}: WaitSituation,
): boolean {
  return waitingSince - readAt < MAX_READING_AGE;
}
