/**
 * Relays the responses of upstreams to one caller: an event stream event by
 * event, and any other response once it is complete, unless it is too large.
 * `response` is the response to the caller; that of an upstream is called the
 * upstream's response. Not to be confused with a relay among the gateways.
 */
import {promisesNotRun} from '@citrontrestle/decisions';
import {EventNumbering, EventSuccession} from './event_numbering.js';
import {EventReader} from './event_reader.js';
import {HeldPart} from '../process/held_bytes.js';
import {isSuccess} from '../upstreams/response_head.js';
import type {HeldBytes} from '../process/held_bytes.js';
import type {StreamEvent} from './event_reader.js';
import type {CallerResponse} from './caller_response.js';
import type {Dialect} from '../process/ports.js';
import type {ReceivedHead} from '../upstreams/response_head.js';
import type {OutgoingHttpHeaders} from 'node:http';

/** Result of relaying a chunk of a body. */
export enum RelayOutcome {
  Accepted = 'taken',
  /** The caller reads too slowly; nothing more should be relayed for now. */
  Backpressure = 'caller-busy',
  /** An incomplete event is larger than any event may be, or than there is room. */
  EventTooLarge = 'overflow',
  /** A resumed stream does not go on after the last event of the caller. */
  OutOfSequence = 'out-of-sequence',
  /** A body that is withheld from the caller is larger than any is read. */
  WithheldTooLarge = 'withheld-too-large',
}

/** Result of completing the response to the caller. */
export enum RelayCompletion {
  Sent = 'sent',
  /** The stream may have been cut off; the response was not ended. */
  Ambiguous = 'doubtful',
  /**
   * The connection ended before any byte of a body without a length, which
   * proves nothing. Nothing was sent; see `sendUnproven`.
   */
  Unproven = 'unproven',
}

/**
 * Maximum size in bytes of a body that is buffered until it is complete. While
 * nothing has been sent to the caller, the request can still be repeated.
 */
const MAX_BUFFERED_BYTES = 256 * 1024;

/**
 * Maximum size in bytes of a body that is sent without a length. The kernel takes
 * this much at once; what it doesn't take is lost if this process is killed, and
 * the rest then looks whole.
 */
const MAX_UNFRAMED_BYTES = 4 * 1024;

/**
 * Headers that state the length or a digest of a body, in lower case. They are
 * untrue if the body is put together from several responses.
 */
const BODY_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'content-md5',
  'content-digest',
  'content-range',
  'digest',
  'etag',
  'repr-digest',
]);

/**
 * Builds the response to one caller from one attempt or several in turn.
 *
 * An upstream's response may have no length and end with its connection. If it
 * were passed on in that form as it arrives, an end of this process would look
 * like its end, and even a reset may. So its events are sent in chunks, as is a
 * body that is too large to be sent at once; any other body is buffered and sent
 * at once, without a length: whether it is whole can't be proved.
 */
export class ResponseRelay {
  /** Number of stream events written to the caller, over all attempts. */
  deliveredEvents = 0;
  /** Whether the caller got a successful body that is no stream, or a part of it. */
  deliveredBody = false;
  private receivedHead: ReceivedHead | undefined;
  private eventReader = new EventReader();
  private bufferedChunks: Buffer[] = [];
  private bufferedBytes = 0;
  /** Bytes that were read of a body that the caller does not get. */
  private withheldBytes = 0;
  /** Whether the body is relayed as it arrives, as it is too large to be buffered. */
  private isPassingThrough = false;
  /** Media type of the response to the caller; undefined before it has begun. */
  private mediaType: string | undefined;
  /** Whether an earlier attempt has begun the response. */
  private hasBegunBefore = false;
  /** Whether the head to the caller states the length of the body. */
  private hasStatedLength = false;
  private readonly numbering: EventNumbering;
  /** The bytes that were received and not yet relayed. */
  private readonly held: HeldPart;
  /**
   * Whether the current attempt resumes the stream and may first repeat events
   * that the caller has.
   */
  private isCatchingUp = false;
  /** Whether the current attempt has repeated events that the caller has. */
  private hasRepeatedEvents = false;

  constructor(
    private readonly response: CallerResponse,
    private readonly dialect: Dialect,
    /** Whether successful responses are event streams. */
    private readonly isStreamingRoute: boolean,
    /** Whether an upstream may be asked to resume a stream. */
    private readonly isResumable: boolean,
    /** Identifier of the last event that the caller had; undefined if none. */
    private readonly callerLastEventId: string | undefined,
    heldBytes: HeldBytes,
  ) {
    this.held = new HeldPart(heldBytes);
    this.numbering = new EventNumbering(callerLastEventId);
  }

