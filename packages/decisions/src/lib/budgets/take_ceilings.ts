/**
 * Bounds on what one process takes from budgets, which the store has held long
 * enough to survive its going back to a copy. The entry of the process states
 * the most that it will have taken soon; it takes no more than what the store
 * has stated for `MAX_HISTORY_LOSS`. So whatever copy the store goes back to
 * states enough, also if the process has ended since.
 */
import type {Millis} from '../base/clock.js';
import {tokensOf} from './token_counts.js';
import type {TokenCounts} from './token_counts.js';

/**
 * The store goes back to a copy at most this old. A write without an answer
 * takes effect within that time, too.
 */
export const MAX_HISTORY_LOSS: Millis = 10_000;

/** Tokens by account. */
type Ceilings = Readonly<TokenCounts>;

interface CeilingRecord {
  at: Millis;
  ceilings: Ceilings;
}

/** The ceilings that the entry of one process has stated lately. */
export class CeilingHistory {
  /** Ceilings that the store was seen to have, oldest first. */
  private confirmed: CeilingRecord[] = [];
  /** Ceilings in writes that may have taken effect, or may still do so. */
  private sent: CeilingRecord[] = [];

  /** Forgets ceilings that were sent once, which certainly had no effect. */
  discardSent(ceilings: Ceilings): void {
    const index = this.sent.findLastIndex(
      record => record.ceilings === ceilings,
    );
    this.sent = this.sent.filter((_, other) => other !== index);
  }

  /** Records ceilings that are sent to the store. */
  recordSent(ceilings: Ceilings, now: Millis): void {
    this.sent = this.sent.filter(({at}) => now - at <= 2 * MAX_HISTORY_LOSS);
    this.sent.push({at: now, ceilings});
  }

  /**
   * Records the ceilings that the store has. If they are the same object as some
   * that were sent, these are known to have taken effect.
   */
  recordConfirmed(ceilings: Ceilings, now: Millis): void {
    const lastDurable = this.durableIndex(now);
    this.confirmed = this.confirmed.slice(Math.max(0, lastDurable));
    this.confirmed.push({at: now, ceilings});
    this.sent = this.sent.filter(record => record.ceilings !== ceilings);
  }

  /** The ceiling that the store has now; undefined if there is none. */
  latest(account: string): number | undefined {
    return ceilingOf(this.confirmed.at(-1), account);
  }

  /**
   * The ceiling that the store has stated for `MAX_HISTORY_LOSS`; undefined if
   * it has not stated any for so long.
   */
  durable(account: string, now: Millis): number | undefined {
    const index = this.durableIndex(now);
    const oldest = ceilingOf(this.confirmed[index], account);
    if (oldest === undefined) {
      return undefined;
    }
    const since = this.confirmed.slice(index);
    const stated = [...since, ...this.sent].map(
      ({ceilings}) => tokensOf(ceilings, account) ?? 0,
    );
    return Math.min(...stated);
  }

  /** Index of the newest record that is old enough; -1 if there is none. */
  private durableIndex(now: Millis): number {
    return this.confirmed.findLastIndex(({at}) => now - at >= MAX_HISTORY_LOSS);
  }
}

function ceilingOf(
  record: CeilingRecord | undefined,
  account: string,
): number | undefined {
  return record && tokensOf(record.ceilings, account);
}
