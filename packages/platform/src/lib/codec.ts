/** Values of the key-value service as CBOR. */
import {Encoder} from 'cbor-x';

/** Encodes and decodes stored values. */
export class Codec {
  // Plain maps: a stored value must be readable on its own, by any version.
  private readonly encoder = new Encoder({
    useRecords: false,
    mapsAsObjects: true,
  });

  /** Encodes a value. */
  encode(value: unknown): Buffer {
    return this.encoder.encode(value);
  }

  /** Decodes a value. */
  decode(bytes: Buffer): unknown {
    return this.encoder.decode(bytes);
  }
}
