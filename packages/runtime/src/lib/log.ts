/** Logs as JSON lines on standard error. */
import {createConsola} from 'consola';
import type {ConsolaInstance} from 'consola';

/** Fields of one log line. Never a prompt, an answer or a key. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes one event a line. */
export interface Log {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** consola's number for "info"; 0 is errors only. */
const LEVELS: Record<string, number> = {error: 0, warn: 1, info: 3};

class JsonLog implements Log {
  constructor(private readonly consola: ConsolaInstance) {}

  info(event: string, fields: LogFields = {}): void {
    this.consola.info({event, ...fields});
  }

  warn(event: string, fields: LogFields = {}): void {
    this.consola.warn({event, ...fields});
  }

  error(event: string, fields: LogFields = {}): void {
    this.consola.error({event, ...fields});
  }
}

/** Makes a log; `base` is added to each line. */
export function createLog(level: string, base: LogFields): Log {
  const consola = createConsola({
    level: LEVELS[level] ?? 3,
    reporters: [
      {
        log: entry => {
          const fields: unknown = entry.args[0];
          const line = {
            time: entry.date.toISOString(),
            level: entry.type,
            ...base,
            ...(fields as object),
          };
          process.stderr.write(`${JSON.stringify(line)}\n`);
        },
      },
    ],
  });
  return new JsonLog(consola);
}

/** A log that writes nothing. */
export const SILENT_LOG: Log = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
