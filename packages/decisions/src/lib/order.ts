/**
 * One attempt to run a non-idempotent request. The record in the key-value
 * service decides: nothing is sent before the record is known to exist, and a
 * record that exists is never run by anyone else.
 */
import type {Millis} from './clock.js';

/** What is known of a non-idempotent request. */
export enum OrderStatus {
  Started = 'started',
  Done = 'done',
  /** It certainly did not run; it may be started again. */
  NotRun = 'not-run',
  /** The connection was lost after the request was sent. */
  Unknown = 'unknown',
}

/** A recorded answer. */
export interface RecordedAnswer {
  status: number;
  contentType: string;
  body: string;
}

/** The record of one idempotency key. */
export interface OrderRecord {
  status: OrderStatus;
  /** Unique to the attempt that wrote the record. */
  nonce: string;
  holder: string;
  /** Digest of the request body. */
  body: string;
  at: Millis;
  answer?: RecordedAnswer;
}

/** What the caller is told. */
export enum OrderVerdict {
  Run = 'run',
  Replay = 'replay',
  InProgress = 'in-progress',
  OutcomeUnknown = 'outcome-unknown',
  NotRun = 'not-run',
  KeyReused = 'key-reused',
}

/** Kinds of effects of an order. */
export enum OrderEffectKind {
  Read = 'read',
  Write = 'write',
  Verdict = 'verdict',
  /** The final record is confirmed. */
  Recorded = 'recorded',
}

/** An effect that an order asks for. */
export type OrderEffect =
  | {kind: OrderEffectKind.Read}
  | {kind: OrderEffectKind.Write; version: number; record: OrderRecord}
  | {
      kind: OrderEffectKind.Verdict;
      verdict: OrderVerdict;
      answer?: RecordedAnswer | undefined;
    }
  | {kind: OrderEffectKind.Recorded};

/** Kinds of events that an order takes. */
export enum OrderEventKind {
  Begin = 'begin',
  /** The value that stands, read or met by a write. */
  Seen = 'seen',
  Written = 'written',
  Lost = 'lost',
  Unavailable = 'unavailable',
  /** Time to try the last call again. */
  Retry = 'retry',
  /** The caller's wait is over. */
  Deadline = 'deadline',
  /** The run ended; `status` says how. */
  Ended = 'ended',
}

/** An event that an order takes. */
export type OrderEvent =
  | {
      kind:
        | OrderEventKind.Begin
        | OrderEventKind.Lost
        | OrderEventKind.Unavailable
        | OrderEventKind.Retry
        | OrderEventKind.Deadline;
    }
  | {
      kind: OrderEventKind.Seen;
      /** 0 when the key does not exist. */
      version: number;
      record: OrderRecord | undefined;
    }
  | {kind: OrderEventKind.Written; version: number}
  | {
      kind: OrderEventKind.Ended;
      status: OrderStatus;
      answer?: RecordedAnswer | undefined;
    };

enum Stage {
  /** Establishing the record; nothing was sent to an upstream. */
  Starting,
  Running,
  /** Writing how the run ended. */
  Recording,
  /** Told the caller "not run"; making the record say so. */
  Withdrawing,
  Over,
}

/** What one attempt needs to know of its fleet. */
export interface OrderContext {
  nonce: string;
  holder: string;
  body: string;
  at: Millis;
  /** Whether another holder is known to be running. */
  isAlive(holder: string): boolean;
}

/** One attempt to run a non-idempotent request. */
export class Order {
  private stage = Stage.Starting;
  private version = 0;
  private target: OrderRecord;
  /** Whether a write of ours may have taken effect. */
  private exposed = false;
  private mustRead = false;

  constructor(private readonly context: OrderContext) {
    this.target = this.record(OrderStatus.Started);
  }

  /** Whether nothing is left to do. */
  over(): boolean {
    return this.stage === Stage.Over;
  }

  /** Takes one event and returns what is to be done. */
  handle(event: OrderEvent): OrderEffect[] {
    switch (event.kind) {
      case OrderEventKind.Begin:
      case OrderEventKind.Retry:
        return this.call();
      case OrderEventKind.Seen:
        return this.seen(event.version, event.record);
      case OrderEventKind.Written:
        return this.written(event.version);
      case OrderEventKind.Lost:
        this.mustRead = true;
        return [];
      case OrderEventKind.Unavailable:
        return [];
      case OrderEventKind.Deadline:
        return this.deadline();
      case OrderEventKind.Ended:
        return this.ended(event.status, event.answer);
    }
  }

  private record(status: OrderStatus, answer?: RecordedAnswer): OrderRecord {
    const {nonce, holder, body, at} = this.context;
    const record = {status, nonce, holder, body, at};
    return answer === undefined ? record : {...record, answer};
  }

  private call(): OrderEffect[] {
    if (this.stage === Stage.Over || this.stage === Stage.Running) {
      return [];
    }
    if (this.mustRead) {
      return [{kind: OrderEffectKind.Read}];
    }
    this.exposed = true;
    const {version, target} = this;
    return [{kind: OrderEffectKind.Write, version, record: target}];
  }

  private written(version: number): OrderEffect[] {
    this.version = version;
    if (this.stage === Stage.Starting) {
      this.stage = Stage.Running;
      return [{kind: OrderEffectKind.Verdict, verdict: OrderVerdict.Run}];
    }
    this.stage = Stage.Over;
    return [{kind: OrderEffectKind.Recorded}];
  }

  private seen(
    version: number,
    record: OrderRecord | undefined,
  ): OrderEffect[] {
    this.mustRead = false;
    this.version = version;
    if (record === undefined) {
      return this.call();
    }
    const mine = record.nonce === this.context.nonce;
    if (mine && record.status === this.target.status) {
      return this.written(version);
    }
    if (mine) {
      return this.call();
    }
    if (this.stage !== Stage.Starting) {
      // Somebody else's record stands: ours never took effect.
      this.stage = Stage.Over;
      return [{kind: OrderEffectKind.Recorded}];
    }
    return this.meet(record);
  }

  /** Decides on the record of another attempt. */
  private meet(record: OrderRecord): OrderEffect[] {
    if (record.body !== this.context.body) {
      return this.refuse(OrderVerdict.KeyReused);
    }
    switch (record.status) {
      case OrderStatus.NotRun:
        return this.call();
      case OrderStatus.Done:
        return this.refuse(OrderVerdict.Replay, record.answer);
      case OrderStatus.Unknown:
        return this.refuse(OrderVerdict.OutcomeUnknown);
      case OrderStatus.Started:
        return this.refuse(
          this.context.isAlive(record.holder)
            ? OrderVerdict.InProgress
            : OrderVerdict.OutcomeUnknown,
        );
    }
  }

  private refuse(
    verdict: OrderVerdict,
    answer?: RecordedAnswer,
  ): OrderEffect[] {
    this.stage = Stage.Over;
    return [{kind: OrderEffectKind.Verdict, verdict, answer}];
  }

  private deadline(): OrderEffect[] {
    if (this.stage !== Stage.Starting) {
      return [];
    }
    this.stage = this.exposed ? Stage.Withdrawing : Stage.Over;
    this.target = this.record(OrderStatus.NotRun);
    return [{kind: OrderEffectKind.Verdict, verdict: OrderVerdict.NotRun}];
  }

  private ended(status: OrderStatus, answer?: RecordedAnswer): OrderEffect[] {
    if (this.stage !== Stage.Running) {
      return [];
    }
    this.stage = Stage.Recording;
    this.target = this.record(status, answer);
    return this.call();
  }
}
