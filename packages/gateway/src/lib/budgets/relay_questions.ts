/**
 * Questions for tokens to the relay of an instance. Covers this situation: an
 * instance that follows a relay reads no page, so it relies on the relay's reading
 * when it refuses a request.
 */
import {MAX_READING_AGE, WaitDecision} from '@citrontrestle/decisions';
import type {BudgetContext} from './prepaid_budgets.js';
import type {TokenQueue, WaitingRequest} from './token_queue.js';
import type {Clock, Millis, PrepaidShares} from '@citrontrestle/decisions';

/** Why a relay refuses tokens that it was asked for. */
export interface RelayRefusal {
  /** Whether the budget is exhausted; else the tokens were not got in time. */
  exhausted: boolean;
  /**
   * Age of the reading that proves it. Relays of earlier versions state none;
   * what they call exhausted is not proved.
   */
  age?: Millis | undefined;
  /** Tokens granted so far, as the relay knows them. */
  granted?: number | undefined;
  /** The question that it answers; missing in refusals of earlier versions. */
  ask?: number | undefined;
  /**
   * Whether the reading counts what silent processes may hold. That of relays of
   * earlier versions does not, and proves nothing.
   */
  countsSilent?: boolean | undefined;
}

/** Number of values from which a process chooses its first question. */
const MAX_FIRST_ASK = 2 ** 32;

/**
 * Part of the time that a request may still wait within which the relay is to
 * answer, so that its answer arrives in time.
 */
const ANSWER_FRACTION = 0.8;

/** The questions of one instance, and what its relay has refused. */
export class RelayQuestions {
  /** Time of the reading by which the relay last refused each account. */
  private readonly readAt = new Map<string, Millis>();
  /**
   * Identifies the last question. Starts at random, so that a late answer to an
   * earlier process of this instance answers none of this one.
   */
  private lastAsk = Math.floor(Math.random() * MAX_FIRST_ASK);

  constructor(
    private readonly queue: TokenQueue,
    private readonly context: Pick<
      BudgetContext,
      'grantedTokens' | 'requestFromRelay' | 'returnToRelay'
    >,
    private readonly clock: Clock,
    /** Returns the shares to which an account belongs. */
    private readonly sharesOf: (account: string) => PrepaidShares,
  ) {}

  /** Returns the time of the reading by which the relay last refused an account. */
  lastReadAt(account: string): Millis | undefined {
    return this.readAt.get(account);
  }

  /**
   * Asks the relay for tokens that a waiting request lacks.
   * @param prefetch further tokens that are wanted for later requests.
   */
  ask(request: WaitingRequest, tokens: number, prefetch: number): void {
    const {account, waitingSince, patience} = request;
    const timeLeft = waitingSince + patience - this.clock.now();
    const wait = Math.max(0, Math.floor(timeLeft * ANSWER_FRACTION));
    this.lastAsk += 1;
    const {lastAsk: ask} = this;
    const isAsked = this.context.requestFromRelay(account, tokens, {
      prefetch,
      wait,
      ask,
    });
    request.relayQuestion = isAsked
      ? {ask, tokens: Math.ceil(tokens)}
      : undefined;
    request.askedBeforePooling = false;
  }

  /**
   * Handles a refusal of tokens. It applies to the waiting request that it names.
   * Relays of earlier versions name none: then to the first one for which that
   * number was asked, though it may be late and concern one that has ended.
   * @returns whether it concerns a waiting request.
   */
  recordRefusal(
    account: string,
    tokens: number,
    refusal: RelayRefusal,
  ): boolean {
    const {ask, age} = refusal;
    const request = this.queue
      .of(account)
      .find(
        ({relayQuestion}) =>
          relayQuestion?.tokens === tokens &&
          (ask === undefined || relayQuestion.ask === ask),
      );
    if (request === undefined) {
      return false;
    }
    request.relayQuestion = undefined;
    if (age !== undefined) {
      const readAt = this.clock.now() - age;
      this.readAt.set(account, readAt);
      this.applyRefusal(request, tokens, refusal, readAt);
    }
    return true;
  }

  private applyRefusal(
    request: WaitingRequest,
    tokens: number,
    {exhausted, granted = -1, countsSilent = false}: RelayRefusal,
    readAt: Millis,
  ): void {
    const isProved =
      exhausted &&
      countsSilent &&
      granted >= this.context.grantedTokens(request.account) &&
      request.waitingSince - readAt < MAX_READING_AGE;
    if (!isProved) {
      request.relayRefusal = WaitDecision.Unavailable;
    } else if (this.isWholeRefused(request, tokens)) {
      request.relayRefusal = WaitDecision.Exhausted;
    } else {
      this.pool(request);
    }
  }

  /**
   * Whether the relay has refused all that a request needs, and this instance
   * has nothing, here or on its way to the relay, that the relay did not count.
   */
  private isWholeRefused(request: WaitingRequest, tokens: number): boolean {
    const {account} = request;
    return (
      tokens >= request.tokens &&
      !request.askedBeforePooling &&
      this.sharesOf(account).availableTokens(account) < 1
    );
  }

  /**
   * Gives the relay what this instance holds of an account, and asks it for all
   * that a request needs: tokens of several instances may cover it together.
   */
  private pool(request: WaitingRequest): void {
    const {account, tokens} = request;
    const shares = this.sharesOf(account);
    const heldTokens = Math.floor(shares.availableTokens(account));
    if (heldTokens > 0 && this.context.returnToRelay(account, heldTokens)) {
      shares.receiveFromPeer(account, -heldTokens);
      for (const other of this.queue.of(account)) {
        other.askedBeforePooling = other.relayQuestion !== undefined;
      }
    }
    this.ask(request, tokens, 0);
  }
}
