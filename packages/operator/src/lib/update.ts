/**
 * Updates of one key by compare-and-swap that remain correct when the response
 * to a write is lost.
 */
import {KeyValueOutcome} from '@citrontrestle/platform';
import type {KeyValueClient, KeyValueResult} from '@citrontrestle/platform';
import type {Millis} from '@citrontrestle/decisions';

/** Outcome of an update. */
export enum UpdateOutcome {
  /** The change was written. */
  Done = 'done',
  /** The value was already as wanted; nothing was written. */
  Unchanged = 'unchanged',
  /** All attempts failed; the change may have been written all the same. */
  Unavailable = 'unavailable',
}

/**
 * Returns the new value for the current one, which is undefined if the key
 * doesn't exist; returns undefined if nothing needs to be written. It is called
 * again after a conflict or a lost response, so it must recognize from the
 * current value that its change has already been made.
 */
export type ValueUpdater<T> = (current: T | undefined) => T | undefined;

const MAX_ATTEMPTS = 20;
const RETRY_DELAY: Millis = 200;

/**
 * Updates the value of a key. Conflicts are retried at once, failed calls after
 * a delay.
 */
export async function updateKey<T>(
  keyValue: KeyValueClient,
  key: string,
  updateValue: ValueUpdater<T>,
): Promise<UpdateOutcome> {
  let mayHaveWritten = false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const readResult = await keyValue.read(key);
    if (!isSuccessfulRead(readResult)) {
      await waitBeforeRetry();
      continue;
    }
    const exists = readResult.outcome === KeyValueOutcome.Found;
    const newValue = updateValue(exists ? (readResult.value as T) : undefined);
    if (newValue === undefined) {
      return mayHaveWritten ? UpdateOutcome.Done : UpdateOutcome.Unchanged;
    }
    const version = exists ? readResult.version : 0;
    const writeResult = await keyValue.write(key, version, newValue);
    if (writeResult.outcome === KeyValueOutcome.Written) {
      return UpdateOutcome.Done;
    }
    mayHaveWritten ||= writeResult.outcome === KeyValueOutcome.Unknown;
    if (writeResult.outcome !== KeyValueOutcome.Conflict) {
      await waitBeforeRetry();
    }
  }
  return UpdateOutcome.Unavailable;
}

type SuccessfulRead = Extract<
  KeyValueResult,
  {outcome: KeyValueOutcome.Found | KeyValueOutcome.Absent}
>;

function isSuccessfulRead(result: KeyValueResult): result is SuccessfulRead {
  const {Found, Absent} = KeyValueOutcome;
  return result.outcome === Found || result.outcome === Absent;
}

function waitBeforeRetry(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, RETRY_DELAY));
}
