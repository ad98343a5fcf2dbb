/**
 * Invalid requests and unauthenticated senders must get a specific error, and
 * must not cause a run or a charge.
 */
import {connect} from 'node:net';
import {request} from 'node:http';
import {expect} from 'chai';
import {BudgetPolicy, RoutingPolicy} from '@citrontrestle/decisions';
import {encodeFrame, MAX_FRAME_BYTES} from '@citrontrestle/fleet';
import {readLedger, viewLedger} from '@citrontrestle/operator';
import {readBody, splitAddress} from '@citrontrestle/runtime';
import {EmbeddedFleet, PARTITION_COUNT} from '../lib/embedded_fleet.js';
import {readExperiment} from '../lib/experiment.js';
import type {Experiment} from '../lib/experiment.js';
import type {OutgoingHttpHeaders} from 'node:http';

const SCENARIO = 'examples/scenarios/try.yaml';
const CHAT_PATH = '/v1/chat/completions';
const API_KEY = 'restringing-counter-buda-key';
/** Wait after the second order; the number of runs is read before it. */
const REPEATED_RUN_WAIT_MS = 20;

/** An invalid request and the expected response. */
interface InputCase {
  name: string;
  path: string;
  method?: string;
  headers?: OutgoingHttpHeaders;
  body?: string;
  status: number;
  code: string;
}

const authorizationHeaders = (apiKey: string) => ({
  authorization: `Bearer ${apiKey}`,
});
const createChatBody = (model: string, content = 'marker:bad words:2') =>
  JSON.stringify({model, messages: [{role: 'user', content}]});

const INPUT_CASES: InputCase[] = [
  {
    name: 'rejects an unknown API key',
    path: CHAT_PATH,
    headers: authorizationHeaders('nobody'),
    body: createChatBody('advice'),
    status: 401,
    code: 'unknown-key',
  },
  {
    name: 'rejects a request without an API key',
    path: CHAT_PATH,
    body: createChatBody('advice'),
    status: 401,
    code: 'unknown-key',
  },
  {
    name: 'rejects a class that the account may not use',
    path: CHAT_PATH,
    headers: authorizationHeaders('restringing-school-north-key'),
    body: createChatBody('advice'),
    status: 403,
    code: 'class-not-allowed',
  },
  {
    name: 'rejects an unknown class',
    path: CHAT_PATH,
    headers: authorizationHeaders(API_KEY),
    body: createChatBody('poetry'),
    status: 404,
    code: 'unknown-class',
  },
  {
    name: 'rejects an engine class on the service path',
    path: '/v1/work/advice',
    headers: authorizationHeaders(API_KEY),
    body: '{}',
    status: 404,
    code: 'unknown-class',
  },
  {
    name: 'rejects a service class on the engine path',
    path: CHAT_PATH,
    headers: authorizationHeaders(API_KEY),
    body: createChatBody('status'),
    status: 404,
    code: 'unknown-class',
  },
  {
    name: 'rejects malformed JSON',
    path: CHAT_PATH,
    headers: authorizationHeaders(API_KEY),
    body: '{"model": "adv',
    status: 400,
    code: 'malformed',
  },
  {
    name: 'rejects messages that do not match the schema',
    path: CHAT_PATH,
    headers: authorizationHeaders(API_KEY),
    body: '{"model": "advice", "messages": [{"role": 1}]}',
    status: 400,
    code: 'malformed',
  },
  {
    name: 'rejects an oversized body',
    path: CHAT_PATH,
    headers: authorizationHeaders(API_KEY),
    body: createChatBody('advice', 'x'.repeat(1_200_000)),
    status: 413,
    code: 'body-too-large',
  },
  {
    name: 'rejects an oversized idempotency key',
    path: CHAT_PATH,
    headers: {
      ...authorizationHeaders(API_KEY),
      'idempotency-key': 'k'.repeat(300),
    },
    body: createChatBody('advice'),
    status: 400,
    code: 'malformed',
  },
  {
    name: 'rejects an order without an idempotency key',
    path: '/v1/work/order',
    headers: authorizationHeaders(API_KEY),
    body: '{"item": "marker:bad"}',
    status: 428,
    code: 'idempotency-key-required',
  },
  {
    name: 'rejects an unknown path',
    path: '/v2/anything',
    headers: authorizationHeaders(API_KEY),
    body: '{}',
    status: 404,
    code: 'unknown-path',
  },
];

interface ErrorAnswer {
  status: number;
  body: {error?: {code: string}};
}

