/** Prometheus metrics of one gateway and the HTTP server that exposes them. */
import {createServer} from 'node:http';
import {listenPersistently} from '@citrontrestle/runtime';
// The whole of prom-client loads clients for HTTPS and clusters of processes.
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';
import type {MessageCounts} from '../fleet/peer_traffic.js';
import type {LinkStatus} from '../requests/link_admission.js';
import type {ResponseEnd} from '../upstreams/response_end.js';
import type {Store} from './ports.js';
import type {Server} from 'node:http';
import type {AgentCounts, Log} from '@citrontrestle/runtime';
import type {
  EvacuationChange,
  Millis,
  TokenTotals,
} from '@citrontrestle/decisions';

/** Upper bounds of the buckets of latency histograms. */
const LATENCY_BUCKETS: Millis[] = [
  5, 10, 20, 50, 100, 200, 300, 400, 600, 1_000, 2_000, 5_000, 10_000,
];

/** Maximum number of zones with a label of their own. */
const MAX_ZONE_LABELS = 256;

const MICROSECONDS_PER_MS = 1_000;

/** Label of all other zones; no zone has an empty name. */
const OTHER_ZONES_LABEL = '';

/** What the metrics read when they are collected. */
export interface MetricSources {
  /** Returns the prepaid tokens of this process. */
  budgetTotals(): TokenTotals;
  /** Returns the number of cold upstreams by service. */
  coldCounts(): ReadonlyMap<string, number>;
  /** Returns the number of upstreams that are slow. */
  slowCount(): number;
  /** Returns what the connections to upstreams have counted. */
  connectionCounts(): AgentCounts;
  /** Returns the state of the machine's link. */
  linkStatus(): LinkStatus;
  /** Returns the messages between this instance and others, by kind. */
  messageCounts(): ReadonlyMap<string, Readonly<MessageCounts>>;
}

