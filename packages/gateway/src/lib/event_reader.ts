/** Splits a stream of server-sent events into complete events. */

/** A complete event. */
export interface StreamEvent {
  /** The event as received, with the blank line at its end. */
  bytes: Buffer;
  /** Identifier of the event; undefined if it has none. */
  id: string | undefined;
  /** Whether it has only comments, and so carries nothing. */
  isComment: boolean;
}

/** Maximum size of an incomplete event in bytes. */
const MAX_PARTIAL_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Reads the events of one stream; the last one may be incomplete. */
export class EventReader {
  /** Bytes received after the last complete event. */
  private pending: Buffer = Buffer.alloc(0);

  /** Adds bytes of the stream and returns the events that they complete. */
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
      events.push(parseEvent(event));
      start = end;
    }
    this.pending = this.pending.subarray(start);
    return events;
  }

  /** Returns the bytes of the incomplete event; empty if there is none. */
  pendingBytes(): Buffer {
    return this.pending;
  }

  /** Whether the incomplete event exceeds the maximum size. */
  isEventTooLarge(): boolean {
    return this.pending.length > MAX_PARTIAL_EVENT_BYTES;
  }
}

/**
 * Returns the index after the blank line that ends an event; -1 if there is
 * none. Lines may end with LF or CR LF.
 */
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

/** A line with something else than a comment. */
const FIELD_LINE = /^[^:\r\n]/m;

function parseEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1');
  const isComment = !FIELD_LINE.test(text);
  return {bytes, id: ID_LINE.exec(text)?.[1], isComment};
}
