/**
 * Requests that may have crashed an upstream. Such a suspect request is kept
 * apart from other suspect requests, and is refused once too many upstreams
 * have failed while they ran it.
 */
import {setNewest} from '../base/recent_entries.js';
import {MINUTE} from '../base/clock.js';
import type {Millis} from '../base/clock.js';

/** A request is refused after this many upstreams failed while running it. */
const MAX_FAILED_UPSTREAMS = 2;

/** Time for which a failure is counted against a request. */
const FAILURE_LIFETIME: Millis = 10 * MINUTE;

/** Maximum number of remembered requests; the oldest are dropped first. */
const MAX_SUSPECTS = 10_000;

interface Suspect {
  /** Upstreams that failed while they ran the request. */
  upstreams: Set<string>;
  lastFailureAt: Millis;
}

/**
 * Requests, by their fingerprints, that were running at an upstream when it
 * failed.
 */
export class SuspectRequests {
  private readonly suspectsByFingerprint = new Map<string, Suspect>();
  /** Fingerprint of the suspect request that runs at each upstream. */
  private readonly suspectByUpstream = new Map<string, string>();

  /** @param maxFailedUpstreams failures after which a request is refused. */
  constructor(private readonly maxFailedUpstreams = MAX_FAILED_UPSTREAMS) {}

  /** Records that an upstream failed while it ran a request. */
  recordFailure(fingerprint: string, upstream: string, now: Millis): void {
    const existing = this.findSuspect(fingerprint, now);
    const suspect = existing ?? {
      upstreams: new Set<string>(),
      lastFailureAt: now,
    };
    suspect.upstreams.add(upstream);
    suspect.lastFailureAt = now;
    setNewest(this.suspectsByFingerprint, fingerprint, suspect, MAX_SUSPECTS);
  }

  /** Records that a request was answered; it is no longer suspect. */
  recordAnswer(fingerprint: string): void {
    this.suspectsByFingerprint.delete(fingerprint);
  }

  /** Whether an upstream failed recently while it ran the request. */
  isSuspect(fingerprint: string, now: Millis): boolean {
    return this.findSuspect(fingerprint, now) !== undefined;
  }

  /** Whether the request must be refused. */
  isBlocked(fingerprint: string, now: Millis): boolean {
    const suspect = this.findSuspect(fingerprint, now);
    return (suspect?.upstreams.size ?? 0) >= this.maxFailedUpstreams;
  }

  /**
   * Returns the upstreams that a request must not be sent to: for a suspect
   * request, those that failed while they ran it and those that run another
   * suspect request. Suspect requests are kept apart so that one that did not
   * cause a failure is not blamed again for a failure that another causes.
   */
  upstreamsToAvoid(fingerprint: string, now: Millis): Set<string> {
    if (!this.isSuspect(fingerprint, now)) {
      return new Set();
    }
    const avoided = new Set(this.suspectByUpstream.keys());
    for (const upstream of this.findSuspect(fingerprint, now)?.upstreams ??
      []) {
      avoided.add(upstream);
    }
    return avoided;
  }

  /** Records that a request runs at an upstream, if the request is suspect. */
  recordStart(fingerprint: string, upstream: string, now: Millis): void {
    if (this.isSuspect(fingerprint, now)) {
      this.suspectByUpstream.set(upstream, fingerprint);
    }
  }

  /** Records that a request no longer runs at an upstream. */
  recordEnd(fingerprint: string, upstream: string): void {
    if (this.suspectByUpstream.get(upstream) === fingerprint) {
      this.suspectByUpstream.delete(upstream);
    }
  }

  private findSuspect(fingerprint: string, now: Millis): Suspect | undefined {
    const suspect = this.suspectsByFingerprint.get(fingerprint);
    if (
      suspect !== undefined &&
      now - suspect.lastFailureAt > FAILURE_LIFETIME
    ) {
      this.suspectsByFingerprint.delete(fingerprint);
      return undefined;
    }
    return suspect;
  }
}
