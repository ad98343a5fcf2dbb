/** Pages of budgets as JSON, the form in which the store keeps them. */
import * as z from 'zod';
import type {DecodeResult, PageCodec} from './ports.js';
import type {PrepaidPage} from '@citrontrestle/decisions';

const SUMS = z.record(z.string(), z.number());

const PAGE_SCHEMA = z.object({
  closed: SUMS,
  holders: z.record(z.string(), z.object({instance: z.string(), taken: SUMS})),
});

/** Codec of pages. */
export const PAGE_CODEC: PageCodec = {
  encode: page => Buffer.from(JSON.stringify(page)),
  decode: decodePage,
};

function decodePage(value: Buffer): DecodeResult<PrepaidPage> {
  try {
    const checked = PAGE_SCHEMA.safeParse(JSON.parse(value.toString('utf8')));
    return checked.success
      ? {ok: true, value: checked.data}
      : {ok: false, reason: z.prettifyError(checked.error)};
  } catch (error) {
    return {ok: false, reason: String(error)};
  }
}
