/**
 * How often an instance has to ask the store, derived from the times by which a
 * change must be known everywhere.
 */
import {REREGISTRATION_GRACE} from '../upstreams/upstream_registry.js';
import type {Millis} from '../base/clock.js';

/** Times that the operator promises. */
export interface PropagationBounds {
  /**
   * Time from which on an instance that reaches the store without interruption
   * must know all changes.
   */
  contact: Millis;
  /** Time after which a leaving upstream gets no more requests. */
  drain: Millis;
  /** Time after which a configuration is in force everywhere. */
  configuration: Millis;
  /** Time after which a withdrawn API key is refused everywhere. */
  revocation: Millis;
  /** Time after which an evacuated zone gets no more requests. */
  evacuation: Millis;
}

/** Times by which the store is followed. */
export interface FeedTiming {
  /**
   * Maximum time that a watch of a relay waits for changes; an unresponsive
   * store is detected only after it.
   */
  relayWatch: Millis;
  /**
   * Time since the store answered the relay from which on a follower asks the
   * store itself.
   */
  maxRelayStoreSilence: Millis;
  /** First delay of a follower after a failed call; it doubles each time. */
  minFallbackDelay: Millis;
  /** Longest delay of a follower after failed calls. */
  maxFallbackDelay: Millis;
}

/** Time that one call may take before it counts as failed, with its overhead. */
const CALL_TIME: Millis = 800;

/**
 * Time that a follower may need in addition to one delay, from when the store
 * serves it again: a call that came too early, one that succeeds, and the grace
 * period of an upstream that was removed.
 */
const FALLBACK_TIME: Millis = 2 * CALL_TIME + REREGISTRATION_GRACE;

/** Longest watch of a relay, however long the bounds are. */
const LONGEST_RELAY_WATCH: Millis = 600;

/** Longest reliance on a relay that does not reach the store. */
const LONGEST_RELAY_SILENCE: Millis = 1_500;

/** Longest delay of a follower, however long the bounds are. */
const LONGEST_FALLBACK_DELAY: Millis = 4_000;

/** Shortest delay, so that short bounds do not flood the store. */
const SHORTEST_DELAY: Millis = 200;

/** Returns the times that keep the bounds. */
export function feedTiming(bounds: PropagationBounds): FeedTiming {
  const {contact, drain, configuration, revocation, evacuation} = bounds;
  const strictest = Math.min(
    contact,
    drain,
    configuration,
    revocation,
    evacuation,
  );
  const maxFallbackDelay = clamp(
    contact - FALLBACK_TIME,
    SHORTEST_DELAY,
    LONGEST_FALLBACK_DELAY,
  );
  return {
    relayWatch: clamp(strictest / 5, SHORTEST_DELAY, LONGEST_RELAY_WATCH),
    maxRelayStoreSilence: clamp(
      strictest / 2,
      SHORTEST_DELAY,
      LONGEST_RELAY_SILENCE,
    ),
    minFallbackDelay: Math.min(1_000, maxFallbackDelay),
    maxFallbackDelay,
  };
}

/**
 * Returns the longest time from when the store serves a follower again until it
 * uses no upstream that has gone, whatever happened to its relay.
 */
export function longestFallback({maxFallbackDelay}: FeedTiming): Millis {
  return maxFallbackDelay + FALLBACK_TIME;
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
