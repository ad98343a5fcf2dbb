/** Work for plain services: reads are retried, orders run at most once. */
import {
  AttemptOutcome,
  MAY_HAVE_RUN,
  ExecutionStatus,
  ExecutionVerdict,
  UpstreamKind,
} from '@citrontrestle/decisions';
import {RefusalCode} from '@citrontrestle/caller';
import {KeyValueOutcome, executionRecordKey} from '@citrontrestle/platform';
import {randomId, sha256} from '@citrontrestle/runtime';
import {BUDGET_REFUSALS} from './budget_refusals.js';
import {Gate} from './gate.js';
import {JobEnd} from './job.js';
import {OrderTask} from './order_task.js';
import type {Reply, WorkRequest} from '@citrontrestle/caller';
import type {
  Clock,
  Millis,
  ExecutionRecord,
  RecordedAnswer,
  RetryBudget,
} from '@citrontrestle/decisions';
import type {ServiceClient, ServiceResult} from '@citrontrestle/service';
import type {KeyValueClient} from '@citrontrestle/platform';
import type {Job, JobRecord} from './job.js';
import type {UpstreamTask} from './upstream_task.js';
import type {WalletTask} from './wallet_task.js';

/** What service work needs of its surroundings. */
export interface ServiceSurroundings {
  clock: Clock;
  holder: string;
  services: ServiceClient;
  upstreams: UpstreamTask;
  wallet: WalletTask;
  keyValue: KeyValueClient;
  retries: RetryBudget;
  record: JobRecord;
  /** Whether an incarnation of an entry is known to run. */
  isAlive(holder: string): boolean;
}

/** Most calls of one request at this entry. */
const MOST_ATTEMPTS = 3;

/** Longest wait for an order's record, as a part of the target. */
const RECORD_PART = 0.5;

/** Longest wait for a service, as a multiple of the target. */
const SERVICE_PATIENCE = 3;

type Ended = ServiceResult & {upstream: string | undefined};

/** Serves work for plain services. */
export class ServiceWork {
  private readonly gate: Gate;
  private readonly orders = new Set<OrderTask>();

  constructor(private readonly around: ServiceSurroundings) {
    this.gate = new Gate(UpstreamKind.Service, around.upstreams);
  }

  /** Ends what is retried in the background. */
  stop(): void {
    this.orders.forEach(order => order.stop());
  }

  /** Serves one request. */
  async serve(job: Job, request: WorkRequest, reply: Reply): Promise<void> {
    const entered = await this.gate.enter(job.account.name, job.workClass);
    if (!entered.ok) {
      this.refuse(job, reply, entered.code);
      return;
    }
    try {
      const {idempotent} = job.workClass;
      await (idempotent
        ? this.read(job, request, reply)
        : this.order(job, request, reply));
    } finally {
      entered.place.leave();
    }
  }

  private async read(
    job: Job,
    request: WorkRequest,
    reply: Reply,
  ): Promise<void> {
    if (!(await this.reserve(job, reply))) {
      return;
    }
    this.around.retries.recordRequest(job.workClass.name);
    const ended = await this.attempt(job, request, true);
    if (ended.outcome === AttemptOutcome.Answered) {
      await this.settle(job);
      reply.sendServiceAnswer(ended.status, ended.contentType, ended.body);
      this.answered(job, ended.upstream);
      return;
    }
    this.around.wallet.free(job.id);
    const broken = MAY_HAVE_RUN.has(ended.outcome);
    const {NoUpstream, UpstreamFailed} = RefusalCode;
    this.refuse(job, reply, broken ? UpstreamFailed : NoUpstream);
  }

  /** Reserves the price; a request without a price needs none. */
  private async reserve(job: Job, reply: Reply): Promise<boolean> {
    const {priceTokens} = job.workClass;
    if (priceTokens === 0) {
      return true;
    }
    const {wallet} = this.around;
    const {budget} = job.account;
    const refusal = await wallet.reserve(job.id, budget, priceTokens);
    if (refusal === undefined) {
      return true;
    }
    this.refuse(job, reply, BUDGET_REFUSALS[refusal]);
    return false;
  }

  private async settle(job: Job): Promise<void> {
    const {priceTokens} = job.workClass;
    if (priceTokens > 0) {
      const {wallet} = this.around;
      await wallet.settle(job.id, job.digest, priceTokens, job.begun);
    }
  }

  private async order(
    job: Job,
    request: WorkRequest,
    reply: Reply,
  ): Promise<void> {
    const {priceTokens} = job.workClass;
    const refusal =
      priceTokens === 0
        ? undefined
        : await this.around.wallet.reserve(
            job.id,
            job.account.budget,
            priceTokens,
          );
    if (refusal !== undefined) {
      await this.recall(job, request, reply, BUDGET_REFUSALS[refusal]);
      return;
    }
    const task = this.orderTask(job, request);
    const patience = job.workClass.wholeMs * RECORD_PART;
    const {verdict, answer} = await task.begin(patience);
    if (verdict === ExecutionVerdict.Run) {
      await this.runOrder(job, request, reply, task);
    } else if (verdict === ExecutionVerdict.Replay && answer !== undefined) {
      await this.replay(job, reply, answer);
    } else {
      this.around.wallet.free(job.id);
      this.refuse(job, reply, VERDICTS[verdict]);
    }
  }

  /** A recorded answer is replayed also when the budget is used up. */
  private async recall(
    job: Job,
    request: WorkRequest,
    reply: Reply,
    code: RefusalCode,
  ): Promise<void> {
    const key = executionRecordKey(orderDigest(job, request));
    const result = await this.around.keyValue.read(key);
    const found = result.outcome === KeyValueOutcome.Found;
    const record = found ? (result.value as ExecutionRecord) : undefined;
    const same = record?.body === bodyDigest(request);
    if (!same || record.answer === undefined) {
      this.refuse(job, reply, code);
      return;
    }
    this.sendRecorded(job, reply, record.answer);
  }

