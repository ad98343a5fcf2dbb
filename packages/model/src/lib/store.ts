/** Model of the key-value service with its faults. */
import type {Millis} from '@citrontrestle/decisions';
import type {Timeline} from './timeline.js';

/** What a call gets back. */
export enum StoreOutcome {
  Read = 'seen',
  WriteListener = 'written',
  Conflict = 'conflict',
  Unknown = 'lost',
  Unavailable = 'unavailable',
}

/** Answer to a call; version 0 means that the key does not exist. */
export interface StoreAnswer {
  outcome: StoreOutcome;
  version: number;
  value: unknown;
}

/** Faults of the service. */
export interface StoreFaults {
  isDown: boolean;
  /** Time added to each call. */
  addedLatency: Millis;
  /** So many next writes take effect and lose their answer. */
  answersToLose: number;
}

/** One-way time to the service. */
const ONE_WAY_LATENCY: Millis = 1;

/** Longest wait of a caller. */
const CALL_TIMEOUT: Millis = 800;

/** Called with each write that took effect. */
export type Written = (key: string, value: unknown) => void;

/** Model of the key-value service. */
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
    private readonly onWrite: Written,
  ) {}

  /** The value that stands; for the oracle. */
  currentValue(key: string): unknown {
    return this.values.get(key)?.value;
  }

  /** Version that stands; for operators' calls, which take no time. */
  currentVersion(key: string): number {
    return this.values.get(key)?.version ?? 0;
  }

  /** Writes at once if the version matches; for operators' calls. */
  writeNow(key: string, version: number, value: unknown): boolean {
    if (this.currentVersion(key) !== version) {
      return false;
    }
    this.values.set(key, {version: version + 1, value});
    this.onWrite(key, value);
    return true;
  }

  /** Reads a key. */
  read(key: string, onAnswer: (answer: StoreAnswer) => void): void {
    this.call(onAnswer, StoreOutcome.Unavailable, () => ({
      outcome: StoreOutcome.Read,
      version: this.currentVersion(key),
      value: this.currentValue(key),
    }));
  }

  /** Writes a key if its version is `version`. */
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
      return {outcome: StoreOutcome.WriteListener, version: version + 1, value};
    });
  }

  /**
   * One call: the request travels, takes effect, and the answer travels back.
   * A slow call still takes effect, after its caller stopped waiting.
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
