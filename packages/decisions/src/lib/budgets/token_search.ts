/**
 * The search for tokens of one budget. It asks the home entry of the ledger
 * partition first, then the ledger, then other entries for unused tokens. The
 * home entry is the one that takes tokens from the ledger on behalf of all, so
 * that entries do not compete for writes.
 */
import type {Millis} from '../base/clock.js';

/**
 * How long the result of a search without success, or a view of the ledger,
 * counts as recent enough to answer new requests.
 */
export const SEARCH_RESULT_LIFETIME: Millis = 250;

/** Maximum time that a search waits for the answers of other entries. */
const PEER_ANSWER_TIMEOUT: Millis = 150;

/** Stages of a search. */
export enum SearchStage {
  /** Waiting for the home entry. */
  Home = 'home',
  /** Waiting for the ledger. */
  Ledger = 'ledger',
  /** Waiting for other entries. */
  Peers = 'others',
  /** Ended without success. */
  Ended = 'over',
}

/** How much an entry sent when another entry requested tokens. */
export enum GiveState {
  /** The whole amount was sent. */
  Enough = 'enough',
  /** Less was sent, and the ledger has too few tokens as well. */
  Exhausted = 'exhausted',
  /**
   * Less was sent: the entry could not reach the ledger, or does not ask it on
   * behalf of others.
   */
  Short = 'short',
}

/** Stage and pending answers of a search for tokens of one budget. */
export class TokenSearch {
  /** Whether the ledger is known to have too few tokens. */
  isLedgerExhausted = false;
  private stage: SearchStage;
  private stageEnteredAt: Millis;
  private readonly awaitedPeers: Set<string>;

  /** Starts with the home entry, or with the ledger if there is none. */
  constructor(
    readonly startedAt: Millis,
    /** Tokens that the first waiting request needs. */
    readonly neededTokens: number,
    home: string | undefined,
  ) {
    this.stageEnteredAt = startedAt;
    this.awaitedPeers = new Set(home === undefined ? [] : [home]);
    this.stage = home === undefined ? SearchStage.Ledger : SearchStage.Home;
  }

  /** The stage that the search is in. */
  currentStage(): SearchStage {
    return this.stage;
  }

  /** Starts to wait for the ledger. */
  enterLedgerStage(now: Millis): void {
    this.enterStage(SearchStage.Ledger, [], now);
  }

  /** Starts to wait for answers of other entries. */
  enterPeerStage(askedPeers: string[], now: Millis): void {
    this.enterStage(SearchStage.Peers, askedPeers, now);
  }

  /** Ends the search without success. */
  endWithoutSuccess(now: Millis): void {
    this.enterStage(SearchStage.Ended, [], now);
  }

  /** Records the answer of an entry; false if none was awaited from it. */
  recordAnswer(from: string): boolean {
    return this.awaitedPeers.delete(from);
  }

  /** Whether all awaited entries have answered or the wait has timed out. */
  isStageComplete(now: Millis): boolean {
    return (
      this.awaitedPeers.size === 0 ||
      now - this.stageEnteredAt >= PEER_ANSWER_TIMEOUT
    );
  }

  /**
   * Whether a search that ended without success no longer applies to a request
   * for `neededTokens`: it is too old, or was for a larger amount.
   */
  isObsoleteFor(neededTokens: number, now: Millis): boolean {
    const isExpired = now - this.stageEnteredAt > SEARCH_RESULT_LIFETIME;
    return (
      this.stage === SearchStage.Ended &&
      (isExpired || neededTokens < this.neededTokens)
    );
  }

  private enterStage(
    stage: SearchStage,
    awaitedPeers: string[],
    now: Millis,
  ): void {
    this.stage = stage;
    this.stageEnteredAt = now;
    this.awaitedPeers.clear();
    awaitedPeers.forEach(peer => this.awaitedPeers.add(peer));
  }
}
