/**
 * An instance with a full link refuses requests before it reads their bodies.
 */
import {connect, createServer} from 'node:net';
import {expect} from 'chai';
import {
  BufferCollection,
  PROCESS_BUFFERS,
} from '../../lib/process/buffer_collection.js';
import {HeldBytes} from '../../lib/process/held_bytes.js';
import {SocketReads} from '../../lib/process/socket_reads.js';
import {FrontServer} from '../../lib/requests/front_server.js';
import type {AddressInfo} from 'node:net';
import type {Dialect} from '../../lib/process/ports.js';
import type {FrontServerHandler} from '../../lib/requests/front_server.js';
import type {Log} from '@citrontrestle/runtime';

const DIALECT = {
  retryAfterHeaders: (delay: number) => ({'Retry-After': String(delay)}),
} as unknown as Dialect;

const LOG = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
} as unknown as Log;

const DELAY = 25;

/** Size of a body that no buffer on the way holds. */
const LARGE_BYTES = 32 * 1024 * 1024;

/** Returns an address of this machine that is free. */
async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return `127.0.0.1:${port}`;
}

const pause = (time: number) =>
  new Promise(resolve => setTimeout(resolve, time));

describe('a front server with a full link', () => {
  let front: FrontServer;
  let port: number;
  let served: number;
  let received: number;
  let refusesHeads: boolean;
  /** Whether requests stay without a response. */
  let holdsRequests: boolean;
  let cancelled: number;

  beforeEach(async () => {
    served = 0;
    received = 0;
    refusesHeads = false;
    holdsRequests = false;
    cancelled = 0;
    const handler: FrontServerHandler = {
      serve: (_request, response) => {
        served += 1;
        if (!holdsRequests) {
          response.send(200, {}, Buffer.alloc(0));
        }
        return {cancel: () => void (cancelled += 1), stop: () => undefined};
      },
      isClosing: () => false,
      maxBodyBytes: () => 2 * LARGE_BYTES,
      recordDeparture: () => undefined,
      recordReceived: bytes => void (received += bytes),
      delayOfRefusedHead: () => (refusesHeads ? DELAY : undefined),
    };
    const address = await freeAddress();
    port = Number(address.split(':')[1]);
    front = new FrontServer(
      DIALECT,
      handler,
      LOG,
      new HeldBytes(2 * LARGE_BYTES),
      new BufferCollection(PROCESS_BUFFERS, 2 * LARGE_BYTES),
      new SocketReads({now: () => 0}),
    );
    await front.listen(address);
  });

  afterEach(() => front.close());

  /** Sends a request over a connection of its own, all of it at once. */
  const send = (body: Buffer, framing: string): Promise<string> =>
    new Promise(resolve => {
      const socket = connect(port, '127.0.0.1');
      let answer = '';
      socket.on('data', (bytes: Buffer) => {
        answer += bytes.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(answer));
      socket.write(`POST /a HTTP/1.1\r\nHost: h\r\n${framing}\r\n\r\n`);
      socket.write(body);
    });

  const CASES = [
    {name: 'without a body', size: 0},
    {name: 'with a body that came along', size: 9_000},
    {name: 'with a large body', size: 400_000},
    {name: 'with a body that is read but for its end', size: 560_000},
    {name: 'with a body that is never sent whole', size: LARGE_BYTES},
  ];
  for (const {name, size} of CASES) {
    it(`refuses a request on its head, and the caller gets the answer: ${name}`, async () => {
      refusesHeads = true;
      const answer = await send(Buffer.alloc(size), `Content-Length: ${size}`);
      expect(answer).to.match(/^HTTP\/1\.1 503 /);
      expect(answer).to.include(`Retry-After: ${DELAY}\r\n`);
      expect(answer).to.include('Connection: close\r\n');
      expect(answer).to.match(/\{"error":"machine-busy"\}$/);
      expect(served).to.equal(0);
      expect(received).to.be.below(2 * 1024 * 1024);
      await pause(20);
      expect(front.activeRequests()).to.equal(0);
    });
  }

  it('cancels all requests of a connection when its caller leaves', async () => {
    holdsRequests = true;
    const socket = connect(port, '127.0.0.1');
    const request = 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n';
    socket.write(request + request + request);
    await pause(50);
    expect(served).to.equal(3);
    socket.destroy();
    await pause(50);
    expect(cancelled).to.equal(3);
    expect(front.activeRequests()).to.equal(0);
  });

  it('reads nothing of a body whose caller reads the answer first', async () => {
    refusesHeads = true;
    const answer = await new Promise<string>(resolve => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      socket.write(
        'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n',
      );
      socket.once('data', (bytes: Buffer) => {
        socket.destroy();
        resolve(bytes.toString('latin1'));
      });
    });
    await pause(300);
    expect(answer).to.match(/^HTTP\/1\.1 503 /);
    expect(received).to.be.below(2_000);
    expect(front.activeRequests()).to.equal(0);
  });
});
