/**
 * A request that waited for its connection must not be written to it when its
 * upstream may get no more requests, as its zone was evacuated meanwhile. Only one
 * that is written occupies the link (issue 49, SHORT).
 */
import {createServer} from 'node:net';
import {expect} from 'chai';
import {CallFailure} from '../../lib/requests/call_failure.js';
import {failureOf} from './failed_call.js';
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
      let sentCount = 0;
      const failure = await failureOf(
        port,
        {
          method: 'POST',
          target: '/order/1',
          headers: {},
          body: Buffer.from('order'),
          mayStillSend: () => mayStillSend,
        },
        {},
        () => (sentCount += 1),
      );
      await hasClosed;
      const {NotSent, ResponseLost} = CallFailure;
      expect(failure).to.equal(receives ? ResponseLost : NotSent);
      expect(receivedBytes > 0).to.equal(receives);
      expect(sentCount).to.equal(receives ? 1 : 0);
    });
  }
});
