/** Components of an instance that the forwarding of requests uses. */
import type {Dialect} from './ports.js';
import type {BrittleWatch} from '../upstreams/brittle_watch.js';
import type {BufferCollection} from './buffer_collection.js';
import type {HeldBytes} from './held_bytes.js';
import type {SocketReads} from './socket_reads.js';
import type {EvacuationWatch} from '../fleet/evacuation_watch.js';
import type {ColdWatch} from '../upstreams/cold_watch.js';
import type {CrashWatch} from '../crashes/crash_watch.js';
import type {LimitWatch} from '../upstreams/limit_watch.js';
import type {ReachabilityWatch} from '../upstreams/reachability_watch.js';
import type {ReturnPlanner} from '../requests/return_planner.js';
import type {StatementWatch} from '../upstreams/statement_watch.js';
import type {StreamTracker} from '../streams/stream_tracker.js';
import type {UpstreamPaths} from '../upstreams/upstream_paths.js';
import type {
  Clock,
  LinkLoad,
  Millis,
  Placement,
  Regions,
  RepeatAllowance,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Components and state that all requests of one instance share. */
export interface InstanceContext {
  /** Availability zone of the instance. */
  zone: string;
  clock: Clock;
  log: Log;
  dialect: Dialect;
  placement: Placement;
  /** Tells whether this instance is partitioned from the upstreams. */
  reachability: ReachabilityWatch;
  /** The ways on which requests reach upstreams. */
  paths: UpstreamPaths;
  upstreamRegistry: UpstreamRegistry;
  /** Keeps requests from the upstreams of evacuated zones. */
  evacuationWatch: EvacuationWatch;
  /** The region of each availability zone. */
  regions: Regions;
  repeatAllowance: RepeatAllowance;
  crashWatch: CrashWatch;
  limitWatch: LimitWatch;
  brittleWatch: BrittleWatch;
  coldWatch: ColdWatch;
  statementWatch: StatementWatch;
  streamTracker: StreamTracker;
  /** Bytes of upstreams' responses that are kept for all requests. */
  heldResponses: HeldBytes;
  /** Is told of all bytes that are read from upstreams. */
  bufferCollection: BufferCollection;
  /** Chooses when refused callers are to return. */
  returnPlanner: ReturnPlanner;
  /** Orders steps after the reading of sockets. */
  socketReads: SocketReads;
  /** Traffic on the machine's network link. */
  linkLoad: LinkLoad;
  /**
   * Whether a request may be taken that has its final response by `deadline`;
   * false near the end of a planned stop.
   */
  admits(deadline: Millis): boolean;
  /** Returns the number of instances that may be running, at least 1. */
  instanceCount(): number;
  /** Counts a request whose caller left before anything was done for it. */
  recordDeparture(): void;
  /** Counts a request that was refused because upstreams are cold. */
  recordHeldBack(service: string): void;
  /** Returns a uniformly distributed random number in [0, 1). */
  random(): number;
}
