/** Sends the requests of a run open-loop and records the results. */
import {Client, RequestOutcome} from './client.js';
import type {Millis} from '@citrontrestle/decisions';
import type {PlannedRequest} from './plan.js';
import type {RequestResult} from './client.js';

/** A request and its final result. */
export interface FinishedRequest {
  planned: PlannedRequest;
  result: RequestResult;
  /**
   * Time from the intended start to the first text; undefined if none arrived.
   * Measured from the intended start, so that delays of the load tool count.
   */
  firstTokenMs: Millis | undefined;
  /** Time from the intended start to the end of the last attempt. */
  totalMs: Millis;
  /** Number of times that the client sent it. */
  attempts: number;
  /** Whether it was refused for its budget although that had enough tokens. */
  isFalseRefusal: boolean;
  /** Tokens of the budget that were used or in flight when it ended. */
  budgetTokensInUse: number;
}

/** Source of the addresses that requests are sent to. */
export interface AddressSource {
  /** Addresses of the entries that currently accept requests. */
  liveAddresses(): string[];
}

/** Maximum number of times that a request is sent. */
const MAX_ATTEMPTS = 4;

/** Delay before a failed request is sent again. */
const RETRY_DELAY: Millis = 100;

/** Error codes of refusals for lack of tokens. */
const BUDGET_REFUSAL_CODES = new Set([
  'budget-exhausted',
  'budget-unavailable',
]);

/** Sends the requests of a run, retries failures and records the results. */
export class Driver {
  readonly finished: FinishedRequest[] = [];
  private readonly client = new Client();
  private readonly spentTokens = new Map<string, number>();
  private readonly inFlightTokens = new Map<string, number>();
  private sentCount = 0;

  constructor(
    private readonly addressSource: AddressSource,
    /** Returns the tokens granted to a budget so far. */
    private readonly getGrantedTokens: (budget: string) => number,
    /** Called with the numbers of finished and of all requests. */
    private readonly reportProgress: (done: number, total: number) => void,
  ) {}

  /** Sends each request at its time; resolves when all have ended. */
  async run(requests: PlannedRequest[]): Promise<void> {
    const start = Date.now();
    const pending: Promise<void>[] = [];
    for (const request of requests) {
      const delay = start + request.startOffset - Date.now();
      if (delay > 0) {
        await sleep(delay);
      }
      pending.push(this.performRequest(request, start + request.startOffset));
      this.reportProgress(this.finished.length, requests.length);
    }
    await Promise.all(pending);
    this.reportProgress(this.finished.length, requests.length);
    this.client.close();
  }

  /** Sends a request until it is answered or refused, or attempts run out. */
  private async performRequest(
    planned: PlannedRequest,
    intendedStart: Millis,
  ): Promise<void> {
    const {budget, maxTokens} = planned;
    this.addTokens(this.inFlightTokens, budget, maxTokens);
    let result: RequestResult;
    let attempts = 0;
    do {
      if (attempts > 0) {
        await sleep(RETRY_DELAY);
      }
      attempts += 1;
      result = await this.client.send(
        this.pickAddress(),
        planned.clientRequest,
      );
    } while (
      result.outcome === RequestOutcome.Failed &&
      attempts < MAX_ATTEMPTS
    );
    this.addTokens(this.inFlightTokens, budget, -maxTokens);
    const hadEnoughTokens = this.availableTokens(budget) >= maxTokens;
    if (result.outcome === RequestOutcome.Answered) {
      const tokens = result.usedTokens || planned.workClass.priceTokens;
      this.addTokens(this.spentTokens, budget, tokens);
    }
    const {firstTextAt} = result;
    this.finished.push({
      planned,
      result,
      firstTokenMs:
        firstTextAt === undefined ? undefined : firstTextAt - intendedStart,
      totalMs: Date.now() - intendedStart,
      attempts,
      isFalseRefusal:
        hadEnoughTokens && BUDGET_REFUSAL_CODES.has(result.errorCode),
      budgetTokensInUse:
        this.getGrantedTokens(budget) - this.availableTokens(budget),
    });
  }

  /** Next address in round-robin order; empty if no entry is live. */
  private pickAddress(): string {
    const addresses = this.addressSource.liveAddresses();
    this.sentCount += 1;
    return addresses[this.sentCount % addresses.length] ?? '';
  }

  /** Granted tokens neither used nor reserved by requests in flight. */
  private availableTokens(budget: string): number {
    const spent = this.spentTokens.get(budget) ?? 0;
    return (
      this.getGrantedTokens(budget) -
      spent -
      (this.inFlightTokens.get(budget) ?? 0)
    );
  }

  private addTokens(
    tokensByBudget: Map<string, number>,
    budget: string,
    count: number,
  ): void {
    tokensByBudget.set(budget, (tokensByBudget.get(budget) ?? 0) + count);
  }
}

function sleep(duration: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
