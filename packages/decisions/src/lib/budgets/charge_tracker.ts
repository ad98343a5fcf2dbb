/**
 * Reservations of running requests, and charges that are not yet secured. A
 * charge is secured once it is in the ledger or copied to another entry, so
 * that it survives the loss of this process.
 */
import type {Millis} from '../base/clock.js';

/** The reservation of one request. */
export interface Reservation {
  budget: string;
  tokens: number;
}

/** A charge that is not secured yet, and the request that waits for it. */
export interface UnsecuredCharge {
  request: string;
  budget: string;
  /** When the request stops waiting. */
  deadline: Millis;
}

/** Reservations and unsecured charges of one entry. */
export class ChargeTracker {
  private readonly reservations = new Map<string, Reservation>();
  private readonly unsecuredCharges = new Map<string, UnsecuredCharge>();
  /** The holder that keeps a copy of each charge, by the charge's digest. */
  private readonly copyHolders = new Map<string, string>();

  /** Whether no request has a reservation. */
  hasNoReservations(): boolean {
    return this.reservations.size === 0;
  }

  /** Records the reservation of a request. */
  addReservation(request: string, reservation: Reservation): void {
    this.reservations.set(request, reservation);
  }

  /** Removes and returns the reservation of a request, if there is one. */
  removeReservation(request: string): Reservation | undefined {
    const reservation = this.reservations.get(request);
    this.reservations.delete(request);
    return reservation;
  }

  /** Records a charge whose request waits until it is secured. */
  addUnsecuredCharge(digest: string, charge: UnsecuredCharge): void {
    this.unsecuredCharges.set(digest, charge);
  }

  /** Ends the wait for a charge; returns the request that waited, if any. */
  removeUnsecuredCharge(digest: string): string | undefined {
    const request = this.unsecuredCharges.get(digest)?.request;
    this.unsecuredCharges.delete(digest);
    return request;
  }

  /** Returns the unsecured charges whose deadline has passed. */
  overdueCharges(now: Millis): {digest: string; budget: string}[] {
    return [...this.unsecuredCharges]
      .filter(([, charge]) => now >= charge.deadline)
      .map(([digest, {budget}]) => ({digest, budget}));
  }

  /** Records which holder keeps a copy of a charge. */
  setCopyHolder(digest: string, copyHolder: string): void {
    this.copyHolders.set(digest, copyHolder);
  }

  /** Removes and returns the holder that keeps a copy, if there is one. */
  removeCopyHolder(digest: string): string | undefined {
    const copyHolder = this.copyHolders.get(digest);
    this.copyHolders.delete(digest);
    return copyHolder;
  }
}
