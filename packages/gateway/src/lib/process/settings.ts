/** Settings of a gateway, read from a YAML file. */
import * as z from 'zod';
import type {Millis, PropagationBounds} from '@citrontrestle/decisions';

/** An address of the form `ip:port`. */
const ADDRESS = z.string().regex(/^[0-9.]+:\d+$/, 'must be ip:port');
const NON_EMPTY_STRING = z.string().min(1);
const POSITIVE_NUMBER = z.number().positive();

/** Shortest accepted bound. */
const MIN_BOUND: Millis = 100;

/** Longest accepted bound. */
const MAX_BOUND: Millis = 3_600_000;

/** Returns the schema of a number that may be left empty. */
function numberOr(fallback: number, schema: z.ZodNumber) {
  return schema.nullish().transform(value => value ?? fallback);
}

/** Returns the schema of a bound in milliseconds, which may be left empty. */
function boundSchema(fallback: Millis) {
  return numberOr(fallback, z.number().min(MIN_BOUND).max(MAX_BOUND));
}

/** Returns the schema of a section that may be left empty. */
function sectionOf<T extends z.ZodRawShape>(shape: T) {
  return z.preprocess(section => section ?? {}, z.object(shape));
}

/** An address that is not needed; one without a port, or empty, is none. */
const OPTIONAL_ADDRESS = z.preprocess(
  address => (/^$|:$/.test(String(address ?? '')) ? undefined : address),
  ADDRESS.optional(),
);

/** Schema of the settings. Unknown fields are ignored. */
export const GATEWAY_SETTINGS_SCHEMA = z.object({
  /** Name of the instance. It stays the same when the process restarts. */
  instance: NON_EMPTY_STRING,
  /** Availability zone of the instance. */
  zone: NON_EMPTY_STRING,
  listen: z.object({
    /** Address at which requests of callers are accepted. */
    callers: ADDRESS,
    /** Address of the readiness check of the load balancer. */
    ready: ADDRESS,
  }),
  peers: z.object({
    /** Address at which this instance accepts connections of its peers. */
    listen: ADDRESS,
    /** Address that the peers connect to, if it differs from `listen`. */
    advertise: OPTIONAL_ADDRESS,
    /**
     * Address at which this instance accepts requests of peers that are
     * partitioned from the upstreams; if unset, it forwards none.
     */
    proxy: OPTIONAL_ADDRESS,
    /** Comma-separated addresses of some instances; they may be down. */
    seeds: z.string().default(''),
    /** Secret shared by all instances, which proves membership in the fleet. */
    key: NON_EMPTY_STRING,
  }),
  store: z.object({
    /** Address of the key-value store of the platform. */
    address: ADDRESS,
  }),
  /**
   * Resources of the machine. They determine the capacity of the instance; the
   * instance with the highest capacity becomes the relay of its zone.
   */
  machine: sectionOf({
    /** Fraction of a core that the instance may use. */
    processorShare: numberOr(1, POSITIVE_NUMBER),
    /** Speed of that core relative to a standard core. */
    cores: numberOr(1, POSITIVE_NUMBER),
    /** Bandwidth of the network link in Mbit/s. */
    linkMbps: numberOr(1_000, POSITIVE_NUMBER),
    /** Memory that the process may use, in MiB. */
    memoryMb: numberOr(200, POSITIVE_NUMBER),
  }),
  stop: sectionOf({
    /** Time between SIGTERM and SIGKILL, in seconds. */
    graceSeconds: numberOr(8, POSITIVE_NUMBER),
  }),
  /** Limits on repeating failed requests at another upstream, per service. */
  repeats: sectionOf({
    /** Allowed repeats as a fraction of the requests of the whole fleet. */
    ratio: numberOr(0.1, z.number().nonnegative()),
    /** Number of repeats allowed in each window in addition to the ratio. */
    slack: numberOr(10, z.number().nonnegative()),
    /** Length of the sliding window in seconds. */
    windowSeconds: numberOr(10, POSITIVE_NUMBER),
  }),
  /** Times by which a change must be known to all instances. */
  bounds: sectionOf({
    /**
     * Milliseconds from which on an instance that reaches the store without
     * interruption must know all changes.
     */
    contactMs: boundSchema(3_000),
    /** Milliseconds after which a leaving upstream gets no more requests. */
    drainMs: boundSchema(2_000),
    /** Milliseconds after which a configuration is in force everywhere. */
    configurationMs: boundSchema(2_000),
    /** Milliseconds after which a withdrawn API key is refused everywhere. */
    revocationMs: boundSchema(5_000),
    /** Milliseconds after which an evacuated zone gets no more requests. */
    evacuationMs: boundSchema(5_000),
  }),
  /** How far the limit of a cold upstream may be exceeded in one second. */
  cold: sectionOf({
    /** Factor on the requests per second that a cold upstream takes. */
    overshoot: numberOr(1, z.number().min(1)),
    /** Requests allowed in addition. */
    slack: numberOr(0, z.number().nonnegative()),
  }),
  /** Region of each availability zone, by the name of the zone. */
  regions: z
    .record(z.string(), z.string())
    .nullish()
    .transform(regions => regions ?? {}),
  /** Address at which metrics are served; if unset, none are served. */
  metrics: OPTIONAL_ADDRESS,
  /** Least severe level that is logged. */
  log: z.enum(['error', 'warn', 'info']).default('info'),
});

/** Validated settings of a gateway, with defaults filled in. */
export type GatewaySettings = z.output<typeof GATEWAY_SETTINGS_SCHEMA>;

/** Returns the times by which a change must be known to all instances. */
export function propagationBounds({
  bounds,
}: GatewaySettings): PropagationBounds {
  return {
    contact: bounds.contactMs,
    drain: bounds.drainMs,
    configuration: bounds.configurationMs,
    revocation: bounds.revocationMs,
    evacuation: bounds.evacuationMs,
  };
}
