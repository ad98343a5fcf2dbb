/**
 * Keeps the table of upstreams current, from the instance list and by polling
 * load reports.
 */
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
  /** One-way latency between zones. */
  zoneMs: Millis;
  /** Load reports read each second, over all upstreams. */
  reportsPerSecond: number;
  /** Id of this run of the entry. */
  holder: string;
}

/** Timeout of one request for a load report. */
const LOAD_REPORT_TIMEOUT: Millis = 500;

/** Kind of upstream of each kind of instance that is one. */
const UPSTREAM_KINDS: Partial<Record<InstanceKind, UpstreamKind>> = {
  [InstanceKind.Engine]: UpstreamKind.Engine,
  [InstanceKind.Service]: UpstreamKind.Service,
};

/** Keeps the table of upstreams of one entry current. */
export class UpstreamTask {
  readonly table: UpstreamTable;
  // Reports carry no identifier. On a kept connection, one that is sent again
  // could be taken for the next.
  private readonly agent = new Agent({keepAlive: false});
  private timer: NodeJS.Timeout | undefined;
  /** Number of polls so far; selects the upstream to poll next. */
  private pollCount = 0;

  constructor(
    private readonly settings: UpstreamTaskSettings,
    private readonly clock: Clock,
    /** Number of live entries, this one included. */
    private readonly liveEntryCount: () => number,
    /** Called when an upstream itself reports that it is shutting down. */
    private readonly onLeaving: (upstream: string) => void,
  ) {
    this.table = new UpstreamTable(settings.policy, settings.holder);
  }

  /** Starts to poll load reports. */
  start(): void {
    this.timer = setInterval(() => {
      this.pollNext();
    }, SECOND / this.settings.reportsPerSecond);
  }

  /** Stops polling and closes the connections used for it. */
  stop(): void {
    clearInterval(this.timer);
    this.agent.destroy();
  }

  /** Updates the table to the engines and services of the instance list. */
  applyInstanceList(instances: Instance[]): void {
    const upstreams = instances.flatMap(instance => {
      const kind = UPSTREAM_KINDS[instance.kind];
      const leaving = instance.state === InstanceState.Leaving;
      const {id, zone, address} = instance;
      return kind === undefined ? [] : [{id, zone, address, kind, leaving}];
    });
    this.table.applyList(upstreams);
  }

  /**
   * Returns the input for a routing decision.
   * @param prefix digest of the start of the prompt, to prefer an upstream that
   *     has it in its cache; undefined for no preference.
   */
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

  /** Records that an upstream is shutting down and calls `onLeaving`. */
  markLeaving(id: string): void {
    this.table.markLeaving(id);
    this.onLeaving(id);
  }

  /**
   * Polls the next upstream in turn. The rate of polls doesn't depend on the
   * number of upstreams, so that their cost doesn't grow with it.
   */
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
