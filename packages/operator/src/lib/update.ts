/** Changes of one key by compare-and-swap, safe against lost answers. */
import {KeyValueOutcome} from '@citrontrestle/platform';
import type {KeyValueClient, KeyValueResult} from '@citrontrestle/platform';
import type {Millis} from '@citrontrestle/decisions';

/** What became of an update. */
export enum UpdateOutcome {
  /** The change stands. */
  Done = 'done',
  /** There was nothing to change. */
  Unchanged = 'unchanged',
  /** The key-value service could not be reached; the change may stand. */
  Unavailable = 'unavailable',
}

/**
 * Turns the value that stands into the value wanted; undefined when the value
 * already is as wanted. It is called again after a conflict or a lost answer,
 * so it must see for itself that its change stands.
 */
export type ValueUpdater<T> = (current: T | undefined) => T | undefined;

const MAX_ATTEMPTS = 20;
const RETRY_DELAY: Millis = 200;

/** Applies a change to a key. */
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
