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
import {BUDGET_REFUSAL_CODES} from './budget_refusal_codes.js';
import {AdmissionQueue} from './admission_queue.js';
import {JobOutcome} from './job.js';
import {ExecutionTask} from './execution_task.js';
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
import type {Job, JobRecorder} from './job.js';
import type {UpstreamTask} from './upstream_task.js';
import type {WalletTask} from './wallet_task.js';

/** What service work needs of its surroundings. */
export interface ServiceProcessorDependencies {
  clock: Clock;
  holder: string;
  serviceClient: ServiceClient;
  upstreams: UpstreamTask;
  wallet: WalletTask;
  keyValue: KeyValueClient;
  retryBudget: RetryBudget;
  recorder: JobRecorder;
  /** Whether an incarnation of an entry is known to run. */
  isAlive(holder: string): boolean;
}

/** Most calls of one request at this entry. */
const MAX_ATTEMPTS = 3;

/** Longest wait for an order's record, as a part of the target. */
const MAX_RECORD_WAIT_FRACTION = 0.5;

/** Longest wait for a service, as a multiple of the target. */
const SERVICE_TIMEOUT_FACTOR = 3;

type AttemptResult = ServiceResult & {upstream: string | undefined};

/** Serves work for plain services. */
export class ServiceProcessor {
  private readonly admissionQueue: AdmissionQueue;
  private readonly executions = new Set<ExecutionTask>();

  constructor(private readonly dependencies: ServiceProcessorDependencies) {
    this.admissionQueue = new AdmissionQueue(
      UpstreamKind.Service,
      dependencies.upstreams,
    );
  }

  /** Ends what is retried in the background. */
  stop(): void {
    this.executions.forEach(execution => execution.stop());
  }

  /** Serves one request. */
  async serve(job: Job, request: WorkRequest, reply: Reply): Promise<void> {
    const admission = await this.admissionQueue.admit(
      job.account.name,
      job.workClass,
    );
    if (!admission.ok) {
      this.refuse(job, reply, admission.code);
      return;
    }
    try {
      const {idempotent} = job.workClass;
      await (idempotent
        ? this.serveIdempotent(job, request, reply)
        : this.serveNonIdempotent(job, request, reply));
    } finally {
      admission.slot.release();
    }
  }

  private async serveIdempotent(
    job: Job,
    request: WorkRequest,
    reply: Reply,
  ): Promise<void> {
    if (!(await this.reservePrice(job, reply))) {
      return;
    }
    this.dependencies.retryBudget.recordRequest(job.workClass.name);
    const result = await this.callUpstreams(job, request, true);
    if (result.outcome === AttemptOutcome.Answered) {
      await this.chargePrice(job);
      reply.sendServiceAnswer(result.status, result.contentType, result.body);
      this.recordAnswered(job, result.upstream);
      return;
    }
    this.dependencies.wallet.release(job.id);
    const mayHaveRun = MAY_HAVE_RUN.has(result.outcome);
    const {NoUpstream, UpstreamFailed} = RefusalCode;
    this.refuse(job, reply, mayHaveRun ? UpstreamFailed : NoUpstream);
  }

  /** Reserves the price; a request without a price needs none. */
  private async reservePrice(job: Job, reply: Reply): Promise<boolean> {
    const {priceTokens} = job.workClass;
    if (priceTokens === 0) {
      return true;
    }
    const {wallet} = this.dependencies;
    const {budget} = job.account;
    const refusal = await wallet.reserve(job.id, budget, priceTokens);
    if (refusal === undefined) {
      return true;
    }
    this.refuse(job, reply, BUDGET_REFUSAL_CODES[refusal]);
    return false;
  }

  private async chargePrice(job: Job): Promise<void> {
    const {priceTokens} = job.workClass;
    if (priceTokens > 0) {
      const {wallet} = this.dependencies;
      await wallet.charge(job.id, job.digest, priceTokens, job.startedAt);
    }
  }

