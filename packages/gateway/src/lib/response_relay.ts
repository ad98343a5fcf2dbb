/**
 * Passes the answers of upstreams on to one caller: a stream event by event,
 * all else once it is whole.
 */
import {EventReader} from './event_reader.js';
import type {CallerResponse} from './caller_response.js';
import type {Dialect} from './ports.js';
import type {ReceivedHead} from './upstream_call.js';

/** What became of some bytes. */
export enum RelayOutcome {
  Accepted = 'taken',
  /** The caller can't take more for now. */
  Backpressure = 'caller-busy',
  /** No event can be as long as what came. */
  EventTooLarge = 'overflow',
}

/** What became of an answer at its end. */
export enum RelayCompletion {
  Sent = 'sent',
  /** The end can't be told from a cut. */
  Ambiguous = 'doubtful',
}

/** Largest answer that is kept back until it is whole, in bytes. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** The answer to one caller, over one attempt or several. */
export class ResponseRelay {
  /** Events delivered to the caller. */
  deliveredEvents = 0;
  private receivedHead: ReceivedHead | undefined;
  private eventReader = new EventReader();
  private bufferedChunks: Buffer[] = [];
  private bufferedBytes = 0;
  private isPassingThrough = false;
  private isFramed = true;

  constructor(
    private readonly response: CallerResponse,
    private readonly dialect: Dialect,
    /** Whether a success is a series of events. */
    private readonly isStreamingRoute: boolean,
    /** Last event that the caller has, undefined for none. */
    public lastEventId: string | undefined,
  ) {}

  /** Forgets what a former attempt had sent and was not passed on. */
  reset(): void {
    this.receivedHead = undefined;
    this.eventReader = new EventReader();
    this.bufferedChunks = [];
    this.bufferedBytes = 0;
  }

  /** Takes the head of an answer. */
  setHead(receivedHead: ReceivedHead): void {
    this.receivedHead = receivedHead;
  }

  /** Whether a head has come. */
  hasHead(): boolean {
    return this.receivedHead !== undefined;
  }

  /** Status of the answer; 0 if none has come. */
  status(): number {
    return this.receivedHead?.status ?? 0;
  }

  /** Whether the answer is a series of events. */
  isStreaming(): boolean {
    return this.isStreamingRoute && this.status() === 200;
  }

  /** Whether the stream can go on after the last event at another upstream. */
  canResume(): boolean {
    return this.deliveredEvents === 0 || this.lastEventId !== undefined;
  }

  /** Takes bytes of the body. */
  push(chunk: Buffer): RelayOutcome {
    if (this.isStreaming()) {
      return this.relayEvents(chunk);
    }
    if (this.isPassingThrough) {
      return this.write(chunk);
    }
    this.bufferedChunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const isCloseDelimited = this.receivedHead?.isCloseDelimited === true;
    if (this.bufferedBytes <= MAX_BUFFERED_BYTES && !isCloseDelimited) {
      return RelayOutcome.Accepted;
    }
    this.isPassingThrough = true;
    return this.write(Buffer.concat(this.bufferedChunks));
  }

  /** Ends the answer as whole, if it can be. */
  finish(): RelayCompletion {
    if (this.isStreaming()) {
      return this.finishStream();
    }
    if (this.isPassingThrough) {
      this.response.end();
      return RelayCompletion.Sent;
    }
    if (this.receivedHead !== undefined) {
      const headers = this.dialect.forwardedAnswerHeaders(
        this.receivedHead.rawHeaders,
      );
      const body = Buffer.concat(this.bufferedChunks);
      this.response.send(this.receivedHead.status, headers, body);
    }
    return RelayCompletion.Sent;
  }

  private finishStream(): RelayCompletion {
    const hasPartialEvent = this.eventReader.pendingBytes().length > 0;
    // In an answer with a length or chunks the end must be certain.
    const hasBegun = this.response.hasBegun();
    const isAmbiguous =
      this.receivedHead?.isCloseDelimited === true && hasBegun && this.isFramed;
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
      if (this.isAlreadyDelivered(event.id)) {
        continue;
      }
      outcome = this.write(event.bytes);
      this.deliveredEvents += 1;
      this.lastEventId = event.id ?? this.lastEventId;
    }
    return this.eventReader.isEventTooLarge()
      ? RelayOutcome.EventTooLarge
      : outcome;
  }

  /** Whether the caller has an event already. */
  private isAlreadyDelivered(id: string | undefined): boolean {
    const lastId = Number(this.lastEventId ?? NaN);
    return id !== undefined && Number(id) <= lastId;
  }

  private beginResponse(): void {
    const {receivedHead} = this;
    if (receivedHead === undefined || this.response.hasBegun()) {
      return;
    }
    if (receivedHead.isCloseDelimited) {
      this.isFramed = false;
      this.response.delimitByClose();
    }
    const headers = this.dialect.forwardedAnswerHeaders(
      receivedHead.rawHeaders,
    );
    this.response.writeHead(receivedHead.status, headers);
  }

  private write(bytes: Buffer): RelayOutcome {
    this.beginResponse();
    const hasRoom = this.response.write(bytes);
    return hasRoom ? RelayOutcome.Accepted : RelayOutcome.Backpressure;
  }
}
