/** Measures the processor time that this process uses. */
import type {Millis} from '@citrontrestle/decisions';

/** Processor time of a process. */
export interface ProcessorUse {
  /** In its own code. */
  user: Millis;
  /** In the kernel on its behalf. */
  system: Millis;
}

const MICROSECONDS_PER_MS = 1_000;

/** Processor time since the last look at it. */
export class ProcessorTime {
  private last: NodeJS.CpuUsage = {user: 0, system: 0};

  /** Returns the processor time since the last call, or since the start. */
  takeRecent(): ProcessorUse {
    const recent = process.cpuUsage(this.last);
    this.last = process.cpuUsage();
    return {
      user: Math.round(recent.user / MICROSECONDS_PER_MS),
      system: Math.round(recent.system / MICROSECONDS_PER_MS),
    };
  }
}
