/** Checks guarantees from the client to the upstream, on an embedded fleet. */
import {expect} from 'chai';
import {BudgetPolicy, RoutingPolicy} from '@citrontrestle/decisions';
import {applyDeclarations, ApplyOutcome} from '@citrontrestle/operator';
import {Client, RequestOutcome} from '../lib/client.js';
import {EmbeddedFleet, PARTITION_COUNT} from '../lib/embedded_fleet.js';
import {readExperiment} from '../lib/experiment.js';
import type {Declarations} from '@citrontrestle/decisions';
import type {RequestResult} from '../lib/client.js';

const SCENARIO = 'examples/scenarios/try.yaml';
const POLL_INTERVAL_MS = 20;
const WAIT_TIMEOUT_MS = 9_000;

/** Price of an order in the example, in tokens. */
const ORDER_PRICE = 20;

describe('end-to-end guarantees', () => {
  let fleet: EmbeddedFleet;
  let client: Client;
  let declarations: Declarations;

  beforeEach(async () => {
    const experiment = readExperiment(SCENARIO);
    ({declarations} = experiment);
    const orderBudget = declarations.budgets.find(
      budget => budget.name === 'tournaments',
    );
    Object.assign(orderBudget ?? {}, {initialTokens: ORDER_PRICE});
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

  function sendChat(
    entryIndex: number,
    idempotencyKey: string,
    content: string,
  ): Promise<RequestResult> {
    const messages = [{role: 'user', content}];
    return client.send(fleet.entries[entryIndex]?.addresses.callers ?? '', {
      method: 'POST',
      path: '/v1/chat/completions',
      apiKey: 'restringing-counter-buda-key',
      idempotencyKey,
      body: JSON.stringify({model: 'advice', messages, stream: true}),
      timeout: 20_000,
    });
  }

  async function waitUntil(condition: () => boolean): Promise<void> {
    const deadline = Date.now() + WAIT_TIMEOUT_MS;
    while (!condition()) {
      expect(Date.now()).to.be.below(deadline);
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Declarations that differ in the price of the first class. */
  function withFirstPrice(priceTokens: number): Declarations {
    const [firstClass, ...otherClasses] = declarations.classes;
    const changedClass = {
      ...(firstClass as (typeof otherClasses)[0]),
      priceTokens,
    };
    return {...declarations, classes: [changedClass, ...otherClasses]};
  }

  const readGenerations = () =>
    fleet.entries.map(embeddedEntry => embeddedEntry.entry.status().generation);

  it('applies a configuration at every entry and rejects a concurrent one', async () => {
    const {keyValue, standIns} = fleet;
    standIns.platform.setFaults({lostAnswers: 2});
    const first = await applyDeclarations(
      keyValue,
      withFirstPrice(21),
      1,
      PARTITION_COUNT,
    );
    expect(first.outcome).to.equal(ApplyOutcome.Accepted);
    expect(first.generation).to.equal(2);
    const second = await applyDeclarations(
      keyValue,
      withFirstPrice(22),
      1,
      PARTITION_COUNT,
    );
    expect(second.outcome).to.equal(ApplyOutcome.Conflict);
    expect(second.changes).to.have.length(1);
    await waitUntil(() =>
      readGenerations().every(generation => generation === 2),
    );
  });

  it('loses at most two upstreams to requests that crash them', async () => {
    const engines = [...fleet.standIns.upstreams.values()];
    engines.forEach(engine => engine.setFaults({crashOn: 'poison'}));
    const codes: string[] = [];
    for (let i = 0; i < 6; i++) {
      codes.push((await sendChat(i % 3, `k${i}`, 'poison words:4')).errorCode);
    }
    expect(engines.filter(engine => engine.hasCrashed())).to.have.length(2);
    expect(codes.at(-1)).to.equal('crashes-upstreams');
    const healthy = await sendChat(0, 'k', 'marker:k words:4');
    expect(healthy.outcome).to.equal(RequestOutcome.Answered);
  });

  const corruptedAnswers = [
    {name: 'an answer to another request', faults: {wrongIds: 9}},
    {name: 'a stream cut in the middle', faults: {cuts: 9}},
  ];
  for (const {name, faults} of corruptedAnswers) {
    it(`refuses instead of completing: ${name}`, async () => {
      for (const upstream of fleet.standIns.upstreams.values()) {
        upstream.setFaults(faults);
      }
      const result = await sendChat(0, 'b', 'marker:b words:40');
      expect(result.outcome).to.equal(RequestOutcome.Refused);
      expect(result.errorCode).to.equal('upstream-failed');
      expect(result.content).to.not.include('somebody');
    });
  }

  it('replays an order even when the budget is exhausted', async () => {
    const sendOrder = (entryIndex: number, idempotencyKey: string) =>
      client.send(fleet.entries[entryIndex]?.addresses.callers ?? '', {
        method: 'POST',
        path: '/v1/work/order',
        apiKey: 'restringing-tournament-desk-key',
        idempotencyKey,
        body: '{"item": "marker:t"}',
        timeout: 20_000,
      });
    const first = await sendOrder(0, 't');
    const replayed = await sendOrder(1, 't');
    const second = await sendOrder(2, 'u');
    expect(first.outcome).to.equal(RequestOutcome.Answered);
    expect(replayed.content).to.equal(first.content);
    expect(second.errorCode).to.equal('budget-exhausted');
    expect(fleet.standIns.runRecorder.runs).to.have.length(1);
  });

  it('sends no requests to an upstream that reports that it is leaving', async () => {
    const [id, engine] = [...fleet.standIns.upstreams][0] ?? [];
    engine?.setFaults({leaving: true});
    const allEntriesKnow = () =>
      fleet.entries.every(({entry}) =>
        entry
          .status()
          .upstreams.some(upstream => upstream.id === id && upstream.leaving),
      );
    await waitUntil(allEntriesKnow);
    for (let i = 0; i < 12; i++) {
      const result = await sendChat(i % 3, `l${i}`, `marker:l${i} words:2`);
      expect(result.outcome).to.equal(RequestOutcome.Answered);
    }
    const runsAtLeaving = fleet.standIns.runRecorder.runs.filter(
      run => run.upstream === id,
    );
    expect(runsAtLeaving).to.have.length(0);
  });
});
