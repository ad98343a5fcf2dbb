/** Splits an event stream into whole events. */

/** One whole event with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer;
  /** Identifier of the event; undefined if it has none. */
  id: string | undefined;
}

/** Most bytes of an event that is not whole yet. */
const MAX_PARTIAL_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Takes events out of the bytes of one stream. */
export class EventReader {
  private pending: Buffer = Buffer.alloc(0);

  /** Takes bytes; returns the events that are whole now. */
  push(chunk: Buffer): StreamEvent[] {
    this.pending =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(this.pending, start);
      if (end < 0) {
        break;
      }
      const event = this.pending.subarray(start, end);
      events.push({bytes: event, id: findEventId(event)});
      start = end;
    }
    this.pending = this.pending.subarray(start);
    return events;
  }

  /** Bytes of an event that is not whole. */
  pendingBytes(): Buffer {
    return this.pending;
  }

  /** Whether the unfinished event is larger than any event may be. */
  isEventTooLarge(): boolean {
    return this.pending.length > MAX_PARTIAL_EVENT_BYTES;
  }
}

/** Index after the blank line that ends an event; -1 if there is none. */
function findEventEnd(bytes: Buffer, start: number): number {
  let lineFeed = bytes.indexOf(LINE_FEED, start);
  while (lineFeed >= 0) {
    let next = lineFeed + 1;
    if (bytes[next] === CARRIAGE_RETURN) {
      next += 1;
    }
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    lineFeed = bytes.indexOf(LINE_FEED, lineFeed + 1);
  }
  return -1;
}

const ID_LINE = /^id: ?(.*?)\r?$/m;

function findEventId(event: Buffer): string | undefined {
  return ID_LINE.exec(event.toString('latin1'))?.[1];
}
