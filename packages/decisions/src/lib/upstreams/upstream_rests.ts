/**
 * Times in which upstreams want no requests from this instance. An upstream
 * that turns a request away may name such a time.
 */
import type {Millis} from '../base/clock.js';
import type {UpstreamListing} from './upstream_registry.js';

/** A longer rest counts as this long, so that a wrong one does not last. */
export const MAX_REST: Millis = 60_000;

/** A process of an upstream. */
type UpstreamProcess = Pick<UpstreamListing, 'id' | 'startedAt'>;

interface Rest {
  /** Start time of the process that asked for it. */
  startedAt: number;
  endsAt: Millis;
}

/** The rests of the upstreams of one instance. */
export class UpstreamRests {
  /** The last rest of each upstream, by its identifier. */
  private readonly rests = new Map<string, Rest>();

  /** Records that a process asks for a rest; a later end prevails. */
  record({id, startedAt}: UpstreamProcess, time: Millis, now: Millis): void {
    const endsAt = Math.max(
      now + Math.min(time, MAX_REST),
      this.endOf({id, startedAt}),
    );
    this.rests.set(id, {startedAt, endsAt});
  }

  /** Whether a process wants no requests now. */
  isResting(process: UpstreamProcess, now: Millis): boolean {
    return now < this.endOf(process);
  }

  /** Returns when the first of some processes ends its rest. */
  firstEnd(processes: readonly UpstreamProcess[]): Millis {
    return Math.min(...processes.map(process => this.endOf(process)));
  }

  /** Forgets rests that have ended. */
  prune(now: Millis): void {
    for (const [id, {endsAt}] of this.rests) {
      if (now >= endsAt) {
        this.rests.delete(id);
      }
    }
  }

  private endOf({id, startedAt}: UpstreamProcess): Millis {
    const rest = this.rests.get(id);
    return rest?.startedAt === startedAt ? rest.endsAt : -Infinity;
  }
}
