/** Log fields of the connection over which a request was sent to an upstream. */
import type {UpstreamCall} from './upstream_call.js';

/**
 * Log fields by which a refusal of the request itself can be told from a copy of
 * an earlier one, and a body that was cut off from a whole one.
 */
export type ConnectionFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Returns the log fields of the connection of a call. */
export function connectionFieldsOf(
  call: UpstreamCall | undefined,
): ConnectionFields {
  const connection = call?.usedConnection();
  return {
    connection: connection?.kind,
    earlierRequests: connection?.requests,
    earlierRefusals: connection?.refusals,
    sentBefore: connection?.hadRequest === true ? true : undefined,
    responseEnd: call?.responseEnd(),
  };
}
