/**
 * Detects requests that crash upstreams, so that they can be refused before they
 * crash more of them. That an upstream's response was lost does not alone count
 * as a crash: the upstream must also be found down soon after. Instances share
 * what they detect.
 */
import {SuspectRequests} from '@citrontrestle/decisions';
import type {Clock, Millis} from '@citrontrestle/decisions';

/** A request is refused once it has crashed this many different upstreams. */
const MAX_CRASHED_UPSTREAMS = 3;

/**
 * Maximum time between a lost response and the upstream being found down for
 * this to count as a crash.
 */
const CRASH_WINDOW: Millis = 5_000;

/** A request whose response was not received completely. */
export interface LostRequest {
  id: string;
  fingerprint: string;
  /** Identifiers of the parts of its prompt, in order. */
  parts: readonly string[];
  /** Number of events that the caller has received. */
  events: number;
}

/** Informs the other instances of what this one detected. */
export interface CrashReporter {
  /** Reports that an upstream crashed while it ran a request. */
  reportCrash(request: LostRequest, upstream: string): void;
  /** Reports that a request that was suspect has been answered. */
  reportCleared(fingerprint: string): void;
}

/** An upstream's response that was not received completely. */
interface LostResponse {
  request: LostRequest;
  lostAt: Millis;
}

/**
 * Counts the upstreams that each request crashed, and reports crashes to the
 * other instances.
 */
export class CrashWatch {
  private readonly suspects = new SuspectRequests(MAX_CRASHED_UPSTREAMS);
  /** Lost responses that may turn out to be crashes. */
  private readonly lossesByUpstream = new Map<string, LostResponse[]>();

  constructor(
    private readonly clock: Clock,
    private readonly reporter: CrashReporter,
  ) {}

  /** Records that an upstream did not respond completely to a request. */
  recordLostResponse(request: LostRequest, upstream: string): void {
    const now = this.clock.now();
    const recentLosses = this.recentLosses(upstream, now);
    recentLosses.push({request, lostAt: now});
    this.lossesByUpstream.set(upstream, recentLosses);
  }

  /**
   * Records that an upstream accepts no connections or disappeared without
   * announcing it. Responses that it lost shortly before count as crashes.
   */
  recordDown(upstream: string): void {
    const recentLosses = this.recentLosses(upstream, this.clock.now());
    this.lossesByUpstream.delete(upstream);
    for (const {request} of recentLosses) {
      this.recordCrash(request.fingerprint, upstream);
      this.reporter.reportCrash(request, upstream);
    }
  }

  /**
   * Records a crash without reporting it, such as one that another instance
   * reported.
   */
  recordCrash(fingerprint: string, upstream: string): void {
    this.suspects.recordFailure(fingerprint, upstream, this.clock.now());
  }

  /**
   * Records that an upstream ran a request and responded successfully, which
   * clears the request of suspicion.
   */
  recordAnswer(fingerprint: string): void {
    if (this.suspects.isSuspect(fingerprint, this.clock.now())) {
      this.suspects.recordAnswer(fingerprint);
      this.reporter.reportCleared(fingerprint);
    }
  }

  /** Clears a request that another instance reported as answered. */
  clear(fingerprint: string): void {
    this.suspects.recordAnswer(fingerprint);
  }

  /** Whether the request must be refused. */
  isBlocked(fingerprint: string): boolean {
    return this.suspects.isBlocked(fingerprint, this.clock.now());
  }

  private recentLosses(upstream: string, now: Millis): LostResponse[] {
    const losses = this.lossesByUpstream.get(upstream) ?? [];
    return losses.filter(loss => now - loss.lostAt < CRASH_WINDOW);
  }
}
