/**
 * A machine must ask its callers to connect to other instances before its link
 * is full, and must not ask them back right after a burst.
 */
import {expect} from 'chai';
import {LinkLoad} from '../../lib/admission/link_load.js';
import type {Millis} from '../../lib/base/clock.js';

/** Requests at a constant rate for some time. */
interface Phase {
  requestsPerSecond: number;
  duration: Millis;
}

interface Case {
  name: string;
  mbps: number;
  phases: Phase[];
  busy: boolean;
  saturated: boolean;
}

/** Bytes of one request and of its answer. */
const REQUEST_BYTES = 17_000;
const ANSWER_BYTES = 2_000;

const CASES: Case[] = [
  {
    name: 'a few requests on a small link',
    mbps: 10,
    phases: [{requestsPerSecond: 10, duration: 3_000}],
    busy: false,
    saturated: false,
  },
  {
    name: 'a large account on a small link',
    mbps: 10,
    phases: [{requestsPerSecond: 45, duration: 3_000}],
    busy: true,
    saturated: false,
  },
  {
    name: 'a burst of a large account on a small link',
    mbps: 10,
    phases: [{requestsPerSecond: 80, duration: 1_500}],
    busy: true,
    saturated: true,
  },
  {
    name: 'the same burst on a large link',
    mbps: 1_000,
    phases: [{requestsPerSecond: 80, duration: 1_500}],
    busy: false,
    saturated: false,
  },
  {
    name: 'a few seconds after a burst',
    mbps: 10,
    phases: [
      {requestsPerSecond: 80, duration: 500},
      {requestsPerSecond: 5, duration: 6_000},
    ],
    busy: true,
    saturated: false,
  },
  {
    name: 'long after a burst',
    mbps: 10,
    phases: [
      {requestsPerSecond: 80, duration: 500},
      {requestsPerSecond: 5, duration: 12_000},
    ],
    busy: false,
    saturated: false,
  },
];

describe('link utilisation', () => {
  for (const {name, mbps, phases, busy, saturated} of CASES) {
    it(`${name}: ${busy ? 'busy' : 'not busy'}`, () => {
      const load = new LinkLoad(mbps);
      let now = 0;
      for (const {requestsPerSecond, duration} of phases) {
        const end = now + duration;
        while (now < end) {
          now += 1_000 / requestsPerSecond;
          load.recordBytes(REQUEST_BYTES, REQUEST_BYTES, now);
          load.recordBytes(ANSWER_BYTES, ANSWER_BYTES, now);
          load.isBusy(now);
        }
      }
      expect(load.isBusy(now)).to.equal(busy);
      expect(load.isSaturated(now)).to.equal(saturated);
    });
  }
});

describe('bytes that wait for a connection', () => {
  it('count as use of the link until they are sent or given up', () => {
    const link = new LinkLoad(1);
    link.recordWaiting(50_000);
    expect(link.utilisation(0)).to.equal(0.4);
    expect(link.utilisation(5_000)).to.equal(0.4);
    link.recordWaiting(-50_000);
    link.recordBytes(0, 50_000, 5_000);
    expect(link.utilisation(5_000)).to.equal(0.4);
    expect(link.utilisation(7_000)).to.equal(0);
  });
});
