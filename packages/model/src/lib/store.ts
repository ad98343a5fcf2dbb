/** Model of the key-value service with its faults. */
import type {Millis} from '@citrontrestle/decisions';
import type {Timeline} from './timeline.js';

/** What a call gets back. */
export enum StoreOutcome {
  Seen = 'seen',
  Written = 'written',
  Conflict = 'conflict',
  Lost = 'lost',
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
  down: boolean;
  /** Time added to each call. */
  slow: Millis;
  /** So many next writes take effect and lose their answer. */
  lost: number;
}

/** One-way time to the service. */
const WAY: Millis = 1;

/** Longest wait of a caller. */
const TIMEOUT: Millis = 800;

/** Called with each write that took effect. */
export type Written = (key: string, value: unknown) => void;

/** Model of the key-value service. */
export class Store {
  readonly faults: StoreFaults = {down: false, slow: 0, lost: 0};
  private readonly values = new Map<
    string,
    {version: number; value: unknown}
  >();

  constructor(
    private readonly timeline: Timeline,
    private readonly written: Written,
  ) {}

  /** The value that stands; for the oracle. */
  peek(key: string): unknown {
    return this.values.get(key)?.value;
  }

  /** Version that stands; for operators' calls, which take no time. */
  version(key: string): number {
    return this.values.get(key)?.version ?? 0;
  }

  /** Writes at once if the version matches; for operators' calls. */
  put(key: string, version: number, value: unknown): boolean {
    if (this.version(key) !== version) {
      return false;
    }
    this.values.set(key, {version: version + 1, value});
    this.written(key, value);
    return true;
  }

  /** Reads a key. */
  read(key: string, answer: (answer: StoreAnswer) => void): void {
    this.call(answer, StoreOutcome.Unavailable, () => ({
      outcome: StoreOutcome.Seen,
      version: this.version(key),
      value: this.peek(key),
    }));
  }

  /** Writes a key if its version is `version`. */
  write(
    key: string,
    version: number,
    value: unknown,
    answer: (answer: StoreAnswer) => void,
  ): void {
    this.call(answer, StoreOutcome.Lost, () => {
      if (!this.put(key, version, value)) {
        const standing = this.version(key);
        const outcome = StoreOutcome.Conflict;
        return {outcome, version: standing, value: this.peek(key)};
      }
      if (this.faults.lost > 0) {
        this.faults.lost -= 1;
        return undefined;
      }
      return {outcome: StoreOutcome.Written, version: version + 1, value};
    });
  }

  /**
   * One call: the request travels, takes effect, and the answer travels back.
   * A slow call still takes effect, after its caller stopped waiting.
   */
  private call(
    answer: (answer: StoreAnswer) => void,
    timeout: StoreOutcome,
    act: () => StoreAnswer | undefined,
  ): void {
    const way = WAY + this.faults.slow / 2;
    let over = false;
    const end = (result: StoreAnswer) => {
      if (!over) {
        over = true;
        answer(result);
      }
    };
    const nothing = {version: 0, value: undefined};
    if (this.faults.down) {
      const outcome = StoreOutcome.Unavailable;
      this.timeline.after(WAY, () => end({outcome, ...nothing}));
      return;
    }
    this.timeline.after(TIMEOUT, () => end({outcome: timeout, ...nothing}));
    this.timeline.after(way, () => {
      if (this.faults.down) {
        return;
      }
      const result = act();
      if (result !== undefined) {
        this.timeline.after(way, () => end(result));
      }
    });
  }
}
