/** Client for the load reports of upstreams: `GET /load`. */
import {z} from 'zod';
import {HttpOutcome, sendHttpRequest} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';
import type {Agent} from 'node:http';

const LOAD_SCHEMA = z.object({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  slots: z.number().positive(),
  leaving: z.boolean(),
});

/** Running and waiting requests, slots and state of an upstream. */
export type ReportedLoad = z.infer<typeof LOAD_SCHEMA>;

/**
 * Fetches a load report; undefined if there is none or it is invalid.
 * @param agent should keep no connections, as reports carry no identifier.
 */
export async function fetchLoad(
  address: string,
  timeout: Millis,
  agent: Agent,
): Promise<ReportedLoad | undefined> {
  const options = {address, method: 'GET', path: '/load', timeout, agent};
  const result = await sendHttpRequest(options);
  if (result.outcome !== HttpOutcome.Answered || result.status !== 200) {
    return undefined;
  }
  try {
    const value: unknown = JSON.parse(result.body.toString('utf8'));
    return LOAD_SCHEMA.safeParse(value).data;
  } catch {
    return undefined;
  }
}
