/**
 * Forwards one request to an upstream and, where that is allowed, repeats it at
 * others until the caller has its final response. `response` is always the
 * response to the caller, and `responseRelay` builds it from the responses of
 * the upstreams.
 */
import {
  Homes,
  isExcessiveSilence,
  isResumableStream,
  mayRepeat,
  PlacementOutcome,
  priorityOf,
  pickService,
  Regions,
  RouteKind,
  silenceTimeout,
  urgencyOf,
} from '@citrontrestle/decisions';
import {deadlineOf, ESTIMATED_HEAD_BYTES, homesOf} from './admission.js';
import {logBlocked} from './blocked_request.js';
import {guardStep} from '../process/exception_guard.js';
import {SURVIVED_EVENTS} from '../crashes/crash_watch.js';
import {
  ResponseRelay,
  RelayCompletion,
  RelayOutcome,
} from './response_relay.js';
import {
  ANSWERED,
  CALLER_DISCONNECTED,
  FAILURE_OUTCOMES,
  NOT_EXECUTED_FAILURES,
  reasonForCaller,
  RESPONSE_ABORTED,
  UNSENT_FAILURES,
} from './forwarding_result.js';
import {RefusalReason} from './refusal.js';
import {ResponseFlow} from './response_flow.js';
import {CallFailure} from './call_failure.js';
import {Candidates} from '../upstreams/candidates.js';
import {connectionFieldsOf} from '../upstreams/connection_fields.js';
import {recordStatements} from '../upstreams/upstream_statements.js';
import type {CallerResponse} from './caller_response.js';
import type {LostRequest} from '../crashes/crash_watch.js';
import type {ForwardingResult} from './forwarding_result.js';
import type {AdmittedRequest} from './admission.js';
import type {ConnectionFields} from '../upstreams/connection_fields.js';
import type {ReceivedHead} from '../upstreams/response_head.js';
import type {UpstreamCall} from '../upstreams/upstream_call.js';
import type {UpstreamPath} from '../upstreams/upstream_paths.js';
import type {InstanceContext} from '../process/instance_context.js';
import type {
  Millis,
  PlacedRequest,
  PlacementRequest,
  UpstreamListing,
} from '@citrontrestle/decisions';

/** Shortest time after which a caller is told to come back. */
const MIN_RETURN_DELAY: Millis = 20;

/** Maximum delay of a timer; a longer one would end at once. */
const MAX_TIMER_DELAY: Millis = 2 ** 31 - 1;

/** Minimum time before the deadline at which an attempt is still started. */
const MIN_ATTEMPT_TIME: Millis = 20;

/**
 * Maximum number of new attempts after attempts of which no byte was sent. They
 * are not limited by the route or by the repeat allowance, as the request can't
 * have run.
 */
const MAX_UNSENT_RETRIES = 4;

/** Maximum time for which a request waits for room at brittle upstreams. */
const MAX_ROOM_WAIT: Millis = 100;

/** Interval at which a request that waits for room looks for some. */
const ROOM_CHECK_INTERVAL: Millis = 10;

/** The homes of a request that may go everywhere. */
const ANYWHERE = new Homes([], new Regions({}));

/** Lowest HTTP status of an error response. */
const MIN_ERROR_STATUS = 400;

/** Lowest HTTP status of an error of the upstream itself. */
const MIN_SERVER_ERROR_STATUS = 500;

/**
 * The forwarding of one admitted request. `onEnd` is called once, when the
 * response is complete, refused or aborted, or the caller disconnected.
 */