  private orderTask(job: Job, request: WorkRequest): OrderTask {
    const {holder, keyValue} = this.around;
    const task: OrderTask = new OrderTask(
      orderDigest(job, request),
      {
        nonce: randomId(),
        holder,
        bodyDigest: bodyDigest(request),
        startedAt: job.begun,
        isAlive: id => id === holder || this.around.isAlive(id),
      },
      keyValue,
      () => this.orders.delete(task),
    );
    this.orders.add(task);
    return task;
  }

  private async runOrder(
    job: Job,
    request: WorkRequest,
    reply: Reply,
    task: OrderTask,
  ): Promise<void> {
    const ended = await this.attempt(job, request, false);
    if (ended.outcome === AttemptOutcome.Answered) {
      const answer = recordOf(ended);
      const stands = task.end(ExecutionStatus.Done, answer);
      await Promise.all([stands, this.settle(job)]);
      reply.sendServiceAnswer(ended.status, ended.contentType, ended.body);
      this.answered(job, ended.upstream);
      return;
    }
    if (MAY_HAVE_RUN.has(ended.outcome)) {
      // It may have run: the price stays out of use until it is known.
      this.around.wallet.withhold(job.id);
      await task.end(ExecutionStatus.Unknown);
      this.refuse(job, reply, RefusalCode.OutcomeUnknown);
      return;
    }
    this.around.wallet.free(job.id);
    await task.end(ExecutionStatus.NotRun);
    this.refuse(job, reply, RefusalCode.NoUpstream);
  }

  /** The bill of a recorded answer is idempotent, so it is made sure of. */
  private async replay(
    job: Job,
    reply: Reply,
    answer: RecordedAnswer,
  ): Promise<void> {
    await this.settle(job);
    this.sendRecorded(job, reply, answer);
  }

  private sendRecorded(job: Job, reply: Reply, answer: RecordedAnswer): void {
    const body = Buffer.from(answer.body, 'base64');
    reply.sendServiceAnswer(answer.status, answer.contentType, body);
    this.answered(job, undefined);
  }

  /** Calls upstreams until one answers; a sent order is never sent again. */
  private async attempt(
    job: Job,
    request: WorkRequest,
    again: boolean,
  ): Promise<Ended> {
    const tried = new Set<string>();
    let ended: Ended = {
      outcome: AttemptOutcome.Refused,
      reason: 'no upstream',
      upstream: undefined,
    };
    for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
      const result = await this.call(job, request, tried);
      if (result === undefined) {
        break;
      }
      ended = result;
      const done = result.outcome === AttemptOutcome.Answered;
      const broken = MAY_HAVE_RUN.has(result.outcome);
      const allowed = again && this.around.retries.tryTake(job.workClass.name);
      if (done || (broken && !allowed)) {
        break;
      }
    }
    return ended;
  }

  private async call(
    job: Job,
    request: WorkRequest,
    tried: Set<string>,
  ): Promise<Ended | undefined> {
    const {upstreams, services, clock} = this.around;
    const view = upstreams.view(UpstreamKind.Service, undefined);
    const {table} = upstreams;
    const upstream = table.choose(UpstreamKind.Service, view, tried);
    if (upstream === undefined) {
      return undefined;
    }
    const {id, address} = upstream;
    tried.add(id);
    const begun = clock.now();
    table.recordStart(id);
    const result = await services.call({
      address,
      id: job.id,
      method: request.method,
      path: `${job.workClass.path}${request.query}`,
      contentType: request.contentType,
      body: request.body.length > 0 ? request.body : undefined,
      timeout: job.workClass.wholeMs * SERVICE_PATIENCE,
    });
    const now = clock.now();
    table.recordFirstToken(id, now - begun);
    table.recordEnd(id, result.outcome, now - begun, now);
    if (result.outcome === AttemptOutcome.Leaving) {
      upstreams.leaves(id);
    }
    return {...result, upstream: id};
  }

  private answered(job: Job, upstream: string | undefined): void {
    const tokens = job.workClass.priceTokens;
    const now: Millis = this.around.clock.now();
    this.around.record.ended(job, JobEnd.Answered, now, {upstream, tokens});
  }

  private refuse(job: Job, reply: Reply, code: RefusalCode): void {
    reply.refuse(code);
    this.around.record.ended(job, code, this.around.clock.now());
  }
}

const VERDICTS: Record<ExecutionVerdict, RefusalCode> = {
  [ExecutionVerdict.Run]: RefusalCode.OutcomeUnknown,
  [ExecutionVerdict.Replay]: RefusalCode.OutcomeUnknown,
  [ExecutionVerdict.InProgress]: RefusalCode.InProgress,
  [ExecutionVerdict.OutcomeUnknown]: RefusalCode.OutcomeUnknown,
  [ExecutionVerdict.NotRun]: RefusalCode.RecordUnavailable,
  [ExecutionVerdict.KeyReused]: RefusalCode.IdempotencyKeyReused,
};

function recordOf(
  ended: Extract<ServiceResult, {outcome: AttemptOutcome.Answered}>,
): RecordedAnswer {
  const {status, contentType, body} = ended;
  return {status, contentType, body: body.toString('base64')};
}

/** Identifies an order by its account and idempotency key. */
function orderDigest(job: Job, request: WorkRequest): string {
  return `${job.account.name}/${sha256(request.idempotencyKey ?? '')}`;
}

function bodyDigest(request: WorkRequest): string {
  const {method, query, body} = request;
  return sha256(`${method} ${query}\n${body.toString('latin1')}`);
}
