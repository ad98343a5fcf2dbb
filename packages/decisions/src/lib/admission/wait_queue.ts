/** Queues of requests and peers that wait for tokens of a budget. */
import type {Millis} from '../base/clock.js';

/** Kinds of waiters. */
export enum WaiterKind {
  /** A request of this entry. */
  Request = 'request',
  /** Another entry that requested tokens. */
  Peer = 'peer',
}

/** A request or peer that waits for tokens. */
export interface Waiter {
  kind: WaiterKind;
  /** Identifier of the request, or of the holder that requested tokens. */
  id: string;
  tokens: number;
  waitingSince: Millis;
}

/** Service order: requests before peers; within each kind, oldest first. */
const PRIORITIES: Record<WaiterKind, number> = {
  [WaiterKind.Request]: 0,
  [WaiterKind.Peer]: 1,
};

/** The wait queues of all budgets. */
export class WaitQueue {
  private readonly queues = new Map<string, Waiter[]>();

  /** Whether no budget has waiters. */
  isEmpty(): boolean {
    return this.queues.size === 0;
  }

  /** Names of the budgets that have waiters. */
  budgetsWithWaiters(): string[] {
    return [...this.queues.keys()];
  }

  /** Whether a budget has waiters. */
  hasWaiters(budget: string): boolean {
    return this.queues.has(budget);
  }

  /** Whether a request of this entry waits for a budget. */
  hasWaitingRequest(budget: string): boolean {
    return this.queues.get(budget)?.[0]?.kind === WaiterKind.Request;
  }

  /** Sum of the tokens that all waiters of a budget need. */
  requestedTokens(budget: string): number {
    let total = 0;
    for (const waiter of this.queues.get(budget) ?? []) {
      total += waiter.tokens;
    }
    return total;
  }

  /** Adds a waiter behind those of the same kind. */
  add(budget: string, waiter: Waiter): void {
    const queue = this.queues.get(budget) ?? [];
    queue.push(waiter);
    queue.sort((a, b) => PRIORITIES[a.kind] - PRIORITIES[b.kind]);
    this.queues.set(budget, queue);
  }

  /** Returns the waiter to serve next; undefined if there is none. */
  firstWaiter(budget: string): Waiter | undefined {
    return this.queues.get(budget)?.[0];
  }

  /** Removes the waiter that `firstWaiter` returns. */
  removeFirst(budget: string): void {
    const queue = this.queues.get(budget) ?? [];
    queue.shift();
    if (queue.length === 0) {
      this.queues.delete(budget);
    }
  }
}
