/** A platform and a set of upstreams in one process. */
import {z} from 'zod';
import {InstanceKind, InstanceState} from '@citrontrestle/platform';
import {EngineStandIn, DEFAULT_ENGINE_SPEED} from './engine.js';
import {PlatformStandIn} from './platform.js';
import {DEFAULT_SERVICE_SPEED, ServiceStandIn} from './service.js';
import {RunRecorder} from './run_recorder.js';
import type {UpstreamStandIn} from './upstream.js';

/** Shape of a group of stand-ins. */
export const STAND_IN_GROUP_SCHEMA = z.strictObject({
  host: z.string().default('127.0.0.1'),
  /** Port of the platform; 0 takes any. */
  port: z.number().int().nonnegative().default(0),
  zones: z.array(z.string()).min(1),
  engines: z.number().int().nonnegative(),
  services: z.number().int().nonnegative(),
  engine: z
    .strictObject({
      slots: z.number().int().positive().default(DEFAULT_ENGINE_SPEED.slots),
      prefillMs: z
        .number()
        .nonnegative()
        .default(DEFAULT_ENGINE_SPEED.prefillMs),
      tokenMs: z.number().nonnegative().default(DEFAULT_ENGINE_SPEED.tokenMs),
      tokensPerEvent: z.number().int().positive().default(8),
    })
    .prefault({}),
  service: z
    .strictObject({
      slots: z.number().int().positive().default(DEFAULT_SERVICE_SPEED.slots),
      callMs: z.number().nonnegative().default(DEFAULT_SERVICE_SPEED.callMs),
    })
    .prefault({}),
});

/** Settings of a group of stand-ins. */
export type StandInGroupSettings = z.output<typeof STAND_IN_GROUP_SCHEMA>;

/** A platform and a set of upstreams. */
export class StandInGroup {
  readonly runRecorder = new RunRecorder();
  readonly platform = new PlatformStandIn();
  readonly upstreams = new Map<string, UpstreamStandIn>();
  private boundAddress = '';

  constructor(private readonly settings: StandInGroupSettings) {}

  /** Address of the platform as `ip:port`. */
  platformAddress(): string {
    return this.boundAddress;
  }

  /** Starts all; returns the address of the platform. */
  async start(): Promise<string> {
    const {host, port, engines, services, engine, service} = this.settings;
    this.boundAddress = await this.platform.start(host, port);
    for (let i = 0; i < engines; i++) {
      const engineStandIn = new EngineStandIn(
        `engine-${i}`,
        this.runRecorder,
        engine,
      );
      await this.addUpstream(engineStandIn, InstanceKind.Engine, i);
    }
    for (let i = 0; i < services; i++) {
      const serviceStandIn = new ServiceStandIn(
        `service-${i}`,
        this.runRecorder,
        service,
      );
      await this.addUpstream(serviceStandIn, InstanceKind.Service, i);
    }
    return this.boundAddress;
  }

  /** Ends all at once. */
  async stop(): Promise<void> {
    const stoppedUpstreams = [...this.upstreams.values()].map(upstream =>
      upstream.stop(),
    );
    await Promise.all([...stoppedUpstreams, this.platform.stop()]);
  }

  private async addUpstream(
    upstream: UpstreamStandIn,
    kind: InstanceKind,
    index: number,
  ): Promise<void> {
    const {host, zones} = this.settings;
    const address = await upstream.start(host);
    const zone = zones[index % zones.length] ?? '';
    const state = InstanceState.Live;
    this.upstreams.set(upstream.id, upstream);
    const {id} = upstream;
    this.platform.setInstance({id, kind, zone, address, state});
  }
}
