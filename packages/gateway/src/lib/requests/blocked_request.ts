/** Logs of requests that evacuations or homes keep from all upstreams. */
import {homesOf} from './admission.js';
import type {AdmittedRequest} from './admission.js';
import type {RefusalReason} from './refusal.js';
import type {InstanceContext} from '../process/instance_context.js';

/** Logs what the refusal of a request depends on. */
export function logBlocked(
  {
    evacuationWatch,
    regions,
    log,
  }: Pick<InstanceContext, 'evacuationWatch' | 'regions' | 'log'>,
  admitted: AdmittedRequest,
  reason: RefusalReason,
): void {
  const {callerRequest, route} = admitted;
  const homes = homesOf(admitted, regions);
  const {zones, era, revision} = evacuationWatch.snapshot();
  log.info('request.blocked', {
    request: callerRequest.id,
    reason,
    route: route.name,
    services: route.targets.map(({service}) => service).join(','),
    homes: homes.isBound() ? homes.regionNames().join(',') : undefined,
    evacuated: zones.join(','),
    era,
    revision,
  });
}
