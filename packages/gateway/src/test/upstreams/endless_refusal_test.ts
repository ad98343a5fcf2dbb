/** A refusal whose body never ends must not hold its connection. */
import {createServer} from 'node:net';
import {expect} from 'chai';
import {CallFailure} from '../../lib/requests/call_failure.js';
import {failureOf} from './failed_call.js';
import type {UpstreamResponseHead} from '../../lib/process/ports.js';
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
      const {port} = server.address() as AddressInfo;
      const parseUpstreamResponseHead = () =>
        ({notExecuted: true}) as UpstreamResponseHead;
      const failure = await failureOf(port, {}, {parseUpstreamResponseHead});
      expect(failure).to.equal(CallFailure.NotExecuted);
      await closed;
      expect(Date.now() - startedAt).to.be.below(MAX_TIME_HELD);
    });
  }
});
