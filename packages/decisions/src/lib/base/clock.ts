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

/** A point in time as the clocks of one machine show it. */
export interface MachineTime {
  /**
   * Monotonic time of the machine, the same for all its processes. It starts
   * anew when the machine does, and excludes time spent suspended.
   */
  monotonic: Millis;
  /** Time of day; may jump when it is adjusted. */
  wall: Millis;
}

/** Source of the current time of the machine. */
export interface MachineClock {
  machineTime(): MachineTime;
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

/** The clocks of a machine that are moved explicitly; used by tests. */
export class ManualMachineClock implements MachineClock {
  private wallOffset: Millis = 0;
  private monotonicOffset: Millis = 0;

  /** @param clock true time. */
  constructor(private readonly clock: Clock) {}

  machineTime(): MachineTime {
    const now = this.clock.now();
    return {
      monotonic: now + this.monotonicOffset,
      wall: now + this.wallOffset,
    };
  }

  /** Adjusts the time of day. */
  adjustWall(duration: Millis): void {
    this.wallOffset += duration;
  }

  /** Restarts the machine: its monotonic time continues at another value. */
  restart(monotonic: Millis): void {
    this.monotonicOffset = monotonic - this.clock.now();
  }

  /** Has the machine suspended for `duration`, which has passed already. */
  suspend(duration: Millis): void {
    this.monotonicOffset -= duration;
  }
}
