/**
 * The availability zones that the operator has evacuated. Covers this situation:
 * instances learn of an evacuation and of its end at different times, from the
 * store and from each other.
 *
 * The state is a snapshot: all evacuated zones as of one position of the store.
 * A newer snapshot replaces an older one whole, and nothing else changes it but
 * the next change in the same era. So a zone that was taken back is not among the
 * zones of any newer snapshot, and no older message can evacuate it again.
 */
import {setNewest} from '../base/recent_entries.js';
import {isNewer, UNKNOWN_POSITION} from './store_position.js';
import type {Millis} from '../base/clock.js';
import type {StorePosition} from './store_position.js';

/** Maximum length of the name of a zone, in characters. */
export const MAX_ZONE_NAME_LENGTH = 200;

/** Maximum number of evacuated zones, so that they fit into one message. */
export const MAX_EVACUATED_ZONES = 256;

/** All evacuated zones as of a position of the store. */
export interface EvacuationSnapshot extends StorePosition {
  zones: readonly string[];
}

/** What a newer state changes. */
export interface EvacuationChange {
  /** Zones that are evacuated now and were not before. */
  evacuated: string[];
  /** Zones that were evacuated before and are taken back now. */
  opened: string[];
}

/** Matches names without control characters or undecodable bytes. */
const ZONE_NAME_PATTERN = /^[^\p{Cc}\p{Cs}\uFFFD]+$/u;

/** Whether a text can be the name of a zone. */
export function isZoneName(text: string): boolean {
  return text.length <= MAX_ZONE_NAME_LENGTH && ZONE_NAME_PATTERN.test(text);
}

/**
 * The evacuated zones as one instance knows them. A look-up costs one access to
 * a set, whatever the number of instances and upstreams.
 */
export class Evacuations {
  private current: StorePosition = UNKNOWN_POSITION;
  private evacuated = new Set<string>();
  /** When each zone was last taken back, by zone; the least recent first. */
  private readonly openedTimes = new Map<string, Millis>();

  /** Position of the store up to which all evacuations are known. */
  position(): StorePosition {
    return this.current;
  }

  /** Returns the state, to be sent to peers. */
  snapshot(): EvacuationSnapshot {
    return {...this.current, zones: [...this.evacuated]};
  }

  /** Whether nothing new may be sent to the upstreams of a zone. */
  isEvacuated(zone: string): boolean {
    return this.evacuated.has(zone);
  }

  /** Number of evacuated zones. */
  count(): number {
    return this.evacuated.size;
  }

  /** Returns when a zone was last taken back; undefined if it never was. */
  openedAt(zone: string): Millis | undefined {
    return this.openedTimes.get(zone);
  }

  /**
   * Replaces the state by a newer one, from the store or from a peer. Returns
   * what it changes; undefined if it is not newer. Names that no zone can have
   * and zones above the maximum number are left out.
   */
  applySnapshot(
    {era, revision, zones}: EvacuationSnapshot,
    now: Millis,
  ): EvacuationChange | undefined {
    if (!isNewer({era, revision}, this.current)) {
      return undefined;
    }
    const named = [...new Set(zones.filter(isZoneName))];
    return this.replace(
      {era, revision},
      new Set(named.slice(0, MAX_EVACUATED_ZONES)),
      now,
    );
  }

  /**
   * Applies the next change of one zone in the era of the state. Returns what it
   * changes; undefined if it is not newer, is of another era, or evacuates one
   * zone too many.
   */
  applyChange(
    zone: string,
    isEvacuated: boolean,
    {era, revision}: StorePosition,
    now: Millis,
  ): EvacuationChange | undefined {
    const isNext =
      era === this.current.era && isNewer({era, revision}, this.current);
    const isExcess =
      isEvacuated &&
      !this.evacuated.has(zone) &&
      this.evacuated.size >= MAX_EVACUATED_ZONES;
    if (!isNext || isExcess || !isZoneName(zone)) {
      return undefined;
    }
    const next = new Set(this.evacuated);
    if (isEvacuated) {
      next.add(zone);
    } else {
      next.delete(zone);
    }
    return this.replace({era, revision}, next, now);
  }

  private replace(
    position: StorePosition,
    next: Set<string>,
    now: Millis,
  ): EvacuationChange {
    const previous = this.evacuated;
    const evacuated = [...next].filter(zone => !previous.has(zone));
    const opened = [...previous].filter(zone => !next.has(zone));
    this.current = position;
    this.evacuated = next;
    evacuated.forEach(zone => this.openedTimes.delete(zone));
    opened.forEach(zone =>
      setNewest(this.openedTimes, zone, now, MAX_EVACUATED_ZONES),
    );
    return {evacuated, opened};
  }
}
