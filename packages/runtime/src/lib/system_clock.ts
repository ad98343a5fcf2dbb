import type {
  Clock,
  MachineClock,
  MachineTime,
  Millis,
} from '@citrontrestle/decisions';

const NANOSECONDS_PER_MILLISECOND = 1_000_000;

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

/** The clocks that all processes of the machine share. */
export class SystemMachineClock implements MachineClock {
  machineTime(): MachineTime {
    const nanoseconds = Number(process.hrtime.bigint());
    return {
      monotonic: nanoseconds / NANOSECONDS_PER_MILLISECOND,
      wall: Date.now(),
    };
  }
}
