/**
 * Passes the answers of upstreams on to one caller: a stream event by event,
 * all else once it is whole.
 */
import {EventReader} from './event_reader.js';
import type {CallerAnswer} from './caller_answer.js';
import type {Dialect} from './ports.js';
import type {ReceivedHead} from './upstream_call.js';

/** What became of some bytes. */
export enum RelayOutcome {
  Taken = 'taken',
  /** The caller can't take more for now. */
  CallerBusy = 'caller-busy',
  /** No event can be as long as what came. */
  Overflow = 'overflow',
}

/** What became of an answer at its end. */
export enum RelayEnd {
  Sent = 'sent',
  /** The end can't be told from a cut. */
  Doubtful = 'doubtful',
}

/** Largest answer that is kept back until it is whole, in bytes. */
const MOST_HELD_BYTES = 256 * 1024;

/** The answer to one caller, over one attempt or several. */
export class AnswerRelay {
  /** Events delivered to the caller. */
  events = 0;
  private received: ReceivedHead | undefined;
  private reader = new EventReader();
  private held: Buffer[] = [];
  private heldBytes = 0;
  private passing = false;
  private framed = true;

  constructor(
    private readonly answer: CallerAnswer,
    private readonly dialect: Dialect,
    /** Whether a success is a series of events. */
    private readonly streams: boolean,
    /** Last event that the caller has, undefined for none. */
    public lastEvent: string | undefined,
  ) {}

  /** Forgets what a former attempt had sent and was not passed on. */
  reset(): void {
    this.received = undefined;
    this.reader = new EventReader();
    this.held = [];
    this.heldBytes = 0;
  }

  /** Takes the head of an answer. */
  head(received: ReceivedHead): void {
    this.received = received;
  }

  /** Whether a head has come. */
  headed(): boolean {
    return this.received !== undefined;
  }

  /** Status of the answer; 0 if none has come. */
  status(): number {
    return this.received?.status ?? 0;
  }

  /** Whether the answer is a series of events. */
  streaming(): boolean {
    return this.streams && this.status() === 200;
  }

  /** Whether the stream can go on after the last event at another upstream. */
  resumable(): boolean {
    return this.events === 0 || this.lastEvent !== undefined;
  }

  /** Takes bytes of the body. */
  take(bytes: Buffer): RelayOutcome {
    if (this.streaming()) {
      return this.takeEvents(bytes);
    }
    if (this.passing) {
      return this.write(bytes);
    }
    this.held.push(bytes);
    this.heldBytes += bytes.length;
    const unframed = this.received?.unframed === true;
    if (this.heldBytes <= MOST_HELD_BYTES && !unframed) {
      return RelayOutcome.Taken;
    }
    this.passing = true;
    return this.write(Buffer.concat(this.held));
  }

  /** Ends the answer as whole, if it can be. */
  finish(): RelayEnd {
    if (this.streaming()) {
      return this.finishStream();
    }
    if (this.passing) {
      this.answer.end();
      return RelayEnd.Sent;
    }
    if (this.received !== undefined) {
      const headers = this.dialect.forwardedAnswerHeaders(this.received.raw);
      const body = Buffer.concat(this.held);
      this.answer.send(this.received.status, headers, body);
    }
    return RelayEnd.Sent;
  }

  private finishStream(): RelayEnd {
    const partial = this.reader.partial().length > 0;
    // In an answer with a length or chunks the end must be certain.
    const begun = this.answer.begun();
    const doubtful = this.received?.unframed === true && begun && this.framed;
    if (partial || doubtful) {
      return RelayEnd.Doubtful;
    }
    this.begin();
    this.answer.end();
    return RelayEnd.Sent;
  }

  private takeEvents(bytes: Buffer): RelayOutcome {
    let outcome = RelayOutcome.Taken;
    for (const event of this.reader.push(bytes)) {
      if (this.isRepeated(event.id)) {
        continue;
      }
      outcome = this.write(event.bytes);
      this.events += 1;
      this.lastEvent = event.id ?? this.lastEvent;
    }
    return this.reader.overflown() ? RelayOutcome.Overflow : outcome;
  }

  /** Whether the caller has an event already. */
  private isRepeated(id: string | undefined): boolean {
    const last = Number(this.lastEvent ?? NaN);
    return id !== undefined && Number(id) <= last;
  }

  private begin(): void {
    const {received} = this;
    if (received === undefined || this.answer.begun()) {
      return;
    }
    if (received.unframed) {
      this.framed = false;
      this.answer.unframe();
    }
    const headers = this.dialect.forwardedAnswerHeaders(received.raw);
    this.answer.begin(received.status, headers);
  }

  private write(bytes: Buffer): RelayOutcome {
    this.begin();
    const more = this.answer.write(bytes);
    return more ? RelayOutcome.Taken : RelayOutcome.CallerBusy;
  }
}
