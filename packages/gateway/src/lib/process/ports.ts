/**
 * Interfaces (ports) between the gateway and the platform that hosts it. An
 * adapter implements them: it translates names and formats and contains no
 * decision logic. In this package a "response" is an HTTP response, of an
 * upstream or to a caller; an "answer" is that of the store or of a peer.
 */
import type {
  Millis,
  PrepaidPage,
  PromptPart,
  ReportedLoad,
  RoutingConfiguration,
  UpstreamListing,
} from '@citrontrestle/decisions';
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** A key of the store with its value. */
export interface StoreItem {
  key: string;
  value: Buffer;
  /** Revision of the store that the last change of the key created. */
  revision: number;
}

/** A change of one key of the store. */
export interface StoreEvent {
  key: string;
  /** The new value; undefined if the key was removed. */
  value: Buffer | undefined;
  /** Revision of the store that the change created. */
  revision: number;
}

/** Outcome of a call to the store. */
export enum StoreOutcome {
  Done = 'done',
  /** The key did not have the expected revision; nothing was changed. */
  Conflict = 'conflict',
  /** The requested history has been compacted and is no longer available. */
  Compacted = 'compacted',
  /** The answer is larger than is read; it was not used. */
  TooLarge = 'too-large',
  /** The call certainly had no effect: it was rejected or never sent. */
  Refused = 'refused',
  /**
   * There is no usable answer: a write may have been applied, or may still be
   * applied later.
   */
  Unknown = 'unknown',
}

/**
 * Result of a range read or of a watch. A watch that starts at `revision`
 * misses no later change of the same era. In all results, `era` is the era of
 * the store in which the call was executed.
 */
export type StoreEntriesResult<T> =
  | {outcome: StoreOutcome.Done; entries: T[]; revision: number; era: number}
  | {
      outcome:
        | StoreOutcome.Compacted
        | StoreOutcome.TooLarge
        | StoreOutcome.Refused
        | StoreOutcome.Unknown;
      reason: string;
    };

/**
 * Result of reading one key. `item` is undefined and `revision` 0 if the key
 * does not exist.
 */
export type StoreItemResult =
  | {
      outcome: StoreOutcome.Done;
      item: StoreItem | undefined;
      revision: number;
      era: number;
    }
  | {outcome: StoreOutcome.Refused | StoreOutcome.Unknown; reason: string};

/** Result of a conditional write. */
export type StoreWriteResult =
  | {outcome: StoreOutcome.Done; revision: number; era: number}
  /** The current item; undefined if the answer does not contain it. */
  | {
      outcome: StoreOutcome.Conflict;
      item: StoreItem | undefined;
      era: number;
    }
  | {outcome: StoreOutcome.Refused | StoreOutcome.Unknown; reason: string};

/** Is told which eras the answers of the store name. */
export interface EraListener {
  /** Called when an answer names a higher era than all before it. */
  onChange(era: number, previousEra: number): void;
  /** Called when an answer names an era that is not a number. */
  onInvalid(text: string): void;
}

/**
 * The platform's key-value store. No method throws and no promise rejects:
 * failures are part of the result.
 */
export interface Store {
  /** Reads one key. */
  read(key: string): Promise<StoreItemResult>;
  /** Reads all keys that begin with `prefix`. */
  range(prefix: string): Promise<StoreEntriesResult<StoreItem>>;
  /**
   * Returns the changes after a revision to keys that begin with `prefix`. If
   * there are none yet, waits for them for at most `maxWait`.
   */
  watch(
    prefix: string,
    afterRevision: number,
    maxWait: Millis,
  ): Promise<StoreEntriesResult<StoreEvent>>;
  /**
   * Writes a key if its revision is still `expectedRevision`. 0 means that the
   * key must not exist.
   */
  write(
    key: string,
    expectedRevision: number,
    value: Buffer,
  ): Promise<StoreWriteResult>;
  /**
   * Returns the highest era that an answer of the store has named; 0 if none
   * has. It rises when the store has lost changes that it had confirmed.
   */
  era(): number;
  /** Sets the listener that is told of eras; there is none at first. */
  setEraListener(listener: EraListener): void;
  /** Number of calls made so far, by kind of call. */
  callCounts(): Readonly<Record<string, number>>;
  /** Closes the connections to the store. */
  close(): void;
}

/** Keys of the store that the gateway watches. */
export interface StoreLayout {
  /** Prefix that the gateway watches for changes of the configuration. */
  configurationPrefix: string;
  /** Key that holds the configuration. */
  configurationKey: string;
  /**
   * Prefix, below `configurationPrefix`, of the keys that order the evacuation
   * of a zone: one key for each evacuated zone, which ends with its name.
   */
  evacuationPrefix: string;
  /** Prefix of the keys that list the upstreams, one key per upstream. */
  upstreamPrefix: string;
}

