/**
 * Detects what upstreams crash under, so that it can be refused before it
 * crashes more of them. That an upstream's response was lost does not alone
 * count as a crash: the upstream must also be found down soon after. Instances
 * share what they detect.
 */
import type {
  Clock,
  CrashVerdicts,
  Millis,
  UpstreamListing,
  Verdict,
} from '@citrontrestle/decisions';

/**
 * Maximum time between a lost response and the upstream being found down for
 * this to count as a crash.
 */
const CRASH_WINDOW: Millis = 5_000;

/**
 * Number of events from which on an upstream has survived the beginning of its
 * answer; it may crash while it writes the first one.
 */
export const SURVIVED_EVENTS = 2;

/** What may be the reason for which upstreams crash under a request. */
export interface RequestTraits {
  fingerprint: string;
  /**
   * Identifiers of the parts of its prompt that other requests can share, in
   * order.
   */
  sharedParts: readonly string[];
}

/** A request whose response was not received completely. */
export interface LostRequest extends RequestTraits {
  id: string;
  /** Number of events that the caller has received. */
  events: number;
}

/** Identifies an upstream and says where it listens. */
export type UpstreamAddress = Pick<UpstreamListing, 'id' | 'address'>;

/** Carries out what a `CrashWatch` needs from other components. */
export interface CrashWatchContext {
  /** Reports to the other instances that an upstream process crashed. */
  reportCrash(request: LostRequest, upstreamProcess: string): void;
  /** Reports that the traits of a request are cleared of suspicion. */
  reportCleared(request: RequestTraits): void;
  /** Called after this instance has convicted traits by its own findings. */
  onConvicted(): void;
  /**
   * Determines whether an upstream is down, which a partition of this instance
   * is not.
   */
  isDown(upstream: UpstreamAddress): Promise<boolean>;
  /** Reserves the next trial of a verdict, if it is due, for this instance. */
  claimTrial(verdict: Verdict): Promise<boolean>;
}

/** An upstream's response that was not received completely. */
interface LostResponse {
  request: LostRequest;
  upstreamProcess: string;
  lostAt: Millis;
}

/** Collects evidence of crashes, and reports it to the other instances. */
export class CrashWatch {
  /** Lost responses that may turn out to be crashes, by upstream. */
  private readonly lossesByUpstream = new Map<string, LostResponse[]>();
  /** Upstreams that are being checked for whether they are down. */
  private readonly checkedUpstreams = new Set<string>();
  /** Verdict under which this instance may send one request as a trial. */
  private trialVerdict: Verdict | undefined;

  constructor(
    private readonly verdicts: CrashVerdicts,
    private readonly clock: Clock,
    private readonly context: CrashWatchContext,
  ) {}

  /**
   * Records that an upstream did not respond completely to a request, and checks
   * whether the upstream is down. Requests that it had begun to answer did not
   * make it crash.
   */
  recordLostResponse(request: LostRequest, upstream: UpstreamListing): void {
    if (request.events >= SURVIVED_EVENTS) {
      return;
    }
    const {id, startedAt} = upstream;
    const now = this.clock.now();
    const recentLosses = this.recentLosses(id, now);
    const upstreamProcess = `${id}@${startedAt}`;
    recentLosses.push({request, upstreamProcess, lostAt: now});
    this.lossesByUpstream.set(id, recentLosses);
    void this.check(upstream);
  }

  /**
   * Records that an upstream refused a connection. If it lost responses shortly
   * before, it is checked whether it is down.
   */
  recordRefused(upstream: UpstreamAddress): void {
    if (this.recentLosses(upstream.id, this.clock.now()).length > 0) {
      void this.check(upstream);
    }
  }

  /**
   * Records that an upstream is down or disappeared without announcing it. Responses that it lost shortly before count as crashes.
   */
  recordDown(upstream: string): void {
    const recentLosses = this.recentLosses(upstream, this.clock.now());
    this.lossesByUpstream.delete(upstream);
    let isConvicted = false;
    for (const {request, upstreamProcess} of recentLosses) {
      const isNew = this.recordCrash(traitsOf(request), upstreamProcess);
      isConvicted = isNew || isConvicted;
      this.context.reportCrash(request, upstreamProcess);
    }
    if (isConvicted) {
      this.context.onConvicted();
    }
  }

  /**
   * Records a crash without reporting it, such as one that another instance
   * reported. Returns whether traits were convicted.
   */
  recordCrash(traits: readonly string[], upstreamProcess: string): boolean {
    return this.verdicts.recordCrash(upstreamProcess, traits, this.clock.now());
  }

  /**
   * Records that an upstream has survived the beginning of its answer to a
   * request, which clears the request's traits.
   */
  recordAnswer(request: RequestTraits): void {
    if (this.clear(traitsOf(request))) {
      this.context.reportCleared(request);
    }
  }

  /**
   * Clears traits, such as those that another instance reported as answered.
   * Returns whether there was anything against them.
   */
  clear(traits: readonly string[]): boolean {
    return this.verdicts.recordAnswer(traits, this.clock.now());
  }

  /** Whether the request must be refused. */
  isBlocked(request: RequestTraits): boolean {
    return this.verdicts.findVerdict(traitsOf(request)) !== undefined;
  }

  /**
   * Whether a request that must be refused is sent all the same, to try whether
   * upstreams still crash under it. Otherwise asks for a trial, if one is due;
   * a later request is then sent.
   */
  takeTrial(request: RequestTraits): boolean {
    const verdict = this.verdicts.findVerdict(traitsOf(request));
    if (verdict === undefined) {
      return false;
    }
    if (this.trialVerdict?.traits === verdict.traits) {
      this.trialVerdict = undefined;
      return true;
    }
    void this.context.claimTrial(verdict).then(isClaimed => {
      this.trialVerdict = isClaimed ? verdict : this.trialVerdict;
    });
    return false;
  }

  /** Whether an upstream crashed under one of the request's traits. */
  isSuspect(request: RequestTraits): boolean {
    return this.verdicts.isSuspect(traitsOf(request));
  }

  /** Records the upstream as down if it is found so. */
  private async check(upstream: UpstreamAddress): Promise<void> {
    const {id} = upstream;
    if (this.checkedUpstreams.has(id)) {
      return;
    }
    this.checkedUpstreams.add(id);
    const isDown = await this.context.isDown(upstream);
    this.checkedUpstreams.delete(id);
    if (isDown) {
      this.recordDown(id);
    }
  }

  private recentLosses(upstream: string, now: Millis): LostResponse[] {
    const losses = this.lossesByUpstream.get(upstream) ?? [];
    return losses.filter(loss => now - loss.lostAt < CRASH_WINDOW);
  }
}

/** Returns the traits of a request, its fingerprint first. */
export function traitsOf({fingerprint, sharedParts}: RequestTraits): string[] {
  return [fingerprint, ...partTraits(sharedParts)];
}

/** Returns the traits of a request beside its fingerprint. */
export function partTraits(sharedParts: readonly string[]): string[] {
  return sharedParts.map(id => `part:${id}`);
}
