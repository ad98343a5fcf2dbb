/** One request of a caller on its way through the upstreams. */
import {
  isExcessiveSilence,
  mayRepeat,
  PlacementOutcome,
  pickService,
  RouteKind,
  silenceTimeout,
  urgencyOf,
} from '@citrontrestle/decisions';
import {ESTIMATED_HEAD_BYTES} from './admission.js';
import {
  ResponseRelay,
  RelayCompletion,
  RelayOutcome,
} from './response_relay.js';
import {RefusalReason} from './refusal.js';
import {CallFailure, UpstreamCall} from './upstream_call.js';
import type {CallerResponse} from './caller_response.js';
import type {AdmittedRequest} from './admission.js';
import type {ReceivedHead} from './upstream_call.js';
import type {InstanceContext} from './instance_context.js';
import type {
  Millis,
  PlacedRequest,
  PlacementRequest,
} from '@citrontrestle/decisions';

/** How the forwarding of a request ended. */
export interface ForwardingResult {
  /** Outcome as logs and metrics show it. */
  outcome: string;
  upstream: string | undefined;
  attempts: number;
  /** Whether an upstream may have begun to run the request. */
  mayHaveRun: boolean;
  /** Events delivered to the caller. */
  deliveredEvents: number;
  firstByteAt: Millis | undefined;
}

/** Least time that must be left for an attempt. */
const MIN_ATTEMPT_TIME: Millis = 20;

/** Attempts that never reached an upstream, at most. */
const MAX_UNSENT_RETRIES = 4;

/** Least status of a failure. */
const MIN_ERROR_STATUS = 400;

/** Least status of a failure of the upstream itself. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Outcome of a request that was answered whole by an upstream. */
export const ANSWERED = 'answered';

/** Outcome of a request whose caller left. */
export const CALLER_DISCONNECTED = 'caller-left';

/** Outcome of a stream that broke midway. */
export const RESPONSE_ABORTED = 'broken-off';

/** Forwards one request until it has its final answer. */
export class Forwarding {
  private call: UpstreamCall | undefined;
  private placed: PlacedRequest | undefined;
  private hasFirstToken = false;
  private readonly triedUpstreams = new Set<string>();
  private readonly usedUpstreams = new Set<string>();
  private unsentAttempts = 0;
  private readonly relay: ResponseRelay;
  private readonly result: ForwardingResult = {
    outcome: '',
    upstream: undefined,
    attempts: 0,
    mayHaveRun: false,
    deliveredEvents: 0,
    firstByteAt: undefined,
  };
  private deadlineTimer: NodeJS.Timeout | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private attemptStartedAt: Millis = 0;
  private isFinished = false;
  private readonly deadline: Millis;
  private readonly service: string;
  private readonly placementRequest: PlacementRequest;

  constructor(
    private readonly request: AdmittedRequest,
    private readonly response: CallerResponse,
    private readonly context: InstanceContext,
    private readonly onEnd: (result: ForwardingResult) => void,
  ) {
    const {callerRequest, route, arrivedAt} = request;
    const timeout = Math.min(callerRequest.timeout ?? Infinity, route.timeout);
    this.deadline = arrivedAt + timeout;
    this.service = pickService(route, context.random()) ?? '';
    this.placementRequest = {
      parts: callerRequest.promptParts,
      promptTokens: callerRequest.usage?.inputTokens ?? 0,
    };
    this.relay = new ResponseRelay(
      response,
      context.dialect,
      route.kind === RouteKind.Streaming,
      callerRequest.lastEventId,
    );
  }

  /** Begins. */
  start(): void {
    const now = this.context.clock.now();
    this.context.repeatAllowance.recordRequest(this.service, now);
    const remaining = Math.max(0, this.deadline - now);
    this.deadlineTimer = setTimeout(() => this.handleDeadline(), remaining);
    this.startAttempt();
  }

  /** The caller has left: what runs for it is cancelled at once. */
  cancel(): void {
    if (!this.isFinished) {
      this.endAttempt(this.outcomeWithoutResponse());
      this.finish(CALLER_DISCONNECTED);
    }
  }

  /** Upstream that works on the request now. */
  currentUpstream(): string | undefined {
    return this.placed?.upstream.id;
  }

