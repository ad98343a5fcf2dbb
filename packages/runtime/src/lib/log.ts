/** Structured log in JSON lines. */
import {createConsola} from 'consola/core';
import {SECOND} from '@citrontrestle/decisions';
import type {Clock} from '@citrontrestle/decisions';
import type {ConsolaInstance} from 'consola/core';

/** Fields of a log line. Must never hold a prompt, an answer or an API key. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Log that writes each event as one line. */
export interface Log {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Levels of consola by name; each level includes the lower numbers. */
const CONSOLA_LEVELS: Record<string, number> = {error: 0, warn: 1, info: 3};

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

/** Creates a log that adds `baseFields` to each line. */
export function createLog(
  level: string,
  baseFields: LogFields,
  write: (line: string) => void = writeToStandardError,
): Log {
  const consola = createConsola({
    level: CONSOLA_LEVELS[level] ?? 3,
    // `limitLogRate` limits the lines instead, and counts those dropped.
    throttle: 0,
    reporters: [
      {
        log: entry => {
          const fields: unknown = entry.args[0];
          const line = {
            time: entry.date.toISOString(),
            level: entry.type,
            ...baseFields,
            ...(fields as object),
          };
          write(JSON.stringify(line));
        },
      },
    ],
  });
  return new JsonLog(consola);
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/**
 * Limits a log to `perSecond` lines per second; errors always pass. The number
 * of dropped lines is logged with the first line of a later second.
 */
export function limitLogRate(log: Log, perSecond: number, clock: Clock): Log {
  let currentSecond = 0;
  let linesThisSecond = 0;
  let droppedLines = 0;
  const logWithinLimit = (writeLine: () => void) => {
    const second = Math.floor(clock.now() / SECOND);
    if (second !== currentSecond) {
      if (droppedLines > 0) {
        log.warn('log.left-out', {lines: droppedLines});
      }
      currentSecond = second;
      linesThisSecond = 0;
      droppedLines = 0;
    }
    linesThisSecond += 1;
    if (linesThisSecond <= perSecond) {
      writeLine();
    } else {
      droppedLines += 1;
    }
  };
  return {
    info: (event, fields) => logWithinLimit(() => log.info(event, fields)),
    warn: (event, fields) => logWithinLimit(() => log.warn(event, fields)),
    error: (event, fields) => log.error(event, fields),
  };
}

/** A log that writes nothing. */
export const SILENT_LOG: Log = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
