/** Frames on a link: the length as 4 bytes in big-endian order, then CBOR. */
import {Encoder} from 'cbor-x/encode';

const HEADER_BYTES = 4;

/** Maximum length of the body of a received frame, in bytes. */
export const MAX_FRAME_BYTES = 1024 * 1024;

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});

/** Encodes a value as one frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}

/** A received frame. */
export interface Frame {
  /** The decoded body. */
  value: unknown;
  /** Length of the frame in bytes, that of its header included. */
  bytes: number;
}

/** The frames completed by a chunk, or a failure. */
export type FrameReadResult = {ok: true; frames: Frame[]} | {ok: false};

/** Decodes frames from bytes that arrive in chunks. */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  /**
   * Appends a chunk and decodes all complete frames. After a frame that is too
   * large or isn't valid CBOR the stream can't be read any further.
   */
  push(chunk: Buffer): FrameReadResult {
    this.buffered =
      this.buffered.length === 0 ? chunk : this.concatBuffered(chunk);
    const frames: Frame[] = [];
    while (this.buffered.length >= HEADER_BYTES) {
      const length = this.buffered.readUInt32BE();
      if (length > MAX_FRAME_BYTES) {
        return {ok: false};
      }
      const end = HEADER_BYTES + length;
      if (this.buffered.length < end) {
        break;
      }
      const body = this.buffered.subarray(HEADER_BYTES, end);
      this.buffered = this.buffered.subarray(end);
      try {
        frames.push({value: encoder.decode(body), bytes: end});
      } catch {
        return {ok: false};
      }
    }
    return {ok: true, frames};
  }

  private concatBuffered(chunk: Buffer): Buffer {
    return Buffer.concat([this.buffered, chunk]);
  }
}
