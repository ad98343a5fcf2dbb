/** Requests that wait for tokens, by account, in the order of their arrival. */
import type {ReservationOutcome} from './prepaid_budgets.js';
import type {TokenWait, WaitDecision} from '@citrontrestle/decisions';

/** A question for tokens to the relay. */
export interface RelayQuestion {
  /** Identifies it; the relay's refusal names it. */
  ask: number;
  tokens: number;
}

/** A request that waits for tokens. */
export interface WaitingRequest extends Omit<TokenWait, 'awaitsRelay'> {
  account: string;
  /** Whether the relay and the peers may be asked for tokens. */
  mayAskPeers: boolean;
  /** Question to the relay that it has not answered, if any. */
  relayQuestion: RelayQuestion | undefined;
  /** Whether tokens of this instance went to the relay after it was asked. */
  askedBeforePooling: boolean;
  /** How the relay has finally refused it; undefined if it has not. */
  relayRefusal: WaitDecision | undefined;
  resolve(outcome: ReservationOutcome): void;
}

/** Maximum number of requests that wait for tokens of one account. */
const MAX_WAITING_OF_ACCOUNT = 1_000;

/** Maximum number of requests that wait for tokens of all accounts. */
const MAX_WAITING = 4_000;

/** The waiting requests of one instance. */
export class TokenQueue {
  private readonly requests = new Map<string, WaitingRequest[]>();
  private size = 0;

  /** Whether a further request of an account must not wait. */
  isFull(account: string): boolean {
    const waiting = this.of(account).length;
    return waiting >= MAX_WAITING_OF_ACCOUNT || this.size >= MAX_WAITING;
  }

  /** Whether no request waits. */
  isEmpty(): boolean {
    return this.size === 0;
  }

  /** Adds a request behind the others of its account. */
  add(request: WaitingRequest): void {
    const requests = this.requests.get(request.account) ?? [];
    requests.push(request);
    this.requests.set(request.account, requests);
    this.size += 1;
  }

  /** Returns the accounts of which requests wait. */
  accounts(): string[] {
    return [...this.requests.keys()];
  }

  /** Returns the waiting requests of an account. */
  of(account: string): readonly WaitingRequest[] {
    return this.requests.get(account) ?? [];
  }

  /** Replaces the waiting requests of an account. */
  replace(account: string, requests: WaitingRequest[]): void {
    this.size += requests.length - this.of(account).length;
    if (requests.length === 0) {
      this.requests.delete(account);
    } else {
      this.requests.set(account, requests);
    }
  }
}
