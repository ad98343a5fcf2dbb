/** Model of orders: the real decision code, one store, callers that retry. */
import {
  AtMostOnceExecution,
  ExecutionEffectKind,
  ExecutionEventKind,
  ExecutionStatus,
  ExecutionVerdict,
} from '@citrontrestle/decisions';
import {PlantedBug} from './planted_bug.js';
import {Store, StoreOutcome} from './store.js';
import {Timeline} from './timeline.js';
import type {
  Millis,
  ExecutionEffect,
  ExecutionEvent,
  ExecutionRecord,
} from '@citrontrestle/decisions';
import type {StoreAnswer} from './store.js';

/** How an upstream treats the next run. */
export enum UpstreamBehaviour {
  Answer = 'answer',
  /** The connection is refused; nothing runs. */
  Refuse = 'refuse',
  /** It runs and the answer is lost. */
  LoseAnswer = 'lose',
}

/** One attempt of a caller at one entry. */
export interface OrderAttempt {
  idempotencyKey: string;
  entryIndex: number;
  verdict: ExecutionVerdict | undefined;
  /** The answer that the caller got, if any. */
  answer: string | undefined;
  /** Whether the caller was told that nothing ran. */
  reportedNotRun: boolean;
}

const STORE_RETRY_DELAY: Millis = 100;
const ATTEMPT_TIMEOUT: Millis = 1_000;
const UPSTREAM_RUN_TIME: Millis = 30;
const EFFECT_DELAY: Millis = 1;

/** Model of orders. */
export class OrderModel {
  readonly timeline = new Timeline();
  readonly store = new Store(this.timeline, () => undefined);
  readonly attempts: OrderAttempt[] = [];
  /** How often each key ran at an upstream. */
  readonly runCounts = new Map<string, number>();
  upstreamBehaviour = UpstreamBehaviour.Answer;
  private readonly killedEntries = new Set<number>();
  private readonly deferredActions = new Map<number, (() => void)[]>();

  constructor(readonly plantedBug: PlantedBug) {}

  /** Lets time pass. */
  advance(span: Millis): void {
    this.timeline.advance(span);
  }

  /** A caller sends an order to an entry. */
  sendOrder(idempotencyKey: string, entryIndex: number): void {
    if (
      this.killedEntries.has(entryIndex) ||
      this.deferredActions.has(entryIndex)
    ) {
      return;
    }
    new OrderAttemptRunner(
      this,
      idempotencyKey,
      entryIndex,
      this.attempts.length,
    ).start();
  }

  /** Kills an entry; it never comes back. */
  kill(entryIndex: number): void {
    this.killedEntries.add(entryIndex);
    this.deferredActions.delete(entryIndex);
  }

  /** Stops an entry for a while. */
  freeze(entryIndex: number): void {
    if (
      !this.killedEntries.has(entryIndex) &&
      !this.deferredActions.has(entryIndex)
    ) {
      this.deferredActions.set(entryIndex, []);
    }
  }

  /** Lets a frozen entry go on. */
  wake(entryIndex: number): void {
    const actions = this.deferredActions.get(entryIndex) ?? [];
    this.deferredActions.delete(entryIndex);
    actions.forEach(action => this.runOrDefer(entryIndex, action));
  }

  /** Acts in an entry's process: not when dead, later when frozen. */
  runOrDefer(entryIndex: number, action: () => void): void {
    const actions = this.deferredActions.get(entryIndex);
    if (actions !== undefined) {
      actions.push(action);
    } else if (!this.killedEntries.has(entryIndex)) {
      action();
    }
  }

  /** Whether other entries hear of an entry. */
  seemsAlive(entryIndex: number): boolean {
    return (
      !this.killedEntries.has(entryIndex) &&
      !this.deferredActions.has(entryIndex)
    );
  }

  /** Puts every fault right and waits until all has settled. */
  quiesce(): void {
    Object.assign(this.store.faults, {
      isDown: false,
      addedLatency: 0,
      answersToLose: 0,
    });
    [...this.deferredActions.keys()].forEach(entryIndex =>
      this.wake(entryIndex),
    );
    this.advance(30_000);
  }

  /** What must hold; returns what is wrong. */
  checkInvariants(): string[] {
    const violations: string[] = [];
    for (const [ranKey, runCount] of this.runCounts) {
      if (runCount > 1) {
        violations.push(`${ranKey} ran ${runCount} times`);
      }
    }
    for (const idempotencyKey of new Set(
      this.attempts.map(attempt => attempt.idempotencyKey),
    )) {
      violations.push(...this.checkKey(idempotencyKey));
    }
    return violations;
  }

  private checkKey(idempotencyKey: string): string[] {
    const attempts = this.attempts.filter(
      attempt => attempt.idempotencyKey === idempotencyKey,
    );
    const answers = new Set(attempts.flatMap(attempt => attempt.answer ?? []));
    const violations: string[] = [];
    if (answers.size > 1) {
      violations.push(
        `${idempotencyKey} got ${answers.size} different answers`,
      );
    }
    const ranDespiteReport = attempts.some(
      attempt => attempt.reportedNotRun && this.wasExecuted(attempt),
    );
    if (ranDespiteReport) {
      violations.push(`${idempotencyKey} ran after "not run"`);
    }
    return violations;
  }

  /** Runs by attempt, to tell a retry's run from a broken promise. */
  readonly executedAttempts = new Set<OrderAttempt>();

