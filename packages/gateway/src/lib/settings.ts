/** Settings of a gateway, read from YAML. */
import * as z from 'zod';

const address = z.string().regex(/^[0-9.]+:\d+$/, 'must be ip:port');
const name = z.string().min(1);
const amount = z.number().positive();

/** Shape of the settings. Unknown fields are ignored. */
export const GATEWAY_SCHEMA = z.object({
  /** Name of the instance; a successor on the same machine has the same. */
  instance: name,
  zone: name,
  listen: z.object({
    /** Towards callers. */
    callers: address,
    /** For the balancer's question whether the instance is ready. */
    ready: address,
  }),
  peers: z.object({
    /** Where this instance takes links of the others. */
    listen: address,
    /** Address that the others dial, if it is not the one above. */
    advertise: address.optional(),
    /** Addresses of some instances, with commas; they may be down. */
    seeds: z.string().default(''),
    /** What all instances of the fleet share to prove that they belong to it. */
    key: name,
  }),
  store: z.object({address}),
  /** What the machine offers; instances with more relay for the others. */
  machine: z
    .object({
      /** Part of a core. */
      processorShare: amount.default(1),
      /** Speed of the core against the usual one. */
      cores: amount.default(1),
      /** Bandwidth of its link in Mbit/s. */
      linkMbps: amount.default(1_000),
    })
    .prefault({}),
  stop: z.object({
    /** Time from SIGTERM to SIGKILL in seconds. */
    graceSeconds: amount,
  }),
  repeats: z.object({
    /** Repeated requests as a part of all, in the whole fleet. */
    ratio: z.number().nonnegative(),
    /** Repeated requests in a window besides. */
    slack: z.number().nonnegative(),
    windowSeconds: amount,
  }),
  /** Where the metrics are served; none without it. */
  metrics: address.optional(),
  log: z.enum(['error', 'warn', 'info']).default('info'),
});

/** Settings of a gateway. */
export type GatewaySettings = z.output<typeof GATEWAY_SCHEMA>;