  /** Begins an attempt: discards what a previous one received in vain. */
  beginAttempt(): void {
    this.discard();
    this.receivedHead = undefined;
    this.isCatchingUp = this.isResumable && this.lastEventId() !== undefined;
    this.hasRepeatedEvents = false;
    this.hasBegunBefore = this.response.hasBegun();
  }

  /** Discards what was received and has not been relayed. */
  discard(): void {
    this.eventReader = new EventReader();
    this.bufferedChunks = [];
    this.bufferedBytes = 0;
    this.withheldBytes = 0;
    this.held.resize(0);
  }

  /** Whether a body that is too large to be buffered is relayed as it arrives. */
  relaysBulk(): boolean {
    return this.isPassingThrough;
  }

  /** Sets the head of the upstream's response in the current attempt. */
  setHead(receivedHead: ReceivedHead): void {
    this.receivedHead = receivedHead;
  }

  /**
   * Whether the upstream's response is withheld from the caller, as its status
   * promises that the request has not run. The upstream has not stated this, else
   * the call would have failed; so the request may have run.
   */
  isWithheld(): boolean {
    return promisesNotRun(this.status());
  }

  /** Whether the head of the upstream's response was received. */
  hasHead(): boolean {
    return this.receivedHead !== undefined;
  }

  /** Returns the HTTP status of the upstream's response; 0 if not received. */
  status(): number {
    return this.receivedHead?.status ?? 0;
  }

  /** Whether the upstream's response is an event stream. */
  isStreaming(): boolean {
    return this.isStreamingRoute && this.status() === 200;
  }

  /**
   * Whether the body of the upstream's response may follow what the caller has
   * received: an event stream goes on with events of the same media type only,
   * not with an error text, whatever its status.
   */
  mayFollow(): boolean {
    return (
      this.mediaType === undefined ||
      (this.isStreaming() && this.receivedHead?.mediaType === this.mediaType)
    );
  }

  /**
   * Whether another upstream can continue after the last delivered event: its
   * place is certain, and no length was stated, which would not be that of both.
   */
  canResume(): boolean {
    return (
      this.deliveredEvents === 0 ||
      (this.lastEventId() !== undefined && !this.hasStatedLength)
    );
  }

  /**
   * Returns the identifier of the event after which an upstream is to begin;
   * undefined for the whole stream or if it is not certain.
   */
  lastEventId(): string | undefined {
    return this.deliveredEvents === 0
      ? this.callerLastEventId
      : this.numbering.position()?.toString();
  }

  /** Relays or buffers a chunk of the body of the upstream's response. */
  push(chunk: Buffer): RelayOutcome {
    if (this.isWithheld()) {
      this.withheldBytes += chunk.length;
      return this.withheldBytes <= MAX_BUFFERED_BYTES
        ? RelayOutcome.Accepted
        : RelayOutcome.WithheldTooLarge;
    }
    if (this.isStreaming()) {
      return this.relayEvents(chunk);
    }
    if (this.isPassingThrough) {
      this.recordBody();
      return this.write(chunk);
    }
    this.bufferedChunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const isSmall = this.bufferedBytes <= MAX_BUFFERED_BYTES;
    if (isSmall && this.held.resize(this.bufferedBytes)) {
      return RelayOutcome.Accepted;
    }
    const chunks = this.bufferedChunks;
    this.discard();
    this.isPassingThrough = true;
    this.recordBody();
    const outcomes = chunks.map(buffered => this.write(buffered));
    return outcomes.at(-1) ?? RelayOutcome.Accepted;
  }

  /** Completes the response, unless the end of the upstream's is ambiguous. */
  finish(): RelayCompletion {
    const isCloseDelimited = this.receivedHead?.isCloseDelimited === true;
    const isEmpty =
      this.bufferedBytes === 0 && this.eventReader.pendingBytes() === 0;
    if (isCloseDelimited && isEmpty && !this.response.hasBegun()) {
      return RelayCompletion.Unproven;
    }
    if (this.isStreaming()) {
      return this.finishStream();
    }
    if (this.isPassingThrough) {
      this.response.end();
      return RelayCompletion.Sent;
    }
    if (this.receivedHead !== undefined) {
      const headers = this.dialect.forwardedResponseHeaders(
        this.receivedHead.rawHeaders,
      );
      const body = Buffer.concat(this.bufferedChunks);
      if (isCloseDelimited && body.length <= MAX_UNFRAMED_BYTES) {
        this.response.delimitByClose();
      } else if (!this.response.takesChunks()) {
        headers['Content-Length'] = body.length;
      }
      this.response.send(this.receivedHead.status, headers, body);
      this.recordBody();
    }
    return RelayCompletion.Sent;
  }

