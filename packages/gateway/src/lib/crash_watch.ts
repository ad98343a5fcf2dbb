/**
 * Requests that upstreams crash under, as all instances know them. A lost
 * answer alone is no crash: the upstream must also be found down soon after.
 */
import {SuspectRequests} from '@citrontrestle/decisions';
import type {Clock, Millis} from '@citrontrestle/decisions';

/** Upstreams that a request may crash before it is refused. */
const MAX_CRASHES = 3;

/** An upstream found down this long after a lost answer has crashed. */
const CRASH_WINDOW: Millis = 5_000;

/** What the instance tells the others. */
export interface CrashReporter {
  /** An upstream crashed under a request. */
  reportCrash(fingerprint: string, upstream: string): void;
  /** A request that was suspected has been answered. */
  reportCleared(fingerprint: string): void;
}

interface LostResponse {
  fingerprint: string;
  lostAt: Millis;
}

/** Notes crashes and passes them on to the other instances. */
export class CrashWatch {
  private readonly suspects = new SuspectRequests(MAX_CRASHES);
  private readonly lossesByUpstream = new Map<string, LostResponse[]>();

  constructor(
    private readonly clock: Clock,
    private readonly reporter: CrashReporter,
  ) {}

  /** An upstream gave no whole answer to a request. */
  recordLostResponse(fingerprint: string, upstream: string): void {
    const now = this.clock.now();
    const recentLosses = this.recentLosses(upstream, now);
    recentLosses.push({fingerprint, lostAt: now});
    this.lossesByUpstream.set(upstream, recentLosses);
  }

  /** An upstream takes no connection, or is gone without leaving. */
  recordDown(upstream: string): void {
    const recentLosses = this.recentLosses(upstream, this.clock.now());
    this.lossesByUpstream.delete(upstream);
    for (const {fingerprint} of recentLosses) {
      this.recordCrash(fingerprint, upstream);
      this.reporter.reportCrash(fingerprint, upstream);
    }
  }

  /** Another instance saw an upstream crash under a request. */
  recordCrash(fingerprint: string, upstream: string): void {
    this.suspects.recordFailure(fingerprint, upstream, this.clock.now());
  }

  /** The request was answered; it is no suspect any more. */
  recordAnswer(fingerprint: string): void {
    if (this.suspects.isSuspect(fingerprint, this.clock.now())) {
      this.suspects.recordAnswer(fingerprint);
      this.reporter.reportCleared(fingerprint);
    }
  }

  /** Another instance saw the request answered. */
  clear(fingerprint: string): void {
    this.suspects.recordAnswer(fingerprint);
  }

  /** Whether the request is to be refused. */
  isBlocked(fingerprint: string): boolean {
    return this.suspects.isBlocked(fingerprint, this.clock.now());
  }

  private recentLosses(upstream: string, now: Millis): LostResponse[] {
    const losses = this.lossesByUpstream.get(upstream) ?? [];
    return losses.filter(loss => now - loss.lostAt < CRASH_WINDOW);
  }
}
