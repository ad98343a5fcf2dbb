/** A machine whose link is full sends its callers elsewhere in time. */
import {expect} from 'chai';
import {LinkLoad} from '../lib/link_load.js';
import type {Millis} from '../lib/clock.js';

/** Traffic of some requests a second for a time. */
interface Phase {
  requests: number;
  span: Millis;
}

interface Case {
  name: string;
  mbps: number;
  phases: Phase[];
  busy: boolean;
  saturated: boolean;
}

/** Bytes of a request and of its answer. */
const REQUEST_BYTES = 17_000;
const ANSWER_BYTES = 2_000;

const CASES: Case[] = [
  {
    name: 'a few requests on a small link',
    mbps: 10,
    phases: [{requests: 10, span: 3_000}],
    busy: false,
    saturated: false,
  },
  {
    name: 'a large account on a small link',
    mbps: 10,
    phases: [{requests: 45, span: 3_000}],
    busy: true,
    saturated: false,
  },
  {
    name: 'a burst of a large account on a small link',
    mbps: 10,
    phases: [{requests: 80, span: 1_500}],
    busy: true,
    saturated: true,
  },
  {
    name: 'the same burst on a large link',
    mbps: 1_000,
    phases: [{requests: 80, span: 1_500}],
    busy: false,
    saturated: false,
  },
  {
    name: 'some seconds after a burst',
    mbps: 10,
    phases: [
      {requests: 80, span: 500},
      {requests: 5, span: 6_000},
    ],
    busy: true,
    saturated: false,
  },
  {
    name: 'long after a burst',
    mbps: 10,
    phases: [
      {requests: 80, span: 500},
      {requests: 5, span: 12_000},
    ],
    busy: false,
    saturated: false,
  },
];

describe('use of a link', () => {
  for (const {name, mbps, phases, busy, saturated} of CASES) {
    it(`${name}: ${busy ? 'busy' : 'at ease'}`, () => {
      const load = new LinkLoad(mbps);
      let now = 0;
      for (const {requests, span} of phases) {
        const end = now + span;
        while (now < end) {
          now += 1_000 / requests;
          load.count(REQUEST_BYTES, REQUEST_BYTES, now);
          load.count(ANSWER_BYTES, ANSWER_BYTES, now);
          load.busy(now);
        }
      }
      expect(load.busy(now)).to.equal(busy);
      expect(load.saturated(now)).to.equal(saturated);
    });
  }
});
