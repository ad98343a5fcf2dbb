/** Admission at one entry: refuses at once what won't meet its target. */
import PQueue from 'p-queue';
import {
  AdmissionDecision,
  AdmissionController,
  slotCount,
  estimatedLoad,
} from '@citrontrestle/decisions';
import {RefusalCode} from '@citrontrestle/caller';
import type {
  Millis,
  RoutingView,
  UpstreamKind,
  WorkClass,
} from '@citrontrestle/decisions';
import type {UpstreamTask} from './upstream_task.js';

/** Places of an entry as a multiple of its part of the slots. */
const SPARE = 1;

/** Longest wait for a place as a part of what is left of the target. */
const WAIT_PART = 0.5;

const ADMISSIONS: Partial<Record<AdmissionDecision, RefusalCode>> = {
  [AdmissionDecision.Overloaded]: RefusalCode.Overloaded,
  [AdmissionDecision.AccountOverShare]: RefusalCode.AccountOverShare,
};

/** A place to run in; call `leave` once when done. */
export interface Place {
  leave(): void;
}

/** What became of a request at the gate. */
export type GateResult =
  {ok: true; place: Place} | {ok: false; code: RefusalCode};

/** Admission for one kind of upstream at one entry. */
export class Gate {
  private readonly queue = new PQueue({concurrency: 1});
  private readonly limits = new AdmissionController();

  constructor(
    private readonly kind: UpstreamKind,
    private readonly upstreams: UpstreamTask,
  ) {}

  /** Admits a request to a place, or refuses it. */
  async enter(account: string, workClass: WorkClass): Promise<GateResult> {
    const view = this.upstreams.view(this.kind, undefined);
    const candidates = this.upstreams.table.candidates(
      this.kind,
      view.now,
      new Set(),
    );
    if (candidates.length === 0) {
      return {ok: false, code: RefusalCode.NoUpstream};
    }
    const slots = candidates.reduce((sum, one) => sum + slotCount(one), 0);
    const load = candidates.reduce(
      (sum, one) => sum + estimatedLoad(one, view),
      0,
    );
    const capacity = Math.ceil((slots * SPARE) / view.instancesPerUpstream);
    this.queue.concurrency = Math.max(1, capacity);
    const target = workClass.firstTokenMs || workClass.wholeMs;
    const expected = this.expected(view, candidates);
    const admission = this.limits.admit({
      account,
      importance: workClass.importance,
      expectedLatency: expected,
      targetLatency: target,
      utilisation: load / slots,
      capacity,
    });
    const code = ADMISSIONS[admission];
    if (code !== undefined) {
      return {ok: false, code};
    }
    const patience = Math.max(1, (target - expected) * WAIT_PART);
    return this.take(account, workClass.importance, patience);
  }

  /** Requests that wait for a place. */
  waiting(): number {
    return this.queue.size;
  }

  private expected(
    view: RoutingView,
    candidates: ReturnType<UpstreamTask['table']['candidates']>,
  ): Millis {
    let best = Infinity;
    for (const candidate of candidates) {
      best = Math.min(
        best,
        this.upstreams.table.expectedFirstTokenTime(candidate, view),
      );
    }
    return best;
  }

  private take(
    account: string,
    priority: number,
    patience: Millis,
  ): Promise<GateResult> {
    return new Promise(resolve => {
      const late = new AbortController();
      const timer = setTimeout(() => {
        late.abort();
      }, patience);
      const run = () =>
        new Promise<void>(leave => {
          clearTimeout(timer);
          this.limits.recordStart(account);
          resolve({ok: true, place: this.place(account, leave)});
        });
      this.queue.add(run, {priority, signal: late.signal}).catch(() => {
        resolve({ok: false, code: RefusalCode.Overloaded});
      });
    });
  }

  private place(account: string, leave: () => void): Place {
    let left = false;
    return {
      leave: () => {
        if (!left) {
          left = true;
          this.limits.recordEnd(account);
          leave();
        }
      },
    };
  }
}
