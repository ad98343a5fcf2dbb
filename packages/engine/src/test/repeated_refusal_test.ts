/**
 * An engine may send a refusal again where the answer to a later request on the
 * same connection is due. The client must not report that one as not run.
 */
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {AttemptOutcome} from '@citrontrestle/decisions';
import {EngineClient} from '../lib/engine.js';
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

const {Answered, Broken, Leaving, Mismatched, Refused} = AttemptOutcome;

/** An answer that the engine sends again, and the requests to the engine. */
interface Case {
  name: string;
  /** Headers of the answer to the first request. */
  headers: Record<string, string>;
  ids: [string, string];
  outcomes: AttemptOutcome[];
}

const OWN_ID = {'x-request-id': 'a', 'x-not-run': 'full'};
const OTHER_ID = {'x-request-id': 'z', 'x-not-run': 'full'};
const NO_ID = {'x-not-run': 'full'};
const DIFFERENT: [string, string] = ['a', 'b'];

const CASES: Case[] = [
  {
    name: 'of another request',
    headers: OWN_ID,
    ids: DIFFERENT,
    outcomes: [Refused, Mismatched],
  },
  {
    name: 'of the same request, which is under way again',
    headers: OWN_ID,
    ids: ['a', 'a'],
    outcomes: [Refused, Answered],
  },
  {
    name: 'without an identifier',
    headers: NO_ID,
    ids: DIFFERENT,
    outcomes: [Refused, Mismatched],
  },
  {
    name: 'that says that the engine is leaving',
    headers: {'x-not-run': 'leaving'},
    ids: DIFFERENT,
    outcomes: [Leaving, Mismatched],
  },
  {
    name: 'that names another request at first',
    headers: OTHER_ID,
    ids: DIFFERENT,
    outcomes: [Mismatched, Answered],
  },
  {
    name: 'that does not say whether it ran',
    headers: {},
    ids: DIFFERENT,
    outcomes: [Broken, Answered],
  },
  {
    name: 'that does not say whether it ran, of another request',
    headers: {'x-request-id': 'z'},
    ids: DIFFERENT,
    outcomes: [Mismatched, Answered],
  },
];

/** Refuses one request and runs the others, the first after the copy. */
function createEngine({headers}: Case): Server {
  const lines = Object.entries(headers).map(header => header.join(': '));
  const refusal = ['HTTP/1.1 503 Busy', ...lines, 'content-length: 0', '', ''];
  let refused: Socket | undefined;
  return createServer((incoming, outgoing) => {
    incoming.resume();
    if (refused === undefined) {
      refused = incoming.socket;
      outgoing.writeHead(503, {...headers, 'content-length': 0}).end();
      return;
    }
    refused.write(refusal.join('\r\n'));
    const id = incoming.headers['x-request-id'];
    const usage = {prompt_tokens: 1, completion_tokens: 1};
    outgoing.end(`data: ${JSON.stringify({id, usage})}\n\ndata: [DONE]\n\n`);
  });
}

async function complete(
  client: EngineClient,
  address: string,
  id: string,
): Promise<AttemptOutcome> {
  const result = await client.complete({
    address,
    id,
    messages: [],
    maxTokens: 1,
    priority: 0,
    idleTimeout: 5_000,
    signal: new AbortController().signal,
    onText: () => undefined,
  });
  return result.outcome;
}

describe('a refusal that an engine sends again', () => {
  for (const testCase of CASES) {
    it(testCase.name, async () => {
      const server = createEngine(testCase);
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', () => resolve()),
      );
      const {port} = server.address() as AddressInfo;
      const client = new EngineClient();
      const outcomes: AttemptOutcome[] = [];
      for (const id of testCase.ids) {
        outcomes.push(await complete(client, `127.0.0.1:${port}`, id));
        // The connection turns idle.
        await sleep(50);
      }
      client.close();
      server.close();
      server.closeAllConnections();
      expect(outcomes).to.deep.equal(testCase.outcomes);
    });
  }
});
