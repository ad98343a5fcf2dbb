/**
 * Follows the identifiers of the events of one stream, so that the stream goes on
 * at another upstream only after an event whose place in it is certain. Any
 * identifier may be wrong: one wrong digit must not let events be missed or sent
 * twice.
 */
import type {StreamEvent} from './event_reader.js';

/** What an event of a resumed stream is to the caller who has the events before. */
export enum EventSuccession {
  /** The event after the last one. */
  Next = 'next',
  /** An event that the caller has already received. */
  Repeated = 'repeated',
  /** Events may be missing between the last one and this one. */
  Unknown = 'unknown',
}

/**
 * Follows the identifiers of the events that a caller has received. They are
 * expected to rise in equal steps; the step is one until the events show another.
 */
export class EventNumbering {
  /** Identifier of the last event that fits; undefined if none is known. */
  private last: number | undefined;
  private step = 1;
  /** Number of events after `last` whose identifiers do not fit. */
  private unplacedEvents = 0;
  /** Identifier of the last event, if it does not fit. */
  private unplacedId: number | undefined;

  /** @param startId identifier of the event before the first one, if any. */
  constructor(startId: string | undefined) {
    this.last = startId === undefined ? 0 : parseNumber(startId);
  }

  /**
   * Returns the identifier of the last event, if it is certain that the caller
   * has that event and all before it; otherwise undefined.
   */
  position(): number | undefined {
    return this.unplacedEvents === 0 ? this.last : undefined;
  }

  /** Records an event that the caller receives. */
  record(event: StreamEvent): void {
    if (event.isComment) {
      return;
    }
    const id = parseNumber(event.id);
    if (id !== undefined && this.fits(id)) {
      this.place(id, 0);
      return;
    }
    this.unplacedEvents += 1;
    const previousId = this.unplacedId;
    this.unplacedId = id;
    if (id !== undefined && previousId !== undefined && id > previousId) {
      // The stream may count in other steps; the next event shows whether it does.
      this.step = id - previousId;
      this.place(id, 1);
    }
  }

  /** Tells what an event of another attempt is, from the last event's place. */
  succession(event: StreamEvent): EventSuccession {
    const id = parseNumber(event.id);
    const last = this.position();
    if (id === undefined || last === undefined) {
      return EventSuccession.Unknown;
    }
    if (id <= last) {
      return EventSuccession.Repeated;
    }
    return id === last + this.step
      ? EventSuccession.Next
      : EventSuccession.Unknown;
  }

  /**
   * Whether an identifier lies as many steps after the last one as there were
   * events. Fewer fit too, as an event without an identifier may be no piece.
   */
  private fits(id: number): boolean {
    const steps = (id - (this.last ?? NaN)) / this.step;
    return (
      Number.isInteger(steps) && steps >= 1 && steps <= this.unplacedEvents + 1
    );
  }

  private place(id: number, unplacedEvents: number): void {
    this.last = id;
    this.unplacedEvents = unplacedEvents;
    this.unplacedId = undefined;
  }
}

/** Parses an identifier of digits only; undefined if it is another text. */
function parseNumber(id: string | undefined): number | undefined {
  const number = id !== undefined && /^\d+$/.test(id) ? Number(id) : NaN;
  return Number.isSafeInteger(number) ? number : undefined;
}
