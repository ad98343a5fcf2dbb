/**
 * Keeps this instance to the limits that upstreams name in their responses, and
 * shares what it learns of them with the other instances.
 */
import {LimitChange, RequestLimits} from '@citrontrestle/decisions';
import type {
  Clock,
  FleetView,
  Millis,
  UpstreamListing,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Minimum time between two reports of an unchanged limit to the peers. */
const REPORT_INTERVAL: Millis = 2_000;

/** What a `LimitWatch` needs from the other components of its instance. */
export interface LimitWatchContext {
  /** Returns the running instances that are not stopping. */
  fleetView(): FleetView;
  /**
   * Reports a limit to the other instances.
   * @param perSecond undefined if the upstream names none any more.
   */
  reportLimit(upstream: string, perSecond: number | undefined): void;
}

/** The limits of the upstreams, as this instance applies them. */
export class LimitWatch {
  private readonly limits = new RequestLimits();
  /** When the limit of each upstream was last reported to the peers. */
  private readonly reportedAt = new Map<string, Millis>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly context: LimitWatchContext,
  ) {}

  /** Returns the upstreams to which one more request may be sent now. */
  withinLimits(upstreams: readonly UpstreamListing[]): UpstreamListing[] {
    if (this.limits.isEmpty()) {
      return [...upstreams];
    }
    const now = this.clock.now();
    const fleet = this.context.fleetView();
    return upstreams.filter(({id}) => this.limits.maySend(id, fleet, now));
  }

  /** Records a request that is sent to an upstream. */
  recordSent(upstream: string): void {
    this.limits.recordSent(upstream);
  }

  /**
   * Records whether the response of an upstream named a limit.
   * @param sentAt when the request was sent.
   */
  recordResponse(
    upstream: string,
    perSecond: number | undefined,
    sentAt: Millis,
  ): void {
    const now = this.clock.now();
    const change = this.limits.recordResponse(upstream, perSecond, sentAt, now);
    this.logChange(change, upstream, perSecond, 'response');
    const reportedAt = this.reportedAt.get(upstream) ?? -Infinity;
    const isReportDue =
      perSecond !== undefined && now - reportedAt >= REPORT_INTERVAL;
    if (change !== LimitChange.None || isReportDue) {
      this.reportedAt.set(upstream, now);
      this.context.reportLimit(upstream, perSecond);
    }
  }

  /** Records what a peer learned of a limit. */
  recordPeerReport(
    upstream: string,
    perSecond: number | undefined,
    peer: string,
  ): void {
    const change =
      perSecond === undefined
        ? this.limits.recordLifted(upstream)
        : this.limits.recordLimit(upstream, perSecond, this.clock.now());
    this.logChange(change, upstream, perSecond, peer);
  }

  /** Forgets upstreams for which `isListed` returns false. */
  prune(isListed: (id: string) => boolean): void {
    this.limits.prune(isListed);
    for (const upstream of this.reportedAt.keys()) {
      if (!isListed(upstream)) {
        this.reportedAt.delete(upstream);
      }
    }
  }

  private logChange(
    change: LimitChange,
    upstream: string,
    perSecond: number | undefined,
    source: string,
  ): void {
    if (change === LimitChange.Limited) {
      this.log.info('upstream.limited', {upstream, perSecond, source});
    } else if (change === LimitChange.Lifted) {
      this.log.info('upstream.unlimited', {upstream, source});
    }
  }
}
