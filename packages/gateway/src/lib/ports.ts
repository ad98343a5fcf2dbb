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
export type StoreReading<T> =
  | {outcome: StoreOutcome.Done; entries: T[]; revision: number}
  | {
      outcome:
        StoreOutcome.Compacted | StoreOutcome.Refused | StoreOutcome.Unknown;
      reason: string;
    };

/** Result of a read of one key. */
export type StoreItemReading =
  | {outcome: StoreOutcome.Done; item: StoreItem | undefined; revision: number}
  | {outcome: StoreOutcome.Refused | StoreOutcome.Unknown; reason: string};

/** Result of a write under a condition. */
export type StoreWriting =
  | {outcome: StoreOutcome.Done; revision: number}
  /** The key as it stands; undefined if the answer could not be read. */
  | {outcome: StoreOutcome.Conflict; item: StoreItem | undefined}
  | {outcome: StoreOutcome.Refused | StoreOutcome.Unknown; reason: string};

/** The platform's store. No call throws. */
export interface Store {
  read(key: string): Promise<StoreItemReading>;
  range(prefix: string): Promise<StoreReading<StoreItem>>;
  /** Waits for changes after a revision, at most `wait`. */
  watch(
    prefix: string,
    after: number,
    wait: Millis,
  ): Promise<StoreReading<StoreEvent>>;
  /** Writes a key if its revision is still `expected`; 0: it doesn't exist. */
  write(key: string, expected: number, value: Buffer): Promise<StoreWriting>;
  /** Calls made so far, by kind. */
  calls(): Readonly<Record<string, number>>;
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
  patience: Millis | undefined;
  /** Prompt and most output tokens; undefined for plain work. */
  usage: {input: number; mostOutput: number} | undefined;
  parts: PromptPart[];
  /** Event after which the caller resumes a stream. */
  lastEvent: string | undefined;
}

/** What the gateway sets on a request to an upstream. */
export interface UpstreamOrder {
  upstream: string;
  account: string | undefined;
  /** Time that is left. */
  patience: Millis;
  /** Order of admission at an engine; undefined for plain work. */
  urgency: number | undefined;
  /** Event after which a stream goes on; undefined to begin it. */
  lastEvent: string | undefined;
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
  /** Identifier of the request that is answered; undefined if missing. */
  requestId: string | undefined;
  /** Whether the answer bears the signature of an upstream. */
  sealed: boolean;
  /** Whether the upstream states that it did not run the request. */
  notExecuted: boolean;
  /** Whether another incarnation than the expected one answers. */
  replaced: boolean;
  /** Whether the body was changed on the way, as by a compression. */
  encoded: boolean;
  load: ReportedLoad | undefined;
}

/** Names and formats of requests, answers and stored values. */
export interface Dialect {
  layout: StoreLayout;
  callerRequest(
    method: string,
    target: string,
    headers: IncomingHttpHeaders,
  ): CallerRequest;
  /** Headers of the request to an upstream. */
  upstreamHeaders(
    raw: readonly string[],
    order: UpstreamOrder,
  ): OutgoingHttpHeaders;
  answerHead(status: number, headers: IncomingHttpHeaders): AnswerHead;
  /** Headers of an upstream's answer that are passed on. */
  answerHeaders(raw: readonly string[]): OutgoingHttpHeaders;
  /** Headers that tell a caller when to come back. */
  retryHeaders(after: Millis): OutgoingHttpHeaders;
  configuration(value: Buffer): Decoded<RoutingConfiguration>;
  upstream(key: string, value: Buffer): Decoded<UpstreamListing>;
}

/** A decoded value, or why it can't be read. */
export type Decoded<T> = {ok: true; value: T} | {ok: false; reason: string};

/** How pages of budgets are kept in the store. */
export interface PageCodec {
  encode(page: PrepaidPage): Buffer;
  decode(value: Buffer): Decoded<PrepaidPage>;
}
