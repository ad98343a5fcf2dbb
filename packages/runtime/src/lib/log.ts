/** Logs as JSON lines. */
import {createConsola} from 'consola/core';
import {SECOND} from '@citrontrestle/decisions';
import type {Clock} from '@citrontrestle/decisions';
import type {ConsolaInstance} from 'consola/core';

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
export function createLog(
  level: string,
  base: LogFields,
  write: (line: string) => void = toStandardError,
): Log {
  const consola = createConsola({
    level: LEVELS[level] ?? 3,
    // Repeated lines are bounded by `limitLog`, with a count.
    throttle: 0,
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
          write(JSON.stringify(line));
        },
      },
    ],
  });
  return new JsonLog(consola);
}

function toStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/**
 * A log that passes on at most `perSecond` lines a second. What was left out
 * is counted in a line of its own when the next second begins.
 */
export function limitLog(log: Log, perSecond: number, clock: Clock): Log {
  let second = 0;
  let lines = 0;
  let leftOut = 0;
  const pass = (send: () => void) => {
    const now = Math.floor(clock.now() / SECOND);
    if (now !== second) {
      if (leftOut > 0) {
        log.warn('log.left-out', {lines: leftOut});
      }
      second = now;
      lines = 0;
      leftOut = 0;
    }
    lines += 1;
    if (lines <= perSecond) {
      send();
    } else {
      leftOut += 1;
    }
  };
  return {
    info: (event, fields) => pass(() => log.info(event, fields)),
    warn: (event, fields) => pass(() => log.warn(event, fields)),
    error: (event, fields) => log.error(event, fields),
  };
}

/** A log that writes nothing. */
export const SILENT_LOG: Log = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
