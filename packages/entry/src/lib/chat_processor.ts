/**
 * Chat requests to model engines: admission, reservation of tokens, attempts at
 * engines, streaming of the text to the callers, and the charge.
 */
import {
  AttemptOutcome,
  MAY_HAVE_RUN,
  UpstreamKind,
} from '@citrontrestle/decisions';
import {RefusalCode} from '@citrontrestle/caller';
import {shortDigest} from '@citrontrestle/runtime';
import {AdmissionQueue} from './admission_queue.js';
import {JobOutcome} from './job.js';
import {SharedCompletion} from './shared_completion.js';
import {BUDGET_REFUSAL_CODES} from './budget_refusal_codes.js';
import type {
  CompletionResult,
  EngineClient,
  TokenUsage,
} from '@citrontrestle/engine';
import type {ChatRequest, Reply} from '@citrontrestle/caller';
import type {
  Clock,
  Millis,
  RetryBudget,
  SuspectRequests,
  UpstreamState,
} from '@citrontrestle/decisions';
import type {Job, JobRecorder} from './job.js';
import type {UpstreamTask} from './upstream_task.js';
import type {WalletTask} from './wallet_task.js';

/** What a chat processor needs from the rest of the entry. */
export interface ChatProcessorDependencies {
  clock: Clock;
  engineClient: EngineClient;
  upstreams: UpstreamTask;
  wallet: WalletTask;
  retryBudget: RetryBudget;
  suspectRequests: SuspectRequests;
  recorder: JobRecorder;
  /** Tells the peers that an upstream failed while it ran a request. */
  reportUpstreamFailure(fingerprint: string, upstream: string): void;
}

/** Minimum number of prompt bytes per token, on average over a message. */
const MIN_PROMPT_BYTES_PER_TOKEN = 3;

/** Maximum number of tokens that an engine adds to each message. */
const MAX_TOKENS_ADDED_PER_MESSAGE = 4;

/** Approximate number of generated characters per token. */
const OUTPUT_CHARACTERS_PER_TOKEN = 4;

/**
 * Length of the prefix of the first message by which requests are routed to an
 * engine that may have the prefix in its cache.
 */
const PREFIX_CHARACTERS = 256;

/** Maximum number of engines that this entry tries for one request. */
const MAX_ATTEMPTS = 3;

/** Maximum time without data from an engine before an attempt fails. */
const ENGINE_IDLE_TIMEOUT: Millis = 30_000;

/** Returns an upper bound of the number of tokens of a prompt. */
export function maxPromptTokens(messages: {content: string}[]): number {
  let tokens = 0;
  for (const message of messages) {
    const bytes = Buffer.byteLength(message.content);
    tokens +=
      Math.ceil(bytes / MIN_PROMPT_BYTES_PER_TOKEN) +
      MAX_TOKENS_ADDED_PER_MESSAGE;
  }
  return tokens;
}

/** Serves chat requests. */
export class ChatProcessor {
  private readonly admissionQueue: AdmissionQueue;
  /** Completions in progress, by the digest of their requests. */
  private readonly completionsByDigest = new Map<string, SharedCompletion>();

  constructor(private readonly dependencies: ChatProcessorDependencies) {
    this.admissionQueue = new AdmissionQueue(
      UpstreamKind.Engine,
      dependencies.upstreams,
    );
  }

  /** Number of requests that wait for a slot. */
  waitingCount(): number {
    return this.admissionQueue.waitingCount();
  }

  /**
   * Serves one request. If a request with the same digest is already running,
   * the caller receives the text of that one, and nothing else is run. One that
   * all its callers have left is being cancelled and can't be joined.
   */
  async serve(job: Job, request: ChatRequest, reply: Reply): Promise<void> {
    const existing = this.completionsByDigest.get(job.digest);
    if (existing !== undefined && !existing.signal.aborted) {
      existing.addCaller(reply, request.signal);
      return;
    }
    const completion = new SharedCompletion();
    completion.addCaller(reply, request.signal);
    this.completionsByDigest.set(job.digest, completion);
    try {
      await this.admit(job, request, completion);
    } finally {
      if (this.completionsByDigest.get(job.digest) === completion) {
        this.completionsByDigest.delete(job.digest);
      }
    }
  }

