/**
 * Proofs that nobody in touch has the tokens of a request. While one is new,
 * requests of as many tokens or more are refused at once, so that the callers of
 * a spent budget cause neither waiting nor messages.
 */
import {MAX_READING_AGE, refusalOfUnobtainable} from './token_wait.js';
import type {WaitDecision} from './token_wait.js';
import type {Millis} from '../base/clock.js';

interface ExhaustionProof {
  /** Size of the request that was refused. */
  tokens: number;
  /** Tokens that may not have been used; silent processes hold most of them. */
  possiblyUnused: number;
  /** The grant for which it was refused. */
  granted: number;
  provedAt: Millis;
}

/** The newest proof of each account. */
export class ExhaustionProofs {
  private readonly proofs = new Map<string, ExhaustionProof>();

  /** Records why a request was refused. */
  record(account: string, proof: ExhaustionProof): void {
    this.proofs.set(account, proof);
  }

  /** Returns how a request is to be refused by a new proof; undefined if none. */
  refusalOf(
    account: string,
    tokens: number,
    {granted, now}: {granted: number; now: Millis},
  ): WaitDecision | undefined {
    const proof = this.proofs.get(account);
    const isCovered =
      proof !== undefined &&
      proof.tokens <= tokens &&
      proof.granted === granted &&
      now - proof.provedAt < MAX_READING_AGE;
    return isCovered
      ? refusalOfUnobtainable(tokens, proof.possiblyUnused)
      : undefined;
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
