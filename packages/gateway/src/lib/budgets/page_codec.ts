/** Encoding of budget pages in the store, as JSON. */
import * as z from 'zod';
import {decodeJson} from '../process/json_codec.js';
import type {PageCodec} from '../process/ports.js';
import type {PrepaidPage, TokenCounts} from '@citrontrestle/decisions';

/** Numbers of tokens, by the name of the account. */
const TOKENS_BY_ACCOUNT = z.custom<TokenCounts>(isTokenCounts);

const PAGE_SCHEMA = z.object({
  closed: TOKENS_BY_ACCOUNT,
  // Missing in pages of earlier versions.
  isYoung: z.boolean().default(false),
  holders: z.record(
    z.string(),
    z.object({
      instance: z.string(),
      taken: TOKENS_BY_ACCOUNT,
      // The following are missing in entries of earlier versions.
      used: TOKENS_BY_ACCOUNT.default({}),
      limits: TOKENS_BY_ACCOUNT.default({}),
      witnesses: z.array(z.string()).default([]),
      ceilings: TOKENS_BY_ACCOUNT.default({}),
      durableCeilings: TOKENS_BY_ACCOUNT.default({}),
      // The transformation makes the key required, as in `PageHolder`.
      confirmedAt: z
        .object({monotonic: z.number(), wall: z.number()})
        .optional()
        .transform(time => time),
      // A string, as earlier versions wrote it.
      era: z.coerce.number().catch(0),
    }),
  ),
});

/** Encodes pages, and decodes them or returns why a value is invalid. */
export const PAGE_CODEC: PageCodec = {
  encode: encodePage,
  decode: value => decodeJson(value, PAGE_SCHEMA),
};

/** Whether a value is such numbers; a record of `zod` would drop `__proto__`. */
function isTokenCounts(value: unknown): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    Object.values(value).every(tokens => typeof tokens === 'number')
  );
}

function encodePage({holders, ...page}: PrepaidPage): Buffer {
  const rows = Object.entries(holders).map(([id, entry]) => [
    id,
    {...entry, era: String(entry.era)},
  ]);
  const encoded = {...page, holders: Object.fromEntries(rows) as unknown};
  return Buffer.from(JSON.stringify(encoded));
}
