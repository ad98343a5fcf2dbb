/** Checks guarantees when entry processes are killed, frozen or cut off. */
import {expect} from 'chai';
import {RequestOutcome} from '../lib/client.js';
import {checkAnswer} from '../lib/answer.js';
import {ProcessFleet, PARTITION_COUNT, fetchStatus} from './process_fleet.js';
import {topUpBudget, releaseInstance} from '@citrontrestle/operator';
import type {EntryProcess} from './process_fleet.js';
import type {PlannedRequest} from '../lib/plan.js';
import type {RequestResult} from '../lib/client.js';

/** Output tokens of streams during which an entry is killed or stopped. */
const STREAM_TOKENS = 60;

/** Time after which a second signal follows, in milliseconds. */
const SECOND_SIGNAL_DELAY = 300;

function expectCompleteAnswer(
  key: string,
  result: RequestResult,
  outputTokens = STREAM_TOKENS,
): void {
  expect(result.outcome).to.equal(RequestOutcome.Answered);
  const planned = {marker: key, outputTokens} as PlannedRequest;
  expect(checkAnswer(planned, result.content)).to.equal(undefined);
}

describe('entry processes', function () {
  this.timeout(120_000);
  let fleet: ProcessFleet;

  beforeEach(async () => {
    fleet = await ProcessFleet.start(3);
  });

  afterEach(() => fleet.stop());

  const entry = (index: number) => fleet.entries[index] as EntryProcess;
  const waitUntilRunning = (key: string) =>
    fleet.waitUntil(() => fleet.countRuns(key) > 0);

  it('bills once when an entry is killed in the middle of a stream', async () => {
    const interrupted = fleet.sendChat(0, 'k1', STREAM_TOKENS);
    await waitUntilRunning('k1');
    entry(0).child.kill('SIGKILL');
    expect((await interrupted).outcome).to.equal(RequestOutcome.Failed);
    const retried = await fleet.sendChat(1, 'k1', STREAM_TOKENS);
    expectCompleteAnswer('k1', retried);
    await releaseInstance(fleet.keyValue, 'entry-0', PARTITION_COUNT);
    await fleet.waitUntil(
      async () => (await fleet.readBudget()).holders.length <= 2,
    );
    expect(await fleet.drain(1, 2)).to.deep.equal([0, 0]);
    const budget = await fleet.readBudget();
    expect(budget.billed).to.equal(retried.usedTokens);
    expect(budget.out, JSON.stringify(budget)).to.equal(0);
  });

  it('bills an answer whose entry is killed before it settles the charge', async () => {
    const result = await fleet.sendChat(0, 'k2', 4);
    entry(0).child.kill('SIGKILL');
    expectCompleteAnswer('k2', result, 4);
    await fleet.waitUntil(
      async () => (await fleet.readBudget()).billed === result.usedTokens,
    );
  });

  it('bills once when a frozen entry resumes after the retry', async () => {
    const first = fleet.sendChat(0, 'k3', STREAM_TOKENS);
    await waitUntilRunning('k3');
    entry(0).child.kill('SIGSTOP');
    const retried = await fleet.sendChat(1, 'k3', STREAM_TOKENS);
    expectCompleteAnswer('k3', retried);
    await fleet.waitUntil(
      async () => (await fleet.readBudget()).billed === retried.usedTokens,
    );
    entry(0).child.kill('SIGCONT');
    expectCompleteAnswer('k3', await first);
    expect(await fleet.drain(0, 1, 2)).to.deep.equal([0, 0, 0]);
    const budget = await fleet.readBudget();
    expect(budget.billed).to.equal(retried.usedTokens);
    expect(budget.out).to.equal(0);
  });

  it('never runs an order again after its entry was killed', async () => {
    for (const service of fleet.standIns.upstreams.values()) {
      service.setFaults({slow: 100});
    }
    const interrupted = fleet.sendOrder(0, 'o1');
    await waitUntilRunning('o1');
    entry(0).child.kill('SIGKILL');
    expect((await interrupted).outcome).to.equal(RequestOutcome.Failed);
    await fleet.waitUntil(
      async () => (await fetchStatus(entry(1)))?.peers.length === 1,
    );
    const retried = await fleet.sendOrder(1, 'o1');
    expect(retried.errorCode).to.equal('outcome-unknown');
    expect(retried.runStatus).to.equal('unknown');
    expect(fleet.countRuns('o1')).to.equal(1);
  });

  it('replays the recorded answer of an order at another entry', async () => {
    const first = await fleet.sendOrder(0, 'o2');
    const replayed = await fleet.sendOrder(1, 'o2');
    expect(first.outcome).to.equal(RequestOutcome.Answered);
    expect(replayed.content).to.equal(first.content);
    expect(fleet.countRuns('o2')).to.equal(1);
    await fleet.drain(0, 1, 2);
    expect((await fleet.readBudget()).billed).to.equal(20);
  });

  it('refuses an order while its record can not be confirmed', async () => {
    await fleet.sendOrder(0, 'o3');
    fleet.standIns.platform.setFaults({down: true});
    const refused = await fleet.sendOrder(0, 'o4');
    expect(refused.errorCode).to.equal('record-unavailable');
    expect(refused.runStatus).to.equal('not-run');
    expect(refused.hasRetryAfter).to.equal(true);
    expect(fleet.countRuns('o4')).to.equal(0);
    fleet.standIns.platform.setFaults({down: false});
    let result: RequestResult | undefined;
    await fleet.waitUntil(async () => {
      result = await fleet.sendOrder(1, 'o4');
      return result.outcome === RequestOutcome.Answered;
    });
    expect(fleet.countRuns('o4')).to.equal(1);
  });

  it('serves requests during an outage of the key-value service', async () => {
    expectCompleteAnswer('k4', await fleet.sendChat(0, 'k4', 4), 4);
    fleet.standIns.platform.setFaults({down: true});
    expectCompleteAnswer('k5', await fleet.sendChat(0, 'k5', 4), 4);
    // An entry without a share of the budget gets tokens from its peers.
    expectCompleteAnswer('k6', await fleet.sendChat(1, 'k6', 4), 4);
    fleet.standIns.platform.setFaults({down: false});
  });

  it('uses a top-up at an entry that reaches only its peers', async () => {
    const {keyValue} = fleet;
    expectCompleteAnswer('k7', await fleet.sendChat(2, 'k7', 4), 4);
    entry(2).platformRelay.setCut(true);
    await topUpBudget(keyValue, 'players', 'more', 50_000, PARTITION_COUNT);
    // Together these exceed the entry's own share; peers provide the rest.
    for (let i = 0; i < 8; i++) {
      expectCompleteAnswer(`p${i}`, await fleet.sendChat(2, `p${i}`, 4), 4);
    }
    entry(2).platformRelay.setCut(false);
    expect(await fleet.drain(0, 1, 2)).to.deep.equal([0, 0, 0]);
    expect((await fleet.readBudget()).out).to.equal(0);
  });

  it('finishes running requests on a planned stop', async () => {
    const stream = fleet.sendChat(0, 'k8', STREAM_TOKENS);
    await waitUntilRunning('k8');
    const [exitCode] = await fleet.drain(0);
    expectCompleteAnswer('k8', await stream);
    expect(exitCode).to.equal(0);
  });

  it('finishes running requests on a planned stop when the signal comes twice', async () => {
    const stream = fleet.sendChat(0, 'k9', STREAM_TOKENS);
    await waitUntilRunning('k9');
    const whenExited = fleet.drain(0);
    setTimeout(() => entry(0).child.kill('SIGTERM'), SECOND_SIGNAL_DELAY);
    expectCompleteAnswer('k9', await stream);
    expect(await whenExited).to.deep.equal([0]);
  });

  it('starts with the configuration of a peer during an outage', async () => {
    fleet.standIns.platform.setFaults({down: true});
    const added = await fleet.startEntry();
    await fleet.waitUntil(
      async () => (await fetchStatus(added))?.generation === 1,
    );
  });
});
