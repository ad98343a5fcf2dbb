/** A connection must not carry the same identifier twice, nor be kept forever. */
import {createServer, request} from 'node:http';
import {expect} from 'chai';
import {RequestAgent} from '../lib/request_agent.js';
import type {AddressInfo} from 'node:net';
import type {Server} from 'node:http';

/** More requests than one connection carries. */
const MANY_REQUESTS = 1_200;

const CASES = [
  {name: 'different identifiers share one', ids: ['a', 'b', 'c'], opened: 1},
  {
    name: 'an identifier that comes again gets its own',
    ids: ['a', 'a'],
    opened: 2,
  },
  {name: 'each repetition gets its own', ids: ['a', 'a', 'a'], opened: 3},
  {name: 'so does a missing one', ids: ['', ''], opened: 2},
  {name: 'the kept one serves on', ids: ['a', 'b', 'a', 'c'], opened: 2},
  {
    name: 'each carries a limited number of requests',
    ids: Array.from({length: MANY_REQUESTS}, (_, index) => `r${index}`),
    opened: 3,
  },
];

describe('connections of a request agent', () => {
  let server: Server;
  let address: string;
  let openedCount: number;
  let agent: RequestAgent;

  beforeEach(async () => {
    openedCount = 0;
    agent = new RequestAgent();
    server = createServer((_incoming, outgoing) => outgoing.end('done'));
    server.on('connection', () => (openedCount += 1));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  /** Sends a request; returns when its connection is idle or closed. */
  function send(id: string): Promise<void> {
    return new Promise((resolve, reject) => {
      const [host, port] = address.split(':');
      const used = agent.agentFor(address, id);
      const outgoing = request({host, port, agent: used});
      outgoing.on('socket', socket => agent.recordSent(socket, id));
      outgoing.on('response', response => response.resume());
      outgoing.on('close', () => setImmediate(resolve));
      outgoing.on('error', reject);
      outgoing.end();
    });
  }

  for (const {name, ids, opened} of CASES) {
    it(name, async () => {
      for (const id of ids) {
        await send(id);
      }
      expect(openedCount).to.equal(opened);
    });
  }
});
