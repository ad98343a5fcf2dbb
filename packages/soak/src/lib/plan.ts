/** Draws the size, the load and the faults of a run from a seed. */
import {seededRandom} from '@citrontrestle/runtime';
import {addLoss} from './plan_loss.js';
import {addSeries} from './plan_series.js';
import {FaultKind} from './run_plan.js';
import type {Fault, RunPlan} from './run_plan.js';
import type {Millis} from '@citrontrestle/decisions';

export * from './run_plan.js';

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

/** Kinds of faults that are drawn apart from the others. */
const DRAWN_APART: ReadonlySet<FaultKind> = new Set([
  FaultKind.Evacuation,
  FaultKind.StallSeries,
  FaultKind.AnswerEndings,
  FaultKind.Departure,
  FaultKind.SlowConnections,
  FaultKind.Loss,
]);

/**
 * Draws the plan of a run; the same seed always gives the same plan.
 * @param hasSeries whether it may have the series of `addSeries`.
 */
export function planRun(seed: number, hasSeries = true): RunPlan {
  const random = seededRandom(seed);
  const drawInteger = (min: number, max: number) =>
    min + Math.floor(random() * (max - min + 1));
  const {min, max, large, runsPerLargeRun} = GATEWAY_COUNT;
  const isLarge = drawInteger(1, runsPerLargeRun) === 1;
  const kinds = Object.values(FaultKind).filter(kind => !DRAWN_APART.has(kind));
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
  if (hasSeries) {
    addSeries(plan, large);
    addLoss(plan);
  }
  faults.sort((a, b) => a.startsAfter - b.startsAfter);
  return plan;
}
