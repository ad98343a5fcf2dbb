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
import {HEAD_BYTES} from './admission.js';
import {AnswerRelay, RelayEnd, RelayOutcome} from './answer_relay.js';
import {RefusalReason} from './refusal.js';
import {CallFailure, UpstreamCall} from './upstream_call.js';
import type {CallerAnswer} from './caller_answer.js';
import type {AdmittedRequest} from './admission.js';
import type {ReceivedHead} from './upstream_call.js';
import type {Surroundings} from './surroundings.js';
import type {
  Millis,
  PlacedRequest,
  PlacementRequest,
} from '@citrontrestle/decisions';

/** How the forwarding of a request ended. */
export interface ForwardingEnd {
  /** Outcome as logs and metrics show it. */
  outcome: string;
  upstream: string | undefined;
  attempts: number;
  /** Whether an upstream may have begun to run the request. */
  mayHaveRun: boolean;
  /** Events delivered to the caller. */
  events: number;
  firstByteAt: Millis | undefined;
}

/** Least time that must be left for an attempt. */
const LEAST_PATIENCE: Millis = 20;

/** Attempts that never reached an upstream, at most. */
const MOST_UNSENT = 4;

/** Least status of a failure. */
const LEAST_FAILURE = 400;

/** Least status of a failure of the upstream itself. */
const LEAST_UPSTREAM_FAILURE = 500;

/** Outcome of a request that was answered whole by an upstream. */
export const ANSWERED = 'answered';

/** Outcome of a request whose caller left. */
export const CALLER_LEFT = 'caller-left';

/** Outcome of a stream that broke midway. */
export const BROKEN_OFF = 'broken-off';

/** Forwards one request until it has its final answer. */
export class Forwarding {
  private call: UpstreamCall | undefined;
  private placed: PlacedRequest | undefined;
  private tokenSeen = false;
  private readonly tried = new Set<string>();
  private readonly ran = new Set<string>();
  private unsent = 0;
  private readonly relay: AnswerRelay;
  private readonly end: ForwardingEnd = {
    outcome: '',
    upstream: undefined,
    attempts: 0,
    mayHaveRun: false,
    events: 0,
    firstByteAt: undefined,
  };
  private timer: NodeJS.Timeout | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private attemptAt: Millis = 0;
  private finished = false;
  private readonly deadline: Millis;
  private readonly service: string;
  private readonly placement: PlacementRequest;

  constructor(
    private readonly request: AdmittedRequest,
    private readonly answer: CallerAnswer,
    private readonly around: Surroundings,
    private readonly onEnd: (end: ForwardingEnd) => void,
  ) {
    const {caller, route, arrivedAt} = request;
    const patience = Math.min(caller.timeout ?? Infinity, route.timeout);
    this.deadline = arrivedAt + patience;
    this.service = pickService(route, around.random()) ?? '';
    this.placement = {
      parts: caller.promptParts,
      promptTokens: caller.usage?.inputTokens ?? 0,
    };
    this.relay = new AnswerRelay(
      answer,
      around.dialect,
      route.kind === RouteKind.Streaming,
      caller.lastEventId,
    );
  }

  /** Begins. */
  start(): void {
    const now = this.around.clock.now();
    this.around.repeats.recordRequest(this.service, now);
    const wait = Math.max(0, this.deadline - now);
    this.timer = setTimeout(() => this.expire(), wait);
    this.attempt();
  }

  /** The caller has left: what runs for it is cancelled at once. */
  callerLeft(): void {
    if (!this.finished) {
      this.release(this.endOfSilence());
      this.finish(CALLER_LEFT);
    }
  }

  /** Upstream that works on the request now. */
  upstream(): string | undefined {
    return this.placed?.upstream.id;
  }

  private attempt(): void {
    const {around, request} = this;
    const now = around.clock.now();
    if (this.deadline - now < LEAST_PATIENCE) {
      this.giveUp(RefusalReason.TimedOut);
      return;
    }
    const placed = around.placement.choose(
      this.placement,
      around.upstreams.usableUpstreams(this.service, now),
      {now, zone: around.zone, excluded: this.tried},
    );
    if (placed === undefined) {
      this.giveUp(RefusalReason.NoUpstream);
      return;
    }
    this.placed = placed;
    this.relay.reset();
    this.tokenSeen = false;
    this.end.attempts += 1;
    this.end.upstream = placed.upstream.id;
    around.placement.recordStart(this.placement, placed, now);
    this.attemptAt = now;
    around.link.recordBytes(0, request.body.length + HEAD_BYTES, now);
    this.watchSilence();
    const {caller, account} = request;
    this.call = new UpstreamCall(
      {
        address: placed.upstream.address,
        method: request.method,
        target: request.target,
        headers: around.dialect.upstreamRequestHeaders(request.rawHeaders, {
          upstreamId: placed.upstream.id,
          accountName: account?.name,
          remainingTime: this.deadline - now,
          urgency: this.urgency(placed),
          lastEventId: this.relay.lastEvent,
        }),
        body: request.body,
        requestId: caller.id,
        agent: around.agent,
      },
      around.dialect,
      {
        head: received => this.takeHead(received),
        data: bytes => this.take(bytes),
        done: () => this.done(),
        failed: (failure, reason) => this.failed(failure, reason),
      },
    );
  }