  private async serveNonIdempotent(
    job: Job,
    request: WorkRequest,
    reply: Reply,
  ): Promise<void> {
    const {priceTokens} = job.workClass;
    const refusal =
      priceTokens === 0
        ? undefined
        : await this.dependencies.wallet.reserve(
            job.id,
            job.account.budget,
            priceTokens,
          );
    if (refusal !== undefined) {
      await this.replayRecordOrRefuse(
        job,
        request,
        reply,
        BUDGET_REFUSAL_CODES[refusal],
      );
      return;
    }
    const execution = this.createExecution(job, request);
    const maxWait = job.workClass.wholeMs * MAX_RECORD_WAIT_FRACTION;
    const {verdict, answer} = await execution.start(maxWait);
    if (verdict === ExecutionVerdict.Run) {
      await this.runExecution(job, request, reply, execution);
    } else if (verdict === ExecutionVerdict.Replay && answer !== undefined) {
      await this.chargeAndReplay(job, reply, answer);
    } else {
      this.dependencies.wallet.release(job.id);
      this.refuse(job, reply, VERDICT_REFUSAL_CODES[verdict]);
    }
  }

  /** A recorded answer is replayed also when the budget is used up. */
  private async replayRecordOrRefuse(
    job: Job,
    request: WorkRequest,
    reply: Reply,
    code: RefusalCode,
  ): Promise<void> {
    const key = executionRecordKey(executionId(job, request));
    const result = await this.dependencies.keyValue.read(key);
    const isFound = result.outcome === KeyValueOutcome.Found;
    const record = isFound ? (result.value as ExecutionRecord) : undefined;
    const hasSameBody = record?.body === requestDigest(request);
    if (!hasSameBody || record.answer === undefined) {
      this.refuse(job, reply, code);
      return;
    }
    this.sendRecordedAnswer(job, reply, record.answer);
  }

  private createExecution(job: Job, request: WorkRequest): ExecutionTask {
    const {holder, keyValue} = this.dependencies;
    const execution: ExecutionTask = new ExecutionTask(
      executionId(job, request),
      {
        nonce: randomId(),
        holder,
        bodyDigest: requestDigest(request),
        startedAt: job.startedAt,
        isAlive: id => id === holder || this.dependencies.isAlive(id),
      },
      keyValue,
      () => this.executions.delete(execution),
    );
    this.executions.add(execution);
    return execution;
  }

  private async runExecution(
    job: Job,
    request: WorkRequest,
    reply: Reply,
    execution: ExecutionTask,
  ): Promise<void> {
    const result = await this.callUpstreams(job, request, false);
    if (result.outcome === AttemptOutcome.Answered) {
      const answer = toRecordedAnswer(result);
      const recorded = execution.recordEnd(ExecutionStatus.Done, answer);
      await Promise.all([recorded, this.chargePrice(job)]);
      reply.sendServiceAnswer(result.status, result.contentType, result.body);
      this.recordAnswered(job, result.upstream);
      return;
    }
    if (MAY_HAVE_RUN.has(result.outcome)) {
      // It may have run: the price stays out of use until it is known.
      this.dependencies.wallet.withhold(job.id);
      await execution.recordEnd(ExecutionStatus.Unknown);
      this.refuse(job, reply, RefusalCode.OutcomeUnknown);
      return;
    }
    this.dependencies.wallet.release(job.id);
    await execution.recordEnd(ExecutionStatus.NotRun);
    this.refuse(job, reply, RefusalCode.NoUpstream);
  }

  /** The bill of a recorded answer is idempotent, so it is made sure of. */
  private async chargeAndReplay(
    job: Job,
    reply: Reply,
    answer: RecordedAnswer,
  ): Promise<void> {
    await this.chargePrice(job);
    this.sendRecordedAnswer(job, reply, answer);
  }

  private sendRecordedAnswer(
    job: Job,
    reply: Reply,
    answer: RecordedAnswer,
  ): void {
    const body = Buffer.from(answer.body, 'base64');
    reply.sendServiceAnswer(answer.status, answer.contentType, body);
    this.recordAnswered(job, undefined);
  }