  private startAttempt(): void {
    const {context, request} = this;
    const now = context.clock.now();
    if (this.deadline - now < MIN_ATTEMPT_TIME) {
      this.giveUp(RefusalReason.TimedOut);
      return;
    }
    const placed = context.placement.choose(
      this.placementRequest,
      context.upstreams.usableUpstreams(this.service, now),
      {now, zone: context.zone, excluded: this.triedUpstreams},
    );
    if (placed === undefined) {
      this.giveUp(RefusalReason.NoUpstream);
      return;
    }
    this.placed = placed;
    this.relay.reset();
    this.hasFirstToken = false;
    this.result.attempts += 1;
    this.result.upstream = placed.upstream.id;
    context.placement.recordStart(this.placementRequest, placed, now);
    this.attemptStartedAt = now;
    context.linkLoad.recordBytes(
      0,
      request.body.length + ESTIMATED_HEAD_BYTES,
      now,
    );
    this.startSilenceTimer();
    const {callerRequest, account} = request;
    this.call = new UpstreamCall(
      {
        address: placed.upstream.address,
        method: request.method,
        target: request.target,
        headers: context.dialect.upstreamRequestHeaders(request.rawHeaders, {
          upstreamId: placed.upstream.id,
          accountName: account?.name,
          remainingTime: this.deadline - now,
          urgency: this.urgency(placed),
          lastEventId: this.relay.lastEventId,
        }),
        body: request.body,
        requestId: callerRequest.id,
        agent: context.agent,
      },
      context.dialect,
      {
        onHead: received => this.handleHead(received),
        onData: chunk => this.handleData(chunk),
        onComplete: () => this.handleComplete(),
        onFailure: (failure, reason) => this.handleFailure(failure, reason),
      },
    );
  }

  private urgency({prefillTime}: PlacedRequest): number | undefined {
    const {latencyTarget} = this.request.route;
    const isEngineRequest = this.placementRequest.promptTokens > 0;
    return isEngineRequest
      ? urgencyOf({prefillTime, latencyTarget})
      : undefined;
  }

  /** A request that may be repeated does not wait for a silent upstream. */
  private startSilenceTimer(): void {
    const timeout = silenceTimeout(this.request.route);
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(() => this.handleSilence(), timeout);
  }

  private handleSilence(): void {
    const isWaiting = !this.isFinished && this.call !== undefined;
    if (!isWaiting || this.relay.hasHead() || !this.mayRepeat(1)) {
      return;
    }
    if (this.tryTakeRepeat()) {
      this.abandonAttempt('silent', PlacementOutcome.Failed);
      this.startAttempt();
    }
  }

  /** Takes a repeat if another upstream and the time for it are left. */
  private tryTakeRepeat(): boolean {
    const {context} = this;
    const now = context.clock.now();
    const hasOtherUpstream = context.upstreams
      .usableUpstreams(this.service, now)
      .some(
        upstream =>
          !this.triedUpstreams.has(upstream.id) &&
          upstream.id !== this.currentUpstream(),
      );
    const hasTime = this.deadline - now > MIN_ATTEMPT_TIME;
    const instances = context.instanceCount();
    return (
      hasOtherUpstream &&
      hasTime &&
      context.repeatAllowance.tryTake(this.service, instances, now)
    );
  }

  /** Ends an attempt that may have run. */
  private abandonAttempt(reason: string, outcome: PlacementOutcome): void {
    const upstream = this.currentUpstream() ?? '';
    this.context.log.warn('attempt.abandoned', {
      request: this.request.callerRequest.id,
      upstream,
      reason,
      waitedMs: Math.round(this.context.clock.now() - this.attemptStartedAt),
      attempt: this.result.attempts,
    });
    this.result.mayHaveRun = true;
    this.usedUpstreams.add(upstream);
    this.endAttempt(outcome);
  }

  private handleHead(receivedHead: ReceivedHead): void {
    this.relay.setHead(receivedHead);
    clearTimeout(this.silenceTimer);
    const {load} = receivedHead.head;
    if (this.placed !== undefined && load !== undefined) {
      const now = this.context.clock.now();
      this.context.placement.recordReportedLoad(
        this.placed.upstream.id,
        load,
        now,
      );
    }
    if (this.response.hasBegun() && !this.relay.isStreaming()) {
      // The caller has the head of a stream: only events can follow.
      this.call?.cancel();
      this.handleFailure(
        CallFailure.ResponseLost,
        `status ${receivedHead.status} in a stream`,
      );
    }
  }

