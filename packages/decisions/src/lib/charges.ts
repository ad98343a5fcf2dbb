/** Reservations of running requests, and charges not yet known to be safe. */
import type {Millis} from './clock.js';

/** The reservation of one request. */
export interface Hold {
  budget: string;
  tokens: number;
}

/** A charge that its caller waits for. */
export interface Unsecured {
  request: string;
  budget: string;
  /** When the wait ends. */
  until: Millis;
}

/** Reservations and charges of one entry. */
export class Charges {
  private readonly holds = new Map<string, Hold>();
  private readonly unsecured = new Map<string, Unsecured>();
  private readonly keepers = new Map<string, string>();

  /** Whether no reservation is open. */
  empty(): boolean {
    return this.holds.size === 0;
  }

  /** Notes a reservation. */
  hold(request: string, hold: Hold): void {
    this.holds.set(request, hold);
  }

  /** Ends a reservation; undefined when there is none. */
  take(request: string): Hold | undefined {
    const hold = this.holds.get(request);
    this.holds.delete(request);
    return hold;
  }

  /** Notes a charge that its caller waits for. */
  await(digest: string, charge: Unsecured): void {
    this.unsecured.set(digest, charge);
  }

  /** Ends the wait for a charge; returns its request, if one waits. */
  secure(digest: string): string | undefined {
    const request = this.unsecured.get(digest)?.request;
    this.unsecured.delete(digest);
    return request;
  }

  /** Charges that were waited for long enough. */
  late(now: Millis): {digest: string; budget: string}[] {
    return [...this.unsecured]
      .filter(([, charge]) => now >= charge.until)
      .map(([digest, {budget}]) => ({digest, budget}));
  }

  /** Notes who keeps a copy of a charge. */
  kept(digest: string, keeper: string): void {
    this.keepers.set(digest, keeper);
  }

  /** Forgets who keeps a copy; returns it, if anybody does. */
  settled(digest: string): string | undefined {
    const keeper = this.keepers.get(digest);
    this.keepers.delete(digest);
    return keeper;
  }
}