/** Counts the requests of one gateway and its calls to the store. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests: Counter;
  private readonly evacuatedZones: Gauge;
  private readonly evacuationChanges: Counter;
  /** Zones that have a label of their own. */
  private readonly labelledZones = new Set<string>();
  private readonly totalTime: Histogram;
  private readonly timeToFirstByte: Histogram;
  private readonly heldBack: Counter;
  private readonly departed: Counter;
  private readonly responseEnds: Counter;
  private departureCount = 0;
  private readonly server: Server;

  constructor(store: Store, sources: MetricSources) {
    const {budgetTotals, coldCounts, slowCount, linkStatus} = sources;
    this.registerCosts(sources);
    const registers = [this.registry];
    this.requests = new Counter({
      name: 'citrontrestle_requests_total',
      help: 'Requests by route and outcome',
      labelNames: ['route', 'outcome'],
      registers,
    });
    this.evacuatedZones = new Gauge({
      name: 'citrontrestle_evacuated_zones',
      help: 'Zones that are evacuated now, as this instance knows',
      registers,
    });
    this.evacuationChanges = new Counter({
      name: 'citrontrestle_evacuation_changes_total',
      help: 'Evacuations and their ends by zone, as this instance learned them',
      labelNames: ['zone', 'change'],
      registers,
    });
    this.totalTime = new Histogram({
      name: 'citrontrestle_request_whole_ms',
      help: 'Time from the arrival of a request to the end of its answer',
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS,
      registers,
    });
    this.timeToFirstByte = new Histogram({
      name: 'citrontrestle_request_first_byte_ms',
      help: 'Time from the arrival of a request to the first byte',
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS,
      registers,
    });
    const storeCalls = new Gauge({
      name: 'citrontrestle_store_calls',
      help: 'Calls to the store by kind since the start',
      labelNames: ['kind'],
      registers,
      collect: () => {
        for (const [kind, count] of Object.entries(store.callCounts())) {
          storeCalls.set({kind}, count);
        }
      },
    });
    const budgetTokens = new Gauge({
      name: 'citrontrestle_budget_tokens',
      help: 'Prepaid tokens of this process over all accounts, by state',
      labelNames: ['state'],
      registers,
      collect: () => {
        for (const [state, tokens] of Object.entries(budgetTotals())) {
          budgetTokens.set({state}, Number(tokens));
        }
      },
    });
    this.heldBack = new Counter({
      name: 'citrontrestle_held_back_total',
      help: 'Requests refused as the upstreams of their service are cold',
      labelNames: ['service'],
      registers,
    });
    this.departed = new Counter({
      name: 'citrontrestle_departed_requests_total',
      help: 'Requests whose caller left before anything was done for them',
      registers,
    });
    this.responseEnds = new Counter({
      name: 'citrontrestle_response_ends_total',
      help: 'Responses of upstreams without a length, by how their connection ended',
      labelNames: ['end'],
      registers,
    });
    const coldUpstreams = new Gauge({
      name: 'citrontrestle_cold_upstreams',
      help: 'Upstreams that are cold or may be, by service',
      labelNames: ['service'],
      registers,
      collect: () => {
        coldUpstreams.reset();
        for (const [service, count] of coldCounts()) {
          coldUpstreams.set({service}, count);
        }
      },
    });
    const slowUpstreams = new Gauge({
      name: 'citrontrestle_slow_upstreams',
      help: 'Upstreams that take twice as long as the mean of their service',
      registers,
      collect: () => {
        slowUpstreams.set(slowCount());
      },
    });
    const connectionRepeats = new Gauge({
      name: 'citrontrestle_connection_repeats',
      help: 'Requests sent over a connection of their own, and idle connections closed on data, by kind since the start',
      labelNames: ['kind'],
      registers,
      collect: () => {
        const {ownConnections, unexpectedData} = sources.connectionCounts();
        connectionRepeats.set({kind: 'identifier'}, ownConnections);
        connectionRepeats.set({kind: 'answer'}, unexpectedData);
      },
    });
    const link = new Gauge({
      name: 'citrontrestle_link',
      help: 'State of the network link: use, ready',
      labelNames: ['state'],
      registers,
      collect: () => {
        const {use, isReady} = linkStatus();
        link.set({state: 'use'}, use);
        link.set({state: 'ready'}, Number(isReady));
      },
    });
    this.server = createServer((_incoming, response) => {
      void this.registry.metrics().then(text => {
        response.writeHead(200, {'Content-Type': this.registry.contentType});
        response.end(text);
      });
    });
  }

  /** Registers the metrics of what this process uses. */
  private registerCosts({messageCounts}: MetricSources): void {
    const registers = [this.registry];
    const processorTime = new Gauge({
      name: 'citrontrestle_processor_ms',
      help: 'Processor time since the start, in own code and in the kernel',
      labelNames: ['mode'],
      registers,
      collect: () => {
        const {user, system} = process.cpuUsage();
        processorTime.set({mode: 'user'}, user / MICROSECONDS_PER_MS);
        processorTime.set({mode: 'system'}, system / MICROSECONDS_PER_MS);
      },
    });
    const labelNames = ['kind', 'direction'];
    const messages = new Gauge({
      name: 'citrontrestle_peer_messages',
      help: 'Messages between this instance and others since the start',
      labelNames,
      registers,
      collect: () => {
        for (const [kind, {sent, received}] of messageCounts()) {
          messages.set({kind, direction: 'sent'}, sent);
          messages.set({kind, direction: 'received'}, received);
        }
      },
    });
    const messageBytes = new Gauge({
      name: 'citrontrestle_peer_message_bytes',
      help: 'Bytes of the messages between this instance and others',
      labelNames,
      registers,
      collect: () => {
        for (const [kind, {sentBytes, receivedBytes}] of messageCounts()) {
          messageBytes.set({kind, direction: 'sent'}, sentBytes);
          messageBytes.set({kind, direction: 'received'}, receivedBytes);
        }
      },
    });
  }

  /** Serves the metrics on `ip:port`; does nothing without an address. */
  async listen(address: string | undefined, log: Log): Promise<void> {
    if (address !== undefined) {
      await listenPersistently(this.server, address, log);
    }
  }

  /**
   * Records zones that were evacuated or taken back.
   * @param evacuatedCount number of zones that are evacuated now.
   */
  recordEvacuations(
    {evacuated, opened}: EvacuationChange,
    evacuatedCount: number,
  ): void {
    this.evacuatedZones.set(evacuatedCount);
    for (const zone of evacuated) {
      this.evacuationChanges.inc({
        zone: this.zoneLabel(zone),
        change: 'evacuated',
      });
    }
    for (const zone of opened) {
      this.evacuationChanges.inc({
        zone: this.zoneLabel(zone),
        change: 'taken-back',
      });
    }
  }

  /** Returns the label of a zone; the number of labels is bounded. */
  private zoneLabel(zone: string): string {
    if (this.labelledZones.size < MAX_ZONE_LABELS) {
      this.labelledZones.add(zone);
    }
    return this.labelledZones.has(zone) ? zone : OTHER_ZONES_LABEL;
  }

  /** Counts a response that the end of its connection delimited. */
  recordResponseEnd(end: ResponseEnd): void {
    this.responseEnds.inc({end});
  }

  /** Counts a request whose caller left before anything was done for it. */
  recordDeparture(): void {
    this.departureCount += 1;
    this.departed.inc();
  }

  /** Returns the number of such requests since the start. */
  departures(): number {
    return this.departureCount;
  }

  /** Counts a request that was refused because upstreams are cold. */
  recordHeldBack(service: string): void {
    this.heldBack.inc({service});
  }

  /** Records a request that has ended. */
  recordRequest(
    route: string,
    outcome: string,
    totalTime: Millis,
    timeToFirstByte: Millis | undefined,
  ): void {
    this.requests.inc({route, outcome});
    this.totalTime.observe({route}, totalTime);
    if (timeToFirstByte !== undefined) {
      this.timeToFirstByte.observe({route}, timeToFirstByte);
    }
  }
}
