/**
 * Keeps an exception within the request or the message that caused it: whatever
 * a value from outside makes a step throw, the process and all else go on.
 */
import type {Log} from '@citrontrestle/runtime';

/** Returns the fields of a log line that describe an exception. */
export function exceptionFields(error: unknown): {reason: string} {
  return {
    reason: error instanceof Error ? (error.stack ?? '') : String(error),
  };
}

/** Runs a step; logs what it throws as `event` and then calls `onException`. */
export function guardStep(
  step: () => void,
  log: Log,
  event: string,
  fields: Record<string, string | undefined>,
  onException: () => void = () => undefined,
): void {
  try {
    step();
  } catch (error) {
    log.error(event, {...fields, ...exceptionFields(error)});
    onException();
  }
}
