/** Frames on a link: 4 bytes of length, most significant first, then CBOR. */
import {Encoder} from 'cbor-x';

const HEADER_BYTES = 4;

/** Largest frame, in bytes. */
export const MOST_FRAME_BYTES = 1024 * 1024;

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});

/** Encodes a value as one frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}

/** What a reader made of some bytes. */
export type FrameOutcome = {ok: true; values: unknown[]} | {ok: false};

/** Takes frames out of a stream of bytes. */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);

  /** Takes bytes; fails for good on a frame that is too large or no CBOR. */
  push(bytes: Buffer): FrameOutcome {
    this.rest = this.rest.length === 0 ? bytes : this.join(bytes);
    const values: unknown[] = [];
    while (this.rest.length >= HEADER_BYTES) {
      const length = this.rest.readUInt32BE();
      if (length > MOST_FRAME_BYTES) {
        return {ok: false};
      }
      const end = HEADER_BYTES + length;
      if (this.rest.length < end) {
        break;
      }
      const body = this.rest.subarray(HEADER_BYTES, end);
      this.rest = this.rest.subarray(end);
      try {
        values.push(encoder.decode(body));
      } catch {
        return {ok: false};
      }
    }
    return {ok: true, values};
  }

  private join(bytes: Buffer): Buffer {
    return Buffer.concat([this.rest, bytes]);
  }
}
