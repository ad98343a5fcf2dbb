/**
 * Guards against bodies of peers that fill the memory of the instance that
 * forwards them (issue 39, bytes without end).
 */
import {request} from 'node:http';
import {createServer} from 'node:net';
import {expect} from 'chai';
import {CallFailure} from '../../lib/requests/call_failure.js';
import {HeldBytes} from '../../lib/process/held_bytes.js';
import {
  orderHeaders,
  parseFailure,
} from '../../lib/upstreams/proxy_protocol.js';
import {SocketReads} from '../../lib/process/socket_reads.js';
import {ProxyServer} from '../../lib/upstreams/proxy_server.js';
import type {AddressInfo} from 'node:net';
import type {StatedFailure} from '../../lib/upstreams/proxy_protocol.js';
import type {ProxyServerContext} from '../../lib/upstreams/proxy_server.js';

const FLEET_KEY = 'fleet';

/** Bytes of bodies that the instance may keep. */
const MAX_HELD_BYTES = 1_000;

const TARGET = '/order/1';

/** The upstream is unknown, so a body that was read leads to `NotSent`. */
const CASES = [
  {name: 'is read with room for it', size: 600, failure: CallFailure.NotSent},
  {
    name: 'is refused without room for it',
    size: 1_400,
    failure: CallFailure.ProxyFailed,
  },
  {
    name: 'is refused without room for a large one',
    size: 4_000_000,
    failure: CallFailure.ProxyFailed,
  },
];

/** An upstream in an evacuated zone. */
const EVACUATED = {id: 'u2', zone: 'z'};

/** Returns a free port. */
async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Sends a body as a peer does; resolves to the failure in the response. */
function forward(
  port: number,
  size: number,
  upstreamId = 'u1',
): Promise<StatedFailure | undefined> {
  const order = {upstreamId, requestId: 'r1', remainingTime: 1_000};
  return new Promise((resolve, reject) => {
    const outgoing = request({
      port,
      host: '127.0.0.1',
      path: TARGET,
      method: 'POST',
      agent: false,
      headers: {
        ...orderHeaders(order, TARGET, FLEET_KEY),
        'Content-Length': size,
      },
    });
    outgoing.on('response', incoming => {
      incoming.resume();
      resolve(parseFailure(incoming.headers));
    });
    outgoing.on('error', reject);
    outgoing.end(Buffer.alloc(size));
  });
}

describe('the body of a request of a peer', () => {
  let heldRequests: HeldBytes;
  let port: number;

  before(async () => {
    heldRequests = new HeldBytes(MAX_HELD_BYTES);
    const server = new ProxyServer({
      fleetKey: FLEET_KEY,
      heldRequests,
      maxBodyBytes: () => Infinity,
      admits: () => true,
      socketReads: new SocketReads({now: () => 0}),
      clock: {now: () => 0},
      log: {info: () => undefined},
      linkLoad: {isSaturated: () => false},
      bufferCollection: {recordRead: () => undefined},
      reachability: {isPartitioned: () => false},
      upstreamRegistry: {
        usableUpstream: (id: string) =>
          id === EVACUATED.id ? EVACUATED : undefined,
      },
      evacuationWatch: {isEvacuated: (zone: string) => zone === EVACUATED.zone},
    } as unknown as ProxyServerContext);
    port = await findPort();
    await server.listen(`127.0.0.1:${port}`);
  });

  for (const {name, size, failure} of CASES) {
    it(name, async () => {
      const answer = await forward(port, size);
      expect(answer?.failure).to.equal(failure);
    });
  }

  it('goes to no upstream in an evacuated zone', async () => {
    const answer = await forward(port, 600, EVACUATED.id);
    expect(answer).to.deep.equal({
      failure: CallFailure.NotSent,
      reason: 'the zone is evacuated',
      requestId: 'r1',
    });
  });

  it('takes no room afterwards', async () => {
    const sizes = [600, 4_000_000, 600];
    for (const size of sizes) {
      await forward(port, size);
    }
    while (heldRequests.held() > 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    const answer = await forward(port, MAX_HELD_BYTES);
    expect(answer?.failure).to.equal(CallFailure.NotSent);
  });
});
