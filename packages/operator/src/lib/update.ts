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
export type Changer<T> = (current: T | undefined) => T | undefined;

const ATTEMPTS = 20;
const PAUSE: Millis = 200;

/** Applies a change to a key. */
export async function update<T>(
  keyValue: KeyValueClient,
  key: string,
  change: Changer<T>,
): Promise<UpdateOutcome> {
  let wrote = false;
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const seen = await keyValue.read(key);
    if (!isSeen(seen)) {
      await pause();
      continue;
    }
    const found = seen.outcome === KeyValueOutcome.Found;
    const next = change(found ? (seen.value as T) : undefined);
    if (next === undefined) {
      return wrote ? UpdateOutcome.Done : UpdateOutcome.Unchanged;
    }
    const version = found ? seen.version : 0;
    const result = await keyValue.write(key, version, next);
    if (result.outcome === KeyValueOutcome.Written) {
      return UpdateOutcome.Done;
    }
    wrote ||= result.outcome === KeyValueOutcome.Unknown;
    if (result.outcome !== KeyValueOutcome.Conflict) {
      await pause();
    }
  }
  return UpdateOutcome.Unavailable;
}

type Seen = Extract<
  KeyValueResult,
  {outcome: KeyValueOutcome.Found | KeyValueOutcome.Absent}
>;

function isSeen(result: KeyValueResult): result is Seen {
  const {Found, Absent} = KeyValueOutcome;
  return result.outcome === Found || result.outcome === Absent;
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, PAUSE));
}
