/**
 * Tokens that instances have taken in advance and not spent must not be lost to
 * callers when instances end abruptly, so that service comes back.
 */
import {expect} from 'chai';
import {INSTANCES, REQUEST_TOKENS, ShareFleet} from './share_fleet.js';

/** Requests per second, evenly spread. */
const REQUEST_RATE = 16;

/** Length of the traffic, in seconds. */
const TRAFFIC_SECONDS = 50;

/** When all instances end, in seconds. */
const FINAL_END = 34;

/** Time after it from which requests must be served again, in seconds. */
const RECOVERY_SECONDS = 12;

/** Minimum fraction of requests to serve after the recovery. */
const MIN_SERVED_FRACTION = 0.25;

/** Tokens granted, as a multiple of what all requests use. */
const GRANT_FACTOR = 1.3;

const ALL = Array.from({length: INSTANCES}, (_, index) => index);

/** Instances that end abruptly at a time in seconds. */
interface AbruptEnd {
  at: number;
  indexes: readonly number[];
}

const CASES: Array<{name: string; ends: AbruptEnd[]}> = [
  {name: 'all instances', ends: []},
  {
    name: 'four single instances, then all',
    ends: [
      {at: 4, indexes: [0]},
      {at: 13, indexes: [1]},
      {at: 14, indexes: [2]},
      {at: 22, indexes: [3]},
    ],
  },
  {
    name: 'five of eight instances, then all',
    ends: [{at: 8, indexes: [0, 1, 2, 3, 4]}],
  },
  {name: 'all instances, twice', ends: [{at: 20, indexes: ALL}]},
];

describe('service after instances have ended abruptly', () => {
  const causes = [
    {cause: 'processes are killed', powerLoss: false},
    {cause: 'machines lose power', powerLoss: true},
  ];
  const cases = CASES.flatMap(ends =>
    causes.map(cause => ({...ends, ...cause})),
  );
  for (const {name, ends, cause, powerLoss} of cases) {
    it(`comes back: ${cause}: ${name}`, () => {
      const fleet = new ShareFleet(
        GRANT_FACTOR * TRAFFIC_SECONDS * REQUEST_RATE * REQUEST_TOKENS,
      );
      let now = 0;
      for (const end of [...ends, {at: FINAL_END, indexes: ALL}]) {
        fleet.run(end.at - now, REQUEST_RATE);
        fleet.kill(end.indexes, powerLoss);
        now = end.at;
      }
      fleet.run(RECOVERY_SECONDS, REQUEST_RATE);
      const servedBefore = fleet.served;
      const secondsLeft = TRAFFIC_SECONDS - FINAL_END - RECOVERY_SECONDS;
      fleet.run(secondsLeft, REQUEST_RATE);
      const served = fleet.served - servedBefore;
      expect(served / (secondsLeft * REQUEST_RATE)).to.be.at.least(
        MIN_SERVED_FRACTION,
      );
    });
  }
});
