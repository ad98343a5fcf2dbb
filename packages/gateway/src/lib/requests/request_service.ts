/**
 * Serves requests: admits them, reserves prepaid tokens for them and forwards
 * them.
 */
import {isResumableStream, patienceFor} from '@citrontrestle/decisions';
import {admit, deadlineOf, homesOf, tokensToReserve} from './admission.js';
import {Candidates} from '../upstreams/candidates.js';
import {ReservationOutcome} from '../budgets/prepaid_budgets.js';
import {logBlocked} from './blocked_request.js';
import {exceptionFields} from '../process/exception_guard.js';
import {Forwarding} from './forwarding.js';
import {ANSWERED} from './forwarding_result.js';
import {RefusalReason} from './refusal.js';
import type {AdmittedRequest} from './admission.js';
import type {PrepaidBudgets} from '../budgets/prepaid_budgets.js';
import type {CallerResponse} from './caller_response.js';
import type {ForwardingResult} from './forwarding_result.js';
import type {RequestHandle, BufferedRequest} from './front_server.js';
import type {RequestRecorder} from './request_recorder.js';
import type {InstanceContext} from '../process/instance_context.js';
import type {Millis, RouteTable} from '@citrontrestle/decisions';

/** Time from which on a reservation was a wait, in which callers may leave. */
const LONG_RESERVATION: Millis = 1;

/** What happens to a request while it is served. */
interface ServingState {
  /** Whether its caller has disconnected or has got its final response. */
  hasEnded: boolean;
  forwarding: Forwarding | undefined;
}

/** Serves the requests of one instance. */
export class RequestService {
  constructor(
    private readonly context: InstanceContext,
    private readonly routeTable: RouteTable,
    private readonly budgets: PrepaidBudgets,
    private readonly recorder: RequestRecorder,
  ) {}

  /** Serves a request whose body has been read. */
  serve(
    bufferedRequest: BufferedRequest,
    response: CallerResponse,
  ): RequestHandle {
    const {clock, dialect} = this.context;
    const outcome = admit(bufferedRequest, this.routeTable, dialect, clock);
    if (!outcome.ok) {
      response.refuse(outcome.reason);
      this.recorder.recordRefusal(outcome.reason, outcome.id);
      return {cancel: () => undefined, stop: () => undefined};
    }
    return this.serveAdmitted(outcome.request, response);
  }

  /**
   * Refuses the request or forwards it, after reserving tokens and finding where
   * its stream began, if needed.
   */
  private serveAdmitted(
    admitted: AdmittedRequest,
    response: CallerResponse,
  ): RequestHandle {
    const {crashWatch} = this.context;
    const state: ServingState = {hasEnded: false, forwarding: undefined};
    if (!this.context.admits(deadlineOf(admitted))) {
      this.refuse(admitted, response, RefusalReason.Stopping);
    } else if (
      crashWatch.isBlocked(admitted) &&
      !crashWatch.takeTrial(admitted)
    ) {
      this.refuse(admitted, response, RefusalReason.CrashesUpstreams);
    } else {
      this.startUnlessBlocked(admitted, response, state);
    }
    return {
      cancel: () => {
        state.hasEnded = true;
        state.forwarding?.cancel();
      },
      stop: () => this.stop(admitted, response, state),
    };
  }

  /**
   * Returns why none of the services of a request can get it, if evacuations or
   * homes exclude all of their upstreams, and logs what that depends on.
   */
  private blockedReason(
    admitted: AdmittedRequest,
    now: Millis,
  ): RefusalReason | undefined {
    const {context} = this;
    const homes = homesOf(admitted, context.regions);
    const reasons = admitted.route.targets
      .filter(({weight}) => weight > 0)
      .map(({service}) =>
        new Candidates(context, service, homes).blockedReason(undefined, now),
      );
    const [reason] = reasons;
    if (reason === undefined || reasons.includes(undefined)) {
      return undefined;
    }
    logBlocked(context, admitted, reason);
    return reason;
  }

  /** Starts a request, unless evacuations or homes leave no upstream for it. */
  private startUnlessBlocked(
    admitted: AdmittedRequest,
    response: CallerResponse,
    state: ServingState,
  ): void {
    const now = this.context.clock.now();
    const blockedReason = this.blockedReason(admitted, now);
    if (blockedReason !== undefined) {
      this.refuse(admitted, response, blockedReason);
    } else if (resumesStream(admitted)) {
      const resumed = this.resumeStream(admitted, response, state);
      void this.endOnException(resumed, admitted, response, state);
    } else {
      this.reserveAndForward(admitted, response, state);
    }
  }

  /** Gives a request its final response, because the instance stops. */
  private stop(
    admitted: AdmittedRequest,
    response: CallerResponse,
    state: ServingState,
  ): void {
    const isWaiting = state.forwarding === undefined && !response.hasBegun();
    if (isWaiting && !state.hasEnded) {
      this.refuse(admitted, response, RefusalReason.Stopping);
    }
    state.hasEnded = true;
    state.forwarding?.stop();
  }

