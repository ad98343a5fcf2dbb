/** A point in time or a span of time, in milliseconds. */
export type Millis = number;

/** Milliseconds in one second. */
export const SECOND: Millis = 1_000;

/** Milliseconds in one minute. */
export const MINUTE: Millis = 60_000;

/** Source of the current time, in milliseconds since the Unix epoch. */
export interface Clock {
  now(): Millis;
}

/** A clock that moves only when told to; for tests and the fleet model. */
export class ManualClock implements Clock {
  constructor(private time: Millis = 0) {}

  now(): Millis {
    return this.time;
  }

  /** Moves the clock forward by `span` milliseconds. */
  advance(span: Millis): void {
    this.time += span;
  }

  /** Moves the clock forward to `time`; an earlier time is ignored. */
  moveTo(time: Millis): void {
    this.time = Math.max(this.time, time);
  }
}
