/** The upstreams to which one request may be sent. */
import type {HeldBack} from './cold_watch.js';
import type {InstanceContext} from '../process/instance_context.js';
import type {Millis, UpstreamListing} from '@citrontrestle/decisions';

/** The components that know what upstreams may get. */
type Watches = Pick<
  InstanceContext,
  | 'upstreamRegistry'
  | 'limitWatch'
  | 'statementWatch'
  | 'brittleWatch'
  | 'coldWatch'
>;

/** Selects the upstreams of one service. */
export class Candidates {
  constructor(
    private readonly watches: Watches,
    private readonly service: string,
  ) {}

  /**
   * Returns the upstreams that may get a request now.
   * @param version only upstreams of this version; undefined for all.
   */
  available(version: string | undefined, now: Millis): UpstreamListing[] {
    const {limitWatch, brittleWatch, coldWatch} = this.watches;
    const withRoom = brittleWatch.withRoom(this.willing(version, now));
    return coldWatch.withinPermits(limitWatch.withinLimits(withRoom));
  }

  /** Whether an upstream that was not tried lacks only room for a request. */
  someLackRoom(
    tried: ReadonlySet<string>,
    version: string | undefined,
    now: Millis,
  ): boolean {
    const untried = this.willing(version, now).filter(({id}) => !tried.has(id));
    return this.watches.brittleWatch.withRoom(untried).length < untried.length;
  }

  /** Returns what holds back cold upstreams that were not tried, if any. */
  heldBack(
    tried: ReadonlySet<string>,
    version: string | undefined,
    now: Millis,
  ): HeldBack | undefined {
    const untried = this.willing(version, now).filter(({id}) => !tried.has(id));
    return this.watches.coldWatch.heldBack(untried);
  }

  /** Returns the time for which all upstreams want a rest, if they do. */
  restTime(now: Millis): Millis | undefined {
    const {upstreamRegistry, statementWatch} = this.watches;
    return statementWatch.timeUntilFirstEnd(
      upstreamRegistry.usableUpstreams(this.service, now),
    );
  }

  /** Returns the upstreams that may get a request once they have room. */
  private willing(version: string | undefined, now: Millis): UpstreamListing[] {
    const {upstreamRegistry, statementWatch} = this.watches;
    const upstreams = upstreamRegistry.usableUpstreams(this.service, now);
    const compatible =
      version === undefined
        ? upstreams
        : upstreams.filter(upstream => upstream.version === version);
    return statementWatch.withoutResting(compatible);
  }
}