  private async admit(
    job: Job,
    request: ChatRequest,
    completion: SharedCompletion,
  ): Promise<void> {
    const fingerprint = fingerprintOf(request);
    if (
      this.dependencies.suspectRequests.isBlocked(fingerprint, job.startedAt)
    ) {
      this.refuse(job, completion, RefusalCode.CrashesUpstreams);
      return;
    }
    const admission = await this.admissionQueue.admit(
      job.account.name,
      job.workClass,
    );
    if (!admission.ok) {
      this.refuse(job, completion, admission.code);
      return;
    }
    try {
      await this.reserveTokens(job, request, completion, fingerprint);
    } finally {
      admission.slot.release();
    }
  }

  private async reserveTokens(
    job: Job,
    request: ChatRequest,
    completion: SharedCompletion,
    fingerprint: string,
  ): Promise<void> {
    const {wallet} = this.dependencies;
    const maxClassTokens = job.workClass.priceTokens;
    const maxOutputTokens = Math.min(
      request.maxTokens ?? maxClassTokens,
      maxClassTokens,
    );
    const tokens = maxPromptTokens(request.messages) + maxOutputTokens;
    const refusal = await wallet.reserve(job.id, job.account.budget, tokens);
    if (refusal !== undefined) {
      this.refuse(job, completion, BUDGET_REFUSAL_CODES[refusal]);
      return;
    }
    this.dependencies.retryBudget.recordRequest(job.workClass.name);
    await this.runAttempts(
      job,
      request,
      completion,
      fingerprint,
      maxOutputTokens,
    );
  }

