/**
 * A cancelled call must take back what is still under way to the upstream: a
 * connection that is closed delivers it first, seconds later on a full link.
 */
import {connect, createServer} from 'node:net';
import {expect} from 'chai';
import {startCall} from './failed_call.js';
import type {UpstreamCall} from '../../lib/upstreams/upstream_call.js';
import type {AddressInfo, Server, Socket} from 'node:net';

/** Size of a body that the buffers on the way hold only in part. */
const BODY_BYTES = 16 * 1024 * 1024;

/**
 * Maximum number of bytes that reach an upstream after the call has ended: those
 * that its machine has received and passed on already.
 */
const MAX_DELIVERED_BYTES = 1024 * 1024;

/** Time until the buffers on the way are full. */
const FILL_TIME = 100;

const pause = (time: number) =>
  new Promise(resolve => setTimeout(resolve, time));

/** Ways in which a call ends before its response is complete. */
const ENDINGS: {
  name: string;
  end: (call: UpstreamCall, upstream: Socket) => void;
}[] = [
  {name: 'is cancelled', end: call => call.cancel()},
  {
    name: 'fails by the answer',
    end: (_call, upstream) =>
      upstream.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
  },
  {
    name: 'fails as the answer is not HTTP',
    end: (_call, upstream) => upstream.write('no answer\r\n\r\n'),
  },
];

describe('a request whose bytes are still under way', () => {
  let server: Server;
  let connection: Promise<Socket>;

  beforeEach(async () => {
    server = createServer({pauseOnConnect: true});
    connection = new Promise(resolve => server.on('connection', resolve));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
  });

  afterEach(() => server.close());

  /** Reads what still arrives; resolves to its size when the connection ends. */
  const readRest = (upstream: Socket) =>
    new Promise<number>(resolve => {
      let size = 0;
      upstream.on('data', ({length}: Buffer) => {
        size += length;
      });
      upstream.on('error', () => undefined);
      upstream.on('close', () => resolve(size));
      upstream.resume();
    });

  it('reaches the upstream when its connection is closed', async () => {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.write(Buffer.alloc(BODY_BYTES));
    const upstream = await connection;
    await pause(FILL_TIME);
    socket.destroy();
    expect(await readRest(upstream)).to.be.above(MAX_DELIVERED_BYTES);
  });

  for (const isProxied of [false, true]) {
    for (const {name, end} of ENDINGS) {
      const way = isProxied ? 'through a peer' : 'directly';
      it(`does not reach the upstream when its call ${name}, ${way}`, async () => {
        const {port} = server.address() as AddressInfo;
        const call = startCall(port, {
          method: 'POST',
          body: Buffer.alloc(BODY_BYTES),
          isProxied,
        });
        const upstream = await connection;
        await pause(FILL_TIME);
        end(call, upstream);
        await pause(FILL_TIME);
        expect(await readRest(upstream)).to.be.below(MAX_DELIVERED_BYTES);
      });
    }
  }
});
