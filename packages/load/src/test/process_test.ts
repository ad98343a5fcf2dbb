/** A few promises under the failures of real processes. */
import {expect} from 'chai';
import {Seen} from '../lib/client.js';
import {checkAnswer} from '../lib/answer.js';
import {ProcessFleet, PARTITIONS, status} from './process_fleet.js';
import {raise, releaseInstance} from '@citrontrestle/operator';
import type {EntryProcess} from './process_fleet.js';
import type {Planned} from '../lib/plan.js';
import type {Sight} from '../lib/client.js';

const WORDS = 60;

function expectWhole(key: string, sight: Sight, words = WORDS): void {
  expect(sight.seen).to.equal(Seen.Answered);
  const planned = {marker: key, outputTokens: words} as Planned;
  expect(checkAnswer(planned, sight.content)).to.equal(undefined);
}

describe('real processes', function () {
  this.timeout(120_000);
  let fleet: ProcessFleet;

  beforeEach(async () => {
    fleet = await ProcessFleet.start(3);
  });

  afterEach(() => fleet.stop());

  const entry = (index: number) => fleet.entries[index] as EntryProcess;
  const running = (key: string) => fleet.until(() => fleet.ran(key) > 0);

  it('bills once when an entry is killed in the middle of a stream', async () => {
    const lost = fleet.chat(0, 'k1', WORDS);
    await running('k1');
    entry(0).child.kill('SIGKILL');
    expect((await lost).seen).to.equal(Seen.Failed);
    const again = await fleet.chat(1, 'k1', WORDS);
    expectWhole('k1', again);
    await releaseInstance(fleet.keyValue, 'entry-0', PARTITIONS);
    await fleet.until(async () => (await fleet.budget()).holders.length <= 2);
    expect(await fleet.drain(1, 2)).to.deep.equal([0, 0]);
    const budget = await fleet.budget();
    expect(budget.billed).to.equal(again.tokens);
    expect(budget.out, JSON.stringify(budget)).to.equal(0);
  });

  it('bills an answer whose entry is killed before it settled', async () => {
    const sight = await fleet.chat(0, 'k2', 4);
    entry(0).child.kill('SIGKILL');
    expectWhole('k2', sight, 4);
    await fleet.until(
      async () => (await fleet.budget()).billed === sight.tokens,
    );
  });

  it('bills once when a frozen entry wakes after the retry', async () => {
    const first = fleet.chat(0, 'k3', WORDS);
    await running('k3');
    entry(0).child.kill('SIGSTOP');
    const again = await fleet.chat(1, 'k3', WORDS);
    expectWhole('k3', again);
    await fleet.until(
      async () => (await fleet.budget()).billed === again.tokens,
    );
    entry(0).child.kill('SIGCONT');
    expectWhole('k3', await first);
    expect(await fleet.drain(0, 1, 2)).to.deep.equal([0, 0, 0]);
    const budget = await fleet.budget();
    expect(budget.billed).to.equal(again.tokens);
    expect(budget.out).to.equal(0);
  });

  it('never runs an order again whose entry was killed', async () => {
    for (const service of fleet.group.upstreams.values()) {
      service.setFaults({slow: 100});
    }
    const lost = fleet.order(0, 'o1');
    await running('o1');
    entry(0).child.kill('SIGKILL');
    expect((await lost).seen).to.equal(Seen.Failed);
    await fleet.until(async () => (await status(entry(1)))?.peers.length === 1);
    const again = await fleet.order(1, 'o1');
    expect(again.code).to.equal('outcome-unknown');
    expect(again.run).to.equal('unknown');
    expect(fleet.ran('o1')).to.equal(1);
  });

  it('replays the recorded answer of an order at another entry', async () => {
    const first = await fleet.order(0, 'o2');
    const again = await fleet.order(1, 'o2');
    expect(first.seen).to.equal(Seen.Answered);
    expect(again.content).to.equal(first.content);
    expect(fleet.ran('o2')).to.equal(1);
    await fleet.drain(0, 1, 2);
    expect((await fleet.budget()).billed).to.equal(20);
  });

  it('runs no order while its record can not be confirmed', async () => {
    await fleet.order(0, 'o3');
    fleet.group.platform.setFaults({down: true});
    const refused = await fleet.order(0, 'o4');
    expect(refused.code).to.equal('record-unavailable');
    expect(refused.run).to.equal('not-run');
    expect(refused.retryAfter).to.equal(true);
    expect(fleet.ran('o4')).to.equal(0);
    fleet.group.platform.setFaults({down: false});
    let sight: Sight | undefined;
    await fleet.until(async () => {
      sight = await fleet.order(1, 'o4');
      return sight.seen === Seen.Answered;
    });
    expect(fleet.ran('o4')).to.equal(1);
  });

  it('serves through an outage of the key-value service', async () => {
    expectWhole('k4', await fleet.chat(0, 'k4', 4), 4);
    fleet.group.platform.setFaults({down: true});
    expectWhole('k5', await fleet.chat(0, 'k5', 4), 4);
    // An entry that never drew on the budget asks its peers.
    expectWhole('k6', await fleet.chat(1, 'k6', 4), 4);
    fleet.group.platform.setFaults({down: false});
  });

  it('uses a top-up at an entry that reaches only its peers', async () => {
    const {keyValue} = fleet;
    expectWhole('k7', await fleet.chat(2, 'k7', 4), 4);
    entry(2).platform.setCut(true);
    await raise(keyValue, 'players', 'more', 50_000, PARTITIONS);
    // More than its own share can hold: the rest comes from the peers.
    for (let i = 0; i < 8; i++) {
      expectWhole(`p${i}`, await fleet.chat(2, `p${i}`, 4), 4);
    }
    entry(2).platform.setCut(false);
    expect(await fleet.drain(0, 1, 2)).to.deep.equal([0, 0, 0]);
    expect((await fleet.budget()).out).to.equal(0);
  });

  it('cuts off no request on a planned stop', async () => {
    const stream = fleet.chat(0, 'k8', WORDS);
    await running('k8');
    const [code] = await fleet.drain(0);
    expectWhole('k8', await stream);
    expect(code).to.equal(0);
  });

  it('starts with the configuration of a peer in an outage', async () => {
    fleet.group.platform.setFaults({down: true});
    const added = await fleet.add();
    await fleet.until(async () => (await status(added))?.generation === 1);
  });
});