  /** Records that the caller gets a body, or a part of it, if it is a success. */
  private recordBody(): void {
    this.deliveredBody ||= isSuccess(this.status());
  }

  /**
   * Sends a response without a byte as the upstream did: without a length, so
   * that it looks no more complete than it is.
   */
  sendUnproven(): void {
    this.response.delimitByClose();
    this.beginResponse();
    this.response.end();
  }

  private finishStream(): RelayCompletion {
    const hasPartialEvent = this.eventReader.pendingBytes() > 0;
    // The stream has broken off before, so the end of a connection alone is no
    // evidence that the rest of it is whole.
    const isAmbiguous =
      this.receivedHead?.isCloseDelimited === true && this.hasBegunBefore;
    if (hasPartialEvent || isAmbiguous) {
      return RelayCompletion.Ambiguous;
    }
    this.beginResponse();
    this.response.end();
    return RelayCompletion.Sent;
  }

  private relayEvents(chunk: Buffer): RelayOutcome {
    let outcome = RelayOutcome.Accepted;
    for (const event of this.eventReader.push(chunk)) {
      if (this.isCatchingUp && !event.isComment) {
        const succession = this.numbering.succession(event);
        if (succession === EventSuccession.Repeated) {
          this.hasRepeatedEvents = true;
          continue;
        }
        if (!this.mayDeliver(succession)) {
          return RelayOutcome.OutOfSequence;
        }
        this.isCatchingUp = false;
      }
      outcome = this.deliver(event);
    }
    const isTooLarge =
      this.eventReader.isEventTooLarge() ||
      !this.held.resize(this.eventReader.pendingBytes());
    return isTooLarge ? RelayOutcome.EventTooLarge : outcome;
  }

  /**
   * Whether the first event of a resumed stream that the caller does not have may
   * be delivered. An upstream that begins anywhere else than after the caller's
   * last event is trusted only if it follows the caller's own identifier, as the
   * steps of the stream are not known then.
   */
  private mayDeliver(succession: EventSuccession): boolean {
    const isCallersResume =
      this.deliveredEvents === 0 && !this.hasRepeatedEvents;
    return succession === EventSuccession.Next || isCallersResume;
  }

  private deliver(event: StreamEvent): RelayOutcome {
    const outcome = this.write(event.bytes);
    if (!event.isComment) {
      this.deliveredEvents += 1;
    }
    this.numbering.record(event);
    return outcome;
  }

  /** Sends the head to the caller if that has not been done. */
  private beginResponse(): void {
    const {receivedHead} = this;
    if (receivedHead === undefined || this.response.hasBegun()) {
      return;
    }
    this.mediaType = receivedHead.mediaType;
    const headers = this.dialect.forwardedResponseHeaders(
      receivedHead.rawHeaders,
    );
    if (this.mayDifferInLength()) {
      this.response.writeHead(receivedHead.status, withoutBodyHeaders(headers));
      return;
    }
    this.hasStatedLength = Object.keys(headers).some(isLengthHeader);
    this.response.writeHead(receivedHead.status, headers);
  }

  /**
   * Whether the body may become another one than that of the upstream: events
   * that the caller has are left out, or another upstream goes on with the stream.
   * A caller that takes no chunks knows a whole body by its length alone, so its
   * stream is not gone on with.
   */
  private mayDifferInLength(): boolean {
    const mayGoOn = this.isResumable && this.response.takesChunks();
    return this.isStreaming() && (this.hasRepeatedEvents || mayGoOn);
  }

  private write(bytes: Buffer): RelayOutcome {
    this.beginResponse();
    const hasRoom = this.response.write(bytes);
    return hasRoom ? RelayOutcome.Accepted : RelayOutcome.Backpressure;
  }
}

function isLengthHeader(name: string): boolean {
  return name.toLowerCase() === 'content-length';
}

/** Returns the headers that are true of a body of several responses as well. */
function withoutBodyHeaders(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
  const entries = Object.entries(headers);
  return Object.fromEntries(
    entries.filter(([name]) => !BODY_HEADERS.has(name.toLowerCase())),
  );
}
