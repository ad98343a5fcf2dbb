/** All ledger partitions of one wallet. */
import {Partition} from './partition.js';
import type {Ledger} from './ledger.js';
import type {Millis} from './clock.js';
import type {PartitionOwner} from './partition.js';
import type {WalletEffect} from './wallet_messages.js';

/** First wait after a failed call. */
const BACKOFF_FIRST: Millis = 100;

/** Longest wait after failed calls. */
const BACKOFF_MOST: Millis = 2_000;

/** Assigns a budget to a ledger partition. */
export function partitionOf(budget: string, partitions: number): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < budget.length; i++) {
    hash = Math.imul(hash ^ budget.charCodeAt(i), 0x01000193) >>> 0;
  }
  return hash % partitions;
}

/** All ledger partitions of one wallet, and the budgets used of each. */
export class PartitionTable {
  private readonly partitions: Partition[] = [];
  private readonly members: Set<string>[] = [];
  /** Partitions that may have something to do. */
  private readonly active = new Set<number>();
  private readonly left = new Set<number>();
  private failures = 0;
  private retryAt: Millis = 0;
  /** The one partition that is tried while the service fails. */
  private probe: number | undefined;

  constructor(count: number, owner: PartitionOwner, spacing: Millis) {
    for (let number = 0; number < count; number++) {
      this.partitions.push(new Partition(number, owner, spacing));
      this.members.push(new Set());
      this.due(number, 0);
    }
  }

  /** The partition of a number. */
  at(number: number): Partition {
    return this.partitions[number] as Partition;
  }

  /** The partition of a budget. */
  of(budget: string): Partition {
    return this.at(this.numberOf(budget));
  }

  /** The number of a budget's partition. */
  numberOf(budget: string): number {
    return partitionOf(budget, this.partitions.length);
  }

  /** The last known ledger behind a budget; never change it. */
  view(budget: string): Ledger | undefined {
    return this.of(budget).view();
  }

  /** Notes that a budget is used. */
  use(budget: string): void {
    this.members[this.numberOf(budget)]?.add(budget);
  }

  /** The used budgets of a partition. */
  used(number: number): Iterable<string> {
    return this.members[number] ?? [];
  }

  /** Asks for a write of a partition at `time` or earlier. */
  due(number: number, time: Millis): void {
    this.at(number).due(time);
    this.active.add(number);
  }

  /** Asks for a write of a budget's partition at `time` or earlier. */
  dueFor(budget: string, time: Millis): void {
    this.due(this.numberOf(budget), time);
  }

  /** Starts what is due; one partition only while the service fails. */
  step(now: Millis): WalletEffect[] {
    const effects: WalletEffect[] = [];
    for (const number of this.active) {
      if (this.blocked(now)) {
        break;
      }
      const partition = this.at(number);
      const started = partition.step(now);
      effects.push(...started);
      if (this.failing() && started.length > 0) {
        this.probe = number;
      }
      if (partition.idle()) {
        this.active.delete(number);
      }
    }
    return effects;
  }

  /** Notes that a call of a partition was answered. */
  answered(): void {
    this.failures = 0;
    this.probe = undefined;
  }

  /** Notes a failed call; `lost` when it may have taken effect. */
  failed(number: number, lost: boolean, now: Millis): void {
    this.at(number).failed(lost);
    if (this.failing() && this.probe !== number) {
      return;
    }
    const wait = BACKOFF_FIRST * 2 ** Math.min(this.failures, 10);
    this.failures += 1;
    this.retryAt = now + Math.min(BACKOFF_MOST, wait);
    this.probe = undefined;
  }

  private blocked(now: Millis): boolean {
    const waits = this.probe !== undefined || now < this.retryAt;
    return this.failing() && waits;
  }

  /** Notes that this holder has left a partition. */
  leave(number: number): void {
    this.left.add(number);
  }

  /** Asks for a write of every partition not yet left; false when none is. */
  leaveRest(now: Millis): boolean {
    for (let number = 0; number < this.partitions.length; number++) {
      if (!this.left.has(number)) {
        this.due(number, now);
      }
    }
    return this.left.size < this.partitions.length;
  }

  /** Whether every partition knows this holder. */
  joined(): boolean {
    return this.partitions.every(partition => partition.joined());
  }

  /** Whether the last call failed. */
  failing(): boolean {
    return this.failures > 0;
  }
}