  private handleData(chunk: Buffer): void {
    const {length} = chunk;
    this.context.linkLoad.recordBytes(length, length, this.context.clock.now());
    const eventsBefore = this.relay.deliveredEvents;
    const outcome = this.relay.push(chunk);
    this.recordProgress(eventsBefore);
    RELAY_HANDLERS[outcome](this);
  }

  /** Called by the handlers of relay outcomes. */
  pauseUntilDrained(): void {
    const {call} = this;
    call?.setFlowing(false);
    this.response.onDrain(() => call?.setFlowing(true));
  }

  /** Called by the handlers of relay outcomes. */
  failOversizedEvent(): void {
    this.call?.cancel();
    this.handleFailure(CallFailure.InvalidResponse, 'event too large');
  }

  /** Notes the first bytes for the caller, and the first event. */
  private recordProgress(eventsBefore: number): void {
    this.result.deliveredEvents = this.relay.deliveredEvents;
    if (this.response.hasBegun()) {
      this.result.firstByteAt ??= this.context.clock.now();
    }
    const isFirstEvent =
      !this.hasFirstToken && this.relay.deliveredEvents > eventsBefore;
    if (isFirstEvent && this.placed !== undefined) {
      this.hasFirstToken = true;
      this.context.placement.recordFirstToken(this.placed);
    }
  }

  private handleComplete(): void {
    const status = this.relay.status();
    const isServerError = status >= MIN_SERVER_ERROR_STATUS;
    if (isServerError && this.tryRepeatAfterError(status)) {
      return;
    }
    if (this.relay.finish() === RelayCompletion.Ambiguous) {
      this.handleFailure(
        CallFailure.ResponseLost,
        'stream without a certain end',
      );
      return;
    }
    this.result.mayHaveRun = true;
    this.result.firstByteAt ??= this.context.clock.now();
    this.endAttempt(
      isServerError
        ? PlacementOutcome.ErrorResponse
        : PlacementOutcome.Answered,
    );
    this.finish(status < MIN_ERROR_STATUS ? ANSWERED : `status-${status}`);
  }

  /** Tries a request that the upstream failed at another one. */
  private tryRepeatAfterError(status: number): boolean {
    if (!this.mayRepeat(1) || !this.tryTakeRepeat()) {
      return false;
    }
    this.abandonAttempt(`status ${status}`, PlacementOutcome.ErrorResponse);
    this.startAttempt();
    return true;
  }

  private handleFailure(failure: CallFailure, reason: string): void {
    const upstream = this.placed?.upstream;
    this.context.log.warn('attempt.failed', {
      request: this.request.callerRequest.id,
      upstream: upstream?.id ?? '',
      address: upstream?.address ?? '',
      failure,
      reason,
      attempt: this.result.attempts,
      events: this.result.deliveredEvents,
    });
    this.endAttempt(FAILURE_OUTCOMES[failure]);
    if (failure === CallFailure.NotSent) {
      this.unsentAttempts += 1;
      this.context.crashWatch.recordDown(upstream?.id ?? '');
      this.retryUnsent();
      return;
    }
    if (failure === CallFailure.Replaced) {
      this.context.upstreams.markReplaced(upstream?.id ?? '');
      this.context.crashWatch.recordDown(upstream?.id ?? '');
    }
    if (NOT_EXECUTED_FAILURES.has(failure)) {
      this.repeatIfAllowed(() => this.giveUp(RefusalReason.Overloaded));
      return;
    }
    this.result.mayHaveRun = true;
    this.usedUpstreams.add(upstream?.id ?? '');
    this.context.crashWatch.recordLostResponse(
      this.request.fingerprint,
      upstream?.id ?? '',
    );
    const refuse = () => this.giveUp(RefusalReason.UpstreamFailed);
    if (this.mayRepeat()) {
      this.repeatIfAllowed(refuse);
    } else {
      refuse();
    }
  }

  private retryUnsent(): void {
    if (this.unsentAttempts > MAX_UNSENT_RETRIES) {
      this.giveUp(RefusalReason.NoUpstream);
    } else {
      this.startAttempt();
    }
  }

