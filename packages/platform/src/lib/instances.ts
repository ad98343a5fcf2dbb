/** The platform's list of instances, over HTTP: `GET /instances`. */
import {Agent} from 'node:http';
import {z} from 'zod';
import {call, CallOutcome} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';

/** Kinds of instances on the list. */
export enum InstanceKind {
  Entry = 'entry',
  Engine = 'engine',
  Service = 'service',
}

/** State of an instance; the list lags behind it. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One instance on the list. */
export interface Instance {
  id: string;
  kind: InstanceKind;
  zone: string;
  /** Address as `ip:port`; for an entry, that of its links to entries. */
  address: string;
  state: InstanceState;
}

/** Shape of one listed instance. */
export const INSTANCE_SCHEMA = z.object({
  id: z.string(),
  kind: z.enum(InstanceKind),
  zone: z.string(),
  address: z.string(),
  state: z.enum(InstanceState),
});

const LIST_SCHEMA = z.array(INSTANCE_SCHEMA);

/** Client of the instance list. */
export class InstanceList {
  private readonly agent = new Agent({keepAlive: true});

  constructor(
    private readonly address: string,
    private readonly timeout: Millis,
  ) {}

  /** Reads the list; undefined when it can't be read. */
  async read(): Promise<Instance[] | undefined> {
    const {address, timeout, agent} = this;
    const path = '/instances';
    const result = await call({address, method: 'GET', path, timeout, agent});
    if (result.outcome !== CallOutcome.Answered || result.status !== 200) {
      return undefined;
    }
    return decodeList(result.body.toString('utf8'));
  }

  /** Lets go of kept connections. */
  close(): void {
    this.agent.destroy();
  }
}

function decodeList(text: string): Instance[] | undefined {
  try {
    const checked = LIST_SCHEMA.safeParse(JSON.parse(text));
    return checked.success ? checked.data : undefined;
  } catch {
    return undefined;
  }
}
