/** Model of orders: the real decision code, one store, callers that retry. */
import {
  AtMostOnceExecution,
  ExecutionEffectKind,
  ExecutionEventKind,
  ExecutionStatus,
  ExecutionVerdict,
} from '@citrontrestle/decisions';
import {Plant} from './plant.js';
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
export enum RunFate {
  Answer = 'answer',
  /** The connection is refused; nothing runs. */
  Refuse = 'refuse',
  /** It runs and the answer is lost. */
  Lose = 'lose',
}

/** One attempt of a caller at one entry. */
export interface Attempt {
  key: string;
  entry: number;
  verdict: ExecutionVerdict | undefined;
  /** The answer that the caller got, if any. */
  answer: string | undefined;
  /** Whether the caller was told that nothing ran. */
  saidNotRun: boolean;
}

const RETRY: Millis = 100;
const PATIENCE: Millis = 1_000;
const RUN_TIME: Millis = 30;
const STEP: Millis = 1;

/** Model of orders. */
export class OrderModel {
  readonly timeline = new Timeline();
  readonly store = new Store(this.timeline, () => undefined);
  readonly attempts: Attempt[] = [];
  /** How often each key ran at an upstream. */
  readonly ran = new Map<string, number>();
  fate = RunFate.Answer;
  private readonly dead = new Set<number>();
  private readonly frozen = new Map<number, (() => void)[]>();

  constructor(readonly plant: Plant) {}

  /** Lets time pass. */
  advance(span: Millis): void {
    this.timeline.advance(span);
  }

  /** A caller sends an order to an entry. */
  order(key: string, entry: number): void {
    if (this.dead.has(entry) || this.frozen.has(entry)) {
      return;
    }
    new Run(this, key, entry, this.attempts.length).begin();
  }

  /** Kills an entry; it never comes back. */
  kill(entry: number): void {
    this.dead.add(entry);
    this.frozen.delete(entry);
  }

  /** Stops an entry for a while. */
  freeze(entry: number): void {
    if (!this.dead.has(entry) && !this.frozen.has(entry)) {
      this.frozen.set(entry, []);
    }
  }

  /** Lets a frozen entry go on. */
  wake(entry: number): void {
    const backlog = this.frozen.get(entry) ?? [];
    this.frozen.delete(entry);
    backlog.forEach(act => this.act(entry, act));
  }

  /** Acts in an entry's process: not when dead, later when frozen. */
  act(entry: number, act: () => void): void {
    const backlog = this.frozen.get(entry);
    if (backlog !== undefined) {
      backlog.push(act);
    } else if (!this.dead.has(entry)) {
      act();
    }
  }

  /** Whether other entries hear of an entry. */
  seemsAlive(entry: number): boolean {
    return !this.dead.has(entry) && !this.frozen.has(entry);
  }

  /** Puts every fault right and waits until all has settled. */
  quiesce(): void {
    Object.assign(this.store.faults, {down: false, slow: 0, lost: 0});
    [...this.frozen.keys()].forEach(entry => this.wake(entry));
    this.advance(30_000);
  }

  /** What must hold; returns what is wrong. */
  check(): string[] {
    const wrong: string[] = [];
    for (const [key, times] of this.ran) {
      if (times > 1) {
        wrong.push(`${key} ran ${times} times`);
      }
    }
    for (const key of new Set(this.attempts.map(one => one.key))) {
      wrong.push(...this.checkKey(key));
    }
    return wrong;
  }

  private checkKey(key: string): string[] {
    const own = this.attempts.filter(one => one.key === key);
    const answers = new Set(own.flatMap(one => one.answer ?? []));
    const wrong: string[] = [];
    if (answers.size > 1) {
      wrong.push(`${key} got ${answers.size} different answers`);
    }
    const told = own.some(one => one.saidNotRun && this.ranBy(one));
    if (told) {
      wrong.push(`${key} ran after "not run"`);
    }
    return wrong;
  }

  /** Runs by attempt, to tell a retry's run from a broken promise. */
  readonly runners = new Set<Attempt>();