  private urgency({prefillTime}: PlacedRequest): number | undefined {
    const {latencyTarget} = this.request.route;
    const engine = this.placement.promptTokens > 0;
    return engine ? urgencyOf({prefillTime, latencyTarget}) : undefined;
  }

  /** A request that may be repeated does not wait for a silent upstream. */
  private watchSilence(): void {
    const patience = silenceTimeout(this.request.route);
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(() => this.silent(), patience);
  }

  private silent(): void {
    const waiting = !this.finished && this.call !== undefined;
    if (!waiting || this.relay.headed() || !this.mayRepeat(1)) {
      return;
    }
    if (this.mayTryAnother()) {
      this.abandon('silent', PlacementOutcome.Failed);
      this.attempt();
    }
  }

  /** Takes a repeat if another upstream and the time for it are left. */
  private mayTryAnother(): boolean {
    const {around} = this;
    const now = around.clock.now();
    const others = around.upstreams
      .usableUpstreams(this.service, now)
      .some(one => !this.tried.has(one.id) && one.id !== this.upstream());
    const left = this.deadline - now > LEAST_PATIENCE;
    const instances = around.instances();
    return (
      others && left && around.repeats.tryTake(this.service, instances, now)
    );
  }

  /** Ends an attempt that may have run. */
  private abandon(reason: string, end: PlacementOutcome): void {
    const upstream = this.upstream() ?? '';
    this.around.log.warn('attempt.abandoned', {
      request: this.request.caller.id,
      upstream,
      reason,
      waitedMs: Math.round(this.around.clock.now() - this.attemptAt),
      attempt: this.end.attempts,
    });
    this.end.mayHaveRun = true;
    this.ran.add(upstream);
    this.release(end);
  }

  private takeHead(received: ReceivedHead): void {
    this.relay.head(received);
    clearTimeout(this.silenceTimer);
    const {load} = received.head;
    if (this.placed !== undefined && load !== undefined) {
      const now = this.around.clock.now();
      this.around.placement.recordReportedLoad(
        this.placed.upstream.id,
        load,
        now,
      );
    }
    if (this.answer.begun() && !this.relay.streaming()) {
      // The caller has the head of a stream: only events can follow.
      this.call?.cancel();
      this.failed(CallFailure.Lost, `status ${received.status} in a stream`);
    }
  }

  private take(bytes: Buffer): void {
    const {length} = bytes;
    this.around.link.recordBytes(length, length, this.around.clock.now());
    const before = this.relay.events;
    const outcome = this.relay.take(bytes);
    this.noteProgress(before);
    RELAY_HANDLERS[outcome](this);
  }

  /** Called by the handlers of relay outcomes. */
  holdBack(): void {
    const {call} = this;
    call?.flow(false);
    this.answer.onDrain(() => call?.flow(true));
  }

  /** Called by the handlers of relay outcomes. */
  overflown(): void {
    this.call?.cancel();
    this.failed(CallFailure.Spoiled, 'event too large');
  }

  /** Notes the first bytes for the caller, and the first event. */
  private noteProgress(eventsBefore: number): void {
    this.end.events = this.relay.events;
    if (this.answer.begun()) {
      this.end.firstByteAt ??= this.around.clock.now();
    }
    const first = !this.tokenSeen && this.relay.events > eventsBefore;
    if (first && this.placed !== undefined) {
      this.tokenSeen = true;
      this.around.placement.recordFirstToken(this.placed);
    }
  }

  private done(): void {
    const status = this.relay.status();
    const erred = status >= LEAST_UPSTREAM_FAILURE;
    if (erred && this.repeatErred(status)) {
      return;
    }
    if (this.relay.finish() === RelayEnd.Doubtful) {
      this.failed(CallFailure.Lost, 'stream without a certain end');
      return;
    }
    this.end.mayHaveRun = true;
    this.end.firstByteAt ??= this.around.clock.now();
    this.release(
      erred ? PlacementOutcome.ErrorResponse : PlacementOutcome.Answered,
    );
    this.finish(status < LEAST_FAILURE ? ANSWERED : `status-${status}`);
  }

  /** Tries a request that the upstream failed at another one. */
  private repeatErred(status: number): boolean {
    if (!this.mayRepeat(1) || !this.mayTryAnother()) {
      return false;
    }
    this.abandon(`status ${status}`, PlacementOutcome.ErrorResponse);
    this.attempt();
    return true;
  }

