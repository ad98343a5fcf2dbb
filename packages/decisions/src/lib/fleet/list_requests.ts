/**
 * Decides when an instance asks a peer for its whole list of upstreams. A peer
 * may state a newer position of the store than all changes of the list have: it
 * has read the list later. Its list then holds nothing new, and shows that
 * nothing is missing up to that position, so it is asked for once.
 */
import {isNewer, UNKNOWN_POSITION} from './store_position.js';
import type {StorePosition} from './store_position.js';

/** Maximum number of unanswered requests to a peer that are remembered. */
const MAX_PENDING_REQUESTS = 8;

/** The requests of one instance for whole lists, and what the answers show. */
export class ListRequests {
  /**
   * Positions that each peer had stated when its list was asked for, oldest
   * first. A peer answers in the order of the requests. Answers may be lost, so
   * one is taken to be as old as the oldest request without an answer.
   */
  private readonly pending = new Map<string, StorePosition[]>();
  /** Newest position up to which a whole list shows all changes. */
  private confirmed = UNKNOWN_POSITION;

  /**
   * Returns up to which position no change is missing.
   * @param applied newest position of the list itself.
   */
  knownPosition(applied: StorePosition): StorePosition {
    return isNewer(this.confirmed, applied) ? this.confirmed : applied;
  }

  /** Records that a peer, which had stated a position, is asked for its list. */
  recordRequest(peer: string, stated: StorePosition): void {
    const positions = this.pending.get(peer) ?? [];
    if (positions.length < MAX_PENDING_REQUESTS) {
      positions.push(stated);
    }
    this.pending.set(peer, positions);
  }

  /** Records that the whole list of a peer was applied. */
  recordAnswer(peer: string): void {
    const positions = this.pending.get(peer) ?? [];
    const answered = positions.shift();
    if (positions.length === 0) {
      this.pending.delete(peer);
    }
    if (answered !== undefined && isNewer(answered, this.confirmed)) {
      this.confirmed = answered;
    }
  }
}
