/** Load reports of upstreams: `GET /load`. */
import {z} from 'zod';
import {call, CallOutcome} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';
import type {Agent} from 'node:http';

const LOAD_SCHEMA = z.object({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  slots: z.number().positive(),
  leaving: z.boolean(),
});

/** Load as an upstream reports it. */
export type Load = z.infer<typeof LOAD_SCHEMA>;

/** Reads a load report; undefined when there is none. */
export async function readLoad(
  address: string,
  timeout: Millis,
  agent: Agent,
): Promise<Load | undefined> {
  const options = {address, method: 'GET', path: '/load', timeout, agent};
  const result = await call(options);
  if (result.outcome !== CallOutcome.Answered || result.status !== 200) {
    return undefined;
  }
  try {
    const value: unknown = JSON.parse(result.body.toString('utf8'));
    return LOAD_SCHEMA.safeParse(value).data;
  } catch {
    return undefined;
  }
}
