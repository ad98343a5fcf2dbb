/**
 * When an instance accepts no connections for a moment. It matters when the
 * callers of one account send more to a small instance than its link carries:
 * the load balancer goes on sending it connections for seconds, and each brings
 * a body that waits in the link, until all callers give up. Refusing a connection
 * costs the link next to nothing.
 *
 * The gate is closed only while other instances have room, and never for long,
 * so that an instance that says it is ready takes connections. A decision costs
 * a few comparisons.
 */
import type {Millis} from '../base/clock.js';

/** What is received on the link, and whether others could take it. */
export interface GateFacts {
  /** Fraction of the link used by what was received just now. */
  receivedRate: number;
  /** Whether other instances of the zone have room on their links. */
  othersHaveRoom: boolean;
}

/** Received fraction of the link above which the gate closes. */
const CLOSING_RATE = 0.95;

/** Received fraction of the link below which it opens again. */
const OPENING_RATE = 0.6;

/** Longest time for which the gate is closed without a break. */
export const MAX_CLOSED_TIME: Millis = 800;

/**
 * Shortest time for which it is open in between. Each closing resets connections
 * that are not accepted yet, whose bytes are on the link for nothing.
 */
export const MIN_OPEN_TIME: Millis = 200;

/** Decides whether connections are accepted. */
export class ConnectionGate {
  private isOpenNow = true;
  private changedAt: Millis = -Infinity;

  /** Updates the decision and returns whether connections are accepted. */
  update({receivedRate, othersHaveRoom}: GateFacts, now: Millis): boolean {
    const elapsed = now - this.changedAt;
    const isFull = othersHaveRoom && receivedRate > CLOSING_RATE;
    const hasRoom = !othersHaveRoom || receivedRate < OPENING_RATE;
    const changes = this.isOpenNow
      ? isFull && elapsed >= MIN_OPEN_TIME
      : hasRoom || elapsed >= MAX_CLOSED_TIME;
    if (changes) {
      this.isOpenNow = !this.isOpenNow;
      this.changedAt = now;
    }
    return this.isOpenNow;
  }
}
