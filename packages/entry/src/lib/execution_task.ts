/**
 * Connects one at-most-once execution of a non-idempotent request with the
 * key-value service that stores its record.
 */
import {
  AtMostOnceExecution,
  ExecutionEffectKind,
  ExecutionEventKind,
} from '@citrontrestle/decisions';
import {KeyValueOutcome, executionRecordKey} from '@citrontrestle/platform';
import type {
  Millis,
  ExecutionContext,
  ExecutionEffect,
  ExecutionEvent,
  ExecutionRecord,
  ExecutionStatus,
  RecordedAnswer,
  ExecutionVerdict,
} from '@citrontrestle/decisions';
import type {KeyValueClient, KeyValueResult} from '@citrontrestle/platform';

/** Whether a request may run now, and its recorded answer if it ran before. */
export interface ExecutionDecision {
  verdict: ExecutionVerdict;
  answer: RecordedAnswer | undefined;
}

/** Delay after a first failed call; doubles with each further failure. */
const INITIAL_RETRY_DELAY: Millis = 50;
const MAX_RETRY_DELAY: Millis = 2_000;

/** Maximum time that a caller waits for the final record to be stored. */
const MAX_RECORD_WAIT: Millis = 300;

/**
 * Makes the calls of one at-most-once execution to the key-value service,
 * retries them and keeps the deadline.
 */
export class ExecutionTask {
  private readonly execution: AtMostOnceExecution;
  private readonly key: string;
  private resolveDecision: (decision: ExecutionDecision) => void = () =>
    undefined;
  private resolveRecorded: () => void = () => undefined;
  private consecutiveFailures = 0;
  private retryTimer: NodeJS.Timeout | undefined;
  private deadlineTimer: NodeJS.Timeout | undefined;

  /** @param onFinished called when nothing is left to be written. */
  constructor(
    executionId: string,
    context: ExecutionContext,
    private readonly keyValue: KeyValueClient,
    private readonly onFinished: () => void,
  ) {
    this.key = executionRecordKey(executionId);
    this.execution = new AtMostOnceExecution(context);
  }

  /**
   * Writes the first record and resolves to the decision, which is `NotRun` if
   * the record couldn't be written within `maxWait`.
   */
  start(maxWait: Millis): Promise<ExecutionDecision> {
    return new Promise(resolve => {
      this.resolveDecision = resolve;
      this.deadlineTimer = setTimeout(() => {
        this.handle({kind: ExecutionEventKind.Deadline});
      }, maxWait);
      this.handle({kind: ExecutionEventKind.Begin});
    });
  }

  /**
   * Records how the request ended. Resolves when the record is stored, or after
   * `MAX_RECORD_WAIT`; the write is then still retried in the background.
   */
  recordEnd(status: ExecutionStatus, answer?: RecordedAnswer): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, MAX_RECORD_WAIT);
      this.resolveRecorded = () => {
        clearTimeout(timer);
        resolve();
      };
      this.handle({kind: ExecutionEventKind.RunEnded, status, answer});
    });
  }

  /**
   * Stops retries and the deadline. Before the execution is finished, call it
   * only if the process stops: the record may not show how the request ended.
   */
  stop(): void {
    clearTimeout(this.retryTimer);
    clearTimeout(this.deadlineTimer);
  }

  private handle(event: ExecutionEvent): void {
    for (const effect of this.execution.handle(event)) {
      this.applyEffect(effect);
    }
    if (this.execution.isFinished()) {
      this.stop();
      this.onFinished();
    }
  }

  private applyEffect(effect: ExecutionEffect): void {
    switch (effect.kind) {
      case ExecutionEffectKind.Read:
        void this.readRecord();
        return;
      case ExecutionEffectKind.Write:
        void this.writeRecord(effect.version, effect.record);
        return;
      case ExecutionEffectKind.Verdict:
        clearTimeout(this.deadlineTimer);
        this.resolveDecision({verdict: effect.verdict, answer: effect.answer});
        return;
      case ExecutionEffectKind.Recorded:
        this.resolveRecorded();
        return;
    }
  }

  private async readRecord(): Promise<void> {
    this.handleResult(await this.keyValue.read(this.key));
  }

  private async writeRecord(
    version: number,
    record: ExecutionRecord,
  ): Promise<void> {
    const result = await this.keyValue.write(this.key, version, record);
    if (result.outcome !== KeyValueOutcome.Written) {
      this.handleResult(result);
      return;
    }
    // Says which record was written: it may be an earlier one than that which
    // is to be stored by now.
    this.consecutiveFailures = 0;
    const kind = ExecutionEventKind.RecordObserved;
    this.handle({kind, version: result.version, record});
  }

  private handleResult(result: KeyValueResult): void {
    switch (result.outcome) {
      case KeyValueOutcome.Found:
      case KeyValueOutcome.Conflict: {
        this.consecutiveFailures = 0;
        const record = result.value as ExecutionRecord | undefined;
        const {version} = result;
        this.handle({kind: ExecutionEventKind.RecordObserved, version, record});
        return;
      }
      case KeyValueOutcome.Absent: {
        const kind = ExecutionEventKind.RecordObserved;
        this.handle({kind, version: 0, record: undefined});
        return;
      }
      case KeyValueOutcome.Unknown:
        this.handle({kind: ExecutionEventKind.CallOutcomeUnknown});
        this.scheduleRetry();
        return;
      default:
        this.handle({kind: ExecutionEventKind.Unavailable});
        this.scheduleRetry();
    }
  }

  private scheduleRetry(): void {
    if (this.execution.isFinished()) {
      return;
    }
    const delay =
      INITIAL_RETRY_DELAY * 2 ** Math.min(this.consecutiveFailures, 10);
    this.consecutiveFailures += 1;
    this.retryTimer = setTimeout(
      () => {
        this.handle({kind: ExecutionEventKind.Retry});
      },
      Math.min(MAX_RETRY_DELAY, delay),
    );
  }
}
