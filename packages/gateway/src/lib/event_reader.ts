/** Splits an event stream into whole events. */

/** One whole event with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer;
  /** Identifier of the event; undefined if it has none. */
  id: string | undefined;
}

/** Most bytes of an event that is not whole yet. */
const MOST_PARTIAL_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Takes events out of the bytes of one stream. */
export class EventReader {
  private rest: Buffer = Buffer.alloc(0);

  /** Takes bytes; returns the events that are whole now. */
  push(bytes: Buffer): StreamEvent[] {
    this.rest =
      this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = endOfEvent(this.rest, start);
      if (end < 0) {
        break;
      }
      const event = this.rest.subarray(start, end);
      events.push({bytes: event, id: idOf(event)});
      start = end;
    }
    this.rest = this.rest.subarray(start);
    return events;
  }

  /** Bytes of an event that is not whole. */
  partial(): Buffer {
    return this.rest;
  }

  /** Whether the unfinished event is larger than any event may be. */
  overflown(): boolean {
    return this.rest.length > MOST_PARTIAL_BYTES;
  }
}

/** Index after the blank line that ends an event; -1 if there is none. */
function endOfEvent(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(LINE_FEED, start);
  while (at >= 0) {
    let next = at + 1;
    if (bytes[next] === CARRIAGE_RETURN) {
      next += 1;
    }
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

const ID_LINE = /^id: ?(.*?)\r?$/m;

function idOf(event: Buffer): string | undefined {
  return ID_LINE.exec(event.toString('latin1'))?.[1];
}
