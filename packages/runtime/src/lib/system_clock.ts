import type {Clock, Millis} from '@citrontrestle/decisions';

/** Wall clock of the machine; may jump when it is adjusted. */
export class SystemClock implements Clock {
  now(): Millis {
    return Date.now();
  }
}

/** Monotonic clock; counts from the start of the process. */
export class MonotonicClock implements Clock {
  now(): Millis {
    return performance.now();
  }
}
