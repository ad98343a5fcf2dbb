/** Settings of the operators' tool. */
import {z} from 'zod';

const addressSchema = z.string().regex(/^[0-9.]+:\d+$/, 'must be ip:port');

/** Shape of the settings of the operators' tool. */
export const CTL_SETTINGS_SCHEMA = z.strictObject({
  keyValue: addressSchema,
  timeoutMs: z.number().positive().default(2_000),
  partitions: z.number().int().positive().default(4),
  /** Operators' addresses of the entries, for `status`. */
  entries: z.array(addressSchema).default([]),
  token: z.string().default(''),
});

/** Settings of the operators' tool. */
export type CtlSettings = z.output<typeof CTL_SETTINGS_SCHEMA>;
