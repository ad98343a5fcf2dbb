/**
 * What the gateway needs of the surroundings that it runs in. An adapter
 * implements these ports; it translates names and formats and decides nothing.
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

/** One key of the store with its value. */
export interface StoreItem {
  key: string;
  value: Buffer;
  /** Revision of the store at the last change of the key. */
  revision: number;
}

/** A change of one key; without a value the key was removed. */
export interface StoreEvent {
  key: string;
  value: Buffer | undefined;
  revision: number;
}

/** What became of a call to the store. */
export enum StoreOutcome {
  Done = 'done',
  /** A condition did not hold; nothing was changed. */
  Conflict = 'conflict',
  /** The history that was asked for is no longer kept. */
  Compacted = 'compacted',
  /** The store said that it did nothing. */
  Refused = 'refused',
  /** No answer: a write may have been made, or may be made later. */
  Unknown = 'unknown',
}

/** Result of a range read or of a watch. */
export type StoreEntriesResult<T> =
  | {outcome: StoreOutcome.Done; entries: T[]; revision: number}
  | {
      outcome:
        StoreOutcome.Compacted | StoreOutcome.Refused | StoreOutcome.Unknown;
      reason: string;
    };

/** Result of a read of one key. */
export type StoreItemResult =
  | {outcome: StoreOutcome.Done; item: StoreItem | undefined; revision: number}
  | {outcome: StoreOutcome.Refused | StoreOutcome.Unknown; reason: string};

/** Result of a write under a condition. */
export type StoreWriteResult =
  | {outcome: StoreOutcome.Done; revision: number}
  /** The key as it stands; undefined if the answer could not be read. */
  | {outcome: StoreOutcome.Conflict; item: StoreItem | undefined}
  | {outcome: StoreOutcome.Refused | StoreOutcome.Unknown; reason: string};

/** The platform's store. No call throws. */
export interface Store {
  read(key: string): Promise<StoreItemResult>;
  range(prefix: string): Promise<StoreEntriesResult<StoreItem>>;
  /** Waits for changes after a revision, at most `wait`. */
  watch(
    prefix: string,
    afterRevision: number,
    maxWait: Millis,
  ): Promise<StoreEntriesResult<StoreEvent>>;
  /** Writes a key if its revision is still `expected`; 0: it doesn't exist. */
  write(
    key: string,
    expectedRevision: number,
    value: Buffer,
  ): Promise<StoreWriteResult>;
  /** Calls made so far, by kind. */
  callCounts(): Readonly<Record<string, number>>;
  close(): void;
}

/** Where the surroundings keep what the gateway watches. */
export interface StoreLayout {
  /** Prefix of the key that holds the configuration. */
  configurationPrefix: string;
  configurationKey: string;
  /** Prefix of the list of upstreams. */
  upstreamPrefix: string;
}

/** What a caller asks for, as far as its headers tell. */
export interface CallerRequest {
  id: string;
  host: string;
  path: string;
  apiKey: string | undefined;
  /** How long the caller waits; undefined if it did not say. */
  timeout: Millis | undefined;
  /** Prompt and most output tokens; undefined for plain work. */
  usage: {inputTokens: number; maxOutputTokens: number} | undefined;
  promptParts: PromptPart[];
  /** Event after which the caller resumes a stream. */
  lastEventId: string | undefined;
}

/** What the gateway sets on a request to an upstream. */
export interface UpstreamRequestParameters {
  upstreamId: string;
  accountName: string | undefined;
  /** Time that is left. */
  remainingTime: Millis;
  /** Order of admission at an engine; undefined for plain work. */
  urgency: number | undefined;
  /** Event after which a stream goes on; undefined to begin it. */
  lastEventId: string | undefined;
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
  /** Identifier of the request that is answered; undefined if missing. */
  requestId: string | undefined;
  /** Whether the answer bears the signature of an upstream. */
  hasSeal: boolean;
  /** Whether the upstream states that it did not run the request. */
  notExecuted: boolean;
  /** Whether another incarnation than the expected one answers. */
  isMisdirected: boolean;
  /** Whether the body was changed on the way, as by a compression. */
  hasContentEncoding: boolean;
  load: ReportedLoad | undefined;
}

/** Names and formats of requests, answers and stored values. */
export interface Dialect {
  layout: StoreLayout;
  parseCallerRequest(
    method: string,
    target: string,
    headers: IncomingHttpHeaders,
  ): CallerRequest;
  /** Headers of the request to an upstream. */
  upstreamRequestHeaders(
    rawHeaders: readonly string[],
    parameters: UpstreamRequestParameters,
  ): OutgoingHttpHeaders;
  parseAnswerHead(status: number, headers: IncomingHttpHeaders): AnswerHead;
  /** Headers of an upstream's answer that are passed on. */
  forwardedAnswerHeaders(rawHeaders: readonly string[]): OutgoingHttpHeaders;
  /** Headers that tell a caller when to come back. */
  retryAfterHeaders(delay: Millis): OutgoingHttpHeaders;
  decodeConfiguration(value: Buffer): DecodeResult<RoutingConfiguration>;
  decodeUpstream(key: string, value: Buffer): DecodeResult<UpstreamListing>;
}

/** A decoded value, or why it can't be read. */
export type DecodeResult<T> =
  {ok: true; value: T} | {ok: false; reason: string};

/** How pages of budgets are kept in the store. */
export interface PageCodec {
  encode(page: PrepaidPage): Buffer;
  decode(value: Buffer): DecodeResult<PrepaidPage>;
}
