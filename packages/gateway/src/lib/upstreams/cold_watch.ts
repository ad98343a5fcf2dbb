/**
 * Keeps this instance to its part of what cold upstreams take, and shares what
 * it learns of them with the other instances.
 */
import {ColdUpstreams, FleetMemory} from '@citrontrestle/decisions';
import type {
  Clock,
  ColdPermit,
  ColdProcess,
  ColdProfile,
  ColdTolerance,
  FleetView,
  Millis,
  UpstreamListing,
  UpstreamRegistry,
  UpstreamUpdate,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** What a `ColdWatch` needs from the other components of its instance. */
export interface ColdWatchContext {
  /** Whether the settings name other instances. */
  expectsPeers: boolean;
  /** Returns the running instances that are not stopping. */
  fleetView(): FleetView;
  /** Returns what is configured of a service; undefined if nothing is. */
  profileOf(service: string): ColdProfile | undefined;
  /** Tells the other instances that a process is cold. */
  reportCold(process: ColdProcess, remaining: Millis): void;
}

/** What holds a request back if only cold upstreams are left. */
export interface HeldBack {
  /** Time until this instance may send one of them a request. */
  wait: Millis;
  /** Number of upstreams held back. */
  upstreams: number;
  /** Permits that this instance holds for them. */
  ownPermits: number;
}

/** Time for which the known fleet is used before it is determined again. */
const FLEET_TTL: Millis = 250;

/** The cold upstreams, as this instance treats them. */
export class ColdWatch {
  private readonly upstreams: ColdUpstreams;
  private readonly memory: FleetMemory;
  private fleet: FleetView | undefined;
  private fleetAt: Millis = -Infinity;
  /** Whether a list has been received since the start of this process. */
  private hasList = false;

  constructor(
    tolerance: ColdTolerance,
    private readonly registry: UpstreamRegistry,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly context: ColdWatchContext,
  ) {
    this.upstreams = new ColdUpstreams(tolerance);
    this.memory = new FleetMemory(context.expectsPeers);
  }

  /** Returns the upstreams to which this instance may send a request now. */
  withinPermits(upstreams: readonly UpstreamListing[]): UpstreamListing[] {
    const now = this.clock.now();
    if (this.upstreams.isEmpty(now)) {
      return [...upstreams];
    }
    return upstreams.filter(upstream => {
      const permit = this.permit(upstream, now);
      return permit === undefined || permit.wait <= 0;
    });
  }

  /** Returns what holds some upstreams back; undefined if nothing does. */
  heldBack(upstreams: readonly UpstreamListing[]): HeldBack | undefined {
    const now = this.clock.now();
    if (this.upstreams.isEmpty(now)) {
      return undefined;
    }
    const permits = upstreams
      .map(upstream => this.permit(upstream, now))
      .filter(permit => permit !== undefined)
      .filter(({wait}) => wait > 0);
    if (permits.length === 0) {
      return undefined;
    }
    return {
      wait: permits.reduce((least, {wait}) => Math.min(least, wait), Infinity),
      upstreams: permits.length,
      ownPermits: permits.reduce((sum, {ownPermits}) => sum + ownPermits, 0),
    };
  }

  /** Records a request that is sent to an upstream. */
  recordSent(upstream: string): void {
    this.upstreams.recordSent(upstream, this.clock.now());
  }

  /** Records updates of the list; the first ones are the whole list. */
  recordUpdates(updates: readonly UpstreamUpdate[]): void {
    const now = this.clock.now();
    for (const {id, listing} of updates) {
      const profile = listing && this.context.profileOf(listing.service);
      const isFirst = !this.hasList;
      if (
        this.upstreams.recordListing(id, listing, profile, isFirst, now) &&
        isBounded(profile)
      ) {
        this.logCold(id, listing?.cold, 'list');
      }
    }
    this.hasList ||= updates.length > 0;
  }

  /**
   * Records what a response of an upstream says.
   * @param coldTime undefined if it says nothing; 0 if it is not cold.
   * @param sentAt when the request was sent.
   */
  recordResponse(
    process: ColdProcess,
    coldTime: Millis | undefined,
    sentAt: Millis,
  ): void {
    if (coldTime === undefined) {
      return;
    }
    if (coldTime <= 0) {
      this.upstreams.recordWarm(process, sentAt);
    } else if (this.recordCold(process, coldTime, 'response')) {
      this.context.reportCold(process, coldTime);
    }
  }

  /** Records what a peer learned of an upstream. */
  recordPeerReport(
    process: ColdProcess,
    remaining: Millis,
    peer: string,
  ): void {
    this.recordCold(process, remaining, peer);
  }

  /**
   * Records that a zone may get requests again: its upstreams may have turned
   * cold meanwhile.
   */
  recordZoneOpened(zone: string, now: Millis): void {
    const opened = this.registry
      .listedUpstreams()
      .filter(upstream => upstream.zone === zone);
    for (const {id, service} of opened) {
      const profile = this.context.profileOf(service);
      if (profile !== undefined) {
        this.upstreams.recordUnseen(id, profile, now);
      }
    }
    this.log.info('upstream.cold-zone', {zone, upstreams: opened.length});
  }

  /** Returns the number of cold upstreams by service. */
  coldCounts(): Map<string, number> {
    const counts = new Map<string, number>();
    const now = this.clock.now();
    const cold = new Set(this.upstreams.coldIds(now));
    for (const {id, service} of this.registry.listedUpstreams()) {
      const isCold = cold.has(id);
      counts.set(service, (counts.get(service) ?? 0) + (isCold ? 1 : 0));
    }
    return counts;
  }

  /** Forgets upstreams that are gone, and updates the known fleet. */
  prune(): void {
    const now = this.clock.now();
    this.upstreams.prune(now);
    this.updateFleet(now);
  }

  private permit(
    {id, service}: UpstreamListing,
    now: Millis,
  ): ColdPermit | undefined {
    const profile = this.context.profileOf(service);
    if (profile === undefined || !this.upstreams.isCold(id, now)) {
      return undefined;
    }
    return this.upstreams.permit(id, profile, this.updateFleet(now), now);
  }

  /** Returns the fleet among which permits are shared. */
  private updateFleet(now: Millis): FleetView | undefined {
    if (now - this.fleetAt >= FLEET_TTL) {
      this.fleetAt = now;
      this.fleet = this.memory.update(this.context.fleetView(), now);
    }
    return this.fleet;
  }

  private recordCold(
    process: ColdProcess,
    remaining: Millis,
    source: string,
  ): boolean {
    const now = this.clock.now();
    const isNew = this.upstreams.recordCold(process, remaining, now);
    if (isNew) {
      this.logCold(process.id, remaining, source);
    }
    return isNew;
  }

  private logCold(
    upstream: string,
    remaining: Millis | undefined,
    source: string,
  ): void {
    this.log.info('upstream.cold', {upstream, coldMs: remaining, source});
  }
}

/** Whether the cold upstreams of a service take a limited rate only. */
function isBounded(profile: ColdProfile | undefined): boolean {
  return profile !== undefined && profile.coldRequestsPerSecond > 0;
}
