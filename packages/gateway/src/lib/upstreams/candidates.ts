/** The upstreams to which one request may be sent. */
import {RefusalReason} from '../requests/refusal.js';
import type {HeldBack} from './cold_watch.js';
import type {InstanceContext} from '../process/instance_context.js';
import type {Homes, Millis, UpstreamListing} from '@citrontrestle/decisions';

/** The components that know what upstreams may get. */
type Watches = Pick<
  InstanceContext,
  | 'upstreamRegistry'
  | 'limitWatch'
  | 'statementWatch'
  | 'brittleWatch'
  | 'evacuationWatch'
  | 'coldWatch'
>;

/** Selects the upstreams of one service. */
export class Candidates {
  constructor(
    private readonly watches: Watches,
    private readonly service: string,
    /** Regions that the request may reach. */
    private readonly homes: Homes,
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
    const {statementWatch} = this.watches;
    return statementWatch.timeUntilFirstEnd(this.permitted(undefined, now));
  }

  /**
   * Returns why no upstream may get the request, if the homes or evacuations
   * exclude all that there are; undefined otherwise.
   */
  blockedReason(
    version: string | undefined,
    now: Millis,
  ): RefusalReason | undefined {
    if (
      !this.homes.isBound() &&
      !this.watches.evacuationWatch.isAnyEvacuated()
    ) {
      return undefined;
    }
    const usable = this.usable(version, now);
    const atHome = this.atHome(usable);
    if (usable.length > 0 && atHome.length === 0) {
      return RefusalReason.OutsideHomes;
    }
    const open = this.watches.evacuationWatch.withoutEvacuated(atHome);
    return atHome.length > 0 && open.length === 0
      ? RefusalReason.ZoneEvacuated
      : undefined;
  }

  /** Returns the upstreams that may get a request once they have room. */
  private willing(version: string | undefined, now: Millis): UpstreamListing[] {
    const {statementWatch} = this.watches;
    return statementWatch.withoutResting(this.permitted(version, now));
  }

  /** Returns the upstreams at home and outside evacuated zones. */
  private permitted(
    version: string | undefined,
    now: Millis,
  ): UpstreamListing[] {
    const {evacuationWatch} = this.watches;
    return evacuationWatch.withoutEvacuated(
      this.atHome(this.usable(version, now)),
    );
  }

  private atHome(upstreams: UpstreamListing[]): UpstreamListing[] {
    return this.homes.isBound()
      ? upstreams.filter(({zone}) => this.homes.allowsUpstream(zone))
      : upstreams;
  }

  private usable(version: string | undefined, now: Millis): UpstreamListing[] {
    const {upstreamRegistry} = this.watches;
    const upstreams = upstreamRegistry.usableUpstreams(this.service, now);
    return version === undefined
      ? upstreams
      : upstreams.filter(upstream => upstream.version === version);
  }
}
