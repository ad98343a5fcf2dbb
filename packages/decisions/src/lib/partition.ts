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
  createBatch(partition: number, sequence: number, now: Millis): Batch;
  /** Whether a write could only fail to get what the known ledger lacks. */
  isWriteUnnecessary(partition: number): boolean;
  /** Takes over the counts of a ledger that was only read. */
  handleLedgerRead(partition: number, ledger: Ledger): void;
  /** Takes over the ledger's counts after a batch took effect. */
  handleBatchApplied(partition: number, ledger: Ledger, batch: Batch): void;
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
  private ledgerToWrite: Ledger | undefined;
  private version = 0;
  private batch: Batch | undefined;
  private isCallPending = false;
  private isOutcomeUnknown = false;
  private lastSequence = 0;
  private dueAt: Millis | undefined;
  private lastCallAt: Millis = -Infinity;
  private ledgerAsOf: Millis = -Infinity;
  private isFenced = false;
  /** When a read began that only looks for more tokens. */
  private refreshStartedAt: Millis | undefined;

  constructor(
    private readonly index: number,
    private readonly owner: PartitionOwner,
    private readonly minInterval: Millis,
  ) {}

  /** What is known of the partition. */
  state(): PartitionState {
    return {
      joined: this.isJoined(),
      answeredAt: this.ledgerAsOf,
    };
  }

  /**
   * Whether this holder deals in the partition: its record is known to exist,
   * and no batch is formed with which it leaves.
   */
  isJoined(): boolean {
    const isLeaving = this.batch?.isLeaving ?? false;
    return this.lastSequence > 0 && !this.isFenced && !isLeaving;
  }

  /** The last known ledger; never change it. */
  lastKnownLedger(): Ledger | undefined {
    return this.ledger;
  }

  /** Whether nothing is being written or waits to be. */
  isIdle(): boolean {
    return (
      !this.isCallPending &&
      this.batch === undefined &&
      this.dueAt === undefined
    );
  }

  /** Asks for a write at `time` or earlier. */
  scheduleWrite(time: Millis): void {
    this.dueAt = Math.min(this.dueAt ?? Infinity, time);
  }

  /** Starts what is due. */
  startDueCall(now: Millis): WalletEffect[] {
    const hasWork = this.batch !== undefined || this.dueAt !== undefined;
    if (this.isCallPending || this.isFenced || !hasWork) {
      return [];
    }
    const isBeforeDue = now < (this.dueAt ?? now);
    const isWithinMinInterval = now < this.lastCallAt + this.minInterval;
    if (this.batch === undefined && (isBeforeDue || isWithinMinInterval)) {
      return [];
    }
    this.lastCallAt = now;
    if (this.batch === undefined && this.owner.isWriteUnnecessary(this.index)) {
      this.refreshStartedAt = now;
      this.isCallPending = true;
      return [{kind: WalletEffectKind.ReadLedger, partition: this.index}];
    }
    return this.readOrWrite(now);
  }

  /** Takes the value read, or the value that stood against a write. */
  handleCurrentLedger(
    version: number,
    ledger: Ledger | undefined,
    now: Millis,
  ): WalletEffect[] {
    this.isCallPending = false;
    this.isOutcomeUnknown = false;
    this.version = version;
    this.ledger = ledger ?? emptyLedger();
    if (this.refreshStartedAt !== undefined && this.batch === undefined) {
      this.ledgerAsOf = this.refreshStartedAt;
      this.owner.handleLedgerRead(this.index, this.ledger);
      this.refreshStartedAt = undefined;
      if (this.owner.isWriteUnnecessary(this.index)) {
        this.dueAt = undefined;
        return [];
      }
    }
    return this.readOrWrite(now);
  }

  /** Takes the confirmation of a write. */
  handleWriteConfirmed(version: number): void {
    this.isCallPending = false;
    this.version = version;
    this.ledger = this.ledgerToWrite;
    this.finishBatch();
  }

  /** Takes a failed call; `lost` when it may have taken effect. */
  handleCallFailed(mayHaveApplied: boolean): void {
    this.isCallPending = false;
    this.refreshStartedAt = undefined;
    this.isOutcomeUnknown ||= mayHaveApplied;
  }

  private readOrWrite(now: Millis): WalletEffect[] {
    if (this.ledger === undefined || this.isOutcomeUnknown) {
      this.isCallPending = true;
      return [{kind: WalletEffectKind.ReadLedger, partition: this.index}];
    }
    if (this.batch === undefined) {
      this.dueAt = undefined;
      this.batch = this.owner.createBatch(
        this.index,
        this.lastSequence + 1,
        now,
      );
    }
    return this.writeBatch(this.batch);
  }

  private writeBatch(batch: Batch): WalletEffect[] {
    const ledgerToWrite = structuredClone(this.ledger ?? emptyLedger());
    const outcome = applyBatch(ledgerToWrite, batch);
    if (outcome === BatchOutcome.Fenced && batch.isLeaving) {
      // Our own leave took effect and its answer was lost.
      this.finishBatch();
      return [];
    }
    if (outcome === BatchOutcome.Fenced) {
      this.isFenced = true;
      return [{kind: WalletEffectKind.Fenced}];
    }
    if (outcome === BatchOutcome.AlreadyApplied) {
      this.finishBatch();
      return [];
    }
    this.ledgerToWrite = ledgerToWrite;
    this.isCallPending = true;
    return [
      {
        kind: WalletEffectKind.WriteLedger,
        partition: this.index,
        version: this.version,
        ledger: ledgerToWrite,
      },
    ];
  }

  private finishBatch(): void {
    const batch = this.batch;
    this.batch = undefined;
    this.ledgerToWrite = undefined;
    if (batch === undefined || this.ledger === undefined) {
      return;
    }
    this.lastSequence = batch.sequence;
    this.ledgerAsOf = batch.now;
    this.isFenced ||= batch.isLeaving;
    this.owner.handleBatchApplied(this.index, this.ledger, batch);
  }
}