/** A caller's request as described by its request line and headers. */
export interface CallerRequest {
  /** Identifier of the request; empty if the caller sent none. */
  id: string;
  /** Host name in lower case, without the port. */
  host: string;
  /** Path without the query. */
  path: string;
  apiKey: string | undefined;
  /** How long the caller waits for the response; undefined if not stated. */
  timeout: Millis | undefined;
  /** Declared token usage; undefined if the request declares none. */
  usage: {inputTokens: number; maxOutputTokens: number} | undefined;
  /** Parts of the prompt in order; empty if the caller declared none. */
  promptParts: PromptPart[];
  /**
   * Identifier of the last event that the caller received; undefined if it does
   * not resume a stream.
   */
  lastEventId: string | undefined;
  /**
   * Identifier of the request that brought the first event of the stream that
   * this one resumes; undefined if the caller names none.
   */
  resumedRequestId: string | undefined;
}

/** Values that the gateway adds to a request to an upstream. */
export interface UpstreamRequestParameters {
  upstreamId: string;
  /** Name of the client account; undefined on public routes. */
  accountName: string | undefined;
  /** Time that remains until the deadline of the request. */
  remainingTime: Millis;
  /**
   * Urgency by which an engine orders waiting requests, 0 first and 9 last;
   * undefined for requests without a prompt.
   */
  urgency: number | undefined;
  /**
   * Identifier of the event after which the stream continues; undefined to start
   * at the first event.
   */
  lastEventId: string | undefined;
}

/** Contents of the status line and headers of an upstream's response. */
export interface UpstreamResponseHead {
  /** Identifier of the request that it answers; undefined if missing. */
  requestId: string | undefined;
  /** Whether the response carries the signature (seal) of an upstream. */
  hasSeal: boolean;
  /** Whether the upstream states that it did not execute the request. */
  notExecuted: boolean;
  /**
   * Whether it states that as well as a status which means that it executed the
   * request: the head of one answer may have been joined to another one.
   */
  isContradictory: boolean;
  /**
   * Whether another upstream instance than the expected one responded, such as
   * one that was started later at the same address.
   */
  isMisdirected: boolean;
  /** Whether the body was transformed in transit, for example compressed. */
  hasContentEncoding: boolean;
  /** Load of the upstream; undefined if it is missing or malformed. */
  load: ReportedLoad | undefined;
  /**
   * Requests per second that the upstream takes from all instances together;
   * undefined if it names no limit.
   */
  requestLimit: number | undefined;
  /**
   * Rejections within a second above which the upstream falls over; undefined
   * if it does not say that it is brittle.
   */
  maxRejections: number | undefined;
  /** Whether the upstream says that it is shutting down. */
  isLeaving: boolean;
  /**
   * Time for which the upstream, which has rejected the request, wants no other
   * one; undefined if it names none.
   */
  restTime: Millis | undefined;
  /**
   * Time for which the upstream is still cold; 0 if it says that it is not, and
   * undefined if it says nothing.
   */
  coldTime: Millis | undefined;
}

/**
 * The names and formats that one platform uses in HTTP headers and in stored
 * values. Parameters named `rawHeaders` alternate names and values, as in
 * `IncomingMessage.rawHeaders` of Node.js.
 */
export interface Dialect {
  layout: StoreLayout;
  /**
   * Parses a caller's request.
   * @param target path and query as received.
   */
  parseCallerRequest(
    method: string,
    target: string,
    headers: IncomingHttpHeaders,
  ): CallerRequest;
  /** Returns the headers of the request to an upstream. */
  upstreamRequestHeaders(
    rawHeaders: readonly string[],
    parameters: UpstreamRequestParameters,
  ): OutgoingHttpHeaders;
  /** Parses the status and the headers of an upstream's response. */
  parseUpstreamResponseHead(
    status: number,
    headers: IncomingHttpHeaders,
  ): UpstreamResponseHead;
  /** Returns the headers of an upstream's response that a caller receives. */
  forwardedResponseHeaders(rawHeaders: readonly string[]): OutgoingHttpHeaders;
  /** Returns the headers that tell a caller when to retry. */
  retryAfterHeaders(delay: Millis): OutgoingHttpHeaders;
  /** Decodes the stored configuration. */
  decodeConfiguration(value: Buffer): DecodeResult<RoutingConfiguration>;
  /** Decodes the stored entry of an upstream. */
  decodeUpstream(key: string, value: Buffer): DecodeResult<UpstreamListing>;
}

/** A decoded value, or the reason why it can't be decoded. */
export type DecodeResult<T> =
  {ok: true; value: T} | {ok: false; reason: string};

/** Serialization of budget pages for the store. */
export interface PageCodec {
  encode(page: PrepaidPage): Buffer;
  decode(value: Buffer): DecodeResult<PrepaidPage>;
}
