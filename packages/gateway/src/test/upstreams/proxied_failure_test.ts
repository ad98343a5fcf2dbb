/** A failure that a peer states counts only for the request that it names. */
import {createServer} from 'node:http';
import {expect} from 'chai';
import {CallFailure} from '../../lib/requests/call_failure.js';
import {
  failureHeaders,
  withoutPeerHeaders,
} from '../../lib/upstreams/proxy_protocol.js';
import {UpstreamAgent} from '../../lib/upstreams/upstream_agent.js';
import {failureOf} from './failed_call.js';
import type {AddressInfo} from 'node:net';
import type {OutgoingHttpHeaders} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';

const {NotExecuted, NotSent, ResponseLost} = CallFailure;

/** Returns the headers of a failure; without a name as earlier versions do. */
function headersOf(failure: CallFailure, name?: string): OutgoingHttpHeaders {
  const headers = failureHeaders({failure, reason: ''}, name ?? '');
  return name === undefined
    ? {'citrontrestle-failure': headers['citrontrestle-failure']}
    : headers;
}

const CASES = [
  {
    name: 'its own',
    stated: NotExecuted,
    names: 'r1',
    ids: ['r1'],
    read: NotExecuted,
  },
  {
    name: 'another one',
    stated: NotExecuted,
    names: 'r0',
    ids: ['r1'],
    read: ResponseLost,
  },
  {
    name: 'none',
    stated: NotExecuted,
    names: undefined,
    ids: ['r1'],
    read: NotExecuted,
  },
  {
    name: 'none, after the same identifier',
    stated: NotExecuted,
    names: undefined,
    ids: ['r1', 'r1'],
    read: ResponseLost,
  },
  {
    name: 'none, unsent, after the same identifier',
    stated: NotSent,
    names: undefined,
    ids: ['r1', 'r1'],
    read: NotSent,
  },
];

/** Time after which the connection of a call is idle. */
const IDLE_TIME: Millis = 20;

const pauseUntilIdle = () =>
  new Promise(resolve => setTimeout(resolve, IDLE_TIME));

describe('a failure that a peer states', () => {
  for (const {name, stated, names, ids, read} of CASES) {
    it(`of the request that it names: ${name}, ${stated}`, async () => {
      const server = createServer((_incoming, outgoing) =>
        outgoing.writeHead(502, headersOf(stated, names)).end(),
      );
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', () => resolve());
      });
      const {port} = server.address() as AddressInfo;
      const agent = new UpstreamAgent();
      const failures = [];
      for (const id of ids) {
        const call = {requestId: id, agent, isProxied: true};
        failures.push(await failureOf(port, call));
        await pauseUntilIdle();
      }
      agent.destroy();
      server.close();
      expect(failures.at(-1)).to.equal(read);
    });
  }

  it("can't be stated by an upstream", () => {
    const stated = failureHeaders({failure: NotExecuted, reason: 'r'}, 'r1');
    const headers = {...stated, 'Citrontrestle-Failure': 'lost', Other: '1'};
    const rawHeaders = Object.entries(headers).flat().map(String);
    expect(withoutPeerHeaders(rawHeaders)).to.deep.equal(['Other', '1']);
  });
});
