/** What the forwarding of a request uses of its instance. */
import type {Dialect} from './ports.js';
import type {CrashWatch} from './crash_watch.js';
import type {
  Clock,
  LinkLoad,
  Placement,
  RepeatAllowance,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';
import type {Agent} from 'node:http';

/** Shared by all requests of one instance. */
export interface InstanceContext {
  zone: string;
  clock: Clock;
  log: Log;
  dialect: Dialect;
  agent: Agent;
  placement: Placement;
  upstreams: UpstreamRegistry;
  repeatAllowance: RepeatAllowance;
  crashWatch: CrashWatch;
  /** Counts what passes the machine's link. */
  linkLoad: LinkLoad;
  /** Instances that may be running, at least 1. */
  instanceCount(): number;
  /** Uniform random number in [0, 1). */
  random(): number;
}
