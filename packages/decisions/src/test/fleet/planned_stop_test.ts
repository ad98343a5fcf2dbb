/** Requests that an instance takes must end before its planned stop does. */
import {expect} from 'chai';
import {PlannedStop} from '@citrontrestle/decisions';

const STARTED_AT = 100_000;

interface AdmissionCase {
  name: string;
  gracePeriod: number;
  /** Time since the stop began, in milliseconds. */
  after: number;
  /** Time limit of the request, in milliseconds. */
  limit: number;
  isClosed?: boolean;
  admitted: boolean;
}

const CASES: AdmissionCase[] = [
  {
    name: 'a long request at once',
    gracePeriod: 8_000,
    after: 0,
    limit: 10_000,
    admitted: true,
  },
  {
    name: 'a long request that comes late',
    gracePeriod: 8_000,
    after: 3_000,
    limit: 10_000,
    admitted: false,
  },
  {
    name: 'a short request that comes late',
    gracePeriod: 8_000,
    after: 7_000,
    limit: 600,
    admitted: true,
  },
  {
    name: 'a short request that would end too late',
    gracePeriod: 8_000,
    after: 7_200,
    limit: 600,
    admitted: false,
  },
  {
    name: 'a long request in the middle of a short grace period',
    gracePeriod: 2_000,
    after: 1_000,
    limit: 1_000,
    admitted: false,
  },
  {
    name: 'a short request after the last connections were closed',
    gracePeriod: 8_000,
    after: 1_000,
    limit: 600,
    isClosed: true,
    admitted: false,
  },
  {
    name: 'any request without a grace period',
    gracePeriod: 0,
    after: 0,
    limit: 1,
    admitted: false,
  },
];

describe('PlannedStop', () => {
  for (const {name, gracePeriod, after, limit, isClosed, admitted} of CASES) {
    it(`${admitted ? 'takes' : 'refuses'} ${name}`, () => {
      const plannedStop = new PlannedStop(STARTED_AT, gracePeriod);
      if (isClosed === true) {
        plannedStop.close();
      }
      const now = STARTED_AT + after;
      expect(plannedStop.admits(now + limit, now)).to.equal(admitted);
    });
  }
});
