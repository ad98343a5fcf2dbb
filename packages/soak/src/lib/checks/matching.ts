/** Matches what upstreams ran with the tries and the faults of a run. */
import {TRY_HEADER} from '../observations.js';
import type {Disruption, SentRequest} from '../observations.js';
import type {Millis} from '@citrontrestle/decisions';
import type {ServerRun} from '@citrontrestle/stand_ins';

/** Time after the end of a disruption until time bounds apply again. */
const RECOVERY_TIME: Millis = 3_000;

/** Returns a function that tells which instance got the try of a run. */
export function gatewayFinder(
  sentRequests: readonly SentRequest[],
): (run: ServerRun) => string {
  const gateways = new Map(
    sentRequests.map(request => [tryOf(request), request.gateway]),
  );
  return run => gateways.get(tryOfRun(run)) ?? '';
}

/** Returns a key of a try. */
export function tryOf({
  id,
  tryNumber,
}: Pick<SentRequest, 'id' | 'tryNumber'>): string {
  return `${id} ${tryNumber}`;
}

/** Returns the key of the try that an upstream ran. */
export function tryOfRun(run: ServerRun): string {
  return tryOf({id: run.id, tryNumber: tryNumberOf(run)});
}

/** Returns the number of the try that an upstream ran. */
export function tryNumberOf({headers}: ServerRun): number {
  return Number(headers[TRY_HEADER] ?? 1);
}

/**
 * Returns whether no disruption of an instance, nor the recovery time after it,
 * overlapped a period.
 */
export function isUndisturbed(
  disruptions: Disruption[],
  gateway: string,
  from: number,
  until: number,
): boolean {
  return !disruptions.some(
    disruption =>
      (disruption.gateway === undefined || disruption.gateway === gateway) &&
      disruption.from <= until &&
      disruption.until + RECOVERY_TIME >= from,
  );
}