  private failed(failure: CallFailure, reason: string): void {
    const upstream = this.placed?.upstream;
    this.around.log.warn('attempt.failed', {
      request: this.request.caller.id,
      upstream: upstream?.id ?? '',
      address: upstream?.address ?? '',
      failure,
      reason,
      attempt: this.end.attempts,
      events: this.end.events,
    });
    this.release(FAILURE_ENDS[failure]);
    if (failure === CallFailure.NotSent) {
      this.unsent += 1;
      this.around.suspects.down(upstream?.id ?? '');
      this.repeatUnsent();
      return;
    }
    if (failure === CallFailure.Replaced) {
      this.around.upstreams.markReplaced(upstream?.id ?? '');
      this.around.suspects.down(upstream?.id ?? '');
    }
    if (NOT_RUN.has(failure)) {
      this.repeat(() => this.giveUp(RefusalReason.Overloaded));
      return;
    }
    this.end.mayHaveRun = true;
    this.ran.add(upstream?.id ?? '');
    this.around.suspects.lost(this.request.fingerprint, upstream?.id ?? '');
    const failed = () => this.giveUp(RefusalReason.UpstreamFailed);
    if (this.mayRepeat()) {
      this.repeat(failed);
    } else {
      failed();
    }
  }

  private repeatUnsent(): void {
    if (this.unsent > MOST_UNSENT) {
      this.giveUp(RefusalReason.NoUpstream);
    } else {
      this.attempt();
    }
  }

  /**
   * Whether the request may run at one more upstream.
   * @param running upstreams that work on it and don't count as failed yet.
   */
  private mayRepeat(running = 0): boolean {
    return mayRepeat({
      route: this.request.route,
      upstreamsUsed: this.ran.size + running,
      answerBegun: this.answer.begun(),
      canResume: this.relay.resumable(),
    });
  }

  /** Attempts once more if the fleet's bound on repeats allows it. */
  private repeat(otherwise: () => void): void {
    const {around} = this;
    const now = around.clock.now();
    const instances = around.instances();
    const left = this.deadline - now > LEAST_PATIENCE;
    if (left && around.repeats.tryTake(this.service, instances, now)) {
      this.attempt();
    } else {
      otherwise();
    }
  }

  private expire(): void {
    if (!this.finished) {
      this.release(this.endOfSilence());
      this.giveUp(RefusalReason.TimedOut);
    }
  }

  /** How an attempt counts that ends without an answer. */
  private endOfSilence(): PlacementOutcome {
    const silence = this.around.clock.now() - this.attemptAt;
    const long = isExcessiveSilence(this.request.route, silence);
    const silent = this.call !== undefined && !this.relay.headed();
    return silent && long
      ? PlacementOutcome.Failed
      : PlacementOutcome.Cancelled;
  }

  /** Gives the final answer that the state allows. */
  private giveUp(reason: RefusalReason): void {
    if (this.answer.begun()) {
      this.answer.breakOff();
      this.finish(`${BROKEN_OFF}:${reason}`);
      return;
    }
    this.answer.refuse(this.truthful(reason));
    this.finish(reason);
  }

  /** A promise not to have run is only made if no upstream may have run it. */
  private truthful(reason: RefusalReason): RefusalReason {
    if (this.end.mayHaveRun && PROMISES.has(reason)) {
      return RefusalReason.UpstreamFailed;
    }
    const unsent = !this.end.mayHaveRun && reason === RefusalReason.TimedOut;
    return unsent ? RefusalReason.Overloaded : reason;
  }

  private release(end: PlacementOutcome): void {
    if (this.call?.running() === true) {
      this.end.mayHaveRun = true;
    }
    this.call?.cancel();
    this.call = undefined;
    const {placed} = this;
    if (placed !== undefined) {
      this.tried.add(placed.upstream.id);
      const now = this.around.clock.now();
      this.around.placement.recordEnd(placed, end, this.tokenSeen, now);
      this.placed = undefined;
    }
  }

  private finish(outcome: string): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    clearTimeout(this.timer);
    clearTimeout(this.silenceTimer);
    this.end.outcome = outcome;
    this.onEnd(this.end);
  }
}

const RELAY_HANDLERS: Readonly<
  Record<RelayOutcome, (forwarding: Forwarding) => void>
> = {
  [RelayOutcome.Taken]: () => undefined,
  [RelayOutcome.CallerBusy]: forwarding => forwarding.holdBack(),
  [RelayOutcome.Overflow]: forwarding => forwarding.overflown(),
};

const FAILURE_ENDS: Readonly<Record<CallFailure, PlacementOutcome>> = {
  [CallFailure.NotSent]: PlacementOutcome.Failed,
  [CallFailure.NotExecuted]: PlacementOutcome.Rejected,
  [CallFailure.Replaced]: PlacementOutcome.Rejected,
  [CallFailure.Lost]: PlacementOutcome.Failed,
  [CallFailure.Spoiled]: PlacementOutcome.Failed,
};

/** Failures that prove that the upstream did not run the request. */
const NOT_RUN = new Set([CallFailure.NotExecuted, CallFailure.Replaced]);

/** Reasons whose answers promise that the request never runs. */
const PROMISES = new Set([
  RefusalReason.NoUpstream,
  RefusalReason.Overloaded,
  RefusalReason.Stopping,
]);
