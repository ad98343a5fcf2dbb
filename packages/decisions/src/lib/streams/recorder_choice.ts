/**
 * Chooses the instances that record the beginnings of streams in the store. In a
 * small fleet each instance knows all beginnings, so one is enough; in a large
 * one each relay knows those of its zone.
 */
import type {Millis} from '../base/clock.js';
import type {ExchangePartners} from '../fleet/topology.js';

/** Silence of the store from which an instance leaves the record to others. */
const MAX_STORE_SILENCE: Millis = 3_000;

/** An instance that may record. */
export interface RecorderCandidate {
  address: string;
  /** Time since the store last answered it. */
  storeSilence: Millis;
}

/**
 * Whether an instance records. Two recorders at once only cost some calls.
 * @param peers live mesh peers of a version that records.
 */
export function isRecorder(
  self: RecorderCandidate,
  {relay, followers}: ExchangePartners,
  peers: readonly RecorderCandidate[],
): boolean {
  if (relay !== undefined) {
    return false;
  }
  if (followers.length > 0) {
    return true;
  }
  const reachesStore = ({storeSilence}: RecorderCandidate) =>
    storeSilence <= MAX_STORE_SILENCE;
  return (
    reachesStore(self) &&
    peers.filter(reachesStore).every(({address}) => self.address < address)
  );
}
