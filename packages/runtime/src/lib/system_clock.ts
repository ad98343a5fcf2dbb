import type {Clock, Millis} from '@citrontrestle/decisions';

/** The time of day of the machine; it may jump. */
export class SystemClock implements Clock {
  now(): Millis {
    return Date.now();
  }
}

/** A clock that never jumps; its zero is the start of the process. */
export class SteadyClock implements Clock {
  now(): Millis {
    return performance.now();
  }
}
