/**
 * Model of orders, that is, of non-idempotent requests, on virtual time. Entries
 * run the real decision code for executions at most once and share one simulated
 * key-value service; callers retry an order under the same idempotency key.
 */
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

/** How the upstreams treat the orders that are sent to them. */
export enum UpstreamBehaviour {
  /** The order runs and is answered. */
  Answer = 'answer',
  /** The connection is refused; the order does not run. */
  Refuse = 'refuse',
  /** The order runs and its answer is lost. */
  LoseAnswer = 'lose',
}

/** One attempt of a caller to have an order executed by one entry. */
export interface OrderAttempt {
  idempotencyKey: string;
  entryIndex: number;
  /** What the entry last decided; undefined before. */
  verdict: ExecutionVerdict | undefined;
  /** Body of the answer that the caller got, if any. */
  answer: string | undefined;
  /** Whether the caller was told that the order did not run. */
  reportedNotRun: boolean;
}

/** Time after which an entry repeats a failed call to the key-value service. */
const STORE_RETRY_DELAY: Millis = 100;

/** Time after which an attempt reaches its deadline. */
const ATTEMPT_TIMEOUT: Millis = 1_000;

/** Time that an order runs at an upstream. */
const UPSTREAM_RUN_TIME: Millis = 30;

/** Delay before an effect is carried out; the process may freeze meanwhile. */
const EFFECT_DELAY: Millis = 1;

/** Entries that execute orders, the key-value service, and their faults. */
export class OrderModel {
  readonly timeline = new Timeline();
  readonly store = new Store(this.timeline, () => undefined);
  readonly attempts: OrderAttempt[] = [];
  /** How often an upstream ran each order, by idempotency key. */
  readonly runCounts = new Map<string, number>();
  /** Applies to all orders sent from now on. */
  upstreamBehaviour = UpstreamBehaviour.Answer;
  private readonly killedEntries = new Set<number>();
  /** Actions that became due at frozen entries, by the index of the entry. */
  private readonly deferredActions = new Map<number, (() => void)[]>();

  constructor(readonly plantedBug: PlantedBug) {}

  /** Lets `span` milliseconds pass and runs what is due in them. */
  advance(span: Millis): void {
    this.timeline.advance(span);
  }

  /** Sends an order to an entry, unless the entry is killed or frozen. */
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

  /** Kills an entry for good. */
  kill(entryIndex: number): void {
    this.killedEntries.add(entryIndex);
    this.deferredActions.delete(entryIndex);
  }

  /** Suspends an entry's process until it is woken. */
  freeze(entryIndex: number): void {
    if (
      !this.killedEntries.has(entryIndex) &&
      !this.deferredActions.has(entryIndex)
    ) {
      this.deferredActions.set(entryIndex, []);
    }
  }

  /** Resumes a frozen entry, which first runs what became due meanwhile. */
  wake(entryIndex: number): void {
    const actions = this.deferredActions.get(entryIndex) ?? [];
    this.deferredActions.delete(entryIndex);
    actions.forEach(action => this.runOrDefer(entryIndex, action));
  }

  /** Runs an action now, when the entry wakes, or never if it was killed. */
  runOrDefer(entryIndex: number, action: () => void): void {
    const actions = this.deferredActions.get(entryIndex);
    if (actions !== undefined) {
      actions.push(action);
    } else if (!this.killedEntries.has(entryIndex)) {
      action();
    }
  }

  /** Whether an entry looks alive to the others; a frozen one does not. */
  seemsAlive(entryIndex: number): boolean {
    return (
      !this.killedEntries.has(entryIndex) &&
      !this.deferredActions.has(entryIndex)
    );
  }

  /** Ends all faults and lets enough time pass to finish every attempt. */
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

  /** Checks the invariants; returns a description of each violation. */
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

  /**
   * Attempts that sent their order to an upstream. An order that was reported as
   * not run may run in a later attempt, but not in the attempt that reported it.
   */
  readonly executedAttempts = new Set<OrderAttempt>();

  private wasExecuted(attempt: OrderAttempt): boolean {
    return this.executedAttempts.has(attempt);
  }
}

/** Carries out one attempt in the process of its entry. */
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

  /** Starts the attempt and its deadline. */
  start(): void {
    this.schedule(ATTEMPT_TIMEOUT, () =>
      this.handle({kind: ExecutionEventKind.Deadline}),
    );
    if (this.model.plantedBug === PlantedBug.OrderBeforeRecord) {
      this.sendToUpstream();
    }
    this.handle({kind: ExecutionEventKind.Begin});
  }

  /** Runs an action in the entry's process after a delay. */
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

  /** Sends the order to an upstream, which behaves as the model says. */
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

  /** Tells the caller and the execution how the run has ended. */
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

  /** Passes on the answer to a call; a failed call is repeated later. */
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
      case StoreOutcome.Written:
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
