/** How long streams last that callers may take up again. */
import {isResumableStream} from '../upstreams/repeat_rule.js';
import type {Millis} from '../base/clock.js';
import type {Route, RoutingConfiguration} from '../fleet/route_table.js';

/** Time by which a version is remembered longer than a stream can last. */
const LIFETIME_MARGIN: Millis = 5_000;

/** Returns the time for which the version of a route's streams counts. */
export function streamLifetime({timeout}: Route): Millis {
  return timeout + LIFETIME_MARGIN;
}

/** Returns the longest lifetime of resumable streams, by service. */
export function streamLifetimes(
  configuration: RoutingConfiguration | undefined,
): Map<string, Millis> {
  const lifetimes = new Map<string, Millis>();
  for (const route of configuration?.routes.filter(isResumableStream) ?? []) {
    for (const {service} of route.targets) {
      const longest = lifetimes.get(service) ?? 0;
      lifetimes.set(service, Math.max(longest, streamLifetime(route)));
    }
  }
  return lifetimes;
}
