/** Checks that planned changes are in force in time. */
import {gatewayFinder, isUndisturbed} from './matching.js';
import type {Disruption, RunObservations, Violation} from '../observations.js';
import type {Millis} from '@citrontrestle/decisions';

/**
 * Maximum time until all instances apply the revocation of a key, the drain of an
 * upstream or the evacuation of a zone.
 */
export const CHANGE_PROPAGATION_LIMIT: Millis = 2_000;

/**
 * Finds requests that were served with a key that had been revoked for longer
 * than the propagation limit.
 */
export function findUsesOfRevokedKeys({
  sentRequests,
  disruptions,
  revocations,
}: RunObservations): Violation[] {
  return sentRequests
    .filter(request => {
      const revocation = revocations.find(
        ({apiKey}) => apiKey === request.apiKey,
      );
      const propagatedAt =
        (revocation?.revokedAt ?? Infinity) + CHANGE_PROPAGATION_LIMIT;
      const wasServedLate =
        request.sentAt > propagatedAt && request.result.status === 200;
      return (
        wasServedLate &&
        isUndisturbed(
          disruptions,
          request.gateway,
          request.sentAt,
          request.sentAt,
        )
      );
    })
    .map(({id, gateway}) => ({
      guarantee: 'a key that is gone serves nobody',
      detail: `served by ${gateway} with a revoked key`,
      requestIds: [id],
    }));
}

/**
 * Finds requests that reached an upstream later than the propagation limit after
 * the store had said that it leaves, or after the instance itself had learned
 * it. Faults of the store don't excuse an instance that has learned it.
 */
export function findRunsAfterDrain(observations: RunObservations): Violation[] {
  const {sentRequests, upstreamRuns, disruptions} = observations;
  const {drainNotices = [], refusedRuns = [], upstreamDrains} = observations;
  const gatewayOf = gatewayFinder(sentRequests);
  const ownDisruptions = disruptions.filter(
    ({isOfStore}) => isOfStore !== true,
  );
  return [...upstreamRuns, ...refusedRuns].flatMap(({upstream, run}) => {
    const {startedAt} = run;
    const gateway = gatewayOf(run);
    const isLate = (at: number) => startedAt > at + CHANGE_PROPAGATION_LIMIT;
    const isBound = (causes: Disruption[]) =>
      isUndisturbed(causes, gateway, startedAt, startedAt);
    const drain = upstreamDrains.find(
      candidate =>
        candidate.upstream === upstream &&
        candidate.isOnlyStated !== true &&
        isLate(candidate.announcedAt) &&
        isBound(disruptions),
    );
    const notice = drainNotices.find(
      candidate =>
        candidate.upstream === upstream &&
        candidate.gateway === gateway &&
        startedAt < candidate.until &&
        isLate(candidate.at) &&
        isBound(ownDisruptions),
    );
    const lateness = [
      ...(drain === undefined
        ? []
        : [`${startedAt - drain.announcedAt} ms after the store knew`]),
      ...(notice === undefined
        ? []
        : [`${startedAt - notice.at} ms after the instance knew`]),
    ];
    return lateness.length === 0
      ? []
      : [
          {
            guarantee: 'an upstream that leaves gets nothing new',
            detail: `draining ${upstream} got a request from ${gateway}, ${lateness.join(', ')}`,
            requestIds: [run.id],
          },
        ];
  });
}

/**
 * Finds requests that an upstream started to run after its zone had been
 * evacuated for longer than the propagation limit, and before it was taken back.
 */
export function findRunsAfterEvacuation({
  sentRequests,
  upstreamRuns,
  disruptions,
  evacuations,
}: RunObservations): Violation[] {
  const gatewayOf = gatewayFinder(sentRequests);
  return upstreamRuns
    .filter(({zone, run}) => {
      const {startedAt} = run;
      const isLate = evacuations.some(
        evacuation =>
          evacuation.zone === zone &&
          startedAt > evacuation.orderedAt + CHANGE_PROPAGATION_LIMIT &&
          startedAt < evacuation.takenBackAt,
      );
      const gateway = gatewayOf(run);
      return (
        isLate && isUndisturbed(disruptions, gateway, startedAt, startedAt)
      );
    })
    .map(({upstream, zone, run}) => ({
      guarantee: 'an evacuated zone gets nothing new',
      detail: `${upstream} in ${zone} ran a request from ${gatewayOf(run)}`,
      requestIds: [run.id],
    }));
}
