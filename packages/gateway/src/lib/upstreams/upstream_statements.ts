/** Dispatches what upstreams state about themselves in their responses. */
import type {InstanceContext} from '../process/instance_context.js';
import type {UpstreamResponseHead} from '../process/ports.js';
import type {Millis, UpstreamListing} from '@citrontrestle/decisions';

/** The components that keep what upstreams state. */
type Watches = Pick<
  InstanceContext,
  'limitWatch' | 'brittleWatch' | 'statementWatch' | 'coldWatch'
>;

/**
 * Records what the head of a response states about the upstream that sent it.
 * @param sentAt when the request was sent.
 */
export function recordStatements(
  {limitWatch, brittleWatch, statementWatch, coldWatch}: Watches,
  upstream: UpstreamListing,
  head: UpstreamResponseHead,
  sentAt: Millis,
): void {
  const {requestLimit, maxRejections, notExecuted, isLeaving, restTime} = head;
  limitWatch.recordResponse(upstream.id, requestLimit, sentAt);
  brittleWatch.recordResponse(upstream, {
    maxRejections,
    isRejection: notExecuted,
  });
  statementWatch.recordResponse(upstream, {isLeaving, restTime});
  coldWatch.recordResponse(upstream, head.coldTime, sentAt);
}
