/**
 * Whether an instance reaches the upstreams by itself. Covers these faults: the
 * instance alone is partitioned from all upstreams, so that connections hang, are
 * reset or are refused, while open ones may still work; a few upstreams crash at
 * once; a single upstream is silent for a moment.
 */
import {randomSample} from '../base/random_sample.js';
import type {Millis} from '../base/clock.js';

/**
 * Number of upstreams to which connecting must fail, without a success in
 * between, before the instance counts as partitioned. Fewer may have crashed at
 * the same time.
 */
const MIN_FAILED_UPSTREAMS = 3;

/** Number of upstreams that are probed at once. */
const PROBED_UPSTREAMS = 2;

/** Minimum time between two rounds of probes. */
const PROBE_INTERVAL: Millis = 500;

/** Time for which requests must be without any response to cause a probe. */
const MAX_UNANSWERED_TIME: Millis = 300;

/**
 * While new connections fail, open ones are used for this long after an upstream
 * was last heard.
 */
const OPEN_CONNECTION_TRUST: Millis = 500;

/** What an instance knows of its own connections to the upstreams. */
export class Reachability {
  /** Upstreams to which connecting failed since it last succeeded. */
  private readonly failedUpstreams = new Set<string>();
  private heardAt: Millis | undefined;
  /** When the first request was sent after an upstream was last heard. */
  private unansweredSince: Millis | undefined;
  private probedAt: Millis = -Infinity;

  /** Records that a request is sent to an upstream. */
  recordSent(now: Millis): void {
    this.unansweredSince ??= now;
  }

  /** Records that an upstream has sent something to this instance. */
  recordHeard(now: Millis): void {
    this.heardAt = now;
    this.unansweredSince = undefined;
  }

  /** Records that a new connection to an upstream was established. */
  recordConnected(): void {
    this.failedUpstreams.clear();
  }

  /** Records that no connection to an upstream could be established. */
  recordConnectFailure(upstream: string): void {
    this.failedUpstreams.add(upstream);
  }

  /**
   * Whether new connections to upstreams fail.
   * @param listedCount number of upstreams in the list.
   */
  isPartitioned(listedCount: number): boolean {
    const failedCount = this.failedUpstreams.size;
    return (
      failedCount > 0 &&
      failedCount >= Math.min(MIN_FAILED_UPSTREAMS, listedCount)
    );
  }

  /** Whether connections that were open before a partition still work. */
  trustsOpenConnections(now: Millis): boolean {
    return now - (this.heardAt ?? -Infinity) < OPEN_CONNECTION_TRUST;
  }

  /**
   * Returns the time since any upstream has sent something to this instance;
   * undefined if none has.
   */
  silence(now: Millis): Millis | undefined {
    return this.heardAt === undefined ? undefined : now - this.heardAt;
  }

  /** Whether connecting to any upstream has failed since it last succeeded. */
  hasFailures(): boolean {
    return this.failedUpstreams.size > 0;
  }

  /** Whether there is a doubt, and no probe was made shortly before. */
  isProbeDue(now: Millis): boolean {
    const unansweredTime = now - (this.unansweredSince ?? now);
    const isDoubtful =
      this.hasFailures() || unansweredTime > MAX_UNANSWERED_TIME;
    return isDoubtful && now - this.probedAt >= PROBE_INTERVAL;
  }

  /**
   * Returns the upstreams to which to try a connection now, to find out whether
   * this instance is partitioned or still is; none if there is no doubt.
   * @param listed identifiers of all upstreams in the list.
   * @param random returns a uniformly distributed number in [0, 1).
   */
  startProbes(
    listed: readonly string[],
    now: Millis,
    random: () => number,
  ): string[] {
    if (!this.isProbeDue(now)) {
      return [];
    }
    this.probedAt = now;
    const untried = listed.filter(id => !this.failedUpstreams.has(id));
    return randomSample(
      untried.length > 0 ? untried : listed,
      PROBED_UPSTREAMS,
      random,
    );
  }
}
