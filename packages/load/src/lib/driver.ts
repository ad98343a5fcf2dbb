/** Sends the requests of a run, open-loop, and keeps what callers saw. */
import {Client, RequestOutcome} from './client.js';
import type {Millis} from '@citrontrestle/decisions';
import type {PlannedRequest} from './plan.js';
import type {RequestResult} from './client.js';

/** One request and what its caller saw in the end. */
export interface FinishedRequest {
  planned: PlannedRequest;
  result: RequestResult;
  /** From the intended start. */
  firstTokenMs: Millis | undefined;
  totalMs: Millis;
  /** Times that the caller sent it. */
  attempts: number;
  /** Whether the budget had room when it was refused. */
  isFalseRefusal: boolean;
  /** Tokens of the budget used or possibly in use when it ended. */
  budgetTokensInUse: number;
}

/** Where requests may be sent. */
export interface AddressSource {
  /** Addresses of live entries. */
  liveAddresses(): string[];
}

/** Most times that a caller sends one request. */
const MAX_ATTEMPTS = 4;

/** Wait before a caller sends a failed request again. */
const RETRY_DELAY: Millis = 100;

const BUDGET_REFUSAL_CODES = new Set([
  'budget-exhausted',
  'budget-unavailable',
]);

/** Sends the requests of a run. */
export class Driver {
  readonly finished: FinishedRequest[] = [];
  private readonly client = new Client();
  private readonly spentTokens = new Map<string, number>();
  private readonly inFlightTokens = new Map<string, number>();
  private sentCount = 0;

  constructor(
    private readonly addressSource: AddressSource,
    /** Tokens granted to a budget so far. */
    private readonly getGrantedTokens: (budget: string) => number,
    private readonly reportProgress: (done: number, total: number) => void,
  ) {}

  /** Sends all requests at their times; resolves when all ended. */
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
    const hadRoom = this.availableTokens(budget) >= maxTokens;
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
      isFalseRefusal: hadRoom && BUDGET_REFUSAL_CODES.has(result.errorCode),
      budgetTokensInUse:
        this.getGrantedTokens(budget) - this.availableTokens(budget),
    });
  }

  private pickAddress(): string {
    const addresses = this.addressSource.liveAddresses();
    this.sentCount += 1;
    return addresses[this.sentCount % addresses.length] ?? '';
  }

  /** Tokens granted and neither used nor possibly still to be used. */
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