  /**
   * Forwards a request that takes a stream up to the version that began it;
   * refuses it if that version is unknown.
   */
  private async resumeStream(
    admitted: AdmittedRequest,
    response: CallerResponse,
    state: ServingState,
  ): Promise<void> {
    const {streamTracker} = this.context;
    const version = await streamTracker.versionToResume(admitted);
    await this.context.socketReads.completed();
    if (state.hasEnded || response.hasCallerLeft()) {
      return;
    }
    if (version === undefined) {
      this.refuse(admitted, response, RefusalReason.UnknownStream);
    } else {
      this.reserveAndForward(admitted, response, state, version);
    }
  }

  /** Forwards the request, after reserving tokens if needed. */
  private reserveAndForward(
    admitted: AdmittedRequest,
    response: CallerResponse,
    state: ServingState,
    resumedVersion?: string,
  ): void {
    const startForwarding = () => {
      const forwarding = new Forwarding(
        admitted,
        response,
        this.context,
        result => this.handleEnd(admitted, result),
        resumedVersion,
      );
      state.forwarding = forwarding;
      forwarding.start();
    };
    if (tokensToReserve(admitted) === 0) {
      startForwarding();
    } else {
      const reserved = this.reserve(admitted, response, startForwarding, state);
      void this.endOnException(reserved, admitted, response, state);
    }
  }

  /** Refuses the request if a step before its forwarding throws an exception. */
  private async endOnException(
    step: Promise<void>,
    admitted: AdmittedRequest,
    response: CallerResponse,
    state: ServingState,
  ): Promise<void> {
    try {
      await step;
    } catch (error) {
      const request = admitted.callerRequest.id;
      const {log} = this.context;
      log.error('request.threw', {request, ...exceptionFields(error)});
      if (!state.hasEnded && !response.hasBegun()) {
        this.refuse(admitted, response, RefusalReason.InternalError);
      }
      state.hasEnded = true;
    }
  }

  /**
   * Reserves tokens and starts the forwarding; refuses the request if there are
   * none. Does neither, and returns the tokens, if the caller has disconnected
   * in the meantime.
   */
  private async reserve(
    admitted: AdmittedRequest,
    response: CallerResponse,
    startForwarding: () => void,
    state: ServingState,
  ): Promise<void> {
    const accountName = admitted.account?.name ?? '';
    const tokens = tokensToReserve(admitted);
    const startedAt = this.context.clock.now();
    const reservationOutcome = await this.budgets.reserve(accountName, tokens, {
      patience: patienceFor(
        admitted.route.latencyTarget,
        deadlineOf(admitted) - startedAt,
      ),
    });
    const {Reserved, Exhausted} = ReservationOutcome;
    if (reservationOutcome !== Reserved) {
      const {BudgetExhausted, BudgetUnavailable} = RefusalReason;
      const reason =
        reservationOutcome === Exhausted ? BudgetExhausted : BudgetUnavailable;
      if (!state.hasEnded) {
        const waited = this.context.clock.now() - startedAt;
        const retryDelay = this.budgets.retryDelay(
          accountName,
          tokens,
          reservationOutcome,
        );
        this.refuse(admitted, response, reason, {waited, retryDelay});
      }
      return;
    }
    if (this.context.clock.now() - startedAt >= LONG_RESERVATION) {
      await this.context.socketReads.completed();
    }
    if (state.hasEnded || response.hasCallerLeft()) {
      this.budgets.settle(accountName, tokens, 0);
      return;
    }
    startForwarding();
  }

  /**
   * Refuses an admitted request that has not been forwarded.
   * @param tokenWait how long it waited for tokens, if it did, and when they may
   *     be available.
   */
  private refuse(
    admitted: AdmittedRequest,
    response: CallerResponse,
    reason: RefusalReason,
    tokenWait?: {waited: Millis; retryDelay: Millis},
  ): void {
    response.refuse(reason, tokenWait?.retryDelay);
    this.recorder.recordEnd(admitted, {
      outcome: reason,
      upstream: undefined,
      upstreamVersion: undefined,
      attempts: 0,
      mayHaveRun: false,
      deliveredEvents: 0,
      deliveredBody: false,
      firstByteAt: undefined,
      waitedForTokens: tokenWait?.waited,
    });
  }

  /** Settles the reservation with the tokens used, and records the request. */
  private handleEnd(admitted: AdmittedRequest, result: ForwardingResult): void {
    const reserved = tokensToReserve(admitted);
    if (reserved > 0) {
      const accountName = admitted.account?.name ?? '';
      this.budgets.settle(
        accountName,
        reserved,
        this.recorder.usedTokens(admitted, result),
      );
    }
    if (result.outcome === ANSWERED) {
      this.context.crashWatch.recordAnswer(admitted);
    }
    this.recorder.recordEnd(admitted, result);
  }
}

/** Whether a request takes a stream up after the events that its caller has. */
function resumesStream({route, callerRequest}: AdmittedRequest): boolean {
  return isResumableStream(route) && callerRequest.lastEventId !== undefined;
}
