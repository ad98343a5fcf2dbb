/**
 * Follows the operator's orders to evacuate zones, from the store and from peers,
 * and keeps new requests from the upstreams of evacuated zones.
 */
import {isZoneName, MAX_EVACUATED_ZONES} from '@citrontrestle/decisions';
import type {StoreEvent, StoreItem, StoreLayout} from '../process/ports.js';
import type {
  Clock,
  Evacuations,
  EvacuationChange,
  EvacuationSnapshot,
  StorePosition,
  UpstreamListing,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Callbacks of an `EvacuationWatch`. */
export interface EvacuationWatchHandler {
  /**
   * Called when zones were evacuated or taken back, to tell the peers.
   * @param source address of the peer that told it; undefined for the store.
   */
  onChanged(change: EvacuationChange, source: string | undefined): void;
  /** Called when a zone was taken back. */
  onOpened(zone: string): void;
}

/** Maximum number of characters of a malformed key that are logged. */
const MAX_LOGGED_KEY_LENGTH = 100;

/** The evacuations as one instance applies them. */
export class EvacuationWatch {
  constructor(
    private readonly evacuations: Evacuations,
    private readonly layout: Pick<StoreLayout, 'evacuationPrefix'>,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly handler: EvacuationWatchHandler,
  ) {}

  /** Whether nothing new may be sent to the upstreams of a zone. */
  isEvacuated(zone: string): boolean {
    return this.evacuations.isEvacuated(zone);
  }

  /** Whether any zone is evacuated. */
  isAnyEvacuated(): boolean {
    return this.evacuations.count() > 0;
  }

  /** Returns the upstreams that are not in an evacuated zone. */
  withoutEvacuated(upstreams: UpstreamListing[]): UpstreamListing[] {
    return this.isAnyEvacuated()
      ? upstreams.filter(({zone}) => !this.isEvacuated(zone))
      : upstreams;
  }

  /** Position of the store up to which the evacuations are known. */
  position(): StorePosition {
    return this.evacuations.position();
  }

  /** Returns all evacuated zones and the position, to be sent to peers. */
  snapshot(): EvacuationSnapshot {
    return this.evacuations.snapshot();
  }

  /** Applies a list of keys of the operator, other keys than orders included. */
  applyStoreList(items: readonly StoreItem[], position: StorePosition): void {
    const zones = items
      .filter(({key}) => this.isOrder(key))
      .map(({key}) => this.zoneOf(key))
      .filter(zone => zone !== undefined);
    if (zones.length > MAX_EVACUATED_ZONES) {
      this.log.error('evacuation.too-many', {zones: zones.length});
    }
    this.applySnapshot({...position, zones}, undefined);
  }

  /** Applies a changed key of the operator, unless it is no order. */
  applyStoreChange({key, value, revision}: StoreEvent, era: number): void {
    const zone = this.isOrder(key) ? this.zoneOf(key) : undefined;
    if (zone !== undefined) {
      this.handleChange(
        this.evacuations.applyChange(
          zone,
          value !== undefined,
          {era, revision},
          this.clock.now(),
        ),
        undefined,
      );
    }
  }

  /** Applies the state of a peer. */
  applyPeerState(state: EvacuationSnapshot, peer: string): void {
    this.applySnapshot(state, peer);
  }

  private applySnapshot(
    snapshot: EvacuationSnapshot,
    source: string | undefined,
  ): void {
    const now = this.clock.now();
    this.handleChange(this.evacuations.applySnapshot(snapshot, now), source);
  }

  private isOrder(key: string): boolean {
    return key.startsWith(this.layout.evacuationPrefix);
  }

  /** Returns the zone that a key names; logs a malformed one. */
  private zoneOf(key: string): string | undefined {
    const zone = key.slice(this.layout.evacuationPrefix.length);
    if (isZoneName(zone)) {
      return zone;
    }
    this.log.warn('evacuation.unreadable', {
      key: key.slice(0, MAX_LOGGED_KEY_LENGTH),
      length: key.length,
    });
    return undefined;
  }

  private handleChange(
    change: EvacuationChange | undefined,
    source: string | undefined,
  ): void {
    if (change === undefined) {
      return;
    }
    const {evacuated, opened} = change;
    const {era, revision} = this.position();
    const fields = {era, revision, source: source ?? 'store'};
    for (const zone of evacuated) {
      this.log.info('zone.evacuated', {zone, ...fields});
    }
    for (const zone of opened) {
      this.log.info('zone.taken-back', {zone, ...fields});
      this.handler.onOpened(zone);
    }
    if (evacuated.length + opened.length > 0) {
      this.handler.onChanged(change, source);
    }
  }
}
