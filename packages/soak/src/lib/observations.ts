/**
 * What callers and upstreams observed in one run. All times are milliseconds
 * since the epoch.
 */
import type {CallerResult, ServerRun} from '@citrontrestle/stand_ins';

/** Kinds of requests that callers send; the values name the routes. */
export enum RequestKind {
  /** An idempotent request. */
  Read = 'read',
  /** A request that must run at most once. */
  Order = 'order',
  /** A token stream that must run at most once. */
  NonResumableStream = 'talk',
  /** A token stream that may be resumed at another upstream. */
  ResumableStream = 'long',
}

/** Header in which callers number their tries of one request, from 1. */
export const TRY_HEADER = 'x-caller-try';

/** One try of a caller's request and its result. */
export interface SentRequest {
  /** The same in all tries of a request. */
  id: string;
  /** Number of the try, from 1. */
  tryNumber: number;
  kind: RequestKind;
  account: string;
  apiKey: string;
  /** Name of the instance that received the request. */
  gateway: string;
  sentAt: number;
  /** The request whose stream it takes up, and the last event of that. */
  resumed?: {id: string; lastEvent: number} | undefined;
  /** When its caller left before the response had ended; undefined if it stayed. */
  leftAt?: number;
  /** Filled in once the response or the connection has ended. */
  result: CallerResult;
}

/** A period during which a fault affected one or all instances. */
export interface Disruption {
  /** Name of the affected instance; undefined if all are affected. */
  gateway: string | undefined;
  from: number;
  until: number;
  /** Whether only calls to the store were affected. */
  isOfStore?: boolean;
  /** Whether a link held bytes back, which may arrive after a request has ended. */
  holdsBytes: boolean;
}

/** An API key that was removed from the configuration. */
export interface Revocation {
  apiKey: string;
  revokedAt: number;
}

/** An upstream that leaves. */
export interface UpstreamDrain {
  upstream: string;
  announcedAt: number;
  /** Whether only its answers say so, and not the store. */
  isOnlyStated?: boolean;
}

/** An instance that had itself learned that an upstream leaves. */
export interface DrainNotice {
  gateway: string;
  upstream: string;
  at: number;
  /** When its process ended, which forgets what is not in the store. */
  until: number;
}

/** A zone that the operator evacuated. */
export interface Evacuation {
  zone: string;
  orderedAt: number;
  /** Infinity until it is taken back. */
  takenBackAt: number;
}

/** A prompt part under which upstreams crashed. */
export interface CrashingPart {
  part: string;
  /** When upstreams crashed under it, the first one first. */
  crashTimes: number[];
}

/** What was observed in one run. */
export interface RunObservations {
  sentRequests: SentRequest[];
  /** Requests that upstreams started to run, each with its upstream and zone. */
  upstreamRuns: {upstream: string; zone: string; run: ServerRun}[];
  /** Tokens granted to each account by the end of the run. */
  grantedTokens: ReadonlyMap<string, number>;
  /**
   * Accounts of which nothing was granted later, and whose ended processes left
   * nothing that counts as spent though it may not be.
   */
  exactAccounts?: ReadonlySet<string>;
  /**
   * While one lasts, time bounds are not checked for the affected instances.
   */
  disruptions: Disruption[];
  /** Instances that were told to stop by SIGTERM. */
  plannedStops: {gateway: string; signalledAt: number}[];
  revocations: Revocation[];
  upstreamDrains: UpstreamDrain[];
  /** What instances learned themselves; undefined if not known. */
  drainNotices?: DrainNotice[];
  /** Requests that upstreams refused, other than by status 421. */
  refusedRuns?: RunObservations['upstreamRuns'];
  crashingParts: CrashingPart[];
  evacuations: Evacuation[];
}

/** A guarantee that did not hold. */
export interface Violation {
  /** Key of the check in `CHECKS`. */
  guarantee: string;
  detail: string;
  /** Identifiers of the requests concerned; empty if it is about an account. */
  requestIds: string[];
}

/** Output tokens in one event of a stream. */
export const TOKENS_PER_EVENT = 5;

/** Prompt tokens and maximum output tokens that a stream request declares. */
export const STREAM_TOKENS = {input: 100, maxOutput: 30};

/** Number of events in a complete stream. */
export const EVENTS_PER_STREAM = 6;

/** Statuses that guarantee that the request was not and will not be run. */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/** Finds violations of one guarantee. */
export type Check = (observations: RunObservations) => Violation[];
