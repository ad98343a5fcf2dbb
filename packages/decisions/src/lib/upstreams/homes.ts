/**
 * Keeps requests in their homes: the regions that the operator allows for a
 * route, an account or both. Covers this situation: requests must not leave a
 * region, while the upstreams there fail and others elsewhere have room.
 */

/** The region of each availability zone. */
export class Regions {
  private readonly regionsByZone: ReadonlyMap<string, string>;

  constructor(regionsByZone: Readonly<Record<string, string>>) {
    this.regionsByZone = new Map(Object.entries(regionsByZone));
  }

  /** Returns the region of a zone; undefined if it is not known. */
  regionOf(zone: string): string | undefined {
    return this.regionsByZone.get(zone);
  }
}

/**
 * The homes of one request. A look-up costs one access for each set of homes;
 * a request without homes costs none.
 */
export class Homes {
  /** The sets that bind; a region must be in each of them. */
  private readonly sets: ReadonlyArray<readonly string[]>;

  /** @param sets homes of the route and of the account; an empty one is none. */
  constructor(
    sets: ReadonlyArray<readonly string[]>,
    private readonly regions: Regions,
  ) {
    this.sets = sets.filter(regionNames => regionNames.length > 0);
  }

  /** Whether the request may not go everywhere. */
  isBound(): boolean {
    return this.sets.length > 0;
  }

  /**
   * Whether the request may reach an upstream in a zone. It reaches none in a
   * zone of which the region is not known.
   */
  allowsUpstream(zone: string): boolean {
    return !this.isBound() || this.isHome(this.regions.regionOf(zone));
  }

  /**
   * Whether the body may go to another instance in a zone: its region is a home
   * or that of the instance which the caller reached.
   */
  allowsPeer(zone: string, ownZone: string): boolean {
    if (!this.isBound()) {
      return true;
    }
    const region = this.regions.regionOf(zone);
    const ownRegion = this.regions.regionOf(ownZone);
    const isOwn =
      zone === ownZone || (region !== undefined && region === ownRegion);
    return isOwn || this.isHome(region);
  }

  /** Returns the regions that all sets allow. */
  regionNames(): string[] {
    const [first = []] = this.sets;
    return first.filter(region => this.isHome(region));
  }

  private isHome(region: string | undefined): boolean {
    return (
      region !== undefined && this.sets.every(names => names.includes(region))
    );
  }
}
