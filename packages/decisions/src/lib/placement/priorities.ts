/**
 * Ranks of the priorities that a configuration uses. Covers this load pattern:
 * requests of several priorities wait for the same engines, which have room for
 * some of them only.
 */
import type {
  PrepaidAccount,
  Route,
  RoutingConfiguration,
} from '../fleet/route_table.js';

/** Place of a priority among all that are in use. */
export interface PriorityRank {
  /** 0 is the most important. */
  rank: number;
  /** Number of different priorities, at least 1. */
  count: number;
}

/** The priorities of routes and accounts of one configuration. */
export class Priorities {
  private readonly sorted: readonly number[];

  constructor({
    routes,
    accounts,
  }: Pick<RoutingConfiguration, 'routes' | 'accounts'>) {
    const used = new Set([
      ...routes.map(({priority}) => priority),
      ...accounts.flatMap(({priority}) => priority ?? []),
    ]);
    this.sorted = [...used].sort((a, b) => a - b);
  }

  /** Returns the rank of a request; the account's priority takes precedence. */
  rankOf(
    route: Pick<Route, 'priority'>,
    account: Pick<PrepaidAccount, 'priority'> | undefined,
  ): PriorityRank {
    const rank = this.sorted.indexOf(priorityOf(route, account));
    return {rank: Math.max(0, rank), count: Math.max(1, this.sorted.length)};
  }
}

/** Returns the priority of a request: the account's, else the route's. */
export function priorityOf(
  route: Pick<Route, 'priority'>,
  account: Pick<PrepaidAccount, 'priority'> | undefined,
): number {
  return account?.priority ?? route.priority;
}