export class Forwarding {
  /** Call of the current attempt. */
  private call: UpstreamCall | undefined;
  /** Upstream of the current attempt, and the load counted for it. */
  private placed: PlacedRequest | undefined;
  /** Way to that upstream. */
  private path: UpstreamPath | undefined;
  /** Whether the current attempt has delivered an event. */
  private hasFirstToken = false;
  /**
   * Software version that began the stream and at which alone it may go on;
   * undefined if it has not begun or may go on anywhere.
   */
  private streamVersion: string | undefined;
  /** Number of events that the attempts before the current one delivered. */
  private earlierEvents = 0;
  /** Upstreams of all ended attempts; none of them is tried again. */
  private readonly triedUpstreams = new Set<string>();
  /** Addresses of peers that were to forward the request and did not. */
  private readonly failedProxies = new Set<string>();
  /** Upstreams that ran the request or may have run it. */
  private readonly usedUpstreams = new Set<string>();
  /** Number of attempts of which no byte was sent. */
  private unsentAttempts = 0;
  private readonly responseRelay: ResponseRelay;
  private readonly flow: ResponseFlow;
  private readonly result: ForwardingResult = {
    outcome: '',
    upstream: undefined,
    upstreamVersion: undefined,
    attempts: 0,
    mayHaveRun: false,
    deliveredEvents: 0,
    deliveredBody: false,
    firstByteAt: undefined,
  };
  private deadlineTimer: NodeJS.Timeout | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private roomTimer: NodeJS.Timeout | undefined;
  /** When it first waited for room at brittle upstreams. */
  private waitsForRoomSince: Millis | undefined;
  private attemptStartedAt: Millis = 0;
  /** Bytes of the request that wait for a connection. */
  private waitingBytes = 0;
  private isFinished = false;
  private readonly deadline: Millis;
  private readonly serviceName: string;
  private readonly homes: Homes;
  private readonly candidates: Candidates;
  private readonly placementRequest: PlacementRequest;

  constructor(
    private readonly request: AdmittedRequest,
    private readonly response: CallerResponse,
    private readonly context: InstanceContext,
    private readonly onEnd: (result: ForwardingResult) => void,
    /** Version that began the stream that the request takes up. */
    resumedVersion?: string,
  ) {
    this.streamVersion = resumedVersion;
    const {callerRequest, route} = request;
    this.deadline = deadlineOf(request);
    this.serviceName = pickService(route, context.random()) ?? '';
    this.homes = homesOf(request, context.regions);
    this.candidates = new Candidates(context, this.serviceName, this.homes);
    this.placementRequest = {
      parts: callerRequest.promptParts,
      promptTokens: callerRequest.usage?.inputTokens ?? 0,
    };
    this.flow = new ResponseFlow(context.linkLoad, context.clock);
    this.responseRelay = new ResponseRelay(
      response,
      context.dialect,
      route.kind === RouteKind.Streaming,
      isResumableStream(route),
      callerRequest.lastEventId,
      context.heldResponses,
    );
  }

  /** Starts the first attempt and the timer of the deadline. */
  start(): void {
    const now = this.context.clock.now();
    this.context.repeatAllowance.recordRequest(this.serviceName, now);
    const remaining = Math.min(
      MAX_TIMER_DELAY,
      Math.max(0, this.deadline - now),
    );
    this.deadlineTimer = setTimeout(
      () => this.guard(() => this.endWith(RefusalReason.TimedOut)),
      remaining,
    );
    this.guard(() => this.startAttempt());
  }

  /**
   * Starts another attempt once the sockets have been read, unless the caller has
   * left or the request has ended by then.
   */
  private startNextAttempt(): void {
    this.afterReading(() => this.startAttempt());
  }

  /** Runs a step after the sockets have been read, if the caller is still there. */
  private afterReading(step: () => void): void {
    this.context.socketReads.runAfter(() => {
      if (this.isFinished) {
        return;
      }
      if (this.response.hasCallerLeft()) {
        this.cancel();
      } else {
        this.guard(step);
      }
    });
  }

  /**
   * Runs a step of this request. An exception ends the request, and nothing else:
   * each timer and each event of a call enters through here.
   */
  private guard(step: () => void): void {
    const request = this.request.callerRequest.id;
    const {log} = this.context;
    guardStep(step, log, 'request.threw', {request}, () => {
      // A call that has just ended may have run the request as well.
      this.result.mayHaveRun ||= this.call !== undefined;
      const giveUp = () => this.endWith(RefusalReason.InternalError);
      guardStep(giveUp, log, 'request.threw', {request}, () => {
        this.response.abort();
        this.finish(`${RESPONSE_ABORTED}:${RefusalReason.InternalError}`);
      });
    });
  }

