/** Carries out the effects of one order against the key-value service. */
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

/** What an order decided. */
export interface OrderDecision {
  verdict: ExecutionVerdict;
  answer: RecordedAnswer | undefined;
}

const RETRY_FIRST: Millis = 50;
const RETRY_MOST: Millis = 2_000;

/** Longest wait of a caller for the record of how a run ended. */
const RECORD_PATIENCE: Millis = 300;

/** Carries out one order. */
export class OrderTask {
  private readonly order: AtMostOnceExecution;
  private readonly key: string;
  private decided: (decision: OrderDecision) => void = () => undefined;
  private recorded: () => void = () => undefined;
  private failures = 0;
  private retry: NodeJS.Timeout | undefined;
  private deadline: NodeJS.Timeout | undefined;

  constructor(
    digest: string,
    context: ExecutionContext,
    private readonly keyValue: KeyValueClient,
    private readonly over: () => void,
  ) {
    this.key = executionRecordKey(digest);
    this.order = new AtMostOnceExecution(context);
  }

  /** Establishes the record, at most for `patience` milliseconds. */
  begin(patience: Millis): Promise<OrderDecision> {
    return new Promise(resolve => {
      this.decided = resolve;
      this.deadline = setTimeout(() => {
        this.handle({kind: ExecutionEventKind.Deadline});
      }, patience);
      this.handle({kind: ExecutionEventKind.Begin});
    });
  }

  /** Records how the run ended; resolves when it stands or after a while. */
  end(status: ExecutionStatus, answer?: RecordedAnswer): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, RECORD_PATIENCE);
      this.recorded = () => {
        clearTimeout(timer);
        resolve();
      };
      this.handle({kind: ExecutionEventKind.RunEnded, status, answer});
    });
  }

  /** Ends retries; only for a process that stops. */
  stop(): void {
    clearTimeout(this.retry);
    clearTimeout(this.deadline);
  }

  private handle(event: ExecutionEvent): void {
    for (const effect of this.order.handle(event)) {
      this.carryOut(effect);
    }
    if (this.order.isFinished()) {
      this.stop();
      this.over();
    }
  }

  private carryOut(effect: ExecutionEffect): void {
    switch (effect.kind) {
      case ExecutionEffectKind.Read:
        void this.read();
        return;
      case ExecutionEffectKind.Write:
        void this.write(effect.version, effect.record);
        return;
      case ExecutionEffectKind.Verdict:
        clearTimeout(this.deadline);
        this.decided({verdict: effect.verdict, answer: effect.answer});
        return;
      case ExecutionEffectKind.Recorded:
        this.recorded();
        return;
    }
  }

  private async read(): Promise<void> {
    this.take(await this.keyValue.read(this.key));
  }

  private async write(version: number, record: ExecutionRecord): Promise<void> {
    this.take(await this.keyValue.write(this.key, version, record));
  }

  private take(result: KeyValueResult): void {
    switch (result.outcome) {
      case KeyValueOutcome.Found:
      case KeyValueOutcome.Conflict: {
        this.failures = 0;
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
      case KeyValueOutcome.Written: {
        const kind = ExecutionEventKind.Written;
        this.handle({kind, version: result.version});
        return;
      }
      case KeyValueOutcome.Unknown:
        this.handle({kind: ExecutionEventKind.CallOutcomeUnknown});
        this.later();
        return;
      default:
        this.handle({kind: ExecutionEventKind.Unavailable});
        this.later();
    }
  }

  private later(): void {
    if (this.order.isFinished()) {
      return;
    }
    const wait = RETRY_FIRST * 2 ** Math.min(this.failures, 10);
    this.failures += 1;
    this.retry = setTimeout(
      () => {
        this.handle({kind: ExecutionEventKind.Retry});
      },
      Math.min(RETRY_MOST, wait),
    );
  }
}
