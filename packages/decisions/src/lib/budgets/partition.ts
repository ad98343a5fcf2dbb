/**
 * Synchronizes one ledger partition with the key-value service. Only one call
 * and one batch are pending at a time, and a batch is retried until its outcome
 * is known.
 */
import {applyBatch, BatchOutcome} from './ledger_batch.js';
import {emptyLedger} from './ledger.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {Batch} from './ledger_batch.js';
import type {Ledger} from './ledger.js';
import type {Millis} from '../base/clock.js';
import type {WalletEffect} from './wallet_messages.js';

/** Functions of the wallet that a partition calls. */
export interface PartitionOwner {
  /** Creates the next batch. */
  createBatch(partition: number, sequence: number, now: Millis): Batch;
  /**
   * Whether a write would do nothing but request tokens that the last known
   * ledger doesn't have.
   */
  isWriteUnnecessary(partition: number): boolean;
  /** Applies the counts of a ledger that was read without writing a batch. */
  handleLedgerRead(partition: number, ledger: Ledger): void;
  /** Applies the ledger's counts after a batch took effect. */
  handleBatchApplied(partition: number, ledger: Ledger, batch: Batch): void;
}

/** State of a partition as this holder knows it. */
export interface PartitionState {
  /** Whether the ledger lists this holder and the holder isn't leaving. */
  joined: boolean;
  /** When the batch or the read began that gave the last known ledger. */
  ledgerAsOf: Millis;
}

/** One ledger partition as seen by one holder. */
export class Partition {
  private ledger: Ledger | undefined;
  /** The ledger of the write that is pending. */
  private ledgerToWrite: Ledger | undefined;
  /** Version of the stored ledger; 0 if none is stored. */
  private version = 0;
  /** The batch whose outcome is not known yet. */
  private batch: Batch | undefined;
  private isCallPending = false;
  /** Whether a failed write may have taken effect, which a read will tell. */
  private isOutcomeUnknown = false;
  /** Sequence number of the last batch that took effect. */
  private lastSequence = 0;
  /** Scheduled time of the next write; undefined if none is scheduled. */
  private dueAt: Millis | undefined;
  private lastCallAt: Millis = -Infinity;
  /** When the batch or the read began that gave the last known ledger. */
  private ledgerAsOf: Millis = -Infinity;
  /** Whether this holder is closed or has left; no more calls are made. */
  private isFenced = false;
  /**
   * When a read began that replaces an unnecessary write; it checks whether the
   * ledger has more tokens by now.
   */
  private refreshStartedAt: Millis | undefined;

  constructor(
    private readonly index: number,
    private readonly owner: PartitionOwner,
    /** Minimum time between the last call and the start of a new batch. */
    private readonly minInterval: Millis,
  ) {}

  /** Returns the state of the partition as this holder knows it. */
  state(): PartitionState {
    return {
      joined: this.isJoined(),
      ledgerAsOf: this.ledgerAsOf,
    };
  }

  /**
   * Whether this holder takes part in the partition: the ledger is known to
   * list it, and no batch that removes it has been created.
   */
  isJoined(): boolean {
    const isLeaving = this.batch?.isLeaving ?? false;
    return this.lastSequence > 0 && !this.isFenced && !isLeaving;
  }

  /**
   * Returns the last known ledger, or undefined before the first read. Callers
   * must not modify it.
   */
  lastKnownLedger(): Ledger | undefined {
    return this.ledger;
  }

  /** Whether no call is pending and no write is scheduled. */
  isIdle(): boolean {
    return (
      !this.isCallPending &&
      this.batch === undefined &&
      this.dueAt === undefined
    );
  }

  /** Schedules a write for `time`; an earlier scheduled time stays. */
  scheduleWrite(time: Millis): void {
    this.dueAt = Math.min(this.dueAt ?? Infinity, time);
  }

  /** Returns the call to make if one is due and none is pending. */
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

  /** Handles the value of a read, or the current value after a conflict. */
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

  /** Handles the confirmation of a write. */
  handleWriteConfirmed(version: number): void {
    this.isCallPending = false;
    this.version = version;
    this.ledger = this.ledgerToWrite;
    this.finishBatch();
  }

  /**
   * Handles a failed call.
   * @param mayHaveApplied whether the call may have taken effect.
   */
  handleCallFailed(mayHaveApplied: boolean): void {
    this.isCallPending = false;
    this.refreshStartedAt = undefined;
    this.isOutcomeUnknown ||= mayHaveApplied;
  }

  /** Writes the batch, or reads the ledger first if its value is uncertain. */
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
      // This holder's leave took effect, but the confirmation was lost.
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

  /** Ends the batch after it took effect. */
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