  /** Cancels the running attempt because the caller disconnected. */
  cancel(): void {
    this.guard(() => {
      if (!this.isFinished) {
        this.endAttempt(this.outcomeOfUnfinishedAttempt());
        this.finish(CALLER_DISCONNECTED);
      }
    });
  }

  /** Ends the running attempt, as this instance stops; responds at once. */
  stop(): void {
    this.guard(() => this.endWith(RefusalReason.Stopping));
  }

  /** Returns the upstream of the running attempt; undefined if there is none. */
  currentUpstream(): string | undefined {
    return this.placed?.upstream.id;
  }

  /** Sends the request to an untried upstream; gives up if that is impossible. */
  private startAttempt(): void {
    const {context, request} = this;
    const now = context.clock.now();
    if (this.deadline - now < MIN_ATTEMPT_TIME) {
      this.giveUp(RefusalReason.TimedOut);
      return;
    }
    const placed = context.placement.choose(
      this.placementRequest,
      this.available(now),
      {now, zone: context.zone, excluded: this.triedUpstreams},
    );
    if (placed === undefined && this.waitForRoom(now)) {
      return;
    }
    const path = placed && this.pathTo(placed, this.homes);
    if (placed === undefined || path === undefined) {
      this.giveUpWithoutPath(placed, now);
      return;
    }
    this.placed = placed;
    this.path = path;
    this.responseRelay.beginAttempt();
    this.hasFirstToken = false;
    this.earlierEvents = this.responseRelay.deliveredEvents;
    this.result.attempts += 1;
    this.result.upstream = placed.upstream.id;
    this.result.upstreamVersion = placed.upstream.version;
    this.result.expectedFirst = placed.expectedTime;
    context.placement.recordStart(this.placementRequest, placed, now);
    context.limitWatch.recordSent(placed.upstream.id);
    context.coldWatch.recordSent(placed.upstream.id);
    this.attemptStartedAt = now;
    this.recordWaiting(request.body.length + ESTIMATED_HEAD_BYTES);
    this.startSilenceTimer();
    const {callerRequest, account} = request;
    this.call = context.paths.send(
      path,
      placed.upstream,
      {
        method: request.method,
        target: request.target,
        headers: context.dialect.upstreamRequestHeaders(request.rawHeaders, {
          upstreamId: placed.upstream.id,
          accountName: account?.name,
          remainingTime: this.deadline - now,
          urgency: this.urgency(placed),
          lastEventId: this.responseRelay.lastEventId(),
        }),
        body: request.body,
        requestId: callerRequest.id,
      },
      this.deadline - now,
      {
        onSent: () => this.guard(() => this.handleSent()),
        onHead: received => this.guard(() => this.handleHead(received)),
        onStatement: head =>
          this.guard(() =>
            recordStatements(context, placed.upstream, head, now),
          ),
        onData: chunk => this.guard(() => this.handleData(chunk)),
        onComplete: () => this.guard(() => this.handleComplete()),
        onFailure: (failure, reason) =>
          this.guard(() => this.handleFailure(failure, reason)),
      },
    );
  }

  /** Records how many bytes of the request wait for a connection. */
  private recordWaiting(bytes: number): void {
    this.context.linkLoad.recordWaiting(bytes - this.waitingBytes);
    this.waitingBytes = bytes;
  }

  /** Returns the way to an upstream; undefined if there is none. */
  private pathTo(
    {upstream}: PlacedRequest,
    homes: Homes,
  ): UpstreamPath | undefined {
    const {id} = this.request.callerRequest;
    return this.context.paths.choose(upstream, id, this.failedProxies, homes);
  }

  /** Returns why the request can be sent nowhere; logs what that depends on. */
  private reasonWithoutPath(
    placed: PlacedRequest | undefined,
    now: Millis,
  ): RefusalReason {
    const {context} = this;
    const lacksPeerAtHome =
      placed !== undefined &&
      this.homes.isBound() &&
      this.pathTo(placed, ANYWHERE) !== undefined;
    const reason = lacksPeerAtHome
      ? RefusalReason.OutsideHomes
      : this.candidates.blockedReason(this.streamVersion, now);
    if (reason === undefined) {
      return RefusalReason.NoUpstream;
    }
    logBlocked(context, this.request, reason);
    return reason;
  }

