/** Requests that upstreams failed under, told apart from their neighbours. */
import {MINUTE} from './clock.js';
import type {Millis} from './clock.js';

/** Upstreams that may fail under a request before it is refused. */
const MOST_FAILURES = 2;

/** How long a failure counts. */
const MEMORY: Millis = 10 * MINUTE;

/** Most requests remembered; the oldest are forgotten first. */
const MOST_REMEMBERED = 10_000;

interface Suspect {
  upstreams: Set<string>;
  at: Millis;
}

/** Requests that were running when an upstream failed. */
export class Suspects {
  private readonly suspects = new Map<string, Suspect>();
  private readonly isolated = new Map<string, string>();

  /** @param mostFailures upstreams that may fail before it is refused. */
  constructor(private readonly mostFailures = MOST_FAILURES) {}

  /** Notes that an upstream failed while it ran a request. */
  failed(fingerprint: string, upstream: string, now: Millis): void {
    const known = this.find(fingerprint, now);
    const suspect = known ?? {upstreams: new Set<string>(), at: now};
    suspect.upstreams.add(upstream);
    suspect.at = now;
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    if (this.suspects.size > MOST_REMEMBERED) {
      const [oldest] = this.suspects.keys();
      this.suspects.delete(oldest ?? '');
    }
  }

  /** Notes that a request was answered; it is no suspect any more. */
  answered(fingerprint: string): void {
    this.suspects.delete(fingerprint);
  }

  /** Whether an upstream failed under the request. */
  isSuspect(fingerprint: string, now: Millis): boolean {
    return this.find(fingerprint, now) !== undefined;
  }

  /** Whether the request is to be refused. */
  isBlocked(fingerprint: string, now: Millis): boolean {
    const suspect = this.find(fingerprint, now);
    return (suspect?.upstreams.size ?? 0) >= this.mostFailures;
  }

  /**
   * Upstreams that a request must not be sent to: a suspect never joins
   * another suspect, so that one that is innocent fails at most once more.
   */
  avoided(fingerprint: string, now: Millis): Set<string> {
    if (!this.isSuspect(fingerprint, now)) {
      return new Set();
    }
    const avoided = new Set(this.isolated.keys());
    for (const upstream of this.find(fingerprint, now)?.upstreams ?? []) {
      avoided.add(upstream);
    }
    return avoided;
  }

  /** Notes that a suspect runs at an upstream. */
  started(fingerprint: string, upstream: string, now: Millis): void {
    if (this.isSuspect(fingerprint, now)) {
      this.isolated.set(upstream, fingerprint);
    }
  }

  /** Notes that a request no longer runs at an upstream. */
  ended(fingerprint: string, upstream: string): void {
    if (this.isolated.get(upstream) === fingerprint) {
      this.isolated.delete(upstream);
    }
  }

  private find(fingerprint: string, now: Millis): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (suspect !== undefined && now - suspect.at > MEMORY) {
      this.suspects.delete(fingerprint);
      return undefined;
    }
    return suspect;
  }
}
