/** Engine work: admit, reserve, run, stream, bill. */
import {
  AttemptOutcome,
  MAY_HAVE_RUN,
  UpstreamKind,
} from '@citrontrestle/decisions';
import {RefusalCode} from '@citrontrestle/caller';
import {shortDigest} from '@citrontrestle/runtime';
import {Gate} from './gate.js';
import {JobEnd} from './job.js';
import {ModelRun} from './model_run.js';
import {BUDGET_REFUSALS} from './budget_refusals.js';
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
import type {Job, JobRecord} from './job.js';
import type {UpstreamTask} from './upstream_task.js';
import type {WalletTask} from './wallet_task.js';

/** What engine work needs of its surroundings. */
export interface ModelSurroundings {
  clock: Clock;
  engines: EngineClient;
  upstreams: UpstreamTask;
  wallet: WalletTask;
  retries: RetryBudget;
  suspects: SuspectRequests;
  record: JobRecord;
  /** Tells the peers that an upstream failed under a request. */
  suspect(fingerprint: string, upstream: string): void;
}

/** Bytes of a prompt that make at least one token. */
const TOKEN_BYTES = 3;

/** Tokens that an engine may add for each message. */
const MESSAGE_TOKENS = 4;

/** Characters of generated text that make about one token. */
const TEXT_TOKEN_CHARACTERS = 4;

/** Characters of a prompt that count as its prefix. */
const PREFIX_CHARACTERS = 256;

/** Most runs of one request at this entry. */
const MOST_ATTEMPTS = 3;

/** Longest silence of an engine. */
const SILENCE: Millis = 30_000;

/** Most tokens that a prompt can come to. */
export function promptBound(messages: {content: string}[]): number {
  let tokens = 0;
  for (const message of messages) {
    const bytes = Buffer.byteLength(message.content);
    tokens += Math.ceil(bytes / TOKEN_BYTES) + MESSAGE_TOKENS;
  }
  return tokens;
}

/** Serves engine work. */
export class ModelWork {
  private readonly gate: Gate;
  private readonly runs = new Map<string, ModelRun>();

  constructor(private readonly around: ModelSurroundings) {
    this.gate = new Gate(UpstreamKind.Engine, around.upstreams);
  }

  /** Requests that wait for a place. */
  waiting(): number {
    return this.gate.waiting();
  }

  /** Serves one request. */
  async serve(job: Job, request: ChatRequest, reply: Reply): Promise<void> {
    const running = this.runs.get(job.digest);
    if (running !== undefined) {
      running.join(reply, request.signal);
      return;
    }
    const run = new ModelRun();
    run.join(reply, request.signal);
    this.runs.set(job.digest, run);
    try {
      await this.admit(job, request, run);
    } finally {
      this.runs.delete(job.digest);
    }
  }

  private async admit(
    job: Job,
    request: ChatRequest,
    run: ModelRun,
  ): Promise<void> {
    const fingerprint = fingerprintOf(request);
    if (this.around.suspects.isBlocked(fingerprint, job.begun)) {
      this.refuse(job, run, RefusalCode.CrashesUpstreams);
      return;
    }
    const entered = await this.gate.enter(job.account.name, job.workClass);
    if (!entered.ok) {
      this.refuse(job, run, entered.code);
      return;
    }
    try {
      await this.reserve(job, request, run, fingerprint);
    } finally {
      entered.place.leave();
    }
  }

  private async reserve(
    job: Job,
    request: ChatRequest,
    run: ModelRun,
    fingerprint: string,
  ): Promise<void> {
    const {wallet} = this.around;
    const most = job.workClass.priceTokens;
    const output = Math.min(request.maxTokens ?? most, most);
    const tokens = promptBound(request.messages) + output;
    const refusal = await wallet.reserve(job.id, job.account.budget, tokens);
    if (refusal !== undefined) {
      this.refuse(job, run, BUDGET_REFUSALS[refusal]);
      return;
    }
    this.around.retries.recordRequest(job.workClass.name);
    await this.attempt(job, request, run, fingerprint, output);
  }