  /** Returns the upstreams that may get the request now, tried ones included. */
  private available(now: Millis): UpstreamListing[] {
    return this.candidates.available(this.streamVersion, now);
  }

  /**
   * Tries again soon if an untried upstream lacks only room, and the request has
   * not waited for long; otherwise returns false.
   */
  private waitForRoom(now: Millis): boolean {
    this.waitsForRoomSince ??= now;
    const lacksOnlyRoom = this.candidates.someLackRoom(
      this.triedUpstreams,
      this.streamVersion,
      now,
    );
    if (!lacksOnlyRoom || now - this.waitsForRoomSince >= MAX_ROOM_WAIT) {
      return false;
    }
    this.roomTimer = setTimeout(
      () => this.startNextAttempt(),
      ROOM_CHECK_INTERVAL,
    );
    return true;
  }

  /**
   * Refuses the request; if cold upstreams are left, with the time until this
   * instance may send one of them a request.
   */
  private giveUpWithoutPath(
    placed: PlacedRequest | undefined,
    now: Millis,
  ): void {
    const heldBack =
      placed === undefined
        ? this.candidates.heldBack(this.triedUpstreams, this.streamVersion, now)
        : undefined;
    if (heldBack === undefined) {
      this.giveUp(this.reasonWithoutPath(placed, now));
      return;
    }
    const {wait, upstreams, ownPermits} = heldBack;
    this.context.recordHeldBack(this.serviceName);
    this.context.log.info('request.held-for-cold', {
      request: this.request.callerRequest.id,
      service: this.serviceName,
      upstreams,
      ownPermits,
      waitMs: Math.ceil(wait),
    });
    this.giveUp(RefusalReason.ColdUpstreams, Math.max(wait, MIN_RETURN_DELAY));
  }

  /** Returns the request's urgency at a model engine; undefined elsewhere. */
  private urgency({readingTime}: PlacedRequest): number | undefined {
    const {route, priority} = this.request;
    const {latencyTarget} = route;
    const isEngineRequest = this.placementRequest.promptTokens > 0;
    return isEngineRequest
      ? urgencyOf({prefillTime: readingTime, latencyTarget, priority})
      : undefined;
  }

  /**
   * Limits the wait for the head of the upstream's response, so that a request
   * that may be repeated does not wait until its deadline for an unresponsive
   * upstream.
   */
  private startSilenceTimer(): void {
    const timeout = Math.min(
      MAX_TIMER_DELAY,
      silenceTimeout(this.request.route),
    );
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(() => this.endIfSilent(), timeout);
  }

  /** Judges the current attempt, once what the upstream has sent was read. */
  private endIfSilent(): void {
    const {call} = this;
    this.afterReading(() => {
      if (this.call === call) {
        this.handleSilence();
      }
    });
  }

  /** Repeats the request, if allowed, unless the upstream has responded. */
  private handleSilence(): void {
    const isWaiting = !this.isFinished && this.call !== undefined;
    if (!isWaiting || this.responseRelay.hasHead() || !this.mayRepeat(1)) {
      return;
    }
    if (this.tryTakeRepeat()) {
      this.abandonAttempt('silent', PlacementOutcome.Failed);
      this.startNextAttempt();
    }
  }

  /**
   * Takes one repeat from the allowance and returns true, if an untried upstream
   * and enough time are left; otherwise returns false.
   */
  private tryTakeRepeat(): boolean {
    const {context} = this;
    const now = context.clock.now();
    const hasOtherUpstream = this.available(now).some(
      upstream =>
        !this.triedUpstreams.has(upstream.id) &&
        upstream.id !== this.currentUpstream(),
    );
    const hasTime = this.deadline - now > MIN_ATTEMPT_TIME;
    const instanceCount = context.instanceCount();
    return (
      hasOtherUpstream &&
      hasTime &&
      context.repeatAllowance.tryTake(this.serviceName, instanceCount, now)
    );
  }

