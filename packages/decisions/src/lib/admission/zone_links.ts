/**
 * How full the links of a zone's instances are, and which instances may be not
 * ready. Covers this load pattern: several links are full at once, so that if each
 * instance decided alone, none would take connections in the end.
 *
 * Each instance reports its utilisation in its heartbeats; in a large fleet the
 * zone's relay sends the summary back in its own, so the traffic grows linearly
 * with the fleet. A summary costs one sort of the zone's instances.
 */

/** The links of a zone, as one instance knows them. */
export interface ZoneLinks {
  /** Number of instances that are known. */
  size: number;
  /** Mean utilisation of their links; one that is more than full counts as full. */
  use: number;
  /**
   * Utilisation from which an instance may be not ready; at most `maxUnready`
   * instances reach it.
   */
  unreadyFrom: number;
}

/** Fraction of a zone's instances that may be not ready together. */
const MAX_UNREADY_FRACTION = 1 / 3;

/** Utilisation that no instance reaches. */
const UNREACHED_UTILISATION = 1_000_000;

/** Mean utilisation of the others above which the zone as a whole has no room. */
const FULL_ZONE_UTILISATION = 0.5;

/** Returns how many instances of a zone may be not ready together. */
export function maxUnready(size: number): number {
  const isSpared = size >= 2;
  return isSpared ? Math.max(1, Math.floor(size * MAX_UNREADY_FRACTION)) : 0;
}

/** Summarises the utilisation of all links of a zone, the own one included. */
export function summariseLinks(utilisations: readonly number[]): ZoneLinks {
  const size = utilisations.length;
  const total = utilisations.reduce((sum, use) => sum + countedUse(use), 0);
  const heaviest = [...utilisations].sort((a, b) => b - a);
  const allowed = maxUnready(size);
  const last = heaviest[allowed - 1];
  // If more instances than allowed have the same utilisation, these stay ready.
  const isTied = last === heaviest[allowed];
  const above = heaviest.filter(use => last !== undefined && use > last);
  const from = isTied ? above.at(-1) : last;
  return {
    size,
    use: size === 0 ? 0 : total / size,
    unreadyFrom: from ?? UNREACHED_UTILISATION,
  };
}

/**
 * Whether the other instances of the zone have room for more callers.
 * @param ownUse utilisation of the own link, which is part of the mean.
 */
export function hasZoneRoom({size, use}: ZoneLinks, ownUse: number): boolean {
  const useOfOthers = (use * size - countedUse(ownUse)) / (size - 1);
  return size >= 2 && useOfOthers < FULL_ZONE_UTILISATION;
}

/**
 * Returns how much a link counts in the mean. Instances report the highest use
 * since they became busy: a few of them would make the zone look full that has
 * room for their callers.
 */
function countedUse(utilisation: number): number {
  return Math.min(1, utilisation);
}