function send(
  address: string,
  input: Partial<InputCase>,
): Promise<ErrorAnswer> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      ...splitAddress(address),
      method: input.method ?? 'POST',
      path: input.path,
      headers: input.headers ?? {},
    });
    outgoing.on('response', incoming => {
      readBody(incoming, 1_000_000).then(bytes => {
        const text = bytes.toString();
        const body = (text ? JSON.parse(text) : {}) as ErrorAnswer['body'];
        resolve({status: incoming.statusCode ?? 0, body});
      }, reject);
    });
    outgoing.on('error', reject);
    outgoing.end(input.body);
  });
}

describe('bad input', () => {
  let fleet: EmbeddedFleet;
  let address: string;

  before(async () => {
    const experiment: Experiment = readExperiment(SCENARIO);
    const policies = {
      budget: BudgetPolicy.Shares,
      routing: RoutingPolicy.Estimate,
    };
    const fleetSettings = {...experiment.scenario.fleet, entries: 2};
    fleet = await EmbeddedFleet.start(
      fleetSettings,
      experiment.declarations,
      policies,
    );
    address = fleet.entries[0]?.addresses.callers ?? '';
  });

  after(() => fleet.stop());

  /** Expects that nothing ran or was billed and that the entry is ready. */
  async function expectNoEffect(): Promise<void> {
    expect(fleet.standIns.runRecorder.runs).to.have.length(0);
    for (let partition = 0; partition < PARTITION_COUNT; partition++) {
      const ledger = await readLedger(fleet.keyValue, partition);
      for (const budget of ledger ? viewLedger(ledger) : []) {
        expect(budget.billed).to.equal(0);
      }
    }
    expect(fleet.entries[0]?.entry.isReady()).to.equal(true);
  }

  for (const inputCase of INPUT_CASES) {
    it(inputCase.name, async () => {
      const {status, body} = await send(address, inputCase);
      expect(status).to.equal(inputCase.status);
      expect(body.error?.code).to.equal(inputCase.code);
      await expectNoEffect();
    });
  }

  it('rejects an oversized header', async () => {
    const headers = {
      ...authorizationHeaders(API_KEY),
      'x-large': 'x'.repeat(40_000),
    };
    const {status} = await send(address, {
      path: CHAT_PATH,
      headers,
      body: '{}',
    });
    expect(status).to.equal(431);
    await expectNoEffect();
  });

  const frames = [
    {name: 'an oversized frame', bytes: createOversizedFrameHeader()},
    {
      name: 'a frame that is not valid CBOR',
      bytes: Buffer.from([0, 0, 0, 1, 0xff]),
    },
    {name: 'a first frame that is not a hello', bytes: encodeFrame({a: 1})},
    {
      name: 'a proof made without the fleet key',
      bytes: Buffer.concat([
        encodeFrame({
          kind: 'hello',
          holder: 'stranger',
          address: '127.0.0.1:1',
          zone: 'bud-1',
          nonce: 'n',
        }),
        encodeFrame({kind: 'proof', proof: 'guessed'}),
      ]),
    },
  ];
  for (const {name, bytes} of frames) {
    it(`closes a peer connection on ${name}`, async () => {
      const peers = fleet.entries[0]?.entry.status().peers;
      const socket = connect(
        splitAddress(fleet.entries[0]?.addresses.fleet ?? ''),
      );
      socket.resume();
      socket.write(bytes);
      await new Promise(resolve => socket.once('close', resolve));
      expect(fleet.entries[0]?.entry.status().peers).to.deep.equal(peers);
      await expectNoEffect();
    });
  }

  it('rejects an operator request without the token', async () => {
    const operators = fleet.entries[0]?.addresses.operators ?? '';
    const {status} = await send(operators, {method: 'GET', path: '/status'});
    expect(status).to.equal(401);
  });

  it('rejects a used idempotency key with another body', async () => {
    const headers = {
      ...authorizationHeaders(API_KEY),
      'idempotency-key': 'once',
    };
    const path = '/v1/work/order';
    const first = await send(address, {path, headers, body: '{"item": 1}'});
    expect(first.status).to.equal(200);
    const second = await send(address, {path, headers, body: '{"item": 2}'});
    expect(second.status).to.equal(422);
    expect(second.body.error?.code).to.equal('idempotency-key-reused');
    const runCount = fleet.standIns.runRecorder.runs.length;
    await new Promise(resolve => setTimeout(resolve, REPEATED_RUN_WAIT_MS));
    expect(runCount).to.equal(1);
  });
});

/** Creates a header that announces a frame above the maximum size. */
function createOversizedFrameHeader(): Buffer {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1);
  return header;
}
