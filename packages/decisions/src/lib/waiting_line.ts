/** Who waits for tokens of which budget, in the order of service. */
import type {Millis} from './clock.js';

/** Kinds of those who wait. */
export enum WaiterKind {
  /** A request of this entry. */
  Request = 'request',
  /** Another entry that asked for tokens. */
  Peer = 'peer',
}

/** Somebody who waits for tokens. */
export interface Waiter {
  kind: WaiterKind;
  /** The request, or the holder that asked. */
  id: string;
  tokens: number;
  began: Millis;
}

/** Own requests go before peers; within each, the older first. */
const RANKS: Record<WaiterKind, number> = {
  [WaiterKind.Request]: 0,
  [WaiterKind.Peer]: 1,
};

/** The waiters of all budgets. */
export class WaitingLine {
  private readonly waiters = new Map<string, Waiter[]>();

  /** Whether nobody waits. */
  empty(): boolean {
    return this.waiters.size === 0;
  }

  /** Budgets that somebody waits for. */
  budgets(): string[] {
    return [...this.waiters.keys()];
  }

  /** Whether anybody waits for a budget. */
  has(budget: string): boolean {
    return this.waiters.has(budget);
  }

  /** Whether an own request waits for a budget. */
  hasRequest(budget: string): boolean {
    return this.waiters.get(budget)?.[0]?.kind === WaiterKind.Request;
  }

  /** Tokens that all who wait for a budget need together. */
  tokens(budget: string): number {
    let total = 0;
    for (const waiter of this.waiters.get(budget) ?? []) {
      total += waiter.tokens;
    }
    return total;
  }

  /** Adds a waiter. */
  add(budget: string, waiter: Waiter): void {
    const queue = this.waiters.get(budget) ?? [];
    queue.push(waiter);
    queue.sort((a, b) => RANKS[a.kind] - RANKS[b.kind]);
    this.waiters.set(budget, queue);
  }

  /** The next to be served. */
  first(budget: string): Waiter | undefined {
    return this.waiters.get(budget)?.[0];
  }

  /** Removes the first waiter. */
  shift(budget: string): void {
    const queue = this.waiters.get(budget) ?? [];
    queue.shift();
    if (queue.length === 0) {
      this.waiters.delete(budget);
    }
  }
}
