/** Which service, account and limits apply to a request: one configuration. */
import type {Millis} from './clock.js';

/** What may be repeated on a route. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once for each attempt of a caller. */
  NonIdempotent = 'non-idempotent',
  /** Answered by a series of events; runs at most once unless resumable. */
  Streaming = 'streaming',
}

/** One service that a route may use, with its part of the requests. */
export interface RouteTarget {
  service: string;
  /** Relative part of the requests; parts of a route add up to any sum. */
  weight: number;
}

/** One route, selected by host and path prefix. */
export interface Route {
  name: string;
  /** Lower-case host name. */
  host: string;
  /** Path prefix that begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time that a caller is kept waiting. */
  timeout: Millis;
  /** Time to the whole answer, or to the first event, for full value. */
  latencyTarget: Millis;
  /** Rank among the routes, 0 is the most important. */
  priority: number;
  targets: RouteTarget[];
  /** Most upstreams that may run one attempt of a caller. */
  maxUpstreams: number;
  /** Whether requests need no API key. */
  isPublic: boolean;
  /** Whether a broken stream may go on at another upstream. */
  resumable: boolean;
  /** Longest pause between events for an answer in time; 0 if none is set. */
  maxEventGap: Millis;
}

/** What the operator says of a service. */
export interface ServiceProfile {
  name: string;
  healthPath: string;
  /** Connections that one upstream takes from all callers. */
  maxConnections: number;
  /** Profile of the model engines; undefined for a plain service. */
  engine: EngineProfile | undefined;
}

/** What the operator says of the engines of a service. */
export interface EngineProfile {
  /** Requests that one engine runs at once. */
  slots: number;
  /** Tokens of running requests and cached prompt parts that fit. */
  kvCacheTokens: number;
  /** Most output tokens in one event of a stream. */
  maxTokensPerEvent: number;
}

/** A client account with its API keys and its prepaid budget. */
export interface PrepaidAccount {
  name: string;
  apiKeys: string[];
  /** Rank that replaces the rank of the route; undefined if none is set. */
  priority: number | undefined;
  /** Total of tokens granted so far; undefined if the account has no budget. */
  grantedTokens: number | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeout: Millis;
  idleTimeout: Millis;
}

/** One version of the routing configuration. */
export interface RoutingConfiguration {
  /** Rises with each accepted change. */
  version: number;
  routes: Route[];
  services: ServiceProfile[];
  accounts: PrepaidAccount[];
  limits: CallerLimits;
}

/** Why a request has no route or no account. */
export enum LookupFailure {
  NoRoute = 'no-route',
  NoAccount = 'no-account',
}

/** The configuration in force, indexed for lookups. Versions never go back. */
export class RouteTable {
  private current: RoutingConfiguration | undefined;
  private routesByHost = new Map<string, Route[]>();
  private accountsByKey = new Map<string, PrepaidAccount>();
  private servicesByName = new Map<string, ServiceProfile>();
  private readonly granted = new Map<string, number>();

  /** The configuration in force, if any is known. */
  configuration(): RoutingConfiguration | undefined {
    return this.current;
  }

  /** Version in force; -1 if none is known. */
  version(): number {
    return this.current?.version ?? -1;
  }

  /** Puts a configuration in force if it is newer. Returns whether it is. */
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
    return true;
  }

  /** The route of a request: the longest prefix among those of its host. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host) ?? [];
    return routes.find(route => path.startsWith(route.pathPrefix));
  }

  /** The account that holds an API key. */
  findAccount(apiKey: string): PrepaidAccount | undefined {
    return this.accountsByKey.get(apiKey);
  }

  /** What is known of a service. */
  findService(name: string): ServiceProfile | undefined {
    return this.servicesByName.get(name);
  }

  /** Tokens granted to an account: the most that any version stated. */
  grantedTokens(account: string): number | undefined {
    return this.granted.get(account);
  }

  /** Accounts with a budget. */
  budgetedAccounts(): string[] {
    return [...this.granted.keys()];
  }

  private indexAccounts(accounts: PrepaidAccount[]): void {
    this.accountsByKey = new Map();
    for (const account of accounts) {
      for (const key of account.apiKeys) {
        this.accountsByKey.set(key, account);
      }
      if (account.grantedTokens !== undefined) {
        const previousGrant = this.granted.get(account.name) ?? 0;
        this.granted.set(
          account.name,
          Math.max(previousGrant, account.grantedTokens),
        );
      }
    }
  }
}

/**
 * Picks a service of a route by weight.
 * @param random uniform number in [0, 1).
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
