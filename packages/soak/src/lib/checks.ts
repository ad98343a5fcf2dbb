/** Checks that the gateway's guarantees held in one run. */
import {
  findInvalidResponses,
  findJoinedStreams,
  findRequestsCutByStop,
} from './checks/answers.js';
import {
  findRunsAfterDrain,
  findRunsAfterEvacuation,
  findUsesOfRevokedKeys,
} from './checks/changes.js';
import {findForeignStatuses, findPartsTakenForWhole} from './checks/endings.js';
import {
  findLateCrashes,
  findOverspentBudgets,
  findRefusalsThatRan,
  findFalseExhaustions,
  findRepeatedRuns,
  findRunsAfterDeparture,
} from './checks/runs.js';
import type {Check, RunObservations, Violation} from './observations.js';

/**
 * Runs all checks on one run; returns an empty array if all guarantees held.
 */
export function findViolations(observations: RunObservations): Violation[] {
  return Object.values(CHECKS).flatMap(check => check(observations));
}

/** The checks by the name of the guarantee that each verifies. */
export const CHECKS: Readonly<Record<string, Check>> = {
  'a budget is never overspent': findOverspentBudgets,
  'exhausted means spent': findFalseExhaustions,
  'at most once': findRepeatedRuns,
  'not run means not run': findRefusalsThatRan,
  'a whole answer of its own': findInvalidResponses,
  'a part is never taken for the whole': findPartsTakenForWhole,
  'a status is the one that its upstream gave': findForeignStatuses,
  'a planned stop cuts nothing': findRequestsCutByStop,
  'a key that is gone serves nobody': findUsesOfRevokedKeys,
  'an upstream that leaves gets nothing new': findRunsAfterDrain,
  'an evacuated zone gets nothing new': findRunsAfterEvacuation,
  'a stream goes on at one version': findJoinedStreams,
  'what crashes upstreams is refused': findLateCrashes,
  'nobody works for a caller that has left': findRunsAfterDeparture,
};
