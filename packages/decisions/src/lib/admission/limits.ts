/**
 * Admission control. A request that can't meet its target latency is refused at
 * once, the least important requests first, and one account can't take the
 * capacity of the others. Retries are limited as well.
 */
import type {Millis} from '../base/clock.js';

/** Outcome of an admission check. */
export enum AdmissionDecision {
  Admit = 'admit',
  /** The target latency can't be met, or the load is too high. */
  Overloaded = 'overloaded',
  /** The account has its share or more of a capacity that is scarce. */
  AccountOverShare = 'account-over-share',
}

/** A request as seen by the admission check. */
export interface AdmissionRequest {
  account: string;
  /** From 0 to 100; requests of higher importance are admitted first. */
  importance: number;
  /** Expected time to the first token, or to the whole answer. */
  expectedLatency: Millis;
  /** Target for that time; 0 if there is none. */
  targetLatency: Millis;
  /** Load as a fraction of the capacity that this entry may use. */
  utilisation: number;
  /** Number of requests that this entry may have in flight. */
  capacity: number;
}

/** Utilisation above which each account is held to an equal share. */
const FAIR_SHARE_UTILISATION = 0.7;

/** Utilisation up to which requests of importance 0 are admitted. */
const BASE_MAX_UTILISATION = 0.6;

/** Additional utilisation for requests of the highest importance. */
const IMPORTANCE_HEADROOM = 0.4;

const MAX_IMPORTANCE = 100;

/**
 * Returns the utilisation up to which requests of an importance are admitted.
 */
export function maxUtilisation(importance: number): number {
  return (
    BASE_MAX_UTILISATION + (IMPORTANCE_HEADROOM * importance) / MAX_IMPORTANCE
  );
}

/** Counts the requests in flight by account and decides on new ones. */
export class AdmissionController {
  /** Number of requests in flight, for the accounts that have any. */
  private readonly inFlight = new Map<string, number>();

  /** Decides on one request; `recordStart` then counts it as in flight. */
  decide(request: AdmissionRequest): AdmissionDecision {
    const missesTarget =
      request.targetLatency > 0 &&
      request.expectedLatency > request.targetLatency;
    if (
      missesTarget ||
      request.utilisation > maxUtilisation(request.importance)
    ) {
      return AdmissionDecision.Overloaded;
    }
    const ownInFlight = this.inFlight.get(request.account) ?? 0;
    const otherAccounts = this.inFlight.size - (ownInFlight > 0 ? 1 : 0);
    const equalShare = request.capacity / (otherAccounts + 1);
    if (
      request.utilisation > FAIR_SHARE_UTILISATION &&
      otherAccounts > 0 &&
      ownInFlight >= equalShare
    ) {
      return AdmissionDecision.AccountOverShare;
    }
    return AdmissionDecision.Admit;
  }

  /** Counts a request of an account as in flight. */
  recordStart(account: string): void {
    this.inFlight.set(account, (this.inFlight.get(account) ?? 0) + 1);
  }

  /** Stops counting a request of an account as in flight. */
  recordEnd(account: string): void {
    const remaining = (this.inFlight.get(account) ?? 0) - 1;
    if (remaining > 0) {
      this.inFlight.set(account, remaining);
    } else {
      this.inFlight.delete(account);
    }
  }
}

/** Retries that each request of a class adds to those the class may use. */
const RETRIES_PER_REQUEST = 0.1;

/** Maximum number of unused retries that a class keeps. */
const MAX_SAVED_RETRIES = 10;

/** Limits retries to a fraction of the requests, for each class. */
export class RetryBudget {
  /** Unused retries by class, fractions included. */
  private readonly savedByClass = new Map<string, number>();

  /** Records a request of a class. */
  recordRequest(className: string): void {
    const saved = this.savedByClass.get(className) ?? MAX_SAVED_RETRIES;
    this.savedByClass.set(
      className,
      Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_REQUEST),
    );
  }

  /** Uses up one retry and returns true, or returns false if none is left. */
  tryTake(className: string): boolean {
    const saved = this.savedByClass.get(className) ?? MAX_SAVED_RETRIES;
    if (saved < 1) {
      return false;
    }
    this.savedByClass.set(className, saved - 1);
    return true;
  }
}
