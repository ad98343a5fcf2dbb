/**
 * One attempt to execute a non-idempotent request (an "order") at most once. A
 * record in the key-value service, stored under the request's idempotency key,
 * decides: nothing is sent to an upstream before the record is known to exist,
 * and a request whose record exists is never executed by another attempt unless
 * the record says that it did not run.
 */
import type {Millis} from '../base/clock.js';

/** What is known about the execution of a non-idempotent request. */
export enum ExecutionStatus {
  Started = 'started',
  Done = 'done',
  /** The request certainly did not run; it may be started again. */
  NotRun = 'not-run',
  /** The connection was lost after the request was sent: it may have run. */
  Unknown = 'unknown',
}

/** An upstream's answer as stored in a record. */
export interface RecordedAnswer {
  status: number;
  contentType: string;
  /** Base64 of the answer's bytes. */
  body: string;
}

/** The record stored under an idempotency key. */
export interface ExecutionRecord {
  status: ExecutionStatus;
  /** Unique to the attempt that wrote the record. */
  nonce: string;
  /** The run of an entry's process that wrote the record. */
  holder: string;
  /** Digest of the request body. */
  body: string;
  /** Start of the attempt, in milliseconds since the Unix epoch. */
  at: Millis;
  answer?: RecordedAnswer;
}

/** What the caller is told, or that its request may run now. */
export enum ExecutionVerdict {
  /** The record is written: the request may be sent to an upstream. */
  Run = 'run',
  /** The request has ended before; its recorded answer is sent again. */
  Replay = 'replay',
  /** Another attempt with this key is still running. */
  InProgress = 'in-progress',
  /** The request may have run; nobody knows how it ended. */
  OutcomeUnknown = 'outcome-unknown',
  /** The record could not be written in time; nothing was sent. */
  NotRun = 'not-run',
  /** The key was used before for a request with another body. */
  KeyReused = 'key-reused',
}

/** Kinds of actions that an execution asks its owner for. */
export enum ExecutionEffectKind {
  Read = 'read',
  Write = 'write',
  Verdict = 'verdict',
  /** A final record, of this or another attempt, is known to be stored. */
  Recorded = 'recorded',
}

/** An action that an execution asks its owner for. */
export type ExecutionEffect =
  | {kind: ExecutionEffectKind.Read}
  | {kind: ExecutionEffectKind.Write; version: number; record: ExecutionRecord}
  | {
      kind: ExecutionEffectKind.Verdict;
      verdict: ExecutionVerdict;
      answer?: RecordedAnswer | undefined;
    }
  | {kind: ExecutionEffectKind.Recorded};

/** Kinds of events that drive an execution. */
export enum ExecutionEventKind {
  Begin = 'begin',
  /** The stored record, as returned by a read or by a conflicting write. */
  RecordObserved = 'seen',
  /** A write took effect. */
  Written = 'written',
  /** A write may or may not have taken effect, as its answer was lost. */
  CallOutcomeUnknown = 'lost',
  /** The key-value service certainly did not execute the call. */
  Unavailable = 'unavailable',
  /** The delay after a failed call to the key-value service is over. */
  Retry = 'retry',
  /** The caller has waited as long as it may for the record to be written. */
  Deadline = 'deadline',
  /** The request ended at the upstream; `status` says how. */
  RunEnded = 'ended',
}

/** An event that drives an execution. */
export type ExecutionEvent =
  | {
      kind:
        | ExecutionEventKind.Begin
        | ExecutionEventKind.CallOutcomeUnknown
        | ExecutionEventKind.Unavailable
        | ExecutionEventKind.Retry
        | ExecutionEventKind.Deadline;
    }
  | {
      kind: ExecutionEventKind.RecordObserved;
      /** Version of the stored record; 0 if there is none. */
      version: number;
      record: ExecutionRecord | undefined;
    }
  | {kind: ExecutionEventKind.Written; version: number}
  | {
      kind: ExecutionEventKind.RunEnded;
      status: ExecutionStatus;
      answer?: RecordedAnswer | undefined;
    };

enum Stage {
  /** Writing the first record; nothing has been sent to an upstream. */
  Starting,
  Running,
  /** Writing the record of how the request ended. */
  Recording,
  /** The caller was told "not run"; writing a record that says so. */
  Withdrawing,
  Finished,
}

/** What an execution needs to know about its request and other processes. */
export interface ExecutionContext {
  /** Unique to this attempt. */
  nonce: string;
  /** This run of the entry's process. */
  holder: string;
  bodyDigest: string;
  startedAt: Millis;
  /** Whether the process that wrote a record is known to be running. */
  isAlive(holder: string): boolean;
}

/**
 * State machine of one attempt to execute a non-idempotent request at most
 * once. It makes no calls itself: events go in, actions come out.
 */
export class AtMostOnceExecution {
  private stage = Stage.Starting;
  /** Version of the stored record, as far as known; 0 if there is none. */
  private version = 0;
  /** The record that this attempt tries to store. */
  private targetRecord: ExecutionRecord;
  /** Whether a write of this attempt may have taken effect. */
  private mayHaveWritten = false;
  /** Whether the record must be read before the next write. */
  private mustRead = false;

