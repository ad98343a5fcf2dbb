/**
 * Keeps this instance from filling brittle upstreams beyond their room, and
 * shares what it learns of them with the other instances.
 */
import {BrittleUpstreams} from '@citrontrestle/decisions';
import type {
  BrittleStatement,
  Clock,
  FleetView,
  Millis,
  RunningRequests,
  UpstreamListing,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Minimum time between two reports of an unchanged statement to the peers. */
const REPORT_INTERVAL: Millis = 2_000;

/** What one response of an upstream says of its brittleness. */
export interface BrittleResponse {
  /** Undefined if it does not say that it is brittle. */
  maxRejections: number | undefined;
  /** Whether it rejects the request. */
  isRejection: boolean;
}

/** What a `BrittleWatch` needs from the other components of its instance. */
export interface BrittleWatchContext {
  /** Returns the running instances that are not stopping. */
  fleetView(): FleetView;
  /** Returns the requests that are known to run at an upstream. */
  runningAt(upstream: string, now: Millis): RunningRequests;
  /**
   * Reports a statement to the other instances.
   * @param isFull whether the upstream has just rejected a request.
   */
  report(statement: BrittleStatement, isFull: boolean): void;
}

/** The brittle upstreams, as this instance treats them. */
export class BrittleWatch {
  private readonly upstreams = new BrittleUpstreams();
  /** When each statement was last reported to the peers, by upstream. */
  private readonly reportedAt = new Map<string, Millis>();

  constructor(
    private readonly registry: UpstreamRegistry,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly context: BrittleWatchContext,
  ) {}

  /** Returns the upstreams that have room for one more request. */
  withRoom(upstreams: readonly UpstreamListing[]): UpstreamListing[] {
    if (this.upstreams.isEmpty()) {
      return [...upstreams];
    }
    const now = this.clock.now();
    const fleet = this.context.fleetView();
    return upstreams.filter(upstream => {
      const running = this.context.runningAt(upstream.id, now);
      return this.upstreams.hasRoom(
        upstream,
        () => this.firstSlotOf(upstream),
        running,
        fleet,
        now,
        Math.random,
      );
    });
  }

  /** Returns the number of slots of the upstreams before it in its service. */
  private firstSlotOf({id, service}: UpstreamListing): number {
    return this.registry
      .listedUpstreams()
      .filter(other => other.service === service && other.id < id)
      .reduce((sum, {slots}) => sum + slots, 0);
  }

  /** Records what a response of an upstream says. */
  recordResponse(
    {id, startedAt}: Pick<UpstreamListing, 'id' | 'startedAt'>,
    {maxRejections, isRejection}: BrittleResponse,
  ): void {
    if (maxRejections === undefined) {
      // A rejection may come from something in between.
      if (!isRejection && this.upstreams.recordSound(id)) {
        this.log.info('upstream.sound', {upstream: id});
      }
      return;
    }
    const statement = {id, startedAt, maxRejections};
    const isNew = this.record(statement, isRejection, 'response');
    const now = this.clock.now();
    const reportedAt = this.reportedAt.get(id) ?? -Infinity;
    if (isNew || isRejection || now - reportedAt >= REPORT_INTERVAL) {
      this.reportedAt.set(id, now);
      this.context.report(statement, isRejection);
    }
  }

  /** Records what a peer learned of an upstream. */
  recordPeerReport(
    statement: BrittleStatement,
    isFull: boolean,
    peer: string,
  ): void {
    this.record(statement, isFull, peer);
  }

  /** Forgets statements that no longer hold. */
  prune(): void {
    const now = this.clock.now();
    this.upstreams.prune(now);
    for (const [upstream, reportedAt] of this.reportedAt) {
      if (now - reportedAt >= REPORT_INTERVAL) {
        this.reportedAt.delete(upstream);
      }
    }
  }

  private record(
    statement: BrittleStatement,
    isRejection: boolean,
    source: string,
  ): boolean {
    const {id, maxRejections} = statement;
    const now = this.clock.now();
    const isNew = this.upstreams.recordStatement(statement, now);
    if (isNew) {
      const upstream = id;
      this.log.info('upstream.brittle', {upstream, maxRejections, source});
    }
    if (isRejection) {
      this.upstreams.recordRejection(id, now);
    }
    return isNew;
  }
}
