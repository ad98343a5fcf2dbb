/** A point in time or a duration, in milliseconds. */
export type Millis = number;

/** One second. */
export const SECOND: Millis = 1_000;

/** One minute. */
export const MINUTE: Millis = 60_000;

/** Source of the current time, in milliseconds since the Unix epoch. */
export interface Clock {
  now(): Millis;
}

/** A clock that is moved explicitly; used by tests and the fleet model. */
export class ManualClock implements Clock {
  constructor(private time: Millis = 0) {}

  now(): Millis {
    return this.time;
  }

  /** Moves the clock forward by `span` milliseconds. */
  advance(duration: Millis): void {
    this.time += duration;
  }

  /** Moves the clock forward to `time`; an earlier time is ignored. */
  moveTo(time: Millis): void {
    this.time = Math.max(this.time, time);
  }
}
