/**
 * A caller may disconnect and send its request again while the first attempt,
 * which nobody waits for any longer, still waits for tokens.
 */
import {expect} from 'chai';
import {
  AttemptOutcome,
  RetryBudget,
  RoutingPolicy,
  SuspectRequests,
} from '@citrontrestle/decisions';
import {InstanceKind, InstanceState} from '@citrontrestle/platform';
import {SystemClock} from '@citrontrestle/runtime';
import {ChatProcessor} from '../lib/chat_processor.js';
import {UpstreamTask} from '../lib/upstream_task.js';
import type {ChatRequest, Reply} from '@citrontrestle/caller';
import type {CompletionRequest} from '@citrontrestle/engine';
import type {ChatProcessorDependencies} from '../lib/chat_processor.js';
import type {Job} from '../lib/job.js';

describe('chat requests', () => {
  it('answer a caller that comes back with the same request', async () => {
    const clock = new SystemClock();
    const upstreams = new UpstreamTask(
      {
        policy: RoutingPolicy.LeastLoaded,
        zone: 'z',
        zoneMs: 0,
        reportsPerSecond: 1,
        holder: 'holder',
      },
      clock,
      () => 1,
      () => undefined,
    );
    const kind = InstanceKind.Engine;
    const state = InstanceState.Live;
    upstreams.applyInstanceList([
      {id: 'engine', kind, zone: 'z', address: '127.0.0.1:1', state},
    ]);
    let grant: () => void = () => undefined;
    const granted = new Promise<undefined>(
      resolve => (grant = () => resolve(undefined)),
    );
    const wallet = {
      reserve: () => granted,
      release: () => undefined,
      charge: () => Promise.resolve(true),
    };
    const complete = ({signal}: CompletionRequest) => {
      const usage = {promptTokens: 1, outputTokens: 1};
      const {Answered, Cancelled} = AttemptOutcome;
      const outcome = signal.aborted ? Cancelled : Answered;
      return Promise.resolve({outcome, usage, reason: ''});
    };
    const processor = new ChatProcessor({
      clock,
      upstreams,
      wallet,
      engineClient: {complete},
      retryBudget: new RetryBudget(),
      suspectRequests: new SuspectRequests(),
      recorder: {recordEnd: () => undefined},
      reportUpstreamFailure: () => undefined,
    } as unknown as ChatProcessorDependencies);
    const answered: string[] = [];
    const send = (id: string, signal: AbortSignal) => {
      const workClass = {name: 'c', firstTokenMs: 9_000, priceTokens: 9};
      const account = {name: 'a', budget: 'b'};
      const job = {id, account, workClass, digest: 'd', startedAt: 0};
      const reply = {
        callerDisconnected: () => signal.aborted,
        finishChat: () => answered.push(id),
        refuse: () => answered.push(`${id} refused`),
      };
      const request = {model: 'c', messages: [], signal};
      return processor.serve(
        job as unknown as Job,
        request as unknown as ChatRequest,
        reply as unknown as Reply,
      );
    };
    const disconnected = new AbortController();
    const first = send('first', disconnected.signal);
    disconnected.abort();
    const second = send('second', new AbortController().signal);
    grant();
    await Promise.all([first, second]);
    expect(answered).to.deep.equal(['second']);
  });
});
