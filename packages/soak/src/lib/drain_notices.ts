/** Reads from the log of an instance when it learned that upstreams leave. */
import type {DrainNotice, UpstreamDrain} from './observations.js';
import type {GatewayProcess} from '@citrontrestle/stand_ins';

/** Event of an update of the list of upstreams. */
const LIST_EVENT = 'upstream.news';

/** Event of an upstream that says in an answer that it leaves. */
const STATEMENT_EVENT = 'upstream.states-leaving';

/** Event of the start of a process. */
const START_EVENT = 'gateway.started';

/** Returns what an instance learned of drains, by its own log. */
export function findDrainNotices(
  gateway: GatewayProcess,
  drains: readonly UpstreamDrain[],
): DrainNotice[] {
  const starts = gateway.eventLines(START_EVENT).map(timeOf);
  return drains.flatMap(({upstream, announcedAt, isOnlyStated}) =>
    gateway
      .eventLines(isOnlyStated === true ? STATEMENT_EVENT : LIST_EVENT)
      .filter(
        line => line['upstream'] === upstream && timeOf(line) >= announcedAt,
      )
      .map(line => {
        const at = timeOf(line);
        const until = starts.find(start => start > at) ?? Infinity;
        return {gateway: gateway.name, upstream, at, until};
      }),
  );
}

function timeOf(line: Record<string, unknown>): number {
  return Date.parse(String(line['time']));
}
