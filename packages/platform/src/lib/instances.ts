/** Client for the platform's list of instances: `GET /instances`. */
import {Agent} from 'node:http';
import {z} from 'zod';
import {HttpOutcome, sendHttpRequest} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';

/** Kinds of listed instances. */
export enum InstanceKind {
  Entry = 'entry',
  Engine = 'engine',
  Service = 'service',
}

/** State of an instance; the list may show an older one. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** A listed instance. */
export interface Instance {
  id: string;
  kind: InstanceKind;
  zone: string;
  /** Address as `ip:port`; for an entry, the one that accepts links. */
  address: string;
  state: InstanceState;
}

/** Schema of a listed instance. */
export const INSTANCE_SCHEMA = z.object({
  id: z.string(),
  kind: z.enum(InstanceKind),
  zone: z.string(),
  address: z.string(),
  state: z.enum(InstanceState),
});

const INSTANCE_LIST_SCHEMA = z.array(INSTANCE_SCHEMA);

/** Client for the instance list. */
export class InstanceListClient {
  // No kept connections, for the reason given in `KeyValueClient`.
  private readonly agent = new Agent({keepAlive: false});

  constructor(
    private readonly address: string,
    private readonly timeout: Millis,
  ) {}

  /** Fetches the list; undefined if the call fails or the list is invalid. */
  async read(): Promise<Instance[] | undefined> {
    const {address, timeout, agent} = this;
    const path = '/instances';
    const result = await sendHttpRequest({
      address,
      method: 'GET',
      path,
      timeout,
      agent,
    });
    if (result.outcome !== HttpOutcome.Answered || result.status !== 200) {
      return undefined;
    }
    return parseInstanceList(result.body.toString('utf8'));
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }
}

function parseInstanceList(text: string): Instance[] | undefined {
  try {
    const parsed = INSTANCE_LIST_SCHEMA.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