  /**
   * Ends an attempt in favour of a repeat; the upstream may have run the request.
   */
  private abandonAttempt(reason: string, outcome: PlacementOutcome): void {
    const upstream = this.currentUpstream() ?? '';
    this.context.log.warn('attempt.abandoned', {
      request: this.request.callerRequest.id,
      upstream,
      reason,
      waitedMs: this.attemptAge(),
      attempt: this.result.attempts,
      ...this.connectionFields(),
    });
    this.result.mayHaveRun = true;
    this.usedUpstreams.add(upstream);
    this.endAttempt(outcome);
  }

  /**
   * Returns the log fields that tell how the attempt reached its upstream: its
   * connection, the peer that forwarded the request, and the time since any
   * upstream was heard.
   */
  private connectionFields(): ConnectionFields {
    const silence = this.context.reachability.silence();
    return {
      ...connectionFieldsOf(this.call),
      proxy: this.path?.proxy?.address,
      silentMs: silence && Math.round(silence),
    };
  }

  /** Returns the age of the current attempt in whole milliseconds. */
  private attemptAge(): Millis {
    return Math.round(this.context.clock.now() - this.attemptStartedAt);
  }

  private handleSent(): void {
    const {linkLoad, clock} = this.context;
    const bytes = this.waitingBytes;
    this.recordWaiting(0);
    linkLoad.recordBytes(0, bytes, clock.now());
  }

  private handleHead(receivedHead: ReceivedHead): void {
    this.responseRelay.setHead(receivedHead);
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
    if (
      this.placementRequest.promptTokens === 0 &&
      receivedHead.status < MIN_ERROR_STATUS
    ) {
      this.recordFirstEventTime();
    }
    if (!this.responseRelay.mayFollow()) {
      const {status, mediaType} = receivedHead;
      this.call?.cancel();
      this.handleFailure(
        CallFailure.ResponseLost,
        `status ${status}, ${mediaType} after the stream began`,
      );
    }
  }

  private handleData(chunk: Buffer): void {
    const {length} = chunk;
    const {linkLoad, clock, bufferCollection} = this.context;
    linkLoad.recordBytes(length, length, clock.now());
    bufferCollection.recordRead(length);
    const eventsBefore = this.responseRelay.deliveredEvents;
    const outcome = this.responseRelay.push(chunk);
    this.recordProgress(eventsBefore);
    RELAY_HANDLERS[outcome](this);
  }

  /** Reads on, unless a large body is to leave room on the link for others. */
  readOnIfRoom(): void {
    this.flow.readOnIfRoom(this.call, this.responseRelay.relaysBulk());
  }

  /** Stops reading from the upstream until the caller has room for more data. */
  pauseUntilDrained(): void {
    this.call?.setFlowing(false);
    this.response.onDrain(() => this.readOnIfRoom());
  }

  /** Fails the attempt because of what the upstream has sent. */
  failInvalidResponse(reason: string): void {
    this.call?.cancel();
    this.handleFailure(CallFailure.InvalidResponse, reason);
  }

  /**
   * Records the number of events and the time of the first byte. The first event
   * of an attempt counts as the first token of a model engine.
   */
  private recordProgress(eventsBefore: number): void {
    this.result.deliveredEvents = this.responseRelay.deliveredEvents;
    if (this.response.hasBegun()) {
      this.result.firstByteAt ??= this.context.clock.now();
    }
    this.recordBeginning();
    const survivesFrom = this.earlierEvents + SURVIVED_EVENTS;
    if (
      eventsBefore < survivesFrom &&
      this.result.deliveredEvents >= survivesFrom
    ) {
      this.context.crashWatch.recordAnswer(this.request);
    }
    const isFirstEvent =
      !this.hasFirstToken && this.responseRelay.deliveredEvents > eventsBefore;
    if (isFirstEvent && this.placed !== undefined) {
      this.hasFirstToken = true;
      this.context.placement.recordFirstToken(this.placed);
      if (this.placementRequest.promptTokens > 0) {
        this.recordFirstEventTime();
      }
    }
  }

