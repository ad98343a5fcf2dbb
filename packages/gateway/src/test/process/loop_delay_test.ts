/** The delay of the event loop, from which requests of departed callers come. */
import {expect} from 'chai';
import {LoopDelay} from '../../lib/process/loop_delay.js';
import type {Log, LogFields} from '@citrontrestle/runtime';

const CASES = [
  {name: 'in time', checks: [250, 500, 750], maxDelay: 0, logged: []},
  {name: 'late once', checks: [250, 900, 1_150], maxDelay: 400, logged: [400]},
  {name: 'a little late', checks: [300, 600], maxDelay: 50, logged: []},
];

describe('the delay of the event loop', () => {
  for (const {name, checks, maxDelay, logged} of CASES) {
    it(`is measured: ${name}`, () => {
      let now = 0;
      const delays: unknown[] = [];
      const log = {
        warn: (_event: string, fields: LogFields) =>
          void delays.push(fields['delayMs']),
      } as unknown as Log;
      const loopDelay = new LoopDelay({now: () => now}, log);
      loopDelay.start();
      for (const time of checks) {
        now = time;
        loopDelay.check();
      }
      expect(loopDelay.takeMax()).to.equal(maxDelay);
      expect(loopDelay.takeMax()).to.equal(0);
      expect(delays).to.deep.equal(logged);
    });
  }
});
