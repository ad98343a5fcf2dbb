/**
 * Serves requests: admits them, reserves prepaid tokens for them and forwards
 * them.
 */
import {admit, ESTIMATED_HEAD_BYTES, tokensToReserve} from './admission.js';
import {ReservationOutcome} from './prepaid_budgets.js';
import {ANSWERED, Forwarding} from './forwarding.js';
import {RefusalReason} from './refusal.js';
import type {AdmittedRequest} from './admission.js';
import type {PrepaidBudgets} from './prepaid_budgets.js';
import type {CallerResponse} from './caller_response.js';
import type {ForwardingResult} from './forwarding.js';
import type {RequestHandle, BufferedRequest} from './front_server.js';
import type {RequestRecorder} from './request_recorder.js';
import type {InstanceContext} from './instance_context.js';
import type {RouteTable} from '@citrontrestle/decisions';

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
      return {cancel: () => undefined};
    }
    return this.serveAdmitted(outcome.request, response);
  }

  /** Refuses the request or forwards it, after reserving tokens if needed. */
  private serveAdmitted(
    admitted: AdmittedRequest,
    response: CallerResponse,
  ): RequestHandle {
    const state: {isDisconnected: boolean; forwarding: Forwarding | undefined} =
      {
        isDisconnected: false,
        forwarding: undefined,
      };
    const startForwarding = () => {
      const forwarding = new Forwarding(
        admitted,
        response,
        this.context,
        result => this.handleEnd(admitted, result),
      );
      state.forwarding = forwarding;
      forwarding.start();
    };
    const {clock, linkLoad, crashWatch} = this.context;
    const now = clock.now();
    linkLoad.recordBytes(admitted.body.length + ESTIMATED_HEAD_BYTES, 0, now);
    if (linkLoad.isSaturated(now)) {
      this.refuse(admitted, response, RefusalReason.MachineBusy);
    } else if (
      crashWatch.isBlocked(admitted) &&
      !crashWatch.takeTrial(admitted)
    ) {
      this.refuse(admitted, response, RefusalReason.CrashesUpstreams);
    } else if (tokensToReserve(admitted) === 0) {
      startForwarding();
    } else {
      void this.reserveAndForward(
        admitted,
        response,
        startForwarding,
        () => state.isDisconnected,
      );
    }
    return {
      cancel: () => {
        state.isDisconnected = true;
        state.forwarding?.cancel();
      },
    };
  }

  /**
   * Reserves tokens and starts the forwarding; refuses the request if there are
   * none. Does neither, and returns the tokens, if the caller has disconnected
   * in the meantime.
   */
  private async reserveAndForward(
    admitted: AdmittedRequest,
    response: CallerResponse,
    startForwarding: () => void,
    isDisconnected: () => boolean,
  ): Promise<void> {
    const accountName = admitted.account?.name ?? '';
    const tokens = tokensToReserve(admitted);
    const reservationOutcome = await this.budgets.reserve(accountName, tokens);
    const {Reserved, Exhausted} = ReservationOutcome;
    if (reservationOutcome !== Reserved) {
      const {BudgetExhausted, BudgetUnavailable} = RefusalReason;
      const reason =
        reservationOutcome === Exhausted ? BudgetExhausted : BudgetUnavailable;
      if (!isDisconnected()) {
        this.refuse(admitted, response, reason);
      }
      return;
    }
    if (isDisconnected()) {
      this.budgets.settle(accountName, tokens, 0);
      return;
    }
    startForwarding();
  }

  /** Refuses an admitted request that has not been forwarded. */
  private refuse(
    admitted: AdmittedRequest,
    response: CallerResponse,
    reason: RefusalReason,
  ): void {
    response.refuse(reason);
    this.recorder.recordEnd(admitted, {
      outcome: reason,
      upstream: undefined,
      upstreamVersion: undefined,
      attempts: 0,
      mayHaveRun: false,
      deliveredEvents: 0,
      firstByteAt: undefined,
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
