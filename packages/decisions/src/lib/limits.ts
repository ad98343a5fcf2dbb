/**
 * Admission: what won't meet its target is refused at once, the least
 * important first, and one account can't crowd out the others.
 */
import type {Millis} from './clock.js';

/** What admission decides. */
export enum Admission {
  Admit = 'admit',
  /** The target can't be met. */
  Overloaded = 'overloaded',
  /** The account has more than its part while the fleet is short. */
  AccountOverShare = 'account-over-share',
}

/** What admission looks at. */
export interface AdmissionView {
  account: string;
  /** From 0 to 100; higher goes first. */
  importance: number;
  /** Expected time to the first token, or to the answer. */
  expected: Millis;
  /** Target for it; 0 when there is none. */
  target: Millis;
  /** Load as a part of the capacity that this entry may use. */
  utilisation: number;
  /** Requests that this entry may have in flight. */
  capacity: number;
}

/** Part of the capacity above which accounts are held to their parts. */
const SCARCE = 0.7;

/** Part of the capacity up to which the least important work is admitted. */
const LEAST_IMPORTANT = 0.6;

/** Further part admitted for the most important work. */
const IMPORTANCE_RANGE = 0.4;

const MOST_IMPORTANCE = 100;

/** Utilisation up to which work of an importance is admitted. */
export function utilisationBound(importance: number): number {
  return LEAST_IMPORTANT + (IMPORTANCE_RANGE * importance) / MOST_IMPORTANCE;
}

/** Requests in flight by account, and the decision on the next. */
export class Limits {
  private readonly inFlight = new Map<string, number>();

  /** Decides on one request. */
  admit(view: AdmissionView): Admission {
    const late = view.target > 0 && view.expected > view.target;
    if (late || view.utilisation > utilisationBound(view.importance)) {
      return Admission.Overloaded;
    }
    const own = this.inFlight.get(view.account) ?? 0;
    const others = this.inFlight.size - (own > 0 ? 1 : 0);
    const part = view.capacity / (others + 1);
    if (view.utilisation > SCARCE && others > 0 && own >= part) {
      return Admission.AccountOverShare;
    }
    return Admission.Admit;
  }

  /** Counts a request as in flight. */
  started(account: string): void {
    this.inFlight.set(account, (this.inFlight.get(account) ?? 0) + 1);
  }

  /** Counts a request as ended. */
  ended(account: string): void {
    const left = (this.inFlight.get(account) ?? 0) - 1;
    if (left > 0) {
      this.inFlight.set(account, left);
    } else {
      this.inFlight.delete(account);
    }
  }
}

/** Retries allowed as a part of the requests of a class. */
const RETRY_PART = 0.1;

/** Retries that may be saved up. */
const MOST_SAVED = 10;

/** Bounds retries to a part of the requests, for each class. */
export class RetryBudget {
  private readonly saved = new Map<string, number>();

  /** Notes a request of a class. */
  request(name: string): void {
    const saved = this.saved.get(name) ?? MOST_SAVED;
    this.saved.set(name, Math.min(MOST_SAVED, saved + RETRY_PART));
  }

  /** Takes one retry, if one is left. */
  take(name: string): boolean {
    const saved = this.saved.get(name) ?? MOST_SAVED;
    if (saved < 1) {
      return false;
    }
    this.saved.set(name, saved - 1);
    return true;
  }
}