  /**
   * Tells placement how long the upstream took to the first event of a prompt's
   * answer, or to the head of any other. Proxied attempts are left out, as the
   * proxy takes time as well.
   */
  private recordFirstEventTime(): void {
    if (this.placed !== undefined && this.path?.proxy === undefined) {
      const now = this.context.clock.now();
      const time = now - this.attemptStartedAt;
      this.context.placement.recordFirstEventTime(this.placed, time, now);
    }
  }

  /** Binds a resumable stream to the version that delivered its first event. */
  private recordBeginning(): void {
    const {route} = this.request;
    const hasBegun = this.responseRelay.deliveredEvents > 0;
    if (
      isResumableStream(route) &&
      hasBegun &&
      this.streamVersion === undefined
    ) {
      const version = this.placed?.upstream.version ?? '';
      this.streamVersion = version;
      this.context.streamTracker.recordBeginning(this.request, version);
    }
  }

  private handleComplete(): void {
    const status = this.responseRelay.status();
    const isWithheld = this.responseRelay.isWithheld();
    const isServerError = isWithheld || status >= MIN_SERVER_ERROR_STATUS;
    if (isServerError && this.tryRepeatAfterError(status)) {
      return;
    }
    if (isWithheld) {
      this.failWithheld(status);
      return;
    }
    const completion = this.responseRelay.finish();
    if (completion === RelayCompletion.Unproven) {
      if (!isServerError && this.tryRepeatUnproven()) {
        return;
      }
      this.responseRelay.sendUnproven();
    }
    if (completion === RelayCompletion.Ambiguous) {
      this.handleFailure(
        CallFailure.ResponseLost,
        'end of the event stream is ambiguous',
      );
      return;
    }
    this.result.mayHaveRun = true;
    this.context.returnPlanner.recordAnswer(this.serviceName);
    this.result.firstByteAt ??= this.context.clock.now();
    this.endAttempt(
      isServerError
        ? PlacementOutcome.ErrorResponse
        : PlacementOutcome.Answered,
    );
    this.finish(status < MIN_ERROR_STATUS ? ANSWERED : `status-${status}`);
  }

  /**
   * Ends the request with a failure that promises nothing, in place of an
   * upstream's response that would promise that the request has not run.
   */
  private failWithheld(status: number): void {
    this.context.log.warn('response.withheld', {
      request: this.request.callerRequest.id,
      upstream: this.currentUpstream() ?? '',
      status,
      ...this.connectionFields(),
    });
    this.result.mayHaveRun = true;
    this.context.returnPlanner.recordAnswer(this.serviceName);
    this.endAttempt(PlacementOutcome.ErrorResponse);
    this.giveUp(RefusalReason.UpstreamFailed);
  }

  /**
   * Repeats the request after an error response of the upstream, if that is
   * allowed; otherwise returns false.
   */
  private tryRepeatAfterError(status: number): boolean {
    return this.tryRepeat(`status ${status}`, PlacementOutcome.ErrorResponse);
  }

  /**
   * Repeats the request after a response of which no byte came and that has no
   * length, if that is allowed; otherwise returns false.
   */
  private tryRepeatUnproven(): boolean {
    return this.tryRepeat('no byte, no length', PlacementOutcome.Failed);
  }

  private tryRepeat(reason: string, outcome: PlacementOutcome): boolean {
    if (!this.mayRepeat(1) || !this.tryTakeRepeat()) {
      return false;
    }
    this.abandonAttempt(reason, outcome);
    this.startNextAttempt();
    return true;
  }