  private async attempt(
    job: Job,
    request: ChatRequest,
    run: ModelRun,
    fingerprint: string,
    output: number,
  ): Promise<void> {
    let code = RefusalCode.NoUpstream;
    const tried = new Set<string>();
    for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
      const upstream = this.choose(request, fingerprint, tried);
      if (upstream === undefined) {
        break;
      }
      tried.add(upstream.id);
      const result = await this.run(
        job,
        request,
        run,
        fingerprint,
        upstream,
        output,
      );
      if (result.outcome === AttemptOutcome.Answered) {
        await this.bill(job, run, result.usage, upstream.id);
        return;
      }
      if (result.outcome === AttemptOutcome.Cancelled) {
        this.abandon(job, request, run, upstream.id);
        return;
      }
      code = this.judge(result.outcome, code);
      if (!this.mayRetry(job, run, fingerprint, result.outcome)) {
        break;
      }
    }
    this.around.wallet.free(job.id);
    const blocked = this.around.suspects.isBlocked(
      fingerprint,
      this.around.clock.now(),
    );
    this.refuse(job, run, blocked ? RefusalCode.CrashesUpstreams : code);
  }

  private judge(outcome: AttemptOutcome, before: RefusalCode): RefusalCode {
    return MAY_HAVE_RUN.has(outcome) ? RefusalCode.UpstreamFailed : before;
  }

  /** Nothing is run again once the caller got a byte. */
  private mayRetry(
    job: Job,
    run: ModelRun,
    fingerprint: string,
    outcome: AttemptOutcome,
  ): boolean {
    const {suspects, retries, clock} = this.around;
    if (run.started() || suspects.isBlocked(fingerprint, clock.now())) {
      return false;
    }
    return !MAY_HAVE_RUN.has(outcome) || retries.tryTake(job.workClass.name);
  }

  private choose(
    request: ChatRequest,
    fingerprint: string,
    tried: ReadonlySet<string>,
  ): UpstreamState | undefined {
    const {upstreams, suspects, clock} = this.around;
    const head = request.messages[0]?.content ?? '';
    const prefix = shortDigest(head.slice(0, PREFIX_CHARACTERS));
    const avoided = suspects.upstreamsToAvoid(fingerprint, clock.now());
    const except = new Set([...tried, ...avoided]);
    const view = upstreams.view(UpstreamKind.Engine, prefix);
    const chosen = upstreams.table.choose(UpstreamKind.Engine, view, except);
    if (chosen !== undefined) {
      upstreams.table.recordPrefix(prefix, chosen.id);
    }
    return chosen;
  }

  private async run(
    job: Job,
    request: ChatRequest,
    run: ModelRun,
    fingerprint: string,
    upstream: UpstreamState,
    output: number,
  ): Promise<CompletionResult> {
    const {clock, engines, upstreams, suspects} = this.around;
    const begun = clock.now();
    const first = run.started();
    upstreams.table.recordStart(upstream.id);
    suspects.recordStart(fingerprint, upstream.id, begun);
    const result = await engines.complete({
      address: upstream.address,
      id: job.id,
      messages: request.messages,
      maxTokens: output,
      priority: job.workClass.importance,
      idleTimeout: SILENCE,
      signal: run.signal,
      onText: text => {
        if (!first && !run.started()) {
          const now = clock.now();
          upstreams.table.recordFirstToken(upstream.id, now - begun);
          this.around.record.firstToken(job, now);
        }
        return run.text(text);
      },
    });
    const now = clock.now();
    upstreams.table.recordEnd(upstream.id, result.outcome, now - begun, now);
    suspects.recordEnd(fingerprint, upstream.id);
    this.learn(fingerprint, upstream.id, result.outcome, now);
    return result;
  }

  private learn(
    fingerprint: string,
    upstream: string,
    outcome: AttemptOutcome,
    now: Millis,
  ): void {
    const {suspects, upstreams} = this.around;
    if (outcome === AttemptOutcome.Answered) {
      suspects.recordAnswer(fingerprint);
    } else if (outcome === AttemptOutcome.Broken) {
      suspects.recordFailure(fingerprint, upstream, now);
      this.around.suspect(fingerprint, upstream);
    } else if (outcome === AttemptOutcome.Leaving) {
      upstreams.leaves(upstream);
    }
  }

  /** The caller gets the end of its answer once the charge is safe. */
  private async bill(
    job: Job,
    run: ModelRun,
    usage: TokenUsage,
    upstream: string,
  ): Promise<void> {
    const {wallet, record, clock} = this.around;
    const tokens = usage.promptTokens + usage.outputTokens;
    await wallet.settle(job.id, job.digest, tokens, job.begun);
    run.finish({
      prompt_tokens: usage.promptTokens,
      completion_tokens: usage.outputTokens,
      total_tokens: tokens,
    });
    const details = {upstream, tokens};
    record.ended(job, JobEnd.Answered, clock.now(), details);
  }

  /** The caller left: what was generated is charged. */
  private abandon(
    job: Job,
    request: ChatRequest,
    run: ModelRun,
    upstream: string,
  ): void {
    const {wallet, record, clock} = this.around;
    const text = run.content().length / TEXT_TOKEN_CHARACTERS;
    const tokens = promptBound(request.messages) + Math.ceil(text);
    if (run.started()) {
      void wallet.settle(job.id, job.digest, tokens, job.begun);
    } else {
      wallet.free(job.id);
    }
    record.ended(job, JobEnd.Abandoned, clock.now(), {upstream});
  }

  private refuse(job: Job, run: ModelRun, code: RefusalCode): void {
    run.refuse(code);
    this.around.record.ended(job, code, this.around.clock.now());
  }
}

/** Identifies a request by what an engine sees of it. */
function fingerprintOf(request: ChatRequest): string {
  return shortDigest(request.model, JSON.stringify(request.messages));
}
