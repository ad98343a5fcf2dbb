/** Promises of the whole path, in one process with stand-ins. */
import {expect} from 'chai';
import {BudgetPolicy, RoutingPolicy} from '@citrontrestle/decisions';
import {apply, ApplyOutcome} from '@citrontrestle/operator';
import {Client, Seen} from '../lib/client.js';
import {EmbeddedFleet, PARTITIONS} from '../lib/embedded_fleet.js';
import {readExperiment} from '../lib/experiment.js';
import type {Declarations} from '@citrontrestle/decisions';
import type {Sight} from '../lib/client.js';

const SCENARIO = 'examples/scenarios/try.yaml';
const POLL = 20;
const PATIENCE = 9_000;

/** Price of an order in the example, in tokens. */
const ORDER_PRICE = 20;

describe('promises of the whole path', () => {
  let fleet: EmbeddedFleet;
  let client: Client;
  let declarations: Declarations;

  beforeEach(async () => {
    const experiment = readExperiment(SCENARIO);
    ({declarations} = experiment);
    const desk = declarations.budgets.find(one => one.name === 'tournaments');
    Object.assign(desk ?? {}, {initialTokens: ORDER_PRICE});
    client = new Client();
    fleet = await EmbeddedFleet.start(experiment.scenario.fleet, declarations, {
      budget: BudgetPolicy.Shares,
      routing: RoutingPolicy.Estimate,
    });
  });

  afterEach(async () => {
    client.close();
    await fleet.stop();
  });

  function chat(entry: number, key: string, text: string): Promise<Sight> {
    const messages = [{role: 'user', content: text}];
    return client.send(fleet.entries[entry]?.addresses.callers ?? '', {
      method: 'POST',
      path: '/v1/chat/completions',
      apiKey: 'restringing-counter-buda-key',
      key,
      body: JSON.stringify({model: 'advice', messages, stream: true}),
      timeout: 20_000,
    });
  }

  async function until(condition: () => boolean): Promise<void> {
    const end = Date.now() + PATIENCE;
    while (!condition()) {
      expect(Date.now()).to.be.below(end);
      await new Promise(resolve => setTimeout(resolve, POLL));
    }
  }

  /** Declarations with another price, to tell them apart. */
  function changed(price: number): Declarations {
    const [first, ...rest] = declarations.classes;
    const changedClass = {...(first as (typeof rest)[0]), priceTokens: price};
    return {...declarations, classes: [changedClass, ...rest]};
  }

  const generations = () =>
    fleet.entries.map(one => one.entry.status().generation);

  it('puts a configuration in force everywhere; the later operator loses', async () => {
    const {keyValue, group} = fleet;
    group.platform.setFaults({lostAnswers: 2});
    const first = await apply(keyValue, changed(21), 1, PARTITIONS);
    expect(first.outcome).to.equal(ApplyOutcome.Accepted);
    expect(first.generation).to.equal(2);
    const second = await apply(keyValue, changed(22), 1, PARTITIONS);
    expect(second.outcome).to.equal(ApplyOutcome.Conflict);
    expect(second.changes).to.have.length(1);
    await until(() => generations().every(one => one === 2));
  });

  it('loses at most two upstreams to a request that crashes them', async () => {
    const engines = [...fleet.group.upstreams.values()];
    engines.forEach(engine => engine.setFaults({crashOn: 'poison'}));
    const codes: string[] = [];
    for (let i = 0; i < 6; i++) {
      codes.push((await chat(i % 3, `k${i}`, 'poison words:4')).code);
    }
    expect(engines.filter(engine => engine.hasCrashed())).to.have.length(2);
    expect(codes.at(-1)).to.equal('crashes-upstreams');
    const healthy = await chat(0, 'k', 'marker:k words:4');
    expect(healthy.seen).to.equal(Seen.Answered);
  });

  const broken = [
    {name: 'an answer to another request', faults: {wrongIds: 9}},
    {name: 'a stream cut in the middle', faults: {cuts: 9}},
  ];
  for (const {name, faults} of broken) {
    it(`never passes for whole: ${name}`, async () => {
      for (const upstream of fleet.group.upstreams.values()) {
        upstream.setFaults(faults);
      }
      const sight = await chat(0, 'b', 'marker:b words:40');
      expect(sight.seen).to.equal(Seen.Refused);
      expect(sight.code).to.equal('upstream-failed');
      expect(sight.content).to.not.include('somebody');
    });
  }

  it('replays an order also when the budget is used up', async () => {
    const order = (entry: number, key: string) =>
      client.send(fleet.entries[entry]?.addresses.callers ?? '', {
        method: 'POST',
        path: '/v1/work/order',
        apiKey: 'restringing-tournament-desk-key',
        key,
        body: '{"item": "marker:t"}',
        timeout: 20_000,
      });
    const first = await order(0, 't');
    const again = await order(1, 't');
    const other = await order(2, 'u');
    expect(first.seen).to.equal(Seen.Answered);
    expect(again.content).to.equal(first.content);
    expect(other.code).to.equal('budget-exhausted');
    expect(fleet.group.truth.runs).to.have.length(1);
  });

  it('sends nothing to an upstream that says it is leaving', async () => {
    const [id, engine] = [...fleet.group.upstreams][0] ?? [];
    engine?.setFaults({leaving: true});
    const knows = () =>
      fleet.entries.every(({entry}) =>
        entry.status().upstreams.some(one => one.id === id && one.leaving),
      );
    await until(knows);
    for (let i = 0; i < 12; i++) {
      const sight = await chat(i % 3, `l${i}`, `marker:l${i} words:2`);
      expect(sight.seen).to.equal(Seen.Answered);
    }
    const there = fleet.group.truth.runs.filter(run => run.upstream === id);
    expect(there).to.have.length(0);
  });
});