  constructor(private readonly context: ExecutionContext) {
    this.targetRecord = this.buildRecord(ExecutionStatus.Started);
  }

  /** Whether this attempt has nothing left to do. */
  isFinished(): boolean {
    return this.stage === Stage.Finished;
  }

  /** Handles one event and returns the actions to carry out. */
  handle(event: ExecutionEvent): ExecutionEffect[] {
    switch (event.kind) {
      case ExecutionEventKind.Begin:
      case ExecutionEventKind.Retry:
        return this.nextStoreCall();
      case ExecutionEventKind.RecordObserved:
        return this.onRecordObserved(event.version, event.record);
      case ExecutionEventKind.Written:
        return this.onWritten(event.version);
      case ExecutionEventKind.CallOutcomeUnknown:
        this.mustRead = true;
        return [];
      case ExecutionEventKind.Unavailable:
        return [];
      case ExecutionEventKind.Deadline:
        return this.onDeadline();
      case ExecutionEventKind.RunEnded:
        return this.onRunEnded(event.status, event.answer);
    }
  }

  private buildRecord(
    status: ExecutionStatus,
    answer?: RecordedAnswer,
  ): ExecutionRecord {
    const {nonce, holder, bodyDigest: body, startedAt: at} = this.context;
    const record = {status, nonce, holder, body, at};
    return answer === undefined ? record : {...record, answer};
  }

  private nextStoreCall(): ExecutionEffect[] {
    if (this.stage === Stage.Finished || this.stage === Stage.Running) {
      return [];
    }
    if (this.mustRead) {
      return [{kind: ExecutionEffectKind.Read}];
    }
    this.mayHaveWritten = true;
    const {version, targetRecord} = this;
    return [{kind: ExecutionEffectKind.Write, version, record: targetRecord}];
  }

  private onWritten(version: number): ExecutionEffect[] {
    this.version = version;
    if (this.stage === Stage.Starting) {
      this.stage = Stage.Running;
      return [
        {kind: ExecutionEffectKind.Verdict, verdict: ExecutionVerdict.Run},
      ];
    }
    this.stage = Stage.Finished;
    return [{kind: ExecutionEffectKind.Recorded}];
  }

  private onRecordObserved(
    version: number,
    record: ExecutionRecord | undefined,
  ): ExecutionEffect[] {
    this.mustRead = false;
    this.version = version;
    if (record === undefined) {
      return this.nextStoreCall();
    }
    const isOwnRecord = record.nonce === this.context.nonce;
    if (isOwnRecord && record.status === this.targetRecord.status) {
      // The write took effect, although its answer was lost.
      return this.onWritten(version);
    }
    if (isOwnRecord) {
      return this.nextStoreCall();
    }
    if (this.stage !== Stage.Starting) {
      // Another attempt's record is stored: this one's never took effect.
      this.stage = Stage.Finished;
      return [{kind: ExecutionEffectKind.Recorded}];
    }
    return this.decideOnRecord(record);
  }

  /** Decides what to do about the record of another attempt. */
  private decideOnRecord(record: ExecutionRecord): ExecutionEffect[] {
    if (record.body !== this.context.bodyDigest) {
      return this.finishWithVerdict(ExecutionVerdict.KeyReused);
    }
    switch (record.status) {
      case ExecutionStatus.NotRun:
        return this.nextStoreCall();
      case ExecutionStatus.Done:
        return this.finishWithVerdict(ExecutionVerdict.Replay, record.answer);
      case ExecutionStatus.Unknown:
        return this.finishWithVerdict(ExecutionVerdict.OutcomeUnknown);
      case ExecutionStatus.Started:
        return this.finishWithVerdict(
          this.context.isAlive(record.holder)
            ? ExecutionVerdict.InProgress
            : ExecutionVerdict.OutcomeUnknown,
        );
    }
  }

  private finishWithVerdict(
    verdict: ExecutionVerdict,
    answer?: RecordedAnswer,
  ): ExecutionEffect[] {
    this.stage = Stage.Finished;
    return [{kind: ExecutionEffectKind.Verdict, verdict, answer}];
  }

  private onDeadline(): ExecutionEffect[] {
    if (this.stage !== Stage.Starting) {
      return [];
    }
    this.stage = this.mayHaveWritten ? Stage.Withdrawing : Stage.Finished;
    this.targetRecord = this.buildRecord(ExecutionStatus.NotRun);
    return [
      {kind: ExecutionEffectKind.Verdict, verdict: ExecutionVerdict.NotRun},
    ];
  }

  private onRunEnded(
    status: ExecutionStatus,
    answer?: RecordedAnswer,
  ): ExecutionEffect[] {
    if (this.stage !== Stage.Running) {
      return [];
    }
    this.stage = Stage.Recording;
    this.targetRecord = this.buildRecord(status, answer);
    return this.nextStoreCall();
  }
}
