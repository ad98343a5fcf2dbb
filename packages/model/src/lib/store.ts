/**
 * Model of the key-value service on virtual time. Each key has a version, and a
 * write takes effect only if it expects the current one.
 */
import type {Millis} from '@citrontrestle/decisions';
import type {Timeline} from './timeline.js';

/** Outcome of a call, as its caller sees it. */
export enum StoreOutcome {
  /** The key was read, whether or not it exists. */
  Read = 'seen',
  /** The write took effect. */
  Written = 'written',
  /** The key has another version; the write had no effect. */
  Conflict = 'conflict',
  /** No answer came in time; the write may or may not take effect. */
  Unknown = 'lost',
  /** The call failed and had no effect. */
  Unavailable = 'unavailable',
}

/** Answer to a call. */
export interface StoreAnswer {
  outcome: StoreOutcome;
  /** 0 if the key does not exist, or if the call has failed. */
  version: number;
  value: unknown;
}

/** Faults of the service, which may change at any time. */
export interface StoreFaults {
  /** Whether new calls fail and those on their way to the service are lost. */
  isDown: boolean;
  /** Time added to each call, half of it in each direction. */
  addedLatency: Millis;
  /** Number of next writes that take effect and whose answer is lost. */
  answersToLose: number;
}

/** One-way latency of the service without faults. */
const ONE_WAY_LATENCY: Millis = 1;

/** Time after which a caller stops waiting for an answer. */
const CALL_TIMEOUT: Millis = 800;

/** Called with each value that was written. */
export type WriteListener = (key: string, value: unknown) => void;

/** The key-value service of a model. */
export class Store {
  readonly faults: StoreFaults = {
    isDown: false,
    addedLatency: 0,
    answersToLose: 0,
  };
  private readonly values = new Map<
    string,
    {version: number; value: unknown}
  >();

  constructor(
    private readonly timeline: Timeline,
    private readonly onWrite: WriteListener,
  ) {}

  /** Returns the stored value at once; undefined if the key does not exist. */
  currentValue(key: string): unknown {
    return this.values.get(key)?.value;
  }

  /** Returns the stored version at once; 0 if the key does not exist. */
  currentVersion(key: string): number {
    return this.values.get(key)?.version ?? 0;
  }

  /**
   * Writes at once, as operators do in the model, if the key has this version.
   * Returns whether it did.
   */
  writeNow(key: string, version: number, value: unknown): boolean {
    if (this.currentVersion(key) !== version) {
      return false;
    }
    this.values.set(key, {version: version + 1, value});
    this.onWrite(key, value);
    return true;
  }

  /** Reads a key. A read without an answer counts as `Unavailable`. */
  read(key: string, onAnswer: (answer: StoreAnswer) => void): void {
    this.call(onAnswer, StoreOutcome.Unavailable, () => ({
      outcome: StoreOutcome.Read,
      version: this.currentVersion(key),
      value: this.currentValue(key),
    }));
  }

  /** Writes a key if it has this version; 0 creates the key. */
  write(
    key: string,
    version: number,
    value: unknown,
    onAnswer: (answer: StoreAnswer) => void,
  ): void {
    this.call(onAnswer, StoreOutcome.Unknown, () => {
      if (!this.writeNow(key, version, value)) {
        const actualVersion = this.currentVersion(key);
        const outcome = StoreOutcome.Conflict;
        return {outcome, version: actualVersion, value: this.currentValue(key)};
      }
      if (this.faults.answersToLose > 0) {
        this.faults.answersToLose -= 1;
        return undefined;
      }
      return {outcome: StoreOutcome.Written, version: version + 1, value};
    });
  }

  /**
   * Simulates a call: after the one-way latency it is executed, and its answer
   * arrives after the same latency. A slow call may be executed after its caller
   * has stopped waiting.
   * @param timeoutOutcome outcome if no answer arrives in time.
   * @param execute returns the answer, or undefined if it is lost.
   */
  private call(
    onAnswer: (answer: StoreAnswer) => void,
    timeoutOutcome: StoreOutcome,
    execute: () => StoreAnswer | undefined,
  ): void {
    const oneWayLatency = ONE_WAY_LATENCY + this.faults.addedLatency / 2;
    let isEnded = false;
    const endCall = (result: StoreAnswer) => {
      if (!isEnded) {
        isEnded = true;
        onAnswer(result);
      }
    };
    const noValue = {version: 0, value: undefined};
    if (this.faults.isDown) {
      const outcome = StoreOutcome.Unavailable;
      this.timeline.after(ONE_WAY_LATENCY, () =>
        endCall({outcome, ...noValue}),
      );
      return;
    }
    this.timeline.after(CALL_TIMEOUT, () =>
      endCall({outcome: timeoutOutcome, ...noValue}),
    );
    this.timeline.after(oneWayLatency, () => {
      if (this.faults.isDown) {
        return;
      }
      const result = execute();
      if (result !== undefined) {
        this.timeline.after(oneWayLatency, () => endCall(result));
      }
    });
  }
}
