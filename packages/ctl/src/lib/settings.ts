/** Settings file of the command-line tool for operators. */
import {z} from 'zod';

const addressSchema = z.string().regex(/^[0-9.]+:\d+$/, 'must be ip:port');

/** Schema of the settings file. */
export const CTL_SETTINGS_SCHEMA = z.strictObject({
  /** Address of the platform's key-value service. */
  keyValue: addressSchema,
  /** Timeout of each call. */
  timeoutMs: z.number().positive().default(2_000),
  /** Number of ledger partitions; the same as in the entries' settings. */
  partitions: z.number().int().positive().default(4),
  /** Addresses at which the entries serve operators, for `status`. */
  entries: z.array(addressSchema).default([]),
  /** Bearer token that the entries expect from operators. */
  token: z.string().default(''),
});

/** Validated settings, with defaults filled in. */
export type CtlSettings = z.output<typeof CTL_SETTINGS_SCHEMA>;