  private wasExecuted(attempt: OrderAttempt): boolean {
    return this.executedAttempts.has(attempt);
  }
}

/** One attempt at one entry. */
class OrderAttemptRunner {
  private readonly execution: AtMostOnceExecution;
  private readonly attempt: OrderAttempt;

  constructor(
    private readonly model: OrderModel,
    idempotencyKey: string,
    private readonly entryIndex: number,
    attemptNumber: number,
  ) {
    this.attempt = {
      idempotencyKey,
      entryIndex,
      verdict: undefined,
      answer: undefined,
      reportedNotRun: false,
    };
    model.attempts.push(this.attempt);
    this.execution = new AtMostOnceExecution({
      nonce: `n${attemptNumber}`,
      holder: String(entryIndex),
      bodyDigest: 'body',
      startedAt: model.timeline.now(),
      isAlive: holder => model.seemsAlive(Number(holder)),
    });
  }

  start(): void {
    this.schedule(ATTEMPT_TIMEOUT, () =>
      this.handle({kind: ExecutionEventKind.Deadline}),
    );
    if (this.model.plantedBug === PlantedBug.OrderBeforeRecord) {
      this.sendToUpstream();
    }
    this.handle({kind: ExecutionEventKind.Begin});
  }

  private schedule(delay: Millis, action: () => void): void {
    this.model.timeline.after(delay, () =>
      this.model.runOrDefer(this.entryIndex, action),
    );
  }

  private handle(event: ExecutionEvent): void {
    for (const effect of this.execution.handle(event)) {
      this.schedule(EFFECT_DELAY, () => this.carryOut(effect));
    }
  }

  private carryOut(effect: ExecutionEffect): void {
    const {store, plantedBug} = this.model;
    const idempotencyKey = this.attempt.idempotencyKey;
    const onAnswer = (answer: StoreAnswer) =>
      this.model.runOrDefer(this.entryIndex, () =>
        this.handleStoreAnswer(answer),
      );
    switch (effect.kind) {
      case ExecutionEffectKind.Read:
        return store.read(idempotencyKey, onAnswer);
      case ExecutionEffectKind.Write:
        return store.write(
          idempotencyKey,
          effect.version,
          effect.record,
          onAnswer,
        );
      case ExecutionEffectKind.Recorded:
        return;
      case ExecutionEffectKind.Verdict:
        this.attempt.verdict = effect.verdict;
        this.attempt.answer = effect.answer?.body;
        this.attempt.reportedNotRun =
          effect.verdict === ExecutionVerdict.NotRun;
        if (effect.verdict === ExecutionVerdict.Run) {
          if (plantedBug !== PlantedBug.OrderBeforeRecord) {
            this.sendToUpstream();
          }
        }
    }
  }

  /** Sends the order to an upstream. */
  private sendToUpstream(): void {
    const {upstreamBehaviour, plantedBug} = this.model;
    if (upstreamBehaviour === UpstreamBehaviour.Refuse) {
      this.schedule(EFFECT_DELAY, () =>
        this.handleRunEnd(ExecutionStatus.NotRun),
      );
      return;
    }
    const {idempotencyKey} = this.attempt;
    this.model.runCounts.set(
      idempotencyKey,
      (this.model.runCounts.get(idempotencyKey) ?? 0) + 1,
    );
    this.model.executedAttempts.add(this.attempt);
    if (upstreamBehaviour === UpstreamBehaviour.Answer) {
      this.schedule(UPSTREAM_RUN_TIME, () =>
        this.handleRunEnd(ExecutionStatus.Done),
      );
      return;
    }
    const reportsNotRun = plantedBug === PlantedBug.PrematureNotRun;
    const status = reportsNotRun
      ? ExecutionStatus.NotRun
      : ExecutionStatus.Unknown;
    this.schedule(UPSTREAM_RUN_TIME, () => this.handleRunEnd(status));
  }

  private handleRunEnd(status: ExecutionStatus): void {
    const {idempotencyKey} = this.attempt;
    const isDone = status === ExecutionStatus.Done;
    const body = `${idempotencyKey} run ${this.model.runCounts.get(idempotencyKey)}`;
    const answer = {status: 200, contentType: 'text/plain', body};
    this.attempt.answer = isDone ? body : undefined;
    this.attempt.reportedNotRun = status === ExecutionStatus.NotRun;
    const kind = ExecutionEventKind.RunEnded;
    this.handle({kind, status, answer: isDone ? answer : undefined});
  }

  private handleStoreAnswer(answer: StoreAnswer): void {
    const {version} = answer;
    switch (answer.outcome) {
      case StoreOutcome.Read:
      case StoreOutcome.Conflict: {
        const record = answer.value as ExecutionRecord | undefined;
        return this.handle({
          kind: ExecutionEventKind.RecordObserved,
          version,
          record,
        });
      }
      case StoreOutcome.WriteListener:
        return this.handle({kind: ExecutionEventKind.Written, version});
      case StoreOutcome.Unknown:
        this.handle({kind: ExecutionEventKind.CallOutcomeUnknown});
        break;
      case StoreOutcome.Unavailable:
        this.handle({kind: ExecutionEventKind.Unavailable});
    }
    this.schedule(STORE_RETRY_DELAY, () => {
      if (!this.execution.isFinished()) {
        this.handle({kind: ExecutionEventKind.Retry});
      }
    });
  }
}
