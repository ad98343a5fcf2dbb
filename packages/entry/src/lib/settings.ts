/** Settings of an entry, which are read from a YAML file. */
import {z} from 'zod';
import {BudgetPolicy, RoutingPolicy} from '@citrontrestle/decisions';

const addressSchema = z.string().regex(/^[0-9.]+:\d+$/, 'must be ip:port');
const nameSchema = z.string().min(1);

/** Schema of the settings of an entry. Times are in milliseconds. */
export const ENTRY_SCHEMA = z.strictObject({
  /** Name of the instance, unique among those that run. */
  instance: nameSchema,
  /** Availability zone of this instance. */
  zone: nameSchema,
  listen: z.strictObject({
    /** For callers. */
    callers: addressSchema,
    /** For other entries. */
    fleet: addressSchema,
    /** For operators and the load balancer. */
    operators: addressSchema,
  }),
  /** Address that other entries connect to, if it isn't `listen.fleet`. */
  advertise: addressSchema.optional(),
  platform: z.strictObject({
    /** Address of the key-value service. */
    keyValue: addressSchema,
    /** Address of the instance list. */
    instances: addressSchema,
    /** Timeout of a call to either of them. */
    timeoutMs: z.number().int().positive().default(800),
    /** Maximum average rate of calls to the key-value service. */
    callsPerSecond: z.number().positive().default(20),
    /** Maximum number of calls to the key-value service in one burst. */
    burst: z.number().positive().default(40),
  }),
  fleet: z.strictObject({
    /** Secret shared by all entries of the fleet. */
    key: z.string().min(16),
    /** Number of entries declared for the deployment. */
    entries: z.number().int().positive(),
    /** Addresses of entries to probe before the instance list is read. */
    seeds: z.array(addressSchema).default([]),
  }),
  /** `token` is the bearer token that operators send. */
  operators: z.strictObject({token: z.string().min(16)}),
  budget: z
    .strictObject({
      policy: z.enum(BudgetPolicy).default(BudgetPolicy.Shares),
      /** Number of ledger partitions; the same for all entries. */
      partitions: z.number().int().positive().default(4),
      /** Period of spending that a share of a budget should cover. */
      horizonMs: z.number().positive().default(180_000),
      /** Maximum that one entry keeps ahead, as a fraction of the grant. */
      cap: z.number().positive().max(1).default(0.008),
      /** Maximum time until a peer writes its copy of a charge. */
      settleMs: z.number().positive().default(5_000),
    })
    .prefault({}),
  routing: z
    .strictObject({
      policy: z.enum(RoutingPolicy).default(RoutingPolicy.Estimate),
      /** One-way latency between zones. */
      zoneMs: z.number().nonnegative().default(0.5),
      /** Load reports read per second, over all upstreams. */
      reportsPerSecond: z.number().positive().default(8),
    })
    .prefault({}),
  /** Maximum time to finish running requests on a graceful stop. */
  drainMs: z.number().positive().default(60_000),
  /** Address of a StatsD daemon; without it no metrics are sent. */
  statsd: addressSchema.optional(),
  log: z.enum(['error', 'warn', 'info']).default('info'),
});

/** Settings of an entry. */
export type EntrySettings = z.output<typeof ENTRY_SCHEMA>;
