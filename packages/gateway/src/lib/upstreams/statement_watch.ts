/**
 * Follows what upstreams state about themselves in their responses, and shares
 * it with the other instances.
 */
import {UpstreamRests} from '@citrontrestle/decisions';
import type {UpstreamResponseHead} from '../process/ports.js';
import type {
  Clock,
  Millis,
  UpstreamListing,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** What the head of a response states about the upstream that sent it. */
export type UpstreamStatement = Pick<
  UpstreamResponseHead,
  'isLeaving' | 'restTime'
>;

/** The process of an upstream that a statement is about. */
export type UpstreamProcess = Pick<UpstreamListing, 'id' | 'startedAt'>;

/** What a `StatementWatch` needs from the other components of its instance. */
export interface StatementWatchContext {
  /** Tells the other instances that a process leaves. */
  reportLeaving(process: UpstreamProcess): void;
}

/** The statements of upstreams, as one instance has learned of them. */
export class StatementWatch {
  private readonly rests = new UpstreamRests();

  constructor(
    private readonly registry: UpstreamRegistry,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly context: StatementWatchContext,
  ) {}

  /** Records the statement in one response of an upstream. */
  recordResponse(
    process: UpstreamProcess,
    {isLeaving, restTime}: UpstreamStatement,
  ): void {
    const {id} = process;
    if (isLeaving && this.recordLeaving(process, 'response')) {
      this.context.reportLeaving(process);
    }
    if (restTime !== undefined) {
      this.rests.record(process, restTime, this.clock.now());
      this.log.info('upstream.asks-rest', {upstream: id, restMs: restTime});
    }
  }

  /** Returns the upstreams that do not want a rest from this instance now. */
  withoutResting(upstreams: readonly UpstreamListing[]): UpstreamListing[] {
    const now = this.clock.now();
    return upstreams.filter(upstream => !this.rests.isResting(upstream, now));
  }

  /**
   * Returns the time until the first of some upstreams ends its rest; undefined
   * if one of them wants none, or there are no upstreams.
   */
  timeUntilFirstEnd(upstreams: readonly UpstreamListing[]): Millis | undefined {
    const time = this.rests.firstEnd(upstreams) - this.clock.now();
    return time > 0 && time < Infinity ? time : undefined;
  }

  /** Forgets rests that have ended. */
  prune(): void {
    this.rests.prune(this.clock.now());
  }

  /** Records that a process leaves; returns whether that is new. */
  recordLeaving({id, startedAt}: UpstreamProcess, source: string): boolean {
    const now = this.clock.now();
    const isNew = this.registry.markLeaving(id, startedAt, now);
    if (isNew) {
      this.log.info('upstream.states-leaving', {
        upstream: id,
        startedAt,
        source,
      });
    }
    return isNew;
  }
}
