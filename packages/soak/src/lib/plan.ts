/** The faults of one run, drawn from a seed. */
import {seededRandom} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';

/** Kinds of faults and of planned changes. */
export enum FaultKind {
  /** SIGTERM, and a new process once it has ended. */
  Stop = 'stop',
  /** SIGKILL, and a new process. */
  Kill = 'kill',
  KillAll = 'kill-all',
  /** SIGSTOP, then SIGCONT. */
  Freeze = 'freeze',
  Reload = 'reload',
  /** The store treats one instance badly. */
  StoreFault = 'store-fault',
  /** The store treats all instances badly. */
  StoreOutage = 'store-outage',
  Compaction = 'compaction',
  /** An upstream answers badly. */
  UpstreamFault = 'upstream-fault',
  UpstreamCrash = 'upstream-crash',
  /** An upstream leaves, another one comes. */
  UpstreamDrain = 'upstream-leave',
  /** The way to an upstream is silent, one-way or late. */
  UpstreamLinkFault = 'upstream-link',
  /** The way to an instance is silent, one-way or late. */
  PeerLinkFault = 'peer-link',
  ResetConnections = 'reset-connections',
  TopUp = 'top-up',
  /** A key is taken away, another one is added. */
  RotateKey = 'change-key',
}

/** One fault. */
export interface Fault {
  kind: FaultKind;
  /** When it begins, from the start of the load. */
  startsAfter: Millis;
  /** How long it lasts, where it ends by itself. */
  duration: Millis;
  /** Picks what it concerns and how, in [0, 1). */
  targetFraction: number;
  variantFraction: number;
}

/** One run. */
export interface RunPlan {
  seed: number;
  gatewayCount: number;
  /** Tokens granted to each account at first. */
  initialGrant: number;
  /** Requests a second. */
  requestsPerSecond: number;
  loadDuration: Millis;
  faults: Fault[];
}

/** Time of the load of one run. */
const LOAD_DURATION: Millis = 8_000;

/** Time without new faults at the start of the load. */
const FAULT_FREE_MARGIN: Millis = 300;

/** Fewest and most faults of a run. */
const FAULT_COUNT = {min: 4, max: 12};

/** Fewest and most instances; a few runs are too large for a mesh. */
const GATEWAY_COUNT = {min: 2, max: 5, large: 18, runsPerLargeRun: 12};

/** Tokens granted at first: enough for few requests, or for many. */
const INITIAL_GRANTS = [2_000, 8_000, 200_000];

/** Requests a second. */
const REQUESTS_PER_SECOND = {min: 20, max: 60};

/** Shortest and longest fault that ends by itself. */
const FAULT_DURATION = {min: 200, max: 3_000};

/** Draws a run. */
export function planRun(seed: number): RunPlan {
  const random = seededRandom(seed);
  const drawInteger = (min: number, max: number) =>
    min + Math.floor(random() * (max - min + 1));
  const {min, max, large, runsPerLargeRun} = GATEWAY_COUNT;
  const isLarge = drawInteger(1, runsPerLargeRun) === 1;
  const kinds = Object.values(FaultKind);
  const faultCount = drawInteger(FAULT_COUNT.min, FAULT_COUNT.max);
  const faults: Fault[] = Array.from({length: faultCount}, () => ({
    kind: kinds[drawInteger(0, kinds.length - 1)] ?? FaultKind.Kill,
    startsAfter: drawInteger(
      FAULT_FREE_MARGIN,
      LOAD_DURATION - FAULT_FREE_MARGIN,
    ),
    duration: drawInteger(FAULT_DURATION.min, FAULT_DURATION.max),
    targetFraction: random(),
    variantFraction: random(),
  }));
  faults.sort((a, b) => a.startsAfter - b.startsAfter);
  return {
    seed,
    gatewayCount: isLarge ? large : drawInteger(min, max),
    initialGrant:
      INITIAL_GRANTS[drawInteger(0, INITIAL_GRANTS.length - 1)] ?? 0,
    requestsPerSecond: drawInteger(
      REQUESTS_PER_SECOND.min,
      REQUESTS_PER_SECOND.max,
    ),
    loadDuration: LOAD_DURATION,
    faults,
  };
}