  private async runAttempts(
    job: Job,
    request: ChatRequest,
    completion: SharedCompletion,
    fingerprint: string,
    maxOutputTokens: number,
  ): Promise<void> {
    let code = RefusalCode.NoUpstream;
    const tried = new Set<string>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const upstream = this.chooseUpstream(request, fingerprint, tried);
      if (upstream === undefined) {
        break;
      }
      tried.add(upstream.id);
      const result = await this.runAttempt(
        job,
        request,
        completion,
        fingerprint,
        upstream,
        maxOutputTokens,
      );
      if (result.outcome === AttemptOutcome.Answered) {
        await this.chargeAndFinish(job, completion, result.usage, upstream.id);
        return;
      }
      if (result.outcome === AttemptOutcome.Cancelled) {
        this.finishAbandoned(job, request, completion, upstream.id);
        return;
      }
      code = this.refusalCodeAfter(result.outcome, code);
      if (!this.mayRetry(job, completion, fingerprint, result.outcome)) {
        break;
      }
    }
    this.dependencies.wallet.release(job.id);
    const isBlocked = this.dependencies.suspectRequests.isBlocked(
      fingerprint,
      this.dependencies.clock.now(),
    );
    this.refuse(
      job,
      completion,
      isBlocked ? RefusalCode.CrashesUpstreams : code,
    );
  }

  /** Code to refuse the request with if no further attempt succeeds. */
  private refusalCodeAfter(
    outcome: AttemptOutcome,
    previousCode: RefusalCode,
  ): RefusalCode {
    return MAY_HAVE_RUN.has(outcome)
      ? RefusalCode.UpstreamFailed
      : previousCode;
  }

  /**
   * Whether to try another engine after a failed attempt. Never after callers
   * have received text; within the retry budget if the attempt may have run.
   */
  private mayRetry(
    job: Job,
    completion: SharedCompletion,
    fingerprint: string,
    outcome: AttemptOutcome,
  ): boolean {
    const {suspectRequests, retryBudget, clock} = this.dependencies;
    if (
      completion.hasText() ||
      suspectRequests.isBlocked(fingerprint, clock.now())
    ) {
      return false;
    }
    return (
      !MAY_HAVE_RUN.has(outcome) || retryBudget.tryTake(job.workClass.name)
    );
  }

  private chooseUpstream(
    request: ChatRequest,
    fingerprint: string,
    tried: ReadonlySet<string>,
  ): UpstreamState | undefined {
    const {upstreams, suspectRequests, clock} = this.dependencies;
    const firstContent = request.messages[0]?.content ?? '';
    const prefix = shortDigest(firstContent.slice(0, PREFIX_CHARACTERS));
    const upstreamsToAvoid = suspectRequests.upstreamsToAvoid(
      fingerprint,
      clock.now(),
    );
    const excluded = new Set([...tried, ...upstreamsToAvoid]);
    const view = upstreams.routingView(UpstreamKind.Engine, prefix);
    const upstream = upstreams.table.choose(
      UpstreamKind.Engine,
      view,
      excluded,
    );
    if (upstream !== undefined) {
      upstreams.table.recordPrefix(prefix, upstream.id);
    }
    return upstream;
  }

  private async runAttempt(
    job: Job,
    request: ChatRequest,
    completion: SharedCompletion,
    fingerprint: string,
    upstream: UpstreamState,
    maxOutputTokens: number,
  ): Promise<CompletionResult> {
    const {clock, engineClient, upstreams, suspectRequests} = this.dependencies;
    const startedAt = clock.now();
    const hadText = completion.hasText();
    upstreams.table.recordStart(upstream.id);
    suspectRequests.recordStart(fingerprint, upstream.id, startedAt);
    const result = await engineClient.complete({
      address: upstream.address,
      id: job.id,
      messages: request.messages,
      maxTokens: maxOutputTokens,
      priority: job.workClass.importance,
      idleTimeout: ENGINE_IDLE_TIMEOUT,
      signal: completion.signal,
      onText: text => {
        if (!hadText && !completion.hasText()) {
          const now = clock.now();
          upstreams.table.recordFirstToken(upstream.id, now - startedAt);
          this.dependencies.recorder.recordFirstToken(job, now);
        }
        return completion.appendText(text);
      },
    });
    const now = clock.now();
    upstreams.table.recordEnd(
      upstream.id,
      result.outcome,
      now - startedAt,
      now,
    );
    suspectRequests.recordEnd(fingerprint, upstream.id);
    this.recordOutcome(fingerprint, upstream.id, result.outcome, now);
    return result;
  }

  private recordOutcome(
    fingerprint: string,
    upstream: string,
    outcome: AttemptOutcome,
    now: Millis,
  ): void {
    const {suspectRequests, upstreams} = this.dependencies;
    if (outcome === AttemptOutcome.Answered) {
      suspectRequests.recordAnswer(fingerprint);
    } else if (outcome === AttemptOutcome.Broken) {
      suspectRequests.recordFailure(fingerprint, upstream, now);
      this.dependencies.reportUpstreamFailure(fingerprint, upstream);
    } else if (outcome === AttemptOutcome.Leaving) {
      upstreams.markLeaving(upstream);
    }
  }

  /**
   * Charges the request, then sends the end of the answer, so that a crash of
   * this entry can't leave a complete answer uncharged. The wallet limits the
   * time that a charge may take.
   */
  private async chargeAndFinish(
    job: Job,
    completion: SharedCompletion,
    usage: TokenUsage,
    upstream: string,
  ): Promise<void> {
    const {wallet, recorder, clock} = this.dependencies;
    const tokens = usage.promptTokens + usage.outputTokens;
    await wallet.charge(job.id, job.digest, tokens, job.startedAt);
    completion.finish({
      prompt_tokens: usage.promptTokens,
      completion_tokens: usage.outputTokens,
      total_tokens: tokens,
    });
    const details = {upstream, tokens};
    recorder.recordEnd(job, JobOutcome.Answered, clock.now(), details);
  }

  /**
   * Ends a request whose callers have all disconnected. If any text was
   * generated, the prompt and the text so far are charged. Their tokens are
   * estimated, because the engine reports its usage only at the end.
   */
  private finishAbandoned(
    job: Job,
    request: ChatRequest,
    completion: SharedCompletion,
    upstream: string,
  ): void {
    const {wallet, recorder, clock} = this.dependencies;
    const outputTokens = completion.text().length / OUTPUT_CHARACTERS_PER_TOKEN;
    const tokens = maxPromptTokens(request.messages) + Math.ceil(outputTokens);
    if (completion.hasText()) {
      void wallet.charge(job.id, job.digest, tokens, job.startedAt);
    } else {
      wallet.release(job.id);
    }
    recorder.recordEnd(job, JobOutcome.Abandoned, clock.now(), {upstream});
  }

  private refuse(
    job: Job,
    completion: SharedCompletion,
    code: RefusalCode,
  ): void {
    completion.refuse(code);
    this.dependencies.recorder.recordEnd(
      job,
      code,
      this.dependencies.clock.now(),
    );
  }
}

/** Identifies a request by its model and messages, as an engine sees them. */
function fingerprintOf(request: ChatRequest): string {
  return shortDigest(request.model, JSON.stringify(request.messages));
}
