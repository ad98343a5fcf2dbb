/** Starts a stand-in for the platform and its upstreams in one process. */
import {z} from 'zod';
import {InstanceKind, InstanceState} from '@citrontrestle/platform';
import {EngineStandIn, DEFAULT_ENGINE_SPEED} from './engine.js';
import {PlatformStandIn} from './platform.js';
import {DEFAULT_SERVICE_SPEED, ServiceStandIn} from './service.js';
import {RunRecorder} from './run_recorder.js';
import type {UpstreamStandIn} from './upstream.js';

/** Schema of the settings of a group of stand-ins. */
export const STAND_IN_GROUP_SCHEMA = z.strictObject({
  host: z.string().default('127.0.0.1'),
  /** Port of the platform; 0 lets the system choose one. */
  port: z.number().int().nonnegative().default(0),
  /** Availability zones, to which the upstreams are assigned in turn. */
  zones: z.array(z.string()).min(1),
  /** Number of model engines. */
  engines: z.number().int().nonnegative(),
  /** Number of plain services. */
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

/** Settings of a group of stand-ins, with the defaults filled in. */
export type StandInGroupSettings = z.output<typeof STAND_IN_GROUP_SCHEMA>;

/** A platform and its upstreams, which all listen on the same host. */
export class StandInGroup {
  readonly runRecorder = new RunRecorder();
  readonly platform = new PlatformStandIn();
  /** Upstreams by identifier. */
  readonly upstreams = new Map<string, UpstreamStandIn>();
  private boundAddress = '';

  constructor(private readonly settings: StandInGroupSettings) {}

  /** Returns the address of the platform as `ip:port`; empty before `start`. */
  platformAddress(): string {
    return this.boundAddress;
  }

  /**
   * Starts the platform and the upstreams; returns the address of the platform
   * as `ip:port`.
   */
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

  /** Closes all listeners and connections without waiting for requests. */
  async stop(): Promise<void> {
    const stoppedUpstreams = [...this.upstreams.values()].map(upstream =>
      upstream.stop(),
    );
    await Promise.all([...stoppedUpstreams, this.platform.stop()]);
  }

  /** Starts an upstream and adds it to the instance list of the platform. */
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
