/** Records requests in logs and metrics, and counts the tokens that they used. */
import {tokensToReserve} from './admission.js';
import type {AdmittedRequest} from './admission.js';
import type {PrepaidBudgets} from '../budgets/prepaid_budgets.js';
import type {ForwardingResult} from './forwarding_result.js';
import type {GatewayMetrics} from '../process/gateway_metrics.js';
import {RefusalReason} from './refusal.js';
import {possiblyUnusedTokens} from '@citrontrestle/decisions';
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
   * event delivered to the caller. A body that is no stream does not tell how many
   * tokens it has, so it counts with the most that the request allows. Returns 0 if
   * the request can't have run.
   */
  usedTokens(
    {route, callerRequest}: AdmittedRequest,
    result: ForwardingResult,
  ): number {
    if (!result.mayHaveRun || callerRequest.usage === undefined) {
      return 0;
    }
    const {inputTokens, maxOutputTokens} = callerRequest.usage;
    if (result.deliveredBody) {
      return inputTokens + maxOutputTokens;
    }
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
    if (result.responseEnd !== undefined) {
      this.metrics.recordResponseEnd(result.responseEnd);
    }
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
      responseEnd: result.responseEnd,
      tokens: tokensToReserve(admitted),
      used: this.usedTokens(admitted, result),
      granted: account && this.routeTable.grantedTokens(account.name),
      available:
        account && Math.round(this.budgets.availableTokens(account.name)),
      untaken: account && this.budgets.knownUntakenTokens(account.name),
      ...this.refusalEvidence(admitted, result),
      version: this.routeTable.version(),
      wholeMs,
      firstMs,
    });
  }

  /**
   * Returns what shows that a refusal for lack of tokens is true; nothing for
   * other results, which do not need it.
   */
  private refusalEvidence(
    {account}: AdmittedRequest,
    {outcome, waitedForTokens}: ForwardingResult,
  ): Record<string, number | boolean | undefined> {
    if (account === undefined || !TOKEN_REFUSALS.has(outcome)) {
      return {};
    }
    const evidence = this.budgets.evidence(account.name);
    return {
      takeable: Math.round(evidence.takeable),
      unclaimed: Math.round(evidence.unclaimed),
      held: Math.round(evidence.heldHere),
      heldByOthers: Math.round(evidence.heldByOthers),
      heldBySilent: Math.round(evidence.heldBySilent),
      reserved: Math.round(evidence.reservedHere),
      knownUsed: Math.round(evidence.granted - possiblyUnusedTokens(evidence)),
      readingAgeMs: roundedMillis(evidence.age),
      supplied: evidence.isSupplied,
      relayReadingAgeMs: roundedMillis(evidence.relayAge),
      waitedMs: roundedMillis(waitedForTokens),
    };
  }
}

/** Outcomes of requests that are refused for lack of tokens. */
const TOKEN_REFUSALS = new Set<string>([
  RefusalReason.BudgetExhausted,
  RefusalReason.BudgetUnavailable,
]);

function roundedMillis(time: Millis | undefined): Millis | undefined {
  return time === undefined ? undefined : Math.round(time);
}

/** Returns the time from the arrival to `time` in whole milliseconds. */
function timeSinceArrival(
  time: Millis | undefined,
  arrivedAt: Millis,
): Millis | undefined {
  return time === undefined ? undefined : Math.round(time - arrivedAt);
}
