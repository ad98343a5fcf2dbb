/**
 * A request that waited for its connection must not be written to it when its
 * upstream may get no more requests, as its zone was evacuated meanwhile.
 */
import {createServer} from 'node:net';
import {expect} from 'chai';
import {CallFailure} from '../../lib/requests/call_failure.js';
import {UpstreamAgent} from '../../lib/upstreams/upstream_agent.js';
import {UpstreamCall} from '../../lib/upstreams/upstream_call.js';
import type {Dialect} from '../../lib/process/ports.js';
import type {AddressInfo, Server} from 'node:net';

const CASES = [
  {name: 'is written', mayStillSend: true, receives: true},
  {name: 'is withdrawn', mayStillSend: false, receives: false},
];

describe('a request with a new connection', () => {
  let server: Server;
  let receivedBytes: number;
  let hasClosed: Promise<void>;

  beforeEach(async () => {
    receivedBytes = 0;
    server = createServer();
    hasClosed = new Promise(resolve => {
      server.on('connection', socket => {
        socket.on('data', ({length}) => {
          receivedBytes += length;
          socket.destroy();
        });
        socket.on('error', () => undefined);
        socket.on('close', () => resolve());
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
  });

  afterEach(() => server.close());

  for (const {name, mayStillSend, receives} of CASES) {
    it(name, async () => {
      const {port} = server.address() as AddressInfo;
      const ignore = () => undefined;
      const failure = await new Promise<CallFailure>(resolve => {
        new UpstreamCall(
          {
            address: `127.0.0.1:${port}`,
            method: 'POST',
            target: '/order/1',
            headers: {},
            body: Buffer.from('order'),
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
            mayStillSend: () => mayStillSend,
          },
          {} as Dialect,
          {
            onHead: ignore,
            onStatement: ignore,
            onData: ignore,
            onComplete: ignore,
            onFailure: resolve,
          },
        );
      });
      await hasClosed;
      const {NotSent, ResponseLost} = CallFailure;
      expect(failure).to.equal(receives ? ResponseLost : NotSent);
      expect(receivedBytes > 0).to.equal(receives);
    });
  }
});
