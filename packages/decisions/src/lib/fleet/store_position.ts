/**
 * The order of the states of the platform's store. The store may come back from
 * a copy and lose what it has confirmed since; then its era rises, and its
 * revisions go back and are given out again. So a revision counts only together
 * with its era.
 */

/** A state of the store. */
export interface StorePosition {
  /** Rises each time that the store goes back to a copy. */
  era: number;
  /** Rises with each change within an era. */
  revision: number;
}

/** Position before anything is known of the store. */
export const UNKNOWN_POSITION: StorePosition = {era: 0, revision: -1};

/** Whether the first position is newer than the second one. */
export function isNewer(first: StorePosition, second: StorePosition): boolean {
  return first.era === second.era
    ? first.revision > second.revision
    : first.era > second.era;
}
