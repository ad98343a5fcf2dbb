/** A request that may have run at one upstream is never refused as not run. */
import {expect} from 'chai';
import {RefusalCode} from '@citrontrestle/caller';
import {AttemptOutcome} from '@citrontrestle/decisions';
import {ServiceProcessor} from '../lib/service_processor.js';
import type {Reply, WorkRequest} from '@citrontrestle/caller';
import type {Job} from '../lib/job.js';
import type {ServiceProcessorDependencies} from '../lib/service_processor.js';

const {Broken, Mismatched, Refused} = AttemptOutcome;
const {NoUpstream, UpstreamFailed} = RefusalCode;

const CASES = [
  {outcomes: [Refused, Refused], code: NoUpstream},
  {outcomes: [Broken, Refused], code: UpstreamFailed},
  {outcomes: [Mismatched, Refused, Refused], code: UpstreamFailed},
  {outcomes: [Refused, Broken], code: UpstreamFailed},
];

describe('an idempotent request that no upstream answers', () => {
  for (const {outcomes, code} of CASES) {
    it(`is refused with ${code} after ${outcomes.join()}`, async () => {
      const left = [...outcomes];
      const ignore = () => undefined;
      const table = {
        choose: (_kind: unknown, _view: unknown, tried: Set<string>) =>
          left.length > 0 ? {id: `s${tried.size}`, address: ''} : undefined,
        admits: () => true,
        recordStart: ignore,
        recordFirstToken: ignore,
        recordEnd: ignore,
      };
      const processor = new ServiceProcessor({
        clock: {now: () => 0},
        serviceClient: {
          call: async () => ({outcome: left.shift(), reason: ''}),
        },
        upstreams: {table, routingView: ignore},
        wallet: {release: ignore},
        retryBudget: {recordRequest: ignore, tryTake: () => true},
        recorder: {recordEnd: ignore},
      } as unknown as ServiceProcessorDependencies);
      Object.assign(processor, {
        admissionQueue: {
          admit: async () => ({ok: true, slot: {release: ignore}}),
        },
      });
      const codes: RefusalCode[] = [];
      await processor.serve(
        {
          account: {name: 'a'},
          workClass: {name: 'w', idempotent: true, priceTokens: 0},
        } as unknown as Job,
        {
          method: 'GET',
          query: '',
          body: Buffer.alloc(0),
        } as unknown as WorkRequest,
        {
          refuse: (refusal: RefusalCode) => codes.push(refusal),
        } as unknown as Reply,
      );
      expect(codes).to.deep.equal([code]);
    });
  }
});
