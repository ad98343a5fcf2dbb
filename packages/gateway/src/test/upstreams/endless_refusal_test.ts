/** A refusal whose body never ends must not hold its connection. */
import {createServer} from 'node:net';
import {expect} from 'chai';
import {CallFailure} from '../../lib/requests/call_failure.js';
import {UpstreamAgent} from '../../lib/upstreams/upstream_agent.js';
import {UpstreamCall} from '../../lib/upstreams/upstream_call.js';
import type {Dialect} from '../../lib/process/ports.js';
import type {AddressInfo, Server} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** Time within which the connection has to be closed. */
const MAX_TIME_HELD: Millis = 2_000;

const HEAD = 'HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n';

const CASES = [
  {name: 'many bytes', interval: 1, chunk: `1000\r\n${'x'.repeat(4_096)}\r\n`},
  {name: 'a byte at times', interval: 200, chunk: '1\r\nx\r\n'},
  {name: 'nothing', interval: 200, chunk: ''},
];

describe('the body of a refusal without end', () => {
  let server: Server;

  afterEach(() => server.close());

  for (const {name, interval, chunk} of CASES) {
    it(`does not hold its connection: ${name}`, async () => {
      const closed = new Promise<void>(resolve => {
        server = createServer(socket => {
          socket.resume();
          socket.write(HEAD);
          const timer = setInterval(() => socket.write(chunk), interval);
          socket.on('error', () => undefined);
          socket.on('close', () => {
            clearInterval(timer);
            resolve();
          });
        });
      });
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', () => resolve());
      });
      const startedAt = Date.now();
      const failure = await refusedCall(server.address() as AddressInfo);
      expect(failure).to.equal(CallFailure.NotExecuted);
      await closed;
      expect(Date.now() - startedAt).to.be.below(MAX_TIME_HELD);
    });
  }
});

/** Sends a request; returns how it failed. */
function refusedCall({port}: AddressInfo): Promise<CallFailure> {
  const ignore = () => undefined;
  const parseUpstreamResponseHead = () => ({notExecuted: true});
  return new Promise(resolve => {
    new UpstreamCall(
      {
        address: `127.0.0.1:${port}`,
        method: 'GET',
        target: '/',
        headers: {},
        body: Buffer.alloc(0),
        requestId: 'r1',
        agent: new UpstreamAgent(),
        observer: {
          onSent: ignore,
          onConnected: ignore,
          onConnectFailed: ignore,
          onHeard: ignore,
          onEnded: ignore,
        },
        isProxied: false,
        mayStillSend: () => true,
      },
      {parseUpstreamResponseHead} as unknown as Dialect,
      {
        onHead: ignore,
        onStatement: ignore,
        onData: ignore,
        onComplete: ignore,
        onFailure: resolve,
      },
    );
  });
}
