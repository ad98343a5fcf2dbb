/** A platform and a set of upstreams in one process. */
import {z} from 'zod';
import {InstanceKind, InstanceState} from '@citrontrestle/platform';
import {EngineStandIn, TRIAL_SPEED} from './engine.js';
import {PlatformStandIn} from './platform.js';
import {SERVICE_SPEED, ServiceStandIn} from './service.js';
import {Truth} from './truth.js';
import type {UpstreamStandIn} from './upstream.js';

/** Shape of a group of stand-ins. */
export const GROUP_SCHEMA = z.strictObject({
  host: z.string().default('127.0.0.1'),
  /** Port of the platform; 0 takes any. */
  port: z.number().int().nonnegative().default(0),
  zones: z.array(z.string()).min(1),
  engines: z.number().int().nonnegative(),
  services: z.number().int().nonnegative(),
  engine: z
    .strictObject({
      slots: z.number().int().positive().default(TRIAL_SPEED.slots),
      prefillMs: z.number().nonnegative().default(TRIAL_SPEED.prefillMs),
      tokenMs: z.number().nonnegative().default(TRIAL_SPEED.tokenMs),
      tokensPerEvent: z.number().int().positive().default(8),
    })
    .prefault({}),
  service: z
    .strictObject({
      slots: z.number().int().positive().default(SERVICE_SPEED.slots),
      callMs: z.number().nonnegative().default(SERVICE_SPEED.callMs),
    })
    .prefault({}),
});

/** Settings of a group of stand-ins. */
export type GroupSettings = z.output<typeof GROUP_SCHEMA>;

/** A platform and a set of upstreams. */
export class Group {
  readonly truth = new Truth();
  readonly platform = new PlatformStandIn();
  readonly upstreams = new Map<string, UpstreamStandIn>();
  private platformAddress = '';

  constructor(private readonly settings: GroupSettings) {}

  /** Address of the platform as `ip:port`. */
  address(): string {
    return this.platformAddress;
  }

  /** Starts all; returns the address of the platform. */
  async start(): Promise<string> {
    const {host, port, engines, services, engine, service} = this.settings;
    this.platformAddress = await this.platform.start(host, port);
    for (let i = 0; i < engines; i++) {
      const standIn = new EngineStandIn(`engine-${i}`, this.truth, engine);
      await this.add(standIn, InstanceKind.Engine, i);
    }
    for (let i = 0; i < services; i++) {
      const standIn = new ServiceStandIn(`service-${i}`, this.truth, service);
      await this.add(standIn, InstanceKind.Service, i);
    }
    return this.platformAddress;
  }

  /** Ends all at once. */
  async stop(): Promise<void> {
    const all = [...this.upstreams.values()].map(one => one.stop());
    await Promise.all([...all, this.platform.stop()]);
  }

  private async add(
    standIn: UpstreamStandIn,
    kind: InstanceKind,
    index: number,
  ): Promise<void> {
    const {host, zones} = this.settings;
    const address = await standIn.start(host);
    const zone = zones[index % zones.length] ?? '';
    const state = InstanceState.Live;
    this.upstreams.set(standIn.id, standIn);
    const {id} = standIn;
    this.platform.setInstance({id, kind, zone, address, state});
  }
}
