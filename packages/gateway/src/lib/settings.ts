/** Settings of a gateway, read from YAML. */
import * as z from 'zod';

const ADDRESS = z.string().regex(/^[0-9.]+:\d+$/, 'must be ip:port');
const NON_EMPTY_STRING = z.string().min(1);
const POSITIVE_NUMBER = z.number().positive();

/** Shape of the settings. Unknown fields are ignored. */
export const GATEWAY_SETTINGS_SCHEMA = z.object({
  /** Name of the instance; a successor on the same machine has the same. */
  instance: NON_EMPTY_STRING,
  zone: NON_EMPTY_STRING,
  listen: z.object({
    /** Towards callers. */
    callers: ADDRESS,
    /** For the balancer's question whether the instance is ready. */
    ready: ADDRESS,
  }),
  peers: z.object({
    /** Where this instance takes links of the others. */
    listen: ADDRESS,
    /** Address that the others dial, if it is not the one above. */
    advertise: ADDRESS.optional(),
    /** Addresses of some instances, with commas; they may be down. */
    seeds: z.string().default(''),
    /** What all instances of the fleet share to prove that they belong to it. */
    key: NON_EMPTY_STRING,
  }),
  store: z.object({address: ADDRESS}),
  /** What the machine offers; instances with more relay for the others. */
  machine: z
    .object({
      /** Part of a core. */
      processorShare: POSITIVE_NUMBER.default(1),
      /** Speed of the core against the usual one. */
      cores: POSITIVE_NUMBER.default(1),
      /** Bandwidth of its link in Mbit/s. */
      linkMbps: POSITIVE_NUMBER.default(1_000),
    })
    .prefault({}),
  stop: z.object({
    /** Time from SIGTERM to SIGKILL in seconds. */
    graceSeconds: POSITIVE_NUMBER,
  }),
  repeats: z.object({
    /** Repeated requests as a part of all, in the whole fleet. */
    ratio: z.number().nonnegative(),
    /** Repeated requests in a window besides. */
    slack: z.number().nonnegative(),
    windowSeconds: POSITIVE_NUMBER,
  }),
  /** Where the metrics are served; none without it. */
  metrics: ADDRESS.optional(),
  log: z.enum(['error', 'warn', 'info']).default('info'),
});

/** Settings of a gateway. */
export type GatewaySettings = z.output<typeof GATEWAY_SETTINGS_SCHEMA>;