  /**
   * Whether the request may run at one more upstream.
   * @param runningUpstreams upstreams that work on it and don't count as failed yet.
   */
  private mayRepeat(runningUpstreams = 0): boolean {
    return mayRepeat({
      route: this.request.route,
      upstreamsUsed: this.usedUpstreams.size + runningUpstreams,
      answerBegun: this.response.hasBegun(),
      canResume: this.relay.canResume(),
    });
  }

  /** Attempts once more if the fleet's bound on repeats allows it. */
  private repeatIfAllowed(otherwise: () => void): void {
    const {context} = this;
    const now = context.clock.now();
    const instances = context.instanceCount();
    const hasTime = this.deadline - now > MIN_ATTEMPT_TIME;
    if (
      hasTime &&
      context.repeatAllowance.tryTake(this.service, instances, now)
    ) {
      this.startAttempt();
    } else {
      otherwise();
    }
  }

  private handleDeadline(): void {
    if (!this.isFinished) {
      this.endAttempt(this.outcomeWithoutResponse());
      this.giveUp(RefusalReason.TimedOut);
    }
  }

  /** How an attempt counts that ends without an answer. */
  private outcomeWithoutResponse(): PlacementOutcome {
    const elapsed = this.context.clock.now() - this.attemptStartedAt;
    const isExcessive = isExcessiveSilence(this.request.route, elapsed);
    const isAwaitingHead = this.call !== undefined && !this.relay.hasHead();
    return isAwaitingHead && isExcessive
      ? PlacementOutcome.Failed
      : PlacementOutcome.Cancelled;
  }

  /** Gives the final answer that the state allows. */
  private giveUp(reason: RefusalReason): void {
    if (this.response.hasBegun()) {
      this.response.abort();
      this.finish(`${RESPONSE_ABORTED}:${reason}`);
      return;
    }
    this.response.refuse(this.truthfulReason(reason));
    this.finish(reason);
  }

  /** A promise not to have run is only made if no upstream may have run it. */
  private truthfulReason(reason: RefusalReason): RefusalReason {
    if (this.result.mayHaveRun && NOT_EXECUTED_REASONS.has(reason)) {
      return RefusalReason.UpstreamFailed;
    }
    const isSafeToRetry =
      !this.result.mayHaveRun && reason === RefusalReason.TimedOut;
    return isSafeToRetry ? RefusalReason.Overloaded : reason;
  }

  private endAttempt(outcome: PlacementOutcome): void {
    if (this.call?.isRunning() === true) {
      this.result.mayHaveRun = true;
    }
    this.call?.cancel();
    this.call = undefined;
    const {placed} = this;
    if (placed !== undefined) {
      this.triedUpstreams.add(placed.upstream.id);
      const now = this.context.clock.now();
      this.context.placement.recordEnd(
        placed,
        outcome,
        this.hasFirstToken,
        now,
      );
      this.placed = undefined;
    }
  }

  private finish(outcome: string): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.silenceTimer);
    this.result.outcome = outcome;
    this.onEnd(this.result);
  }
}

const RELAY_HANDLERS: Readonly<
  Record<RelayOutcome, (forwarding: Forwarding) => void>
> = {
  [RelayOutcome.Accepted]: () => undefined,
  [RelayOutcome.Backpressure]: forwarding => forwarding.pauseUntilDrained(),
  [RelayOutcome.EventTooLarge]: forwarding => forwarding.failOversizedEvent(),
};

const FAILURE_OUTCOMES: Readonly<Record<CallFailure, PlacementOutcome>> = {
  [CallFailure.NotSent]: PlacementOutcome.Failed,
  [CallFailure.NotExecuted]: PlacementOutcome.Rejected,
  [CallFailure.Replaced]: PlacementOutcome.Rejected,
  [CallFailure.ResponseLost]: PlacementOutcome.Failed,
  [CallFailure.InvalidResponse]: PlacementOutcome.Failed,
};

/** Failures that prove that the upstream did not run the request. */
const NOT_EXECUTED_FAILURES = new Set([
  CallFailure.NotExecuted,
  CallFailure.Replaced,
]);

/** Reasons whose answers promise that the request never runs. */
const NOT_EXECUTED_REASONS = new Set([
  RefusalReason.NoUpstream,
  RefusalReason.Overloaded,
  RefusalReason.Stopping,
]);
