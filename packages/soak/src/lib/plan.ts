/** Draws the size, the load and the faults of a run from a seed. */
import {seededRandom} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';

/** Kinds of faults and of planned changes. */
export enum FaultKind {
  /** SIGTERM to one instance, which starts again after it has exited. */
  Stop = 'stop',
  /** SIGKILL to one instance, which then starts again. */
  Kill = 'kill',
  /** SIGKILL to all instances at once, which then start again. */
  KillAll = 'kill-all',
  /** SIGSTOP to one instance, then SIGCONT. */
  Freeze = 'freeze',
  /** SIGHUP to one instance, which reads and checks its settings again. */
  Reload = 'reload',
  /** The store fails or delays the calls of one instance. */
  StoreFault = 'store-fault',
  /** The store fails or delays the calls of all instances. */
  StoreOutage = 'store-outage',
  /** The store drops its old revisions. */
  Compaction = 'compaction',
  /** An upstream rejects requests or sends faulty responses, or none. */
  UpstreamFault = 'upstream-fault',
  /**
   * Upstreams refuse some requests and write the refusals again, before the
   * answer to the same or another request or to an idle connection.
   */
  RepeatedRefusals = 'repeated-refusals',
  /**
   * An upstream ends without notice; its list entry expires and a new upstream
   * is added.
   */
  UpstreamCrash = 'upstream-crash',
  /** All model upstreams crash under a part of some of the prompts. */
  CrashingPart = 'crashing-part',
  /** A new upstream is added and another one drains. */
  UpstreamDrain = 'upstream-leave',
  /**
   * The link to an upstream delays bytes, or holds them back in one or both
   * directions.
   */
  UpstreamLinkFault = 'upstream-link',
  /**
   * The link from its peers to one instance delays or holds back bytes
   * likewise.
   */
  PeerLinkFault = 'peer-link',
  /**
   * The connections of peers to one instance and of all instances to one
   * upstream are reset.
   */
  ResetConnections = 'reset-connections',
  /**
   * One instance is partitioned from all upstreams, or all but one are, so that
   * peers forward.
   */
  Partition = 'partition',
  /** An account is granted more tokens. */
  TopUp = 'top-up',
  /** One instance does not run for parts of a time, again and again. */
  StallSeries = 'stall-series',
  /** The operator evacuates a zone, and takes it back. */
  Evacuation = 'evacuation',
  /** The oldest API key of an account is replaced by a new one. */
  RotateKey = 'change-key',
}

/** One fault or planned change. */
export interface Fault {
  kind: FaultKind;
  /** Time from the start of the load to the fault. */
  startsAfter: Millis;
  /** How long the fault lasts; ignored by kinds that have no duration. */
  duration: Millis;
  /** Selects the target, such as an instance, by its position in [0, 1). */
  targetFraction: number;
  /** Selects the variant of the fault, or a second target, in the same way. */
  variantFraction: number;
}

/** Size, load and faults of one run. */
export interface RunPlan {
  seed: number;
  /** Number of instances. */
  gatewayCount: number;
  /** Tokens granted to each account at the start. */
  initialGrant: number;
  /** Mean rate of requests from all callers together. */
  requestsPerSecond: number;
  /** Number of upstreams of each service at the start. */
  upstreamsPerService: number;
  loadDuration: Millis;
  /** Sorted by start. */
  faults: Fault[];
}

/** Duration of the load of one run. */
const LOAD_DURATION: Millis = 8_000;

/** Time at the start and at the end of the load in which no fault starts. */
const FAULT_FREE_MARGIN: Millis = 300;

/** Minimum and maximum number of faults in a run. */
const FAULT_COUNT = {min: 4, max: 12};

/**
 * Minimum and maximum number of instances. One in `runsPerLargeRun` runs has
 * `large` instances, more than a full mesh of peers can hold.
 */
const GATEWAY_COUNT = {min: 2, max: 5, large: 18, runsPerLargeRun: 12};

/** Tokens granted at the start: enough for a few requests or for many. */
const INITIAL_GRANTS = [2_000, 8_000, 200_000];

/** Minimum and maximum mean request rate. */
const REQUESTS_PER_SECOND = {min: 20, max: 60};

/** Minimum and maximum duration of a fault, in milliseconds. */
const FAULT_DURATION = {min: 200, max: 3_000};

/** One in this many runs has an evacuation. */
const RUNS_PER_EVACUATION = 3;

/** One in this many runs has instances that stall again and again. */
const RUNS_PER_STALL_SERIES = 3;

