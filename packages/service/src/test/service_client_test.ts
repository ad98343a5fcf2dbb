/** An answer that names another call must not be taken for a refusal of this. */
import {expect} from 'chai';
import {AttemptOutcome} from '@citrontrestle/decisions';
import {HttpListener} from '@citrontrestle/runtime';
import {ServiceClient} from '../lib/service.js';

const {Answered, Broken, Leaving, Mismatched, Refused} = AttemptOutcome;

const CASES: [
  name: string,
  headers: Record<string, string>,
  outcome: AttemptOutcome,
  status?: number,
][] = [
  ['own answer', {'x-request-id': 'a'}, Answered, 200],
  ['own failure', {'x-request-id': 'a'}, Answered, 500],
  // Guards against a promise that a service has not made (review, case 15).
  ['own 408', {'x-request-id': 'a'}, Broken, 408],
  ['own 421', {'x-request-id': 'a'}, Broken, 421],
  ['own 429', {'x-request-id': 'a'}, Broken, 429],
  ['own 503', {'x-request-id': 'a'}, Broken, 503],
  ['own refusal', {'x-request-id': 'a', 'x-not-run': 'full'}, Refused],
  ['own, leaving', {'x-request-id': 'a', 'x-not-run': 'leaving'}, Leaving],
  ['refusal without identifier', {'x-not-run': 'full'}, Refused],
  ['answer without identifier', {}, Mismatched],
  ['other refusal', {'x-request-id': 'b', 'x-not-run': 'full'}, Mismatched],
  ['other, leaving', {'x-request-id': 'b', 'x-not-run': 'leaving'}, Mismatched],
];

describe('the answer to a call of a plain service', () => {
  for (const [name, headers, expected, status = 503] of CASES) {
    it(`${name}: ${expected}`, async () => {
      const server = new HttpListener((_incoming, outgoing) => {
        outgoing.writeHead(status, headers).end();
      });
      const {outcome} = await new ServiceClient().call({
        address: await server.listen('127.0.0.1', 0),
        id: 'a',
        method: 'POST',
        path: '/',
        contentType: undefined,
        body: undefined,
        timeout: 5_000,
      });
      await server.stop();
      expect(outcome).to.equal(expected);
    });
  }
});
