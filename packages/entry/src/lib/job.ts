/** Authorized requests, and the logs and metrics of how they end. */
import type {ClientAccount, Millis, WorkClass} from '@citrontrestle/decisions';
import type {Log, Metrics} from '@citrontrestle/runtime';

/** One authorized request, whichever kind of upstream it is for. */
export interface Job {
  /** Id of the request, chosen by the listener. */
  id: string;
  account: ClientAccount;
  workClass: WorkClass;
  /**
   * Digest of account, class, idempotency key and content. Requests with the
   * same digest are charged once.
   */
  digest: string;
  startedAt: Millis;
}

/** How a request that wasn't refused ended, in logs and metrics. */
export enum JobOutcome {
  Answered = 'answered',
  /** All its callers disconnected before the answer was complete. */
  Abandoned = 'abandoned',
}

/**
 * Records how requests end, in logs and metrics. Prompts, answers and API keys
 * must never be recorded.
 */
export class JobRecorder {
  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /**
   * Records the end of a request.
   * @param outcome a `JobOutcome`, or the `RefusalCode` of a refused request.
   */
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

  /** Records the time until the first token of a request. */
  recordFirstToken(job: Job, now: Millis): void {
    const tags = {class: job.workClass.name, account: job.account.name};
    this.metrics.histogram('request.first_token_ms', now - job.startedAt, tags);
  }
}
