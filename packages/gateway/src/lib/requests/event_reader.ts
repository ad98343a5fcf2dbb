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

/** Bytes of a line end and of a blank line that may lie in two chunks. */
const MAX_SPLIT_END_BYTES = 3;

/** Reads the events of one stream; the last one may be incomplete. */
export class EventReader {
  /** Chunks received after the last complete event. */
  private pending: Buffer[] = [];
  private pendingSize = 0;
  /** The last of these bytes, in which the end of the event may have begun. */
  private tail: Buffer = Buffer.alloc(0);

  /** Adds bytes of the stream and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[] {
    const seam = chunk.subarray(0, MAX_SPLIT_END_BYTES);
    const joint = Buffer.concat([this.tail, seam]);
    if (findEventEnd(joint, 0) < 0 && findEventEnd(chunk, 0) < 0) {
      // The bytes are not joined with those before until the event is complete.
      this.keep(chunk, chunk.length < MAX_SPLIT_END_BYTES ? joint : chunk);
      return [];
    }
    const bytes = Buffer.concat([...this.pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(bytes, start);
      if (end < 0) {
        break;
      }
      events.push(parseEvent(bytes.subarray(start, end)));
      start = end;
    }
    const rest = bytes.subarray(start);
    this.pending = [];
    this.pendingSize = 0;
    this.keep(rest, rest);
    return events;
  }

  /** Returns the number of bytes of the incomplete event; 0 if there is none. */
  pendingBytes(): number {
    return this.pendingSize;
  }

  /** Whether the incomplete event exceeds the maximum size. */
  isEventTooLarge(): boolean {
    return this.pendingSize > MAX_PARTIAL_EVENT_BYTES;
  }

  /** @param last bytes that end with the last ones of the chunk. */
  private keep(chunk: Buffer, last: Buffer): void {
    if (chunk.length > 0) {
      this.pending.push(chunk);
      this.pendingSize += chunk.length;
    }
    this.tail = last.subarray(-MAX_SPLIT_END_BYTES);
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
