/** Metrics sent to StatsD, with histograms for each class and account. */
import {StatsD} from 'hot-shots';

/** Tags of a metric; their values come from declarations, which bounds them. */
export type MetricTags = Record<string, string>;

/** Destination of metrics; `increment` adds 1 to a counter. */
export interface Metrics {
  histogram(name: string, value: number, tags?: MetricTags): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  increment(name: string, tags?: MetricTags): void;
  close(): void;
}

/** Discards all metrics. */
export const NO_METRICS: Metrics = {
  histogram: () => undefined,
  gauge: () => undefined,
  increment: () => undefined,
  close: () => undefined,
};

class StatsdMetrics implements Metrics {
  constructor(private readonly client: StatsD) {}

  histogram(name: string, value: number, tags: MetricTags = {}): void {
    this.client.histogram(name, value, tags);
  }

  gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, tags);
  }

  increment(name: string, tags: MetricTags = {}): void {
    this.client.increment(name, 1, tags);
  }

  close(): void {
    this.client.close(() => undefined);
  }
}

/** Sends metrics to `address` (`ip:port`); without one, discards them. */
export function createMetrics(
  address: string | undefined,
  tags: MetricTags,
): Metrics {
  if (address === undefined) {
    return NO_METRICS;
  }
  const [host = '', port = ''] = address.split(':');
  const client = new StatsD({
    host,
    port: Number(port),
    prefix: 'citrontrestle.',
    globalTags: tags,
    errorHandler: () => undefined,
  });
  return new StatsdMetrics(client);
}
