/**
 * How often an instance has to ask the store, derived from the times by which a
 * change must be known everywhere.
 */
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
  /** Maximum time that a watch waits for changes if nobody relies on it. */
  ownWatch: Millis;
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
  /** As `ownWatch`, of a feed that gives up its watch as another feed fails. */
  probedWatch: Millis;
  /** First delay after failed calls of an instance that follows no relay. */
  minOwnDelay: Millis;
  /** Longest delay of such an instance. */
  maxOwnDelay: Millis;
  /** First delay of a follower after a failed call; it doubles each time. */
  minFallbackDelay: Millis;
  /** Longest delay of a follower after failed calls. */
  maxFallbackDelay: Millis;
  /**
   * Time after the store was last known to be away for which an upstream stays
   * usable whose entry may have lapsed in that outage.
   */
  lapseGrace: Millis;
}

/**
 * A way on which an instance learns of a change when the store serves it again,
 * or when its connections work again.
 */
export enum NewsWay {
  /** Its watch hangs, and it asks again. */
  OwnWatch = 'own-watch',
  /** As `OwnWatch`, of a feed that knows by another one of a store that is away. */
  ProbedWatch = 'probed-watch',
  /** A call came too early, and it asks again after a delay. */
  OwnRetry = 'own-retry',
  /** As `OwnWatch`, at the relay that passes the change on. */
  RelayWatch = 'relay-watch',
  /** As `OwnRetry`, at the relay that passes the change on. */
  RelayRetry = 'relay-retry',
  /** As `OwnWatch`, at a follower whose relay does not reach the store. */
  FallbackWatch = 'fallback-watch',
  /** As `OwnRetry`, at a follower whose relay does not reach the store. */
  FallbackRetry = 'fallback-retry',
  /** The change is a removal that may be a lapsed entry. */
  LapsedEntry = 'lapsed-entry',
}

/** Time that one call may take before it counts as failed, with its overhead. */
const CALL_TIME: Millis = 800;

/**
 * Time after the return of the store in which upstreams write their entries
 * again, and these are read.
 */
const REREGISTRATION_TIME: Millis = 1_600;

/**
 * Part of the contact time that is left for a late process, and for the way of a
 * request to its upstream.
 */
export const LATENESS_MARGIN: Millis = 400;

/** Time in which a relay passes a change on. */
const PASSING_TIME: Millis = 100;

/** Longest watch of an instance that nobody relies on. */
const LONGEST_OWN_WATCH: Millis = 2_200;

/** First delay of an instance that follows no relay. */
const FIRST_OWN_DELAY: Millis = 100;

/** Range of the longest delay of an instance that follows no relay. */
const OWN_DELAY = {min: 400, max: 800};

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
  const limit = contact - LATENESS_MARGIN;
  const longestDelay = limit - CALL_TIME - REREGISTRATION_TIME;
  const maxFallbackDelay = clamp(
    longestDelay,
    SHORTEST_DELAY,
    LONGEST_FALLBACK_DELAY,
  );
  const minFallbackDelay = Math.min(1_000, maxFallbackDelay);
  const maxOwnDelay = clamp(longestDelay, OWN_DELAY.min, OWN_DELAY.max);
  const lapseGrace =
    CALL_TIME + Math.max(maxOwnDelay, maxFallbackDelay) + REREGISTRATION_TIME;
  return {
    ownWatch: clamp(
      limit - 2 * CALL_TIME - minFallbackDelay,
      SHORTEST_DELAY,
      LONGEST_OWN_WATCH,
    ),
    relayWatch: clamp(strictest / 5, SHORTEST_DELAY, LONGEST_RELAY_WATCH),
    maxRelayStoreSilence: clamp(
      strictest / 2,
      SHORTEST_DELAY,
      LONGEST_RELAY_SILENCE,
    ),
    probedWatch: clamp(
      limit - CALL_TIME - minFallbackDelay,
      SHORTEST_DELAY,
      LONGEST_OWN_WATCH,
    ),
    minOwnDelay: FIRST_OWN_DELAY,
    maxOwnDelay,
    minFallbackDelay,
    maxFallbackDelay,
    lapseGrace: clamp(lapseGrace, 0, Math.max(0, limit)),
  };
}

/** Time of a call that fails, and of one that is answered. */
const TWO_CALLS: Millis = 2 * CALL_TIME;

/** The longest time of each way. */
const LONGEST_NEWS: Readonly<Record<NewsWay, (timing: FeedTiming) => Millis>> =
  {
    [NewsWay.OwnWatch]: ({ownWatch, minOwnDelay}) =>
      ownWatch + minOwnDelay + TWO_CALLS,
    [NewsWay.ProbedWatch]: ({probedWatch, minFallbackDelay}) =>
      probedWatch + minFallbackDelay + CALL_TIME,
    [NewsWay.OwnRetry]: ({maxOwnDelay}) => maxOwnDelay + TWO_CALLS,
    [NewsWay.RelayWatch]: ({relayWatch, minOwnDelay}) =>
      relayWatch + minOwnDelay + TWO_CALLS + PASSING_TIME,
    [NewsWay.RelayRetry]: ({maxOwnDelay}) =>
      maxOwnDelay + TWO_CALLS + PASSING_TIME,
    [NewsWay.FallbackWatch]: ({ownWatch, minFallbackDelay}) =>
      ownWatch + minFallbackDelay + TWO_CALLS,
    [NewsWay.FallbackRetry]: ({maxFallbackDelay}) =>
      maxFallbackDelay + TWO_CALLS,
    [NewsWay.LapsedEntry]: ({lapseGrace}) => lapseGrace,
  };

/**
 * Returns the longest time from when the store serves an instance again until it
 * uses no upstream any more that has gone, if it learns so on one way.
 */
export function longestNews(timing: FeedTiming, way: NewsWay): Millis {
  return LONGEST_NEWS[way](timing);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
