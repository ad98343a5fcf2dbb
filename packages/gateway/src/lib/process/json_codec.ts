/** Decoding of JSON that was read from the store. */
import * as z from 'zod';
import type {DecodeResult} from './ports.js';

/** Decodes a value that must match a schema, or returns why it does not. */
export function decodeJson<T>(
  value: Buffer,
  schema: z.ZodType<T>,
): DecodeResult<T> {
  try {
    const parsed = schema.safeParse(JSON.parse(value.toString('utf8')));
    return parsed.success
      ? {ok: true, value: parsed.data}
      : {ok: false, reason: z.prettifyError(parsed.error)};
  } catch (error) {
    return {ok: false, reason: String(error)};
  }
}
