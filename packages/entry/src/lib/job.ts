/** What the two kinds of work share: one admitted request and its record. */
import type {ClientAccount, Millis, WorkClass} from '@citrontrestle/decisions';
import type {Log, Metrics} from '@citrontrestle/runtime';

/** One admitted request. */
export interface Job {
  id: string;
  account: ClientAccount;
  workClass: WorkClass;
  /** Digest of account, idempotency key and body; decides on the bill. */
  digest: string;
  startedAt: Millis;
}

/** How a request ended, as logs and metrics show it. */
export enum JobOutcome {
  Answered = 'answered',
  Abandoned = 'abandoned',
}

/** Records how requests end. Never a prompt, an answer or a key. */
export class JobRecorder {
  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /** Notes the end of a request; `outcome` is a `JobEnd` or a refusal. */
  recordEnd(
    job: Job,
    outcome: string,
    now: Millis,
    details: {upstream?: string | undefined; tokens?: number} = {},
  ): void {
    const duration = now - job.startedAt;
    const tags = {
      class: job.workClass.name,
      account: job.account.name,
      outcome,
    };
    this.metrics.histogram('request.whole_ms', duration, tags);
    if (details.tokens !== undefined) {
      this.metrics.histogram('request.tokens', details.tokens, tags);
    }
    this.log.info('request.ended', {
      request: job.id,
      ...tags,
      wholeMs: duration,
      ...details,
    });
  }

  /** Notes the first token of a request. */
  recordFirstToken(job: Job, now: Millis): void {
    const tags = {class: job.workClass.name, account: job.account.name};
    this.metrics.histogram('request.first_token_ms', now - job.startedAt, tags);
  }
}
