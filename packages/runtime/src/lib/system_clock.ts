import type {Clock, Millis} from '@citrontrestle/decisions';

/** The clock of the machine. */
export class SystemClock implements Clock {
  now(): Millis {
    return Date.now();
  }
}
