/** Serves one request: admission, tokens for it, and its forwarding. */
import {admit, HEAD_BYTES, reservationOf} from './admission.js';
import {ReservationOutcome} from './budget_task.js';
import {ANSWERED, Forwarding} from './forwarding.js';
import {RefusalReason} from './refusal.js';
import type {AdmittedRequest} from './admission.js';
import type {BudgetTask} from './budget_task.js';
import type {CallerAnswer} from './caller_answer.js';
import type {ForwardingEnd} from './forwarding.js';
import type {CallerWork, ReadRequest} from './front_server.js';
import type {RequestRecord} from './request_record.js';
import type {Surroundings} from './surroundings.js';
import type {RouteTable} from '@citrontrestle/decisions';

/** Serves the requests of one instance. */
export class RequestService {
  constructor(
    private readonly around: Surroundings,
    private readonly table: RouteTable,
    private readonly budgets: BudgetTask,
    private readonly record: RequestRecord,
  ) {}

  /** Serves a request that has been read whole. */
  serve(request: ReadRequest, answer: CallerAnswer): CallerWork {
    const {clock, dialect} = this.around;
    const outcome = admit(request, this.table, dialect, clock);
    if (!outcome.ok) {
      answer.refuse(outcome.reason);
      this.record.refused(outcome.reason, outcome.id);
      return {callerLeft: () => undefined};
    }
    return this.serveAdmitted(outcome.request, answer);
  }

  private serveAdmitted(
    admitted: AdmittedRequest,
    answer: CallerAnswer,
  ): CallerWork {
    const work: {left: boolean; forwarding: Forwarding | undefined} = {
      left: false,
      forwarding: undefined,
    };
    const begin = () => {
      const forwarding = new Forwarding(admitted, answer, this.around, end =>
        this.ended(admitted, end),
      );
      work.forwarding = forwarding;
      forwarding.start();
    };
    const {clock, link, suspects} = this.around;
    const now = clock.now();
    link.recordBytes(admitted.body.length + HEAD_BYTES, 0, now);
    if (link.isSaturated(now)) {
      this.refuse(admitted, answer, RefusalReason.MachineBusy);
    } else if (suspects.blocked(admitted.fingerprint)) {
      this.refuse(admitted, answer, RefusalReason.CrashesUpstreams);
    } else if (reservationOf(admitted) === 0) {
      begin();
    } else {
      void this.reserve(admitted, answer, begin, () => work.left);
    }
    return {
      callerLeft: () => {
        work.left = true;
        work.forwarding?.callerLeft();
      },
    };
  }

  private async reserve(
    admitted: AdmittedRequest,
    answer: CallerAnswer,
    begin: () => void,
    left: () => boolean,
  ): Promise<void> {
    const account = admitted.account?.name ?? '';
    const tokens = reservationOf(admitted);
    const outcome = await this.budgets.reserve(account, tokens);
    const {Reserved, Exhausted} = ReservationOutcome;
    if (outcome !== Reserved) {
      const {BudgetExhausted, BudgetUnavailable} = RefusalReason;
      const reason =
        outcome === Exhausted ? BudgetExhausted : BudgetUnavailable;
      if (!left()) {
        this.refuse(admitted, answer, reason);
      }
      return;
    }
    if (left()) {
      this.budgets.settle(account, tokens, 0);
      return;
    }
    begin();
  }

  private refuse(
    admitted: AdmittedRequest,
    answer: CallerAnswer,
    reason: RefusalReason,
  ): void {
    answer.refuse(reason);
    this.record.ended(admitted, {
      outcome: reason,
      upstream: undefined,
      attempts: 0,
      mayHaveRun: false,
      events: 0,
      firstByteAt: undefined,
    });
  }

  private ended(admitted: AdmittedRequest, end: ForwardingEnd): void {
    const reserved = reservationOf(admitted);
    if (reserved > 0) {
      const account = admitted.account?.name ?? '';
      this.budgets.settle(account, reserved, this.record.used(admitted, end));
    }
    if (end.outcome === ANSWERED) {
      this.around.suspects.answered(admitted.fingerprint);
    }
    this.record.ended(admitted, end);
  }
}
