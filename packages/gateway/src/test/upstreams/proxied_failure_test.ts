/** A failure that a peer states counts only for the request that it names. */
import {createServer} from 'node:http';
import {expect} from 'chai';
import {CallFailure} from '../../lib/requests/call_failure.js';
import {
  failureHeaders,
  withoutFailureHeaders,
} from '../../lib/upstreams/proxy_protocol.js';
import {UpstreamAgent} from '../../lib/upstreams/upstream_agent.js';
import {UpstreamCall} from '../../lib/upstreams/upstream_call.js';
import type {Dialect} from '../../lib/process/ports.js';
import type {AddressInfo} from 'node:net';
import type {OutgoingHttpHeaders} from 'node:http';

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

/** Sends a request through a peer; returns how it failed. */
function failureOf(port: number, requestId: string, agent: UpstreamAgent) {
  const ignore = () => undefined;
  const observer = {
    onSent: ignore,
    onConnected: ignore,
    onConnectFailed: ignore,
    onHeard: ignore,
    onEnded: ignore,
  };
  return new Promise<CallFailure>(resolve => {
    new UpstreamCall(
      {
        address: `127.0.0.1:${port}`,
        method: 'GET',
        target: '/',
        headers: {Host: 'peer'},
        body: Buffer.alloc(0),
        requestId,
        agent,
        observer,
        isProxied: true,
        mayStillSend: () => true,
      },
      {} as Dialect,
      {
        onHead: ignore,
        onStatement: ignore,
        onData: ignore,
        onComplete: ignore,
        onFailure: failure => setTimeout(() => resolve(failure), 20),
      },
    );
  });
}

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
        failures.push(await failureOf(port, id, agent));
      }
      agent.destroy();
      server.close();
      expect(failures.at(-1)).to.equal(read);
    });
  }

  it("can't be stated by an upstream", () => {
    const stated = failureHeaders({failure: NotExecuted, reason: 'r'}, 'r1');
    const headers = {...stated, 'Citrontrestle-Failure': 'lost', Other: '1'};
    expect(withoutFailureHeaders(headers)).to.deep.equal({Other: '1'});
  });
});
