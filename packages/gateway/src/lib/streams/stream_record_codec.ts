/** Encoding of what the store holds about streams, as JSON. */
import * as z from 'zod';
import {decodeJson} from '../process/json_codec.js';
import type {DecodeResult} from '../process/ports.js';
import type {VersionRecord} from '@citrontrestle/decisions';

const VERSION_RECORD_SCHEMA = z.object({
  era: z.number().int().nonnegative(),
  services: z.record(
    z.string(),
    z.object({versions: z.array(z.string()), complete: z.boolean()}),
  ),
});

/** Streams of each version: their keys, concatenated, in base64. */
const SEGMENT_SCHEMA = z.object({streams: z.record(z.string(), z.base64())});

/** Length of a stream's key in bytes; in messages it is in hexadecimal. */
const STREAM_KEY_BYTES = 8;

/** Encodes the versions of all services. */
export function encodeVersionRecord(record: VersionRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Decodes the versions of all services. */
export function decodeVersionRecord(
  value: Buffer,
): DecodeResult<VersionRecord> {
  return decodeJson(value, VERSION_RECORD_SCHEMA);
}

/** Encodes a segment; streams with a malformed key are left out. */
export function encodeSegment(streams: ReadonlyMap<string, string>): Buffer {
  const keysByVersion = new Map<string, Buffer[]>();
  for (const [stream, version] of streams) {
    const key = Buffer.from(stream, 'hex');
    if (key.length === STREAM_KEY_BYTES) {
      const keys = keysByVersion.get(version) ?? [];
      keys.push(key);
      keysByVersion.set(version, keys);
    }
  }
  const encoded = [...keysByVersion].map(([version, keys]) => [
    version,
    Buffer.concat(keys).toString('base64'),
  ]);
  return Buffer.from(
    JSON.stringify({streams: Object.fromEntries(encoded) as unknown}),
  );
}

/** Decodes a segment: the version of each stream. */
export function decodeSegment(
  value: Buffer,
): DecodeResult<Map<string, string>> {
  const decoded = decodeJson(value, SEGMENT_SCHEMA);
  if (!decoded.ok) {
    return decoded;
  }
  const streams = new Map<string, string>();
  for (const [version, text] of Object.entries(decoded.value.streams)) {
    const keys = Buffer.from(text, 'base64');
    for (let at = 0; at < keys.length; at += STREAM_KEY_BYTES) {
      const key = keys.subarray(at, at + STREAM_KEY_BYTES);
      streams.set(key.toString('hex'), version);
    }
  }
  return {ok: true, value: streams};
}
