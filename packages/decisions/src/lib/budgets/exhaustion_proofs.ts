/**
 * Proofs that the balance of an account does not cover a request. While one is
 * new, requests of as many tokens or more are refused at once, so that the
 * callers of a spent budget cause neither waiting nor messages.
 */
import {MAX_READING_AGE} from './token_wait.js';
import type {Millis} from '../base/clock.js';

interface ExhaustionProof {
  /** Size of the request that was not covered. */
  tokens: number;
  /** The grant for which it was not covered. */
  granted: number;
  provedAt: Millis;
}

/** The newest proof of each account. */
export class ExhaustionProofs {
  private readonly proofs = new Map<string, ExhaustionProof>();

  /** Records that the balance did not cover a request at a time. */
  record(
    account: string,
    tokens: number,
    {granted, provedAt}: Omit<ExhaustionProof, 'tokens'>,
  ): void {
    this.proofs.set(account, {tokens, granted, provedAt});
  }

  /** Whether the balance does not cover a request, by a new proof. */
  proves(
    account: string,
    tokens: number,
    {granted, now}: {granted: number; now: Millis},
  ): boolean {
    const proof = this.proofs.get(account);
    return (
      proof !== undefined &&
      proof.tokens <= tokens &&
      proof.granted === granted &&
      now - proof.provedAt < MAX_READING_AGE
    );
  }

  /** Returns when the newest proof of an account was read, if there is one. */
  provedAt(account: string): Millis | undefined {
    return this.proofs.get(account)?.provedAt;
  }

  /** Forgets old proofs. */
  prune(now: Millis): void {
    for (const [account, {provedAt}] of this.proofs) {
      if (now - provedAt >= MAX_READING_AGE) {
        this.proofs.delete(account);
      }
    }
  }
}
