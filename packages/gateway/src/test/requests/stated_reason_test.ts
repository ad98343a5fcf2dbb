/**
 * A request that an upstream may have run is refused with no status that promises
 * that it has not run.
 */
import {expect} from 'chai';
import {reasonForCaller} from '../../lib/requests/forwarding_result.js';
import {REFUSAL_RESPONSES, RefusalReason} from '../../lib/requests/refusal.js';

/** Statuses that promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

describe('the reason that a caller is told', () => {
  for (const reason of Object.values(RefusalReason)) {
    it(`promises nothing of a request that may have run: ${reason}`, () => {
      const stated = reasonForCaller(reason, true);
      expect(PROMISES).to.not.include(REFUSAL_RESPONSES[stated].status);
    });
  }

  it('is that of the refusal if the request has not run', () => {
    const {MachineBusy} = RefusalReason;
    expect(reasonForCaller(MachineBusy, false)).to.equal(MachineBusy);
  });
});
