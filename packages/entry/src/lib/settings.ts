/** Settings of an entry, read from YAML. */
import {z} from 'zod';
import {BudgetPolicy, RoutingPolicy} from '@citrontrestle/decisions';

const addressSchema = z.string().regex(/^[0-9.]+:\d+$/, 'must be ip:port');
const nameSchema = z.string().min(1);

/** Shape of the settings of an entry. Times in milliseconds. */
export const ENTRY_SCHEMA = z.strictObject({
  /** Name of the instance, unique among those that run. */
  instance: nameSchema,
  zone: nameSchema,
  listen: z.strictObject({
    /** Towards callers. */
    callers: addressSchema,
    /** Towards other entries. */
    fleet: addressSchema,
    /** Towards operators. */
    operators: addressSchema,
  }),
  /** Address that other entries dial, when it is not `listen.fleet`. */
  advertise: addressSchema.optional(),
  platform: z.strictObject({
    keyValue: addressSchema,
    instances: addressSchema,
    timeoutMs: z.number().int().positive().default(800),
    callsPerSecond: z.number().positive().default(20),
    burst: z.number().positive().default(40),
  }),
  fleet: z.strictObject({
    key: z.string().min(16),
    /** Entries that the deployment is declared to have. */
    entries: z.number().int().positive(),
    /** Entries to reach before the instance list is read. */
    seeds: z.array(addressSchema).default([]),
  }),
  operators: z.strictObject({token: z.string().min(16)}),
  budget: z
    .strictObject({
      policy: z.enum(BudgetPolicy).default(BudgetPolicy.Shares),
      partitions: z.number().int().positive().default(4),
      horizonMs: z.number().positive().default(180_000),
      cap: z.number().positive().max(1).default(0.008),
      settleMs: z.number().positive().default(5_000),
    })
    .prefault({}),
  routing: z
    .strictObject({
      policy: z.enum(RoutingPolicy).default(RoutingPolicy.Estimate),
      /** One-way time between zones. */
      zoneMs: z.number().nonnegative().default(0.5),
      /** Load reports read each second, over all upstreams. */
      reportsPerSecond: z.number().positive().default(8),
    })
    .prefault({}),
  /** Longest time for running requests on a planned stop. */
  drainMs: z.number().positive().default(60_000),
  /** Address of a StatsD daemon. */
  statsd: addressSchema.optional(),
  log: z.enum(['error', 'warn', 'info']).default('info'),
});

/** Settings of an entry. */
export type EntrySettings = z.output<typeof ENTRY_SCHEMA>;
