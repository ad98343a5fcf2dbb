/** Records requests in logs and metrics, and counts the tokens that they used. */
import {tokensToReserve} from './admission.js';
import type {AdmittedRequest} from './admission.js';
import type {PrepaidBudgets} from '../budgets/prepaid_budgets.js';
import type {ForwardingResult} from './forwarding_result.js';
import type {GatewayMetrics} from '../process/gateway_metrics.js';
import {RefusalReason} from './refusal.js';
import type {Clock, Millis, RouteTable} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Route label in the metrics of requests that have no route. */
const NO_ROUTE_LABEL = 'none';

/**
 * Records how requests ended. Prompts, responses and API keys are never
 * recorded.
 */
export class RequestRecorder {
  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly metrics: GatewayMetrics,
    private readonly routeTable: RouteTable,
    private readonly budgets: PrepaidBudgets,
  ) {}

  /**
   * Returns the tokens that a request used: its prompt, counted once however
   * often it was sent, and the maximum number of tokens of an event for each
   * event delivered to the caller. Returns 0 if the request can't have run.
   */
  usedTokens(
    {route, callerRequest}: AdmittedRequest,
    result: ForwardingResult,
  ): number {
    if (!result.mayHaveRun || callerRequest.usage === undefined) {
      return 0;
    }
    const {inputTokens, maxOutputTokens} = callerRequest.usage;
    const tokensPerEvent = route.targets.map(
      ({service}) =>
        this.routeTable.findService(service)?.engine?.maxTokensPerEvent ??
        maxOutputTokens,
    );
    return inputTokens + result.deliveredEvents * Math.max(...tokensPerEvent);
  }

  /** Records a request that was not admitted. */
  recordRefusal(reason: RefusalReason, requestId: string): void {
    const version = this.routeTable.version();
    this.metrics.recordRequest(NO_ROUTE_LABEL, reason, 0, undefined);
    this.log.info('request.refused', {request: requestId, reason, version});
  }

  /** Records the end of an admitted request. */
  recordEnd(admitted: AdmittedRequest, result: ForwardingResult): void {
    const {callerRequest, route, account, arrivedAt} = admitted;
    const wholeMs = Math.round(this.clock.now() - arrivedAt);
    const firstMs = timeSinceArrival(result.firstByteAt, arrivedAt);
    this.metrics.recordRequest(route.name, result.outcome, wholeMs, firstMs);
    this.log.info('request.ended', {
      request: callerRequest.id,
      route: route.name,
      account: account?.name,
      outcome: result.outcome,
      upstream: result.upstream,
      upstreamVersion: result.upstreamVersion,
      resumes: callerRequest.resumedRequestId,
      lastEventId: callerRequest.lastEventId,
      expectedMs: result.expectedFirst && Math.round(result.expectedFirst),
      attempts: result.attempts,
      mayHaveRun: result.mayHaveRun,
      events: result.deliveredEvents,
      tokens: tokensToReserve(admitted),
      used: this.usedTokens(admitted, result),
      granted: account && this.routeTable.grantedTokens(account.name),
      available:
        account && Math.round(this.budgets.availableTokens(account.name)),
      untaken: account && this.budgets.untakenTokens(account.name),
      takeable: this.takeableIfLacking(admitted, result),
      version: this.routeTable.version(),
      wholeMs,
      firstMs,
    });
  }

  /**
   * Returns how many untaken tokens this instance may take, for a request that
   * was refused for lack of tokens; undefined for others, which do not need it.
   */
  private takeableIfLacking(
    {account}: AdmittedRequest,
    {outcome}: ForwardingResult,
  ): number | undefined {
    const lacksTokens = TOKEN_REFUSALS.has(outcome);
    return account !== undefined && lacksTokens
      ? this.budgets.takeableTokens(account.name)
      : undefined;
  }
}

/** Outcomes of requests that are refused for lack of tokens. */
const TOKEN_REFUSALS = new Set<string>([
  RefusalReason.BudgetExhausted,
  RefusalReason.BudgetUnavailable,
]);

/** Returns the time from the arrival to `time` in whole milliseconds. */
function timeSinceArrival(
  time: Millis | undefined,
  arrivedAt: Millis,
): Millis | undefined {
  return time === undefined ? undefined : Math.round(time - arrivedAt);
}
