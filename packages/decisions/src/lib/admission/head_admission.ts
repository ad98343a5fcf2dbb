/**
 * Whether a request is refused on its head alone, before its body is read. Covers
 * this load pattern: a small link is full, and a body that is read and then
 * refused takes as much of it as one that is served.
 */

/** What is known of a request and of the link when its head has been read. */
export interface HeadFacts {
  /** Utilisation of the link, in its busier direction. */
  utilisation: number;
  /** Size of the body in bytes; 0 if it is not stated. */
  bodyBytes: number;
  /** By how much the body raises the utilisation. */
  bodyUtilisation: number;
  /** Priority of the request; 0 is the most important. */
  priority: number;
  /** Whether other instances of the zone have room on their links. */
  othersHaveRoom: boolean;
}

/** Utilisation up to which requests of the highest priority are read. */
const MAX_UTILISATION = 0.98;

/** Reduction of the limit for each lower priority. */
const PRIORITY_STEP = 0.04;

/** Utilisation up to which requests of any priority are read. */
const MIN_LIMIT = 0.86;

/**
 * Minimum size in bytes of a large body. Smaller ones mostly arrive with the head,
 * because callers send that much before the first acknowledgement.
 */
const LARGE_BODY_BYTES = 16_384;

/**
 * Utilisation up to which large bodies are read while others have room: a
 * refused caller is served there sooner than behind a queue.
 */
const LIMIT_WITH_ROOM_ELSEWHERE = 0.75;

/** Lowest utilisation at which a request with a body may be refused. */
export const MIN_REFUSING_UTILISATION = 0.5;

/** Whether the body of a request is to be read. */
export function admitsHead({
  utilisation,
  bodyBytes,
  bodyUtilisation,
  priority,
  othersHaveRoom,
}: HeadFacts): boolean {
  if (utilisation < MIN_REFUSING_UTILISATION) {
    // Otherwise a body that exceeds the limit by itself would never be read.
    return true;
  }
  const ownLimit = Math.max(
    MIN_LIMIT,
    MAX_UTILISATION - PRIORITY_STEP * Math.max(0, priority),
  );
  if (bodyBytes < LARGE_BODY_BYTES) {
    return utilisation <= ownLimit;
  }
  const limit = othersHaveRoom ? LIMIT_WITH_ROOM_ELSEWHERE : ownLimit;
  return utilisation + bodyUtilisation <= limit;
}
