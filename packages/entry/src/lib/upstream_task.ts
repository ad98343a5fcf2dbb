/** Owns the table of upstreams: polls load reports, picks for requests. */
import {Agent} from 'node:http';
import {SECOND, UpstreamKind, UpstreamTable} from '@citrontrestle/decisions';
import {fetchLoad} from '@citrontrestle/engine';
import {InstanceKind, InstanceState} from '@citrontrestle/platform';
import type {
  Clock,
  Millis,
  RoutingPolicy,
  RoutingView,
  UpstreamState,
} from '@citrontrestle/decisions';
import type {Instance} from '@citrontrestle/platform';

/** Settings of an upstream task. */
export interface UpstreamTaskSettings {
  policy: RoutingPolicy;
  zone: string;
  zoneMs: Millis;
  /** Load reports read each second, over all upstreams. */
  reportsPerSecond: number;
  /** Identity of this entry. */
  holder: string;
}

/** Longest wait for a load report. */
const LOAD_REPORT_TIMEOUT: Millis = 500;

const UPSTREAM_KINDS: Partial<Record<InstanceKind, UpstreamKind>> = {
  [InstanceKind.Engine]: UpstreamKind.Engine,
  [InstanceKind.Service]: UpstreamKind.Service,
};

/** Owns the table of upstreams. */
export class UpstreamTask {
  readonly table: UpstreamTable;
  private readonly agent = new Agent({keepAlive: true});
  private timer: NodeJS.Timeout | undefined;
  private pollCount = 0;

  constructor(
    private readonly settings: UpstreamTaskSettings,
    private readonly clock: Clock,
    /** Number of live entries, this one included. */
    private readonly liveEntryCount: () => number,
    private readonly onLeaving: (upstream: string) => void,
  ) {
    this.table = new UpstreamTable(settings.policy, settings.holder);
  }

  /** Starts to poll. */
  start(): void {
    this.timer = setInterval(() => {
      this.pollNext();
    }, SECOND / this.settings.reportsPerSecond);
  }

  /** Stops to poll. */
  stop(): void {
    clearInterval(this.timer);
    this.agent.destroy();
  }

  /** Takes over the instance list. */
  applyInstanceList(instances: Instance[]): void {
    const upstreams = instances.flatMap(instance => {
      const kind = UPSTREAM_KINDS[instance.kind];
      const leaving = instance.state === InstanceState.Leaving;
      const {id, zone, address} = instance;
      return kind === undefined ? [] : [{id, zone, address, kind, leaving}];
    });
    this.table.applyList(upstreams);
  }

  /** What routing may look at now. */
  routingView(kind: UpstreamKind, prefix: string | undefined): RoutingView {
    return {
      zone: this.settings.zone,
      now: this.clock.now(),
      zoneLatency: this.settings.zoneMs,
      instancesPerUpstream: this.table.instancesPerUpstream(
        kind,
        this.liveEntryCount(),
      ),
      cachedUpstream:
        prefix === undefined ? undefined : this.table.cachedUpstream(prefix),
      meanInFlight: this.table.meanInFlight(kind),
      random: Math.random,
    };
  }

  /** Notes that an upstream is leaving and tells the peers. */
  markLeaving(id: string): void {
    this.table.markLeaving(id);
    this.onLeaving(id);
  }

  /** One after the other, so that the cost does not grow with their number. */
  private pollNext(): void {
    const states = this.table.allStates();
    const state = states[this.pollCount % Math.max(1, states.length)];
    this.pollCount += 1;
    if (state !== undefined) {
      void this.pollUpstream(state);
    }
  }

  private async pollUpstream(state: UpstreamState): Promise<void> {
    const load = await fetchLoad(
      state.address,
      LOAD_REPORT_TIMEOUT,
      this.agent,
    );
    if (load === undefined) {
      return;
    }
    const hasStartedLeaving = load.leaving && !state.leaving;
    const report = {...load, receivedAt: this.clock.now()};
    this.table.recordReport(state.id, report, load.leaving);
    if (hasStartedLeaving) {
      this.markLeaving(state.id);
    }
  }
}
