/**
 * Keeps one ledger partition in step with the key-value service: one call at
 * a time, one batch at a time, and the same batch again until its outcome is
 * known.
 */
import {applyBatch, BatchOutcome} from './ledger_batch.js';
import {emptyLedger} from './ledger.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {Batch} from './ledger_batch.js';
import type {Ledger} from './ledger.js';
import type {Millis} from './clock.js';
import type {WalletEffect} from './wallet_messages.js';

/** What the wallet does for a partition. */
export interface PartitionOwner {
  /** Forms the next batch. */
  form(partition: number, sequence: number, now: Millis): Batch;
  /** Whether a write could only fail to get what the known ledger lacks. */
  hopeless(partition: number): boolean;
  /** Takes over the counts of a ledger that was only read. */
  refreshed(partition: number, ledger: Ledger): void;
  /** Takes over the ledger's counts after a batch took effect. */
  absorb(partition: number, ledger: Ledger, batch: Batch): void;
}

/** What is known of a partition. */
export interface PartitionState {
  /** Whether this holder deals in it. */
  joined: boolean;
  /** When the batch of the last known answer was formed. */
  answeredAt: Millis;
}

/** One ledger partition as seen by one holder. */
export class Partition {
  private ledger: Ledger | undefined;
  private next: Ledger | undefined;
  private version = 0;
  private batch: Batch | undefined;
  private busy = false;
  private uncertain = false;
  private sequence = 0;
  private dueAt: Millis | undefined;
  private startedAt: Millis = -Infinity;
  private viewedAt: Millis = -Infinity;
  private fenced = false;
  /** When a read began that only looks for more tokens. */
  private refreshing: Millis | undefined;

  constructor(
    private readonly number: number,
    private readonly owner: PartitionOwner,
    private readonly spacing: Millis,
  ) {}

  /** What is known of the partition. */
  state(): PartitionState {
    return {
      joined: this.joined(),
      answeredAt: this.viewedAt,
    };
  }

  /**
   * Whether this holder deals in the partition: its record is known to exist,
   * and no batch is formed with which it leaves.
   */
  joined(): boolean {
    const leaving = this.batch?.leave ?? false;
    return this.sequence > 0 && !this.fenced && !leaving;
  }

  /** The last known ledger; never change it. */
  view(): Ledger | undefined {
    return this.ledger;
  }

  /** Whether nothing is being written or waits to be. */
  idle(): boolean {
    return !this.busy && this.batch === undefined && this.dueAt === undefined;
  }

  /** Asks for a write at `time` or earlier. */
  due(time: Millis): void {
    this.dueAt = Math.min(this.dueAt ?? Infinity, time);
  }

  /** Starts what is due. */
  step(now: Millis): WalletEffect[] {
    const waiting = this.batch !== undefined || this.dueAt !== undefined;
    if (this.busy || this.fenced || !waiting) {
      return [];
    }
    const early = now < (this.dueAt ?? now);
    const close = now < this.startedAt + this.spacing;
    if (this.batch === undefined && (early || close)) {
      return [];
    }
    this.startedAt = now;
    if (this.batch === undefined && this.owner.hopeless(this.number)) {
      this.refreshing = now;
      this.busy = true;
      return [{kind: WalletEffectKind.ReadLedger, partition: this.number}];
    }
    return this.proceed(now);
  }

  /** Takes the value read, or the value that stood against a write. */
  seen(
    version: number,
    ledger: Ledger | undefined,
    now: Millis,
  ): WalletEffect[] {
    this.busy = false;
    this.uncertain = false;
    this.version = version;
    this.ledger = ledger ?? emptyLedger();
    if (this.refreshing !== undefined && this.batch === undefined) {
      this.viewedAt = this.refreshing;
      this.owner.refreshed(this.number, this.ledger);
      this.refreshing = undefined;
      if (this.owner.hopeless(this.number)) {
        this.dueAt = undefined;
        return [];
      }
    }
    return this.proceed(now);
  }

  /** Takes the confirmation of a write. */
  written(version: number): void {
    this.busy = false;
    this.version = version;
    this.ledger = this.next;
    this.finish();
  }

  /** Takes a failed call; `lost` when it may have taken effect. */
  failed(lost: boolean): void {
    this.busy = false;
    this.refreshing = undefined;
    this.uncertain ||= lost;
  }

  private proceed(now: Millis): WalletEffect[] {
    if (this.ledger === undefined || this.uncertain) {
      this.busy = true;
      return [{kind: WalletEffectKind.ReadLedger, partition: this.number}];
    }
    if (this.batch === undefined) {
      this.dueAt = undefined;
      this.batch = this.owner.form(this.number, this.sequence + 1, now);
    }
    return this.write(this.batch);
  }

  private write(batch: Batch): WalletEffect[] {
    const next = structuredClone(this.ledger ?? emptyLedger());
    const outcome = applyBatch(next, batch);
    if (outcome === BatchOutcome.Fenced && batch.leave) {
      // Our own leave took effect and its answer was lost.
      this.finish();
      return [];
    }
    if (outcome === BatchOutcome.Fenced) {
      this.fenced = true;
      return [{kind: WalletEffectKind.Fenced}];
    }
    if (outcome === BatchOutcome.Repeated) {
      this.finish();
      return [];
    }
    this.next = next;
    this.busy = true;
    return [
      {
        kind: WalletEffectKind.WriteLedger,
        partition: this.number,
        version: this.version,
        ledger: next,
      },
    ];
  }

  private finish(): void {
    const batch = this.batch;
    this.batch = undefined;
    this.next = undefined;
    if (batch === undefined || this.ledger === undefined) {
      return;
    }
    this.sequence = batch.sequence;
    this.viewedAt = batch.now;
    this.fenced ||= batch.leave;
    this.owner.absorb(this.number, this.ledger, batch);
  }
}
