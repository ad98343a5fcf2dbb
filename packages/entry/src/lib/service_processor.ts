/**
 * Requests to plain services. Idempotent requests may be retried at another
 * upstream; others run at most once, which a record in the key-value service
 * ensures.
 */
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

/** What a service processor needs from the rest of the entry. */
export interface ServiceProcessorDependencies {
  clock: Clock;
  /** Id of this run of the entry. */
  holder: string;
  serviceClient: ServiceClient;
  upstreams: UpstreamTask;
  wallet: WalletTask;
  keyValue: KeyValueClient;
  retryBudget: RetryBudget;
  recorder: JobRecorder;
  /** Whether the run of an entry with this holder id is known to be alive. */
  isAlive(holder: string): boolean;
}

/** Maximum number of upstreams that this entry calls for one request. */
const MAX_ATTEMPTS = 3;

/**
 * Maximum time to write the record of an execution before the request is sent,
 * as a fraction of the target latency.
 */
const MAX_RECORD_WAIT_FRACTION = 0.5;

/** Timeout of a call to a service, as a multiple of the target latency. */
const SERVICE_TIMEOUT_FACTOR = 3;

/** Result of a call, and the upstream that was called, if any. */
type AttemptResult = ServiceResult & {upstream: string | undefined};

/** Serves requests to plain services. */
export class ServiceProcessor {
  private readonly admissionQueue: AdmissionQueue;
  /** Executions whose record may still have to be written. */
  private readonly executions = new Set<ExecutionTask>();

  constructor(private readonly dependencies: ServiceProcessorDependencies) {
    this.admissionQueue = new AdmissionQueue(
      UpstreamKind.Service,
      dependencies.upstreams,
    );
  }

  /** Stops the writes of records that are retried in the background. */
  stop(): void {
    this.executions.forEach(execution => execution.stop());
  }

  /** Serves one request; `reply` gets the answer or a refusal. */
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

  /**
   * Reserves the price of a request, if it has one. Returns whether the request
   * may run; if not, the caller has been sent a refusal.
   */
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

  /**
   * Sends the recorded answer of a request that has run before, although no
   * tokens could be reserved for it. If there is none, refuses the request.
   */
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
      // It may have run, so its price stays reserved: it is not charged, but
      // other requests can't spend it either.
      this.dependencies.wallet.withhold(job.id);
      await execution.recordEnd(ExecutionStatus.Unknown);
      this.refuse(job, reply, RefusalCode.OutcomeUnknown);
      return;
    }
    this.dependencies.wallet.release(job.id);
    await execution.recordEnd(ExecutionStatus.NotRun);
    this.refuse(job, reply, RefusalCode.NoUpstream);
  }

  /**
   * Charges a request and sends its recorded answer. The charge may be missing
   * if the entry that ran the request crashed; a second one has no effect.
   */
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

  /**
   * Calls upstreams until one answers. A non-idempotent request that may have
   * run is never sent again. If none answers, returns the last result, or the
   * last one after which the request may have run.
   */
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
      const isAnswered = result.outcome === AttemptOutcome.Answered;
      const mayHaveRun = MAY_HAVE_RUN.has(result.outcome);
      if (isAnswered || mayHaveRun || !MAY_HAVE_RUN.has(lastResult.outcome)) {
        lastResult = result;
      }
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

/** `Replay` is refused only if the record has no answer; `Run` never is. */
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

/** Identifies a request by its account and idempotency key. */
function executionId(job: Job, request: WorkRequest): string {
  return `${job.account.name}/${sha256(request.idempotencyKey ?? '')}`;
}

/** Digest by which the reuse of a key for another request is detected. */
function requestDigest(request: WorkRequest): string {
  const {method, query, body} = request;
  return sha256(`${method} ${query}\n${body.toString('latin1')}`);
}
