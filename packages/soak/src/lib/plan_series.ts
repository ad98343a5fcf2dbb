/**
 * Draws series of faults that overlap, from a generator of their own, so that
 * the other faults of a seed do not depend on them.
 */
import {apartRandom} from './apart_random.js';
import {FaultKind} from './run_plan.js';
import type {Fault, RunPlan} from './run_plan.js';
import type {Millis} from '@citrontrestle/decisions';

/** A series of faults of one kind, with others that come at the same time. */
interface Series {
  /** One in this many runs has it. */
  runsPerSeries: number;
  kind: FaultKind;
  min: number;
  max: number;
  /** Maximum number of other faults that begin shortly before one of them. */
  maxCompanions: number;
  companions: readonly FaultKind[];
  duration: {min: Millis; max: Millis};
  /** One in this many has a large fleet; never if undefined. */
  seriesPerLarge?: number;
}

/** The series that runs may have. */
const SERIES: readonly Series[] = [
  {
    runsPerSeries: 2,
    kind: FaultKind.AnswerEndings,
    min: 2,
    max: 4,
    maxCompanions: 2,
    companions: [FaultKind.Partition, FaultKind.Stop, FaultKind.Reload],
    duration: {min: 1_500, max: 4_000},
  },
  {
    runsPerSeries: 2,
    kind: FaultKind.Departure,
    min: 2,
    max: 4,
    maxCompanions: 6,
    companions: [
      FaultKind.SlowConnections,
      FaultKind.SlowConnections,
      FaultKind.Partition,
      FaultKind.StoreFault,
      FaultKind.PeerLinkFault,
      FaultKind.Freeze,
      FaultKind.Stop,
    ],
    duration: {min: 300, max: 2_000},
    seriesPerLarge: 3,
  },
];

/** Minimum number of upstreams of each service in a run with a series. */
const MIN_UPSTREAMS = 3;

/** Minimum of tokens granted, so that they last for most of a run. */
const MIN_GRANT = 20_000;

/** Time from the start of the load to the first fault of a series. */
const FIRST_START: Millis = 300;

/** Time before the end of the load in which no fault of a series begins. */
const END_MARGIN: Millis = 3_000;

/** Maximum time by which a companion begins before its fault. */
const MAX_LEAD: Millis = 600;

/** Adds the series that a seed has to its plan. */
export function addSeries(plan: RunPlan, largeCount: number): void {
  const random = apartRandom(plan.seed, 4);
  const drawInteger = (min: number, max: number) =>
    min + Math.floor(random() * (max - min + 1));
  for (const series of SERIES) {
    const {duration, kind, companions} = series;
    if (drawInteger(1, series.runsPerSeries) !== 1) {
      continue;
    }
    const drawFault = (drawnKind: FaultKind, startsAfter: Millis): Fault => ({
      kind: drawnKind,
      startsAfter,
      duration: drawInteger(duration.min, duration.max),
      targetFraction: random(),
      variantFraction: random(),
    });
    const starts = Array.from(
      {length: drawInteger(series.min, series.max)},
      () => drawInteger(FIRST_START, plan.loadDuration - END_MARGIN),
    );
    plan.faults.push(...starts.map(start => drawFault(kind, start)));
    const companionCount = drawInteger(0, series.maxCompanions);
    for (let count = 0; count < companionCount; count++) {
      const start = starts[drawInteger(0, starts.length - 1)] ?? FIRST_START;
      const companion = companions[drawInteger(0, companions.length - 1)];
      const startsAfter = Math.max(0, start - drawInteger(0, MAX_LEAD));
      plan.faults.push(drawFault(companion ?? kind, startsAfter));
    }
    plan.upstreamsPerService = Math.max(
      plan.upstreamsPerService,
      MIN_UPSTREAMS,
    );
    plan.initialGrant = Math.max(plan.initialGrant, MIN_GRANT);
    const {seriesPerLarge} = series;
    if (seriesPerLarge !== undefined && drawInteger(1, seriesPerLarge) === 1) {
      plan.gatewayCount = largeCount;
    }
  }
}
