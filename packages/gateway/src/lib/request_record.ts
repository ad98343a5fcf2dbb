/** What logs and metrics say of requests, and what each of them consumed. */
import {reservationOf} from './admission.js';
import type {AdmittedRequest} from './admission.js';
import type {BudgetTask} from './budget_task.js';
import type {ForwardingEnd} from './forwarding.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {RefusalReason} from './refusal.js';
import type {Clock, Millis, RouteTable} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Route in the metrics of requests that have none. */
const NO_ROUTE = 'none';

/** Records how requests end. Never a prompt, an answer or a key. */
export class RequestRecord {
  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly metrics: GatewayMetrics,
    private readonly table: RouteTable,
    private readonly budgets: BudgetTask,
  ) {}

  /** Tokens that a request consumed: its prompt once, and what it was sent. */
  used({route, caller}: AdmittedRequest, end: ForwardingEnd): number {
    if (!end.mayHaveRun || caller.usage === undefined) {
      return 0;
    }
    const {inputTokens, maxOutputTokens} = caller.usage;
    const perEvent = route.targets.map(
      ({service}) =>
        this.table.findService(service)?.engine?.maxTokensPerEvent ??
        maxOutputTokens,
    );
    return inputTokens + end.events * Math.max(...perEvent);
  }

  /** Notes a request that has no route or no account. */
  refused(reason: RefusalReason, request: string): void {
    const version = this.table.version();
    this.metrics.ended(NO_ROUTE, reason, 0, undefined);
    this.log.info('request.refused', {request, reason, version});
  }

  /** Notes the end of an admitted request. */
  ended(admitted: AdmittedRequest, end: ForwardingEnd): void {
    const {caller, route, account, arrivedAt} = admitted;
    const wholeMs = Math.round(this.clock.now() - arrivedAt);
    const firstMs = sinceArrival(end.firstByteAt, arrivedAt);
    this.metrics.ended(route.name, end.outcome, wholeMs, firstMs);
    this.log.info('request.ended', {
      request: caller.id,
      route: route.name,
      account: account?.name,
      outcome: end.outcome,
      upstream: end.upstream,
      attempts: end.attempts,
      mayHaveRun: end.mayHaveRun,
      events: end.events,
      tokens: reservationOf(admitted),
      used: this.used(admitted, end),
      granted: account && this.table.grantedTokens(account.name),
      available:
        account && Math.round(this.budgets.availableTokens(account.name)),
      untaken: account && this.budgets.untakenTokens(account.name),
      version: this.table.version(),
      wholeMs,
      firstMs,
    });
  }
}

function sinceArrival(
  time: Millis | undefined,
  arrivedAt: Millis,
): Millis | undefined {
  return time === undefined ? undefined : Math.round(time - arrivedAt);
}
