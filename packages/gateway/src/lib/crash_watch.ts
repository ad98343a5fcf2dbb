/**
 * Requests that upstreams crash under, as all instances know them. A lost
 * answer alone is no crash: the upstream must also be found down soon after.
 */
import {SuspectRequests} from '@citrontrestle/decisions';
import type {Clock, Millis} from '@citrontrestle/decisions';

/** Upstreams that a request may crash before it is refused. */
const MOST_CRASHES = 3;

/** An upstream found down this long after a lost answer has crashed. */
const CRASH_WINDOW: Millis = 5_000;

/** What the instance tells the others. */
export interface CrashNews {
  /** An upstream crashed under a request. */
  crashed(fingerprint: string, upstream: string): void;
  /** A request that was suspected has been answered. */
  cleared(fingerprint: string): void;
}

interface Loss {
  fingerprint: string;
  at: Millis;
}

/** Notes crashes and passes them on to the other instances. */
export class CrashWatch {
  private readonly suspects = new SuspectRequests(MOST_CRASHES);
  private readonly losses = new Map<string, Loss[]>();

  constructor(
    private readonly clock: Clock,
    private readonly news: CrashNews,
  ) {}

  /** An upstream gave no whole answer to a request. */
  lost(fingerprint: string, upstream: string): void {
    const now = this.clock.now();
    const recent = this.recent(upstream, now);
    recent.push({fingerprint, at: now});
    this.losses.set(upstream, recent);
  }

  /** An upstream takes no connection, or is gone without leaving. */
  down(upstream: string): void {
    const recent = this.recent(upstream, this.clock.now());
    this.losses.delete(upstream);
    for (const {fingerprint} of recent) {
      this.heard(fingerprint, upstream);
      this.news.crashed(fingerprint, upstream);
    }
  }

  /** Another instance saw an upstream crash under a request. */
  heard(fingerprint: string, upstream: string): void {
    this.suspects.recordFailure(fingerprint, upstream, this.clock.now());
  }

  /** The request was answered; it is no suspect any more. */
  answered(fingerprint: string): void {
    if (this.suspects.isSuspect(fingerprint, this.clock.now())) {
      this.suspects.recordAnswer(fingerprint);
      this.news.cleared(fingerprint);
    }
  }

  /** Another instance saw the request answered. */
  heardAnswered(fingerprint: string): void {
    this.suspects.recordAnswer(fingerprint);
  }

  /** Whether the request is to be refused. */
  blocked(fingerprint: string): boolean {
    return this.suspects.isBlocked(fingerprint, this.clock.now());
  }

  private recent(upstream: string, now: Millis): Loss[] {
    const losses = this.losses.get(upstream) ?? [];
    return losses.filter(loss => now - loss.at < CRASH_WINDOW);
  }
}
