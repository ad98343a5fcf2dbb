/** Prometheus metrics of one gateway and the HTTP server that exposes them. */
import {createServer} from 'node:http';
import {listenPersistently} from '@citrontrestle/runtime';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {LinkStatus} from '../requests/link_admission.js';
import type {Store} from './ports.js';
import type {Server} from 'node:http';
import type {Log} from '@citrontrestle/runtime';
import type {Millis, TokenTotals} from '@citrontrestle/decisions';

/** Upper bounds of the buckets of latency histograms. */
const LATENCY_BUCKETS: Millis[] = [
  5, 10, 20, 50, 100, 200, 300, 400, 600, 1_000, 2_000, 5_000, 10_000,
];

/** Counts the requests of one gateway and its calls to the store. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests: Counter;
  private readonly totalTime: Histogram;
  private readonly timeToFirstByte: Histogram;
  private readonly server: Server;

  /** @param budgetTotals returns the prepaid tokens of this process. */
  constructor(store: Store, budgetTotals: () => TokenTotals) {
    const registers = [this.registry];
    this.requests = new Counter({
      name: 'citrontrestle_requests_total',
      help: 'Requests by route and outcome',
      labelNames: ['route', 'outcome'],
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
    this.server = createServer((_incoming, response) => {
      void this.registry.metrics().then(text => {
        response.writeHead(200, {'Content-Type': this.registry.contentType});
        response.end(text);
      });
    });
  }

  /** Exposes the state of the machine's link. */
  observeLink(status: () => LinkStatus): void {
    const registers = [this.registry];
    const link = new Gauge({
      name: 'citrontrestle_link',
      help: 'State of the network link: use, ready',
      labelNames: ['state'],
      registers,
      collect: () => {
        const {use, isReady} = status();
        link.set({state: 'use'}, use);
        link.set({state: 'ready'}, Number(isReady));
      },
    });
  }

  /** Serves the metrics on `ip:port`; does nothing without an address. */
  async listen(address: string | undefined, log: Log): Promise<void> {
    if (address !== undefined) {
      await listenPersistently(this.server, address, log);
    }
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
