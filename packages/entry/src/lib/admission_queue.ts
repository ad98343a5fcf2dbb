/**
 * Admission of requests at one entry. A request that is not expected to meet
 * its target latency is refused at once; others wait for a free slot.
 */
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

/**
 * Requests that this entry may run at once, as a multiple of its share of the
 * slots of all usable upstreams.
 */
const CAPACITY_FACTOR = 1;

/**
 * Maximum wait for a slot, as a fraction of the difference between target and
 * expected latency.
 */
const MAX_WAIT_FRACTION = 0.5;

/** Code that callers receive for each decision against a request. */
const REFUSAL_CODES: Partial<Record<AdmissionDecision, RefusalCode>> = {
  [AdmissionDecision.Overloaded]: RefusalCode.Overloaded,
  [AdmissionDecision.AccountOverShare]: RefusalCode.AccountOverShare,
};

/** Permission to run one request; must be released when the request ends. */
export interface RequestSlot {
  /** Frees the slot; further calls have no effect. */
  release(): void;
}

/** The slot of an admitted request, or why it was refused. */
export type AdmissionResult =
  {ok: true; slot: RequestSlot} | {ok: false; code: RefusalCode};

/**
 * Requests for one kind of upstream that wait for a slot at this entry. The
 * most important get the next free slot.
 */
export class AdmissionQueue {
  private readonly queue = new PQueue({concurrency: 1});
  private readonly controller = new AdmissionController();

  constructor(
    private readonly kind: UpstreamKind,
    private readonly upstreams: UpstreamTask,
  ) {}

  /**
   * Waits for a slot. Refuses the request at once if no upstream is usable, the
   * load is too high, its account has its share already, or its target latency
   * is out of reach; refuses it later if no slot becomes free in time.
   */
  async admit(account: string, workClass: WorkClass): Promise<AdmissionResult> {
    const view = this.upstreams.routingView(this.kind, undefined);
    const candidates = this.upstreams.table.candidates(
      this.kind,
      view.now,
      new Set(),
    );
    if (candidates.length === 0) {
      return {ok: false, code: RefusalCode.NoUpstream};
    }
    const totalSlots = candidates.reduce(
      (sum, candidate) => sum + slotCount(candidate),
      0,
    );
    const totalLoad = candidates.reduce(
      (sum, candidate) => sum + estimatedLoad(candidate, view),
      0,
    );
    const capacity = Math.ceil(
      (totalSlots * CAPACITY_FACTOR) / view.instancesPerUpstream,
    );
    this.queue.concurrency = Math.max(1, capacity);
    // Classes without a target for the first token use that for the answer.
    const targetLatency = workClass.firstTokenMs || workClass.wholeMs;
    const expectedLatency = this.minExpectedLatency(view, candidates);
    const decision = this.controller.decide({
      account,
      importance: workClass.importance,
      expectedLatency,
      targetLatency,
      utilisation: totalLoad / totalSlots,
      capacity,
    });
    const code = REFUSAL_CODES[decision];
    if (code !== undefined) {
      return {ok: false, code};
    }
    const maxWait = Math.max(
      1,
      (targetLatency - expectedLatency) * MAX_WAIT_FRACTION,
    );
    return this.waitForSlot(account, workClass.importance, maxWait);
  }

  /** Number of requests that wait for a slot. */
  waitingCount(): number {
    return this.queue.size;
  }

  /** Expected time to the first token at the fastest of some upstreams. */
  private minExpectedLatency(
    view: RoutingView,
    candidates: ReturnType<UpstreamTask['table']['candidates']>,
  ): Millis {
    let minLatency = Infinity;
    for (const candidate of candidates) {
      minLatency = Math.min(
        minLatency,
        this.upstreams.table.estimatedFirstTokenTime(candidate, view),
      );
    }
    return minLatency;
  }

  private waitForSlot(
    account: string,
    priority: number,
    maxWait: Millis,
  ): Promise<AdmissionResult> {
    return new Promise(resolve => {
      const timeoutController = new AbortController();
      const timer = setTimeout(() => {
        timeoutController.abort();
      }, maxWait);
      const holdSlot = () =>
        new Promise<void>(release => {
          clearTimeout(timer);
          this.controller.recordStart(account);
          resolve({ok: true, slot: this.createSlot(account, release)});
        });
      this.queue
        .add(holdSlot, {priority, signal: timeoutController.signal})
        .catch(() => {
          resolve({ok: false, code: RefusalCode.Overloaded});
        });
    });
  }

  private createSlot(account: string, onRelease: () => void): RequestSlot {
    let isReleased = false;
    return {
      release: () => {
        if (!isReleased) {
          isReleased = true;
          this.controller.recordEnd(account);
          onRelease();
        }
      },
    };
  }
}
