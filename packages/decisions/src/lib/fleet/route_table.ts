/** Routing configuration, and the lookup of routes, services and accounts. */
import {Priorities} from '../placement/priorities.js';
import type {PriorityRank} from '../placement/priorities.js';
import type {Millis} from '../base/clock.js';

/** How often the requests of a route may run, and how they are answered. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once for each request of a caller. */
  NonIdempotent = 'non-idempotent',
  /** Answered by an event stream; runs at most once unless resumable. */
  Streaming = 'streaming',
}

/** One service that a route may use, with its share of the requests. */
export interface RouteTarget {
  service: string;
  /** Share of the requests, relative to the total weight of the route. */
  weight: number;
}

/** One route, matched by host name and path prefix. */
export interface Route {
  name: string;
  /** Lower-case host name. */
  host: string;
  /** Path prefix, which begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Maximum time until a request is answered or refused. */
  timeout: Millis;
  /**
   * Latency objective: time to the end of the response, or to the first event
   * of a stream.
   */
  latencyTarget: Millis;
  /** Priority among the routes; 0 is the most important. */
  priority: number;
  targets: RouteTarget[];
  /** Maximum number of upstreams that may run one request of a caller. */
  maxUpstreams: number;
  /** Whether requests are accepted without an API key. */
  isPublic: boolean;
  /** Whether an interrupted stream may resume at another upstream. */
  resumable: boolean;
  /** Objective for the time between two events; 0 if none is set. */
  maxEventGap: Millis;
  /** Regions that its requests may reach; empty for all. */
  homes: readonly string[];
}

/** Properties of a service, as the operator configured them. */
export interface ServiceProfile {
  name: string;
  /** Path of the health check of its upstreams. */
  healthPath: string;
  /** Maximum number of connections that one upstream accepts in total. */
  maxConnections: number;
  /** Time for which an upstream is cold after its start; 0 if it never is. */
  coldTime: Millis;
  /**
   * Requests per second that a cold upstream takes from all instances together;
   * 0 if they are not limited.
   */
  coldRequestsPerSecond: number;
  /** Properties of its model engines; undefined if it has none. */
  engine: EngineProfile | undefined;
}

/** Properties of the model engines of a service, as configured. */
export interface EngineProfile {
  /** Requests that one engine can run at once. */
  slots: number;
  /** Tokens of running requests and cached prompts that fit in its memory. */
  kvCacheTokens: number;
  /** Maximum number of output tokens in one event of a stream. */
  maxTokensPerEvent: number;
}

/** A client account with its API keys and, if it has one, its token budget. */
export interface PrepaidAccount {
  name: string;
  apiKeys: string[];
  /** Replaces the priority of the route; undefined if none is set. */
  priority: number | undefined;
  /** Tokens granted so far in total; undefined if there is no budget. */
  grantedTokens: number | undefined;
  /** Regions that its requests may reach; empty for all. */
  homes: readonly string[];
  /** Whether its name can't be told to upstreams, so it can't be served. */
  isNameUnusable?: boolean;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  /** Maximum time until the headers of a request are complete. */
  headerTimeout: Millis;
  /** Time after which an idle connection is closed. */
  idleTimeout: Millis;
}

/** One version of the routing configuration. */
export interface RoutingConfiguration {
  /** Increases with each accepted change. */
  version: number;
  routes: Route[];
  services: ServiceProfile[];
  accounts: PrepaidAccount[];
  limits: CallerLimits;
}

/** Why the lookup of a request failed. */
export enum LookupFailure {
  NoRoute = 'no-route',
  NoAccount = 'no-account',
}

/**
 * Looks up routes, services and accounts in the current configuration. An older
 * configuration never replaces a newer one.
 */
export class RouteTable {
  private current: RoutingConfiguration | undefined;
  private routesByHost = new Map<string, Route[]>();
  private accountsByKey = new Map<string, PrepaidAccount>();
  private servicesByName = new Map<string, ServiceProfile>();
  private priorities = new Priorities({routes: [], accounts: []});
  /** The largest grant of each account over all versions. */
  private readonly largestGrants = new Map<string, number>();

  /** The current configuration; undefined until one was applied. */
  configuration(): RoutingConfiguration | undefined {
    return this.current;
  }

  /** Version of the current configuration; -1 if there is none. */
  version(): number {
    return this.current?.version ?? -1;
  }

  /** Applies a configuration if it is newer; returns whether it was. */
  apply(next: RoutingConfiguration): boolean {
    if (next.version <= this.version()) {
      return false;
    }
    this.current = next;
    this.routesByHost = new Map();
    for (const route of next.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    this.servicesByName = new Map(
      next.services.map(service => [service.name, service]),
    );
    this.indexAccounts(next.accounts);
    this.priorities = new Priorities(next);
    return true;
  }

  /** The route of the host with the longest matching prefix, if any. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host) ?? [];
    return routes.find(route => path.startsWith(route.pathPrefix));
  }

  /** The account that an API key belongs to, if any. */
  findAccount(apiKey: string): PrepaidAccount | undefined {
    return this.accountsByKey.get(apiKey);
  }

  /** Properties of a service; undefined if it is not configured. */
  findService(name: string): ServiceProfile | undefined {
    return this.servicesByName.get(name);
  }

  /** Rank of a request's priority among those of the configuration. */
  priorityOf(route: Route, account: PrepaidAccount | undefined): PriorityRank {
    return this.priorities.rankOf(route, account);
  }

  /** The largest grant to an account over all versions; undefined if none. */
  grantedTokens(account: string): number | undefined {
    return this.largestGrants.get(account);
  }

  /** Names of the accounts that have a budget. */
  budgetedAccounts(): string[] {
    return [...this.largestGrants.keys()];
  }

  private indexAccounts(accounts: PrepaidAccount[]): void {
    this.accountsByKey = new Map();
    for (const account of accounts) {
      for (const key of account.apiKeys) {
        this.accountsByKey.set(key, account);
      }
      if (account.grantedTokens !== undefined) {
        const previousGrant = this.largestGrants.get(account.name) ?? 0;
        this.largestGrants.set(
          account.name,
          Math.max(previousGrant, account.grantedTokens),
        );
      }
    }
  }
}

/**
 * Picks a service of a route by weight; undefined if the route has none.
 * @param random uniform random number in [0, 1).
 */
export function pickService(route: Route, random: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = random * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return route.targets.at(-1)?.service;
}
