/** CBOR encoding of the values in the key-value service. */
import {Encoder} from 'cbor-x/encode';

/** Encodes and decodes stored values as CBOR. */
export class CborCodec {
  // Plain maps without record definitions, so that every version of the
  // software can read a stored value on its own.
  private readonly encoder = new Encoder({
    useRecords: false,
    mapsAsObjects: true,
  });

  /** Encodes a value; objects become CBOR maps. */
  encode(value: unknown): Buffer {
    return this.encoder.encode(value);
  }

  /** Decodes a value; throws on invalid CBOR. */
  decode(bytes: Buffer): unknown {
    return this.encoder.decode(bytes);
  }
}
