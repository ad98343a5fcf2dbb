/** Processor time that the start of a process has used, step by step. */
import type {Millis} from '@citrontrestle/decisions';

/** Steps of a start, in their order; the values are names of log fields. */
export enum StartStep {
  /** The modules of the program are evaluated. */
  Evaluated = 'evaluatedCpuMs',
  /** The settings are read and valid. */
  SettingsRead = 'settingsCpuMs',
  /** The components exist. */
  Created = 'createdCpuMs',
}

/** Processor time by step, from the beginning of the process on. */
export class StartCosts {
  private readonly times: Partial<Record<StartStep, Millis>> = {};

  /** @param processorTime returns the processor time used so far. */
  constructor(private readonly processorTime: () => Millis = usedTime) {}

  /** Records the end of a step. */
  record(step: StartStep): void {
    this.times[step] = this.processorTime();
  }

  /** Returns the processor time up to the end of each step, and up to now. */
  logFields(): Record<string, Millis> {
    return {...this.times, cpuMs: this.processorTime()};
  }
}

/** Returns the processor time that this process has used in its own code. */
export function usedTime(): Millis {
  return Math.round(process.cpuUsage().user / 1_000);
}
