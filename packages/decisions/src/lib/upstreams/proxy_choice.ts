/**
 * Chooses the peers that forward requests for an instance that is partitioned
 * from the upstreams, so that its callers are served and no peer gets more than
 * its part. Covers these load patterns: one instance is partitioned; most
 * instances of a zone are, and the others carry their requests.
 */
import type {Millis} from '../base/clock.js';

/** A peer that forwards requests for others. */
export interface ProxyPeer {
  /** Address at which it accepts such requests, as `ip:port`. */
  address: string;
  zone: string;
  /** Relative capacity of its machine. */
  capacity: number;
}

/** Time for which a peer that could not forward a request is avoided. */
const FAILURE_BACKOFF: Millis = 1_000;

/**
 * Load of a peer in another availability zone is taken as this much higher, in
 * requests: bytes between zones cost more.
 */
const OTHER_ZONE_PENALTY = 2;

/** The requests that an instance has given to its peers. */
export class ProxyChoice {
  /** Number of running requests at each peer, by address. */
  private readonly runningCounts = new Map<string, number>();
  /** Until when each peer is avoided, by address. */
  private readonly backoffUntil = new Map<string, Millis>();

  constructor(
    /** Availability zone of this instance. */
    private readonly zone: string,
  ) {}

  /**
   * Returns the peer with the fewest running requests of this instance for its
   * capacity; undefined if there is none to try.
   * @param excluded addresses that must not get the request.
   */
  choose(
    peers: readonly ProxyPeer[],
    excluded: ReadonlySet<string>,
    now: Millis,
    random: () => number,
  ): ProxyPeer | undefined {
    let best: ProxyPeer | undefined;
    let bestLoad = Infinity;
    for (const peer of peers) {
      const {address} = peer;
      const isAvoided = (this.backoffUntil.get(address) ?? -Infinity) > now;
      const load = this.loadOf(peer) + random() / peer.capacity;
      if (!excluded.has(address) && !isAvoided && load < bestLoad) {
        best = peer;
        bestLoad = load;
      }
    }
    return best;
  }

  /** Records that a request is given to a peer. */
  recordStart(address: string): void {
    this.runningCounts.set(address, this.runningCount(address) + 1);
  }

  /** Records that a request that was given to a peer has ended. */
  recordEnd(address: string): void {
    const count = this.runningCount(address) - 1;
    if (count > 0) {
      this.runningCounts.set(address, count);
    } else {
      this.runningCounts.delete(address);
    }
  }

  /** Records that a peer could not forward a request. */
  recordFailure(address: string, now: Millis): void {
    this.backoffUntil.set(address, now + FAILURE_BACKOFF);
  }

  /** Forgets what no longer matters. */
  prune(now: Millis): void {
    for (const [address, time] of this.backoffUntil) {
      if (time <= now) {
        this.backoffUntil.delete(address);
      }
    }
  }

  private loadOf({address, zone, capacity}: ProxyPeer): number {
    const penalty = zone === this.zone ? 0 : OTHER_ZONE_PENALTY;
    return (this.runningCount(address) + penalty) / capacity;
  }

  private runningCount(address: string): number {
    return this.runningCounts.get(address) ?? 0;
  }
}