  /** Ends a failed attempt; repeats the request if allowed, else gives up. */
  private handleFailure(failure: CallFailure, reason: string): void {
    const upstream = this.placed?.upstream;
    this.context.log.warn('attempt.failed', {
      request: this.request.callerRequest.id,
      upstream: upstream?.id ?? '',
      address: upstream?.address ?? '',
      upstreamVersion: upstream?.version,
      failure,
      reason,
      waitedMs: this.attemptAge(),
      attempt: this.result.attempts,
      events: this.result.deliveredEvents,
      ...this.connectionFields(),
    });
    const waitsForLink = this.waitsForLink();
    this.endAttempt(FAILURE_OUTCOMES[failure]);
    if (waitsForLink) {
      this.refuseForLink();
      return;
    }
    if (failure === CallFailure.ProxyFailed) {
      this.recordProxyFailure(upstream?.id ?? '');
    }
    if (UNSENT_FAILURES.has(failure)) {
      this.unsentAttempts += 1;
      if (failure === CallFailure.ConnectionRefused && upstream !== undefined) {
        this.context.crashWatch.recordRefused(upstream);
      }
      this.retryUnsent();
      return;
    }
    if (failure === CallFailure.Replaced) {
      this.context.upstreamRegistry.markReplaced(
        upstream?.id ?? '',
        this.context.clock.now(),
      );
      this.context.crashWatch.recordDown(upstream?.id ?? '');
    }
    if (NOT_EXECUTED_FAILURES.has(failure)) {
      this.repeatIfAllowed(() => this.giveUp(RefusalReason.Overloaded));
      return;
    }
    this.result.mayHaveRun = true;
    this.usedUpstreams.add(upstream?.id ?? '');
    if (upstream !== undefined) {
      this.context.crashWatch.recordLostResponse(this.lostRequest(), upstream);
    }
    const failRequest = () => this.giveUp(RefusalReason.UpstreamFailed);
    if (this.mayRepeat()) {
      this.repeatIfAllowed(failRequest);
    } else {
      failRequest();
    }
  }

  /** Excludes the peer that failed; the upstream may be tried again. */
  private recordProxyFailure(upstream: string): void {
    const {path} = this;
    if (path?.proxy !== undefined) {
      this.context.paths.recordProxyFailure(path);
      this.failedProxies.add(path.proxy.address);
    }
    this.triedUpstreams.delete(upstream);
  }

  /** Returns what is known of this request if its upstream crashed. */
  private lostRequest(): LostRequest {
    const {callerRequest, fingerprint, sharedParts} = this.request;
    return {
      id: callerRequest.id,
      fingerprint,
      sharedParts,
      events: this.result.deliveredEvents - this.earlierEvents,
    };
  }

  /**
   * Whether the current attempt got no connection in time as the own link is
   * crowded; another upstream is reached over the same link.
   */
  private waitsForLink(): boolean {
    const {linkLoad, clock} = this.context;
    return (
      this.call?.hasConnectTimedOut() === true &&
      linkLoad.isCrowded(clock.now())
    );
  }

  /** Refuses the request because the link is full. */
  private refuseForLink(): void {
    const {route, account} = this.request;
    const caller = {
      priority: priorityOf(route, account),
      remainingTime: this.deadline - this.context.clock.now(),
    };
    this.giveUp(
      RefusalReason.MachineBusy,
      this.context.returnPlanner.delayOfLink(caller, undefined),
    );
  }

  /** Tries another upstream after an attempt of which no byte was sent. */
  private retryUnsent(): void {
    if (this.unsentAttempts > MAX_UNSENT_RETRIES) {
      this.giveUp(RefusalReason.NoUpstream);
    } else {
      this.startNextAttempt();
    }
  }

  /**
   * Whether the request may be sent to one more upstream. One that may have
   * crashed an upstream is not.
   * @param runningUpstreams upstreams whose attempt has not ended yet and that
   *     are therefore not among `usedUpstreams`.
   */
  private mayRepeat(runningUpstreams = 0): boolean {
    const isAllowed = mayRepeat({
      route: this.request.route,
      upstreamsUsed: this.usedUpstreams.size + runningUpstreams,
      answerBegun: this.response.hasBegun(),
      canResume: this.responseRelay.canResume(),
    });
    return isAllowed && !this.context.crashWatch.isSuspect(this.request);
  }

