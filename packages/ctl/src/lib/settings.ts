/** Settings of the operators' tool. */
import {z} from 'zod';

const address = z.string().regex(/^[0-9.]+:\d+$/, 'must be ip:port');

/** Shape of the settings of the operators' tool. */
export const CTL_SCHEMA = z.strictObject({
  keyValue: address,
  timeoutMs: z.number().positive().default(2_000),
  partitions: z.number().int().positive().default(4),
  /** Operators' addresses of the entries, for `status`. */
  entries: z.array(address).default([]),
  token: z.string().default(''),
});

/** Settings of the operators' tool. */
export type CtlSettings = z.output<typeof CTL_SCHEMA>;
