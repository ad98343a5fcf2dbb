/**
 * The search for tokens of one budget: first its source (the partition's home
 * entry, or the ledger itself), then what other entries have left.
 */
import type {Millis} from './clock.js';

/** How long a finished search without success stays good. */
export const SEARCH_LIFETIME: Millis = 250;

/** How long other entries have to answer. */
const PEER_PATIENCE: Millis = 150;

/** Where a search is. */
export enum SearchStage {
  /** Waits for the home entry. */
  Home = 'home',
  /** Waits for the ledger. */
  Ledger = 'ledger',
  /** Waits for what other entries have left. */
  Others = 'others',
  /** Nobody has enough. */
  Over = 'over',
}

/** What a giver says with its answer to a question for tokens. */
export enum GiveState {
  /** All that was asked for. */
  Enough = 'enough',
  /** The ledger has no more either. */
  Exhausted = 'exhausted',
  /** The giver could not ask the ledger, or is not the one to ask. */
  Short = 'short',
}

/** The search for tokens of one budget. */
export class Search {
  /** Whether the ledger is known to have too little. */
  exhausted = false;
  private stage: SearchStage;
  private enteredAt: Millis;
  private readonly awaited: Set<string>;

  /** Begins with the home entry, or with the ledger when there is none. */
  constructor(
    readonly begun: Millis,
    /** Tokens that the first request in line needs. */
    readonly need: number,
    home: string | undefined,
  ) {
    this.enteredAt = begun;
    this.awaited = new Set(home === undefined ? [] : [home]);
    this.stage = home === undefined ? SearchStage.Ledger : SearchStage.Home;
  }

  /** Where the search is. */
  at(): SearchStage {
    return this.stage;
  }

  /** Goes on to the ledger. */
  toLedger(now: Millis): void {
    this.enter(SearchStage.Ledger, [], now);
  }

  /** Goes on to other entries. */
  toOthers(asked: string[], now: Millis): void {
    this.enter(SearchStage.Others, asked, now);
  }

  /** Ends without success. */
  end(now: Millis): void {
    this.enter(SearchStage.Over, [], now);
  }

  /** Notes an answer of another entry. */
  answered(from: string): boolean {
    return this.awaited.delete(from);
  }

  /** Whether all asked have answered, or had the time to. */
  waitedEnough(now: Millis): boolean {
    return this.awaited.size === 0 || now - this.enteredAt >= PEER_PATIENCE;
  }

  /** Whether a search without success says nothing of a need any more. */
  useless(need: number, now: Millis): boolean {
    const old = now - this.enteredAt > SEARCH_LIFETIME;
    return this.stage === SearchStage.Over && (old || need < this.need);
  }

  private enter(stage: SearchStage, awaited: string[], now: Millis): void {
    this.stage = stage;
    this.enteredAt = now;
    this.awaited.clear();
    awaited.forEach(one => this.awaited.add(one));
  }
}
