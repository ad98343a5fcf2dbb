/** Only requests that upstreams crash under are refused. */
import {expect} from 'chai';
import {ManualClock} from '@citrontrestle/decisions';
import {CrashWatch} from '../lib/crash_watch.js';

const REQUEST = 'fingerprint';

interface CrashCase {
  name: string;
  /** Upstreams that lose the request, and whether they are found down. */
  losses: {upstream: string; down: boolean; delay?: number}[];
  answered?: boolean;
  blocked: boolean;
}

const CASES: CrashCase[] = [
  {
    name: 'three crashes',
    losses: ['a', 'b', 'c'].map(upstream => ({upstream, down: true})),
    blocked: true,
  },
  {
    name: 'two crashes',
    losses: ['a', 'b'].map(upstream => ({upstream, down: true})),
    blocked: false,
  },
  {
    name: 'the same upstream three times',
    losses: ['a', 'a', 'a'].map(upstream => ({upstream, down: true})),
    blocked: false,
  },
  {
    name: 'lost answers of upstreams that live',
    losses: ['a', 'b', 'c', 'd'].map(upstream => ({upstream, down: false})),
    blocked: false,
  },
  {
    name: 'upstreams that were down long after',
    losses: ['a', 'b', 'c'].map(upstream => ({
      upstream,
      down: true,
      delay: 6_000,
    })),
    blocked: false,
  },
  {
    name: 'answered meanwhile',
    losses: ['a', 'b', 'c'].map(upstream => ({upstream, down: true})),
    answered: true,
    blocked: false,
  },
];

describe('requests that crash upstreams', () => {
  for (const {name, losses, answered, blocked} of CASES) {
    it(`${name}: ${blocked ? 'refused' : 'served'}`, () => {
      const clock = new ManualClock();
      const reports: string[] = [];
      const watch = new CrashWatch(clock, {
        reportCrash: (_fingerprint, upstream) => reports.push(upstream),
        reportCleared: () => reports.push('cleared'),
      });
      for (const {upstream, down, delay} of losses) {
        watch.recordLostResponse(REQUEST, upstream);
        clock.advance(delay ?? 100);
        if (down) {
          watch.recordDown(upstream);
        }
      }
      if (answered === true) {
        watch.recordAnswer(REQUEST);
        expect(reports).to.include('cleared');
      }
      expect(watch.isBlocked(REQUEST)).to.equal(blocked);
    });
  }
});