  /** Calls upstreams until one answers; a sent order is never sent again. */
  private async callUpstreams(
    job: Job,
    request: WorkRequest,
    isIdempotent: boolean,
  ): Promise<AttemptResult> {
    const tried = new Set<string>();
    let lastResult: AttemptResult = {
      outcome: AttemptOutcome.Refused,
      reason: 'no upstream',
      upstream: undefined,
    };
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const result = await this.callUpstream(job, request, tried);
      if (result === undefined) {
        break;
      }
      lastResult = result;
      const isAnswered = result.outcome === AttemptOutcome.Answered;
      const mayHaveRun = MAY_HAVE_RUN.has(result.outcome);
      const mayRepeat =
        isIdempotent &&
        this.dependencies.retryBudget.tryTake(job.workClass.name);
      if (isAnswered || (mayHaveRun && !mayRepeat)) {
        break;
      }
    }
    return lastResult;
  }

  private async callUpstream(
    job: Job,
    request: WorkRequest,
    tried: Set<string>,
  ): Promise<AttemptResult | undefined> {
    const {upstreams, serviceClient, clock} = this.dependencies;
    const view = upstreams.routingView(UpstreamKind.Service, undefined);
    const {table} = upstreams;
    const upstream = table.choose(UpstreamKind.Service, view, tried);
    if (upstream === undefined) {
      return undefined;
    }
    const {id, address} = upstream;
    tried.add(id);
    const startedAt = clock.now();
    table.recordStart(id);
    const result = await serviceClient.call({
      address,
      id: job.id,
      method: request.method,
      path: `${job.workClass.path}${request.query}`,
      contentType: request.contentType,
      body: request.body.length > 0 ? request.body : undefined,
      timeout: job.workClass.wholeMs * SERVICE_TIMEOUT_FACTOR,
    });
    const now = clock.now();
    table.recordFirstToken(id, now - startedAt);
    table.recordEnd(id, result.outcome, now - startedAt, now);
    if (result.outcome === AttemptOutcome.Leaving) {
      upstreams.markLeaving(id);
    }
    return {...result, upstream: id};
  }

  private recordAnswered(job: Job, upstream: string | undefined): void {
    const tokens = job.workClass.priceTokens;
    const now: Millis = this.dependencies.clock.now();
    this.dependencies.recorder.recordEnd(job, JobOutcome.Answered, now, {
      upstream,
      tokens,
    });
  }

  private refuse(job: Job, reply: Reply, code: RefusalCode): void {
    reply.refuse(code);
    this.dependencies.recorder.recordEnd(
      job,
      code,
      this.dependencies.clock.now(),
    );
  }
}

const VERDICT_REFUSAL_CODES: Record<ExecutionVerdict, RefusalCode> = {
  [ExecutionVerdict.Run]: RefusalCode.OutcomeUnknown,
  [ExecutionVerdict.Replay]: RefusalCode.OutcomeUnknown,
  [ExecutionVerdict.InProgress]: RefusalCode.InProgress,
  [ExecutionVerdict.OutcomeUnknown]: RefusalCode.OutcomeUnknown,
  [ExecutionVerdict.NotRun]: RefusalCode.RecordUnavailable,
  [ExecutionVerdict.KeyReused]: RefusalCode.IdempotencyKeyReused,
};

function toRecordedAnswer(
  result: Extract<ServiceResult, {outcome: AttemptOutcome.Answered}>,
): RecordedAnswer {
  const {status, contentType, body} = result;
  return {status, contentType, body: body.toString('base64')};
}

/** Identifies an order by its account and idempotency key. */
function executionId(job: Job, request: WorkRequest): string {
  return `${job.account.name}/${sha256(request.idempotencyKey ?? '')}`;
}

function requestDigest(request: WorkRequest): string {
  const {method, query, body} = request;
  return sha256(`${method} ${query}\n${body.toString('latin1')}`);
}