/** Minimum and maximum number of those series, which may overlap. */
const MIN_STALL_SERIES = 1;
const MAX_STALL_SERIES = 3;

/** Usual number of upstreams of each service. */
const UPSTREAMS_PER_SERVICE = 3;

/**
 * One in `runsPerSeries` runs has a series of repeated refusals, with up to
 * `maxUpstreams` upstreams of each service, as an instance with many of them
 * sends a refused request elsewhere itself. A series may bring partitions, and
 * one in `seriesPerSingle` comes without other faults. Accounts get `minGrant`
 * tokens, which last for most of a run.
 */
const REFUSAL_SERIES = {
  runsPerSeries: 3,
  seriesPerSingle: 3,
  maxUpstreams: 2,
  min: 2,
  max: 4,
  maxPartitions: 2,
  minGrant: 20_000,
};

/** Time after which an instance has noticed that it is partitioned. */
const PARTITION_DETECTION_TIME: Millis = 400;

/** Draws the plan of a run; the same seed always gives the same plan. */
export function planRun(seed: number): RunPlan {
  const random = seededRandom(seed);
  const drawInteger = (min: number, max: number) =>
    min + Math.floor(random() * (max - min + 1));
  const {min, max, large, runsPerLargeRun} = GATEWAY_COUNT;
  const isLarge = drawInteger(1, runsPerLargeRun) === 1;
  const kinds = Object.values(FaultKind).filter(
    kind => kind !== FaultKind.Evacuation && kind !== FaultKind.StallSeries,
  );
  const faultCount = drawInteger(FAULT_COUNT.min, FAULT_COUNT.max);
  const drawFault = (
    kind: FaultKind,
    lastStart = LOAD_DURATION - FAULT_FREE_MARGIN,
  ): Fault => ({
    kind,
    startsAfter: drawInteger(FAULT_FREE_MARGIN, lastStart),
    duration: drawInteger(FAULT_DURATION.min, FAULT_DURATION.max),
    targetFraction: random(),
    variantFraction: random(),
  });
  const faults = Array.from({length: faultCount}, () =>
    drawFault(kinds[drawInteger(0, kinds.length - 1)] ?? FaultKind.Kill),
  );
  const plan = {
    seed,
    gatewayCount: isLarge ? large : drawInteger(min, max),
    initialGrant:
      INITIAL_GRANTS[drawInteger(0, INITIAL_GRANTS.length - 1)] ?? 0,
    requestsPerSecond: drawInteger(
      REQUESTS_PER_SECOND.min,
      REQUESTS_PER_SECOND.max,
    ),
    upstreamsPerService: UPSTREAMS_PER_SERVICE,
    loadDuration: LOAD_DURATION,
    faults,
  };
  // Drawn last, so that the other faults of a seed do not depend on it.
  if (drawInteger(1, RUNS_PER_EVACUATION) === 1) {
    faults.push(drawFault(FaultKind.Evacuation, LOAD_DURATION / 2));
  }
  const {runsPerSeries, seriesPerSingle, maxUpstreams, maxPartitions} =
    REFUSAL_SERIES;
  if (drawInteger(1, runsPerSeries) === 1) {
    plan.upstreamsPerService = drawInteger(1, maxUpstreams);
    plan.initialGrant = Math.max(plan.initialGrant, REFUSAL_SERIES.minGrant);
    const length = drawInteger(REFUSAL_SERIES.min, REFUSAL_SERIES.max);
    const partitions = drawInteger(0, maxPartitions);
    if (drawInteger(1, seriesPerSingle) === 1) {
      faults.length = 0;
    }
    const series = Array.from({length}, () =>
      drawFault(FaultKind.RepeatedRefusals),
    );
    // A partition spans refusals, so that peers forward what is refused.
    const partitioned = series.slice(0, partitions).map(refusals => {
      const {duration, startsAfter} = refusals;
      refusals.startsAfter += PARTITION_DETECTION_TIME;
      return {
        ...drawFault(FaultKind.Partition),
        startsAfter,
        duration: duration + PARTITION_DETECTION_TIME,
      };
    });
    faults.push(...series, ...partitioned);
  }
  if (drawInteger(1, RUNS_PER_STALL_SERIES) === 1) {
    const stalls = drawInteger(MIN_STALL_SERIES, MAX_STALL_SERIES);
    for (let count = 0; count < stalls; count++) {
      faults.push(drawFault(FaultKind.StallSeries));
    }
  }
  faults.sort((a, b) => a.startsAfter - b.startsAfter);
  return plan;
}
