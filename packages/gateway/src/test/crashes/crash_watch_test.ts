/**
 * Guards against refusing requests for other reasons than crashes: a lost
 * response counts only if its upstream is found down soon after, and each
 * upstream counts once.
 */
import {expect} from 'chai';
import {CrashVerdicts, ManualClock} from '@citrontrestle/decisions';
import {CrashWatch} from '../../lib/crashes/crash_watch.js';
import type {UpstreamListing} from '@citrontrestle/decisions';

const REQUEST = {
  id: 'request-1',
  fingerprint: 'fingerprint',
  sharedParts: [],
  events: 0,
};

interface CrashCase {
  name: string;
  /**
   * Upstreams that lose the response, in order. `down` says whether an upstream
   * is then found down, `delay` after how many milliseconds (100 if unset).
   */
  losses: {upstream: string; down: boolean; delay?: number}[];
  answered?: boolean;
  blocked: boolean;
}

const CASES: CrashCase[] = [
  {
    name: 'after three crashes',
    losses: ['a', 'b', 'c'].map(upstream => ({upstream, down: true})),
    blocked: true,
  },
  {
    name: 'after two crashes',
    losses: ['a', 'b'].map(upstream => ({upstream, down: true})),
    blocked: false,
  },
  {
    name: 'after three crashes of the same upstream',
    losses: ['a', 'a', 'a'].map(upstream => ({upstream, down: true})),
    blocked: false,
  },
  {
    name: 'after lost responses of upstreams that are not down',
    losses: ['a', 'b', 'c', 'd'].map(upstream => ({upstream, down: false})),
    blocked: false,
  },
  {
    name: 'after lost responses of upstreams that were down much later',
    losses: ['a', 'b', 'c'].map(upstream => ({
      upstream,
      down: true,
      delay: 6_000,
    })),
    blocked: false,
  },
  {
    name: 'after three crashes and then an answer',
    losses: ['a', 'b', 'c'].map(upstream => ({upstream, down: true})),
    answered: true,
    blocked: false,
  },
];

/** Returns an upstream whose process is always the same. */
function listing(id: string): UpstreamListing {
  return {
    id,
    service: 'models',
    address: '127.0.0.1:1',
    zone: 'north',
    version: 'v1',
    slots: 8,
    leaving: false,
    startedAt: 1,
    cold: 0,
  };
}

describe('a request that may have crashed upstreams', () => {
  for (const {name, losses, answered, blocked} of CASES) {
    it(`${name}: ${blocked ? 'is refused' : 'is served'}`, () => {
      const clock = new ManualClock();
      const reports: string[] = [];
      const watch = new CrashWatch(new CrashVerdicts(), clock, {
        reportCrash: (_request, upstream) => reports.push(upstream),
        reportCleared: () => reports.push('cleared'),
        onConvicted: () => undefined,
        isDown: () => Promise.resolve(false),
        claimTrial: () => Promise.resolve(false),
      });
      for (const {upstream, down, delay} of losses) {
        watch.recordLostResponse(REQUEST, listing(upstream));
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