  /**
   * Starts another attempt if the fleet's limit on repeats allows it and enough
   * time is left; otherwise calls `onDenied`.
   */
  private repeatIfAllowed(onDenied: () => void): void {
    const {context} = this;
    const now = context.clock.now();
    const instanceCount = context.instanceCount();
    const hasTime = this.deadline - now > MIN_ATTEMPT_TIME;
    if (
      hasTime &&
      context.repeatAllowance.tryTake(this.serviceName, instanceCount, now)
    ) {
      this.startNextAttempt();
    } else {
      onDenied();
    }
  }

  /** Ends the request, unless it has ended, for a reason of this instance. */
  private endWith(reason: RefusalReason): void {
    if (!this.isFinished) {
      this.endAttempt(this.outcomeOfUnfinishedAttempt());
      this.giveUp(reason);
    }
  }

  /**
   * Returns how an attempt that is ended early counts for its upstream: as
   * failed only if no response began for excessively long.
   */
  private outcomeOfUnfinishedAttempt(): PlacementOutcome {
    const elapsed = this.context.clock.now() - this.attemptStartedAt;
    const isExcessive = isExcessiveSilence(this.request.route, elapsed);
    const isAwaitingHead =
      this.call !== undefined && !this.responseRelay.hasHead();
    return isAwaitingHead && isExcessive
      ? PlacementOutcome.Failed
      : PlacementOutcome.Cancelled;
  }

  /**
   * Refuses the request, or aborts the response if its head has already been
   * sent to the caller.
   * @param retryTime time before which a retry would be refused as well, if it
   *     is known.
   */
  private giveUp(reason: RefusalReason, retryTime?: Millis): void {
    if (this.response.hasBegun()) {
      this.response.abort();
      this.finish(`${RESPONSE_ABORTED}:${reason}`);
      return;
    }
    const statedReason = reasonForCaller(reason, this.result.mayHaveRun);
    this.response.refuse(
      statedReason,
      retryTime ?? this.returnDelay(statedReason),
    );
    this.finish(reason);
  }

  /** Returns the delay after which a refused caller is to return. */
  private returnDelay(reason: RefusalReason): Millis | undefined {
    const now = this.context.clock.now();
    const {route, account} = this.request;
    return this.context.returnPlanner.delayOfService(
      this.serviceName,
      reason,
      {
        priority: priorityOf(route, account),
        remainingTime: this.deadline - now,
      },
      this.candidates.restTime(now),
    );
  }

  /** Ends the current attempt, if any, and reports its outcome to placement. */
  private endAttempt(outcome: PlacementOutcome): void {
    if (this.call?.isRunning() === true) {
      this.result.mayHaveRun = true;
    }
    this.result.responseEnd = this.call?.responseEnd();
    this.call?.cancel();
    this.call = undefined;
    this.recordWaiting(0);
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
      if (outcome === PlacementOutcome.Answered) {
        const time = now - this.attemptStartedAt;
        this.context.placement.recordWholeTime(placed, time);
      }
      this.placed = undefined;
    }
  }

  private finish(outcome: string): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    this.responseRelay.discard();
    this.flow.stop();
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.silenceTimer);
    clearTimeout(this.roomTimer);
    this.result.outcome = outcome;
    this.result.deliveredBody = this.responseRelay.deliveredBody;
    this.onEnd(this.result);
  }
}

/** What the forwarding does after each chunk of an upstream's response. */
const RELAY_HANDLERS: Readonly<
  Record<RelayOutcome, (forwarding: Forwarding) => void>
> = {
  [RelayOutcome.Accepted]: forwarding => forwarding.readOnIfRoom(),
  [RelayOutcome.Backpressure]: forwarding => forwarding.pauseUntilDrained(),
  [RelayOutcome.EventTooLarge]: forwarding =>
    forwarding.failInvalidResponse('event exceeds the size limit or the room'),
  [RelayOutcome.OutOfSequence]: forwarding =>
    forwarding.failInvalidResponse('the stream is not resumed where it ended'),
  [RelayOutcome.WithheldTooLarge]: forwarding =>
    forwarding.failInvalidResponse('a body that is withheld is too large'),
};
