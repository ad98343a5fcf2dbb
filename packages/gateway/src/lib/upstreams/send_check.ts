/**
 * Checks again, right before a request is sent, whether its upstream may get it:
 * the request may have waited for a connection since the upstream was chosen.
 */
import type {InstanceContext} from '../process/instance_context.js';
import type {UpstreamListing} from '@citrontrestle/decisions';

/** Why an upstream that was chosen gets no request after all. */
export enum WithheldReason {
  /** It was removed, is leaving, or another process has its identifier. */
  Withdrawn = 'withdrawn',
  /** Its zone was evacuated. */
  Evacuated = 'evacuated',
  /** It has asked for a rest. */
  Resting = 'resting',
}

/** The components that know what upstreams may get. */
export type SendCheckContext = Pick<
  InstanceContext,
  'clock' | 'log' | 'upstreamRegistry' | 'statementWatch' | 'evacuationWatch'
>;

/** Whether a chosen upstream may still get a request; logs why it may not. */
export function mayStillSend(
  context: SendCheckContext,
  upstream: UpstreamListing,
  requestId: string,
): boolean {
  const reason = withheldReason(context, upstream);
  if (reason !== undefined) {
    context.log.info('request.withheld', {
      request: requestId,
      upstream: upstream.id,
      reason,
    });
  }
  return reason === undefined;
}

/** Returns why a chosen upstream gets no request; undefined if it may. */
function withheldReason(
  {clock, upstreamRegistry, statementWatch, evacuationWatch}: SendCheckContext,
  upstream: UpstreamListing,
): WithheldReason | undefined {
  const current = upstreamRegistry.usableUpstream(upstream.id, clock.now());
  if (current === undefined || !isSameProcess(current, upstream)) {
    return WithheldReason.Withdrawn;
  }
  if (evacuationWatch.isEvacuated(upstream.zone)) {
    return WithheldReason.Evacuated;
  }
  return statementWatch.withoutResting([upstream]).length === 0
    ? WithheldReason.Resting
    : undefined;
}

function isSameProcess(one: UpstreamListing, other: UpstreamListing): boolean {
  return one.address === other.address && one.startedAt === other.startedAt;
}