  private ranBy(attempt: Attempt): boolean {
    return this.runners.has(attempt);
  }
}

/** One attempt at one entry. */
class Run {
  private readonly order: AtMostOnceExecution;
  private readonly attempt: Attempt;

  constructor(
    private readonly model: OrderModel,
    key: string,
    private readonly entry: number,
    number: number,
  ) {
    this.attempt = {
      key,
      entry,
      verdict: undefined,
      answer: undefined,
      saidNotRun: false,
    };
    model.attempts.push(this.attempt);
    this.order = new AtMostOnceExecution({
      nonce: `n${number}`,
      holder: String(entry),
      bodyDigest: 'body',
      startedAt: model.timeline.now(),
      isAlive: holder => model.seemsAlive(Number(holder)),
    });
  }

  begin(): void {
    this.after(PATIENCE, () =>
      this.handle({kind: ExecutionEventKind.Deadline}),
    );
    if (this.model.plant === Plant.OrderBeforeRecord) {
      this.send();
    }
    this.handle({kind: ExecutionEventKind.Begin});
  }

  private after(wait: Millis, act: () => void): void {
    this.model.timeline.after(wait, () => this.model.act(this.entry, act));
  }

  private handle(event: ExecutionEvent): void {
    for (const effect of this.order.handle(event)) {
      this.after(STEP, () => this.carryOut(effect));
    }
  }

  private carryOut(effect: ExecutionEffect): void {
    const {store, plant} = this.model;
    const key = this.attempt.key;
    const take = (answer: StoreAnswer) =>
      this.model.act(this.entry, () => this.take(answer));
    switch (effect.kind) {
      case ExecutionEffectKind.Read:
        return store.read(key, take);
      case ExecutionEffectKind.Write:
        return store.write(key, effect.version, effect.record, take);
      case ExecutionEffectKind.Recorded:
        return;
      case ExecutionEffectKind.Verdict:
        this.attempt.verdict = effect.verdict;
        this.attempt.answer = effect.answer?.body;
        this.attempt.saidNotRun = effect.verdict === ExecutionVerdict.NotRun;
        if (effect.verdict === ExecutionVerdict.Run) {
          if (plant !== Plant.OrderBeforeRecord) {
            this.send();
          }
        }
    }
  }

  /** Sends the order to an upstream. */
  private send(): void {
    const {fate, plant} = this.model;
    if (fate === RunFate.Refuse) {
      this.after(STEP, () => this.ended(ExecutionStatus.NotRun));
      return;
    }
    const {key} = this.attempt;
    this.model.ran.set(key, (this.model.ran.get(key) ?? 0) + 1);
    this.model.runners.add(this.attempt);
    if (fate === RunFate.Answer) {
      this.after(RUN_TIME, () => this.ended(ExecutionStatus.Done));
      return;
    }
    const hasty = plant === Plant.HastyNotRun;
    const status = hasty ? ExecutionStatus.NotRun : ExecutionStatus.Unknown;
    this.after(RUN_TIME, () => this.ended(status));
  }

  private ended(status: ExecutionStatus): void {
    const {key} = this.attempt;
    const done = status === ExecutionStatus.Done;
    const body = `${key} run ${this.model.ran.get(key)}`;
    const answer = {status: 200, contentType: 'text/plain', body};
    this.attempt.answer = done ? body : undefined;
    this.attempt.saidNotRun = status === ExecutionStatus.NotRun;
    const kind = ExecutionEventKind.RunEnded;
    this.handle({kind, status, answer: done ? answer : undefined});
  }

  private take(answer: StoreAnswer): void {
    const {version} = answer;
    switch (answer.outcome) {
      case StoreOutcome.Seen:
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
      case StoreOutcome.Lost:
        this.handle({kind: ExecutionEventKind.CallOutcomeUnknown});
        break;
      case StoreOutcome.Unavailable:
        this.handle({kind: ExecutionEventKind.Unavailable});
    }
    this.after(RETRY, () => {
      if (!this.order.isFinished()) {
        this.handle({kind: ExecutionEventKind.Retry});
      }
    });
  }
}
