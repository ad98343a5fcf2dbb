/**
 * How the response to a caller is framed: a small one without a length must not
 * get a length or chunks, as nothing proves that it is whole, and a larger one must
 * be in chunks, as a part of it may be all that leaves a process that is killed.
 */
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {expect} from 'chai';
import {CallerResponse} from '../../lib/requests/caller_response.js';
import {HeldBytes} from '../../lib/process/held_bytes.js';
import {
  RelayCompletion,
  ResponseRelay,
} from '../../lib/requests/response_relay.js';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Dialect} from '../../lib/process/ports.js';
import type {ReceivedHead} from '../../lib/upstreams/response_head.js';

/** The most that the kernel certainly takes at once. */
const SMALL = 4_096;

/** More than a relay buffers. */
const LARGE = 300_000;

/** The part of a dialect that a relay uses; passes all headers on. */
const DIALECT = {
  forwardedResponseHeaders: (rawHeaders: readonly string[]) =>
    Object.fromEntries(
      rawHeaders.flatMap((name, index) =>
        index % 2 === 0 ? [[name, rawHeaders[index + 1]]] : [],
      ),
    ),
} as unknown as Dialect;

/** Returns what an upstream's response with a body of `bytes` looks like. */
function received(
  bytes: number,
  isCloseDelimited: boolean,
  status = 200,
): ReceivedHead {
  const rawHeaders = isCloseDelimited ? [] : ['Content-Length', String(bytes)];
  return {status, rawHeaders, isCloseDelimited} as unknown as ReceivedHead;
}

describe('the framing of a response to a caller', () => {
  let server: Server;

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  /** Relays one response and returns its head as the caller gets it. */
  async function relayedHead(
    head: ReceivedHead,
    bytes: number,
  ): Promise<string> {
    server = createServer((_incoming, outgoing) => {
      const response = new CallerResponse(outgoing, DIALECT, () => false);
      const relay = new ResponseRelay(
        response,
        DIALECT,
        false,
        false,
        undefined,
        new HeldBytes(2 * LARGE),
      );
      relay.setHead(head);
      if (bytes > 0) {
        relay.push(Buffer.alloc(bytes, 'x'));
      }
      if (relay.finish() === RelayCompletion.Unproven) {
        relay.sendUnproven();
      }
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    const {port} = server.address() as AddressInfo;
    return new Promise(resolve => {
      const socket = connect(port, '127.0.0.1');
      let text = '';
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
      socket.on('data', chunk => {
        text += chunk.toString('latin1');
        if (text.includes('\r\n\r\n')) {
          socket.destroy();
          resolve(text.split('\r\n\r\n')[0]?.toLowerCase() ?? '');
        }
      });
    });
  }

  const cases = [0, 1, 800, SMALL, SMALL + 1, 120_000, LARGE].flatMap(bytes =>
    [true, false].map(isCloseDelimited => ({bytes, isCloseDelimited})),
  );
  for (const {bytes, isCloseDelimited} of cases) {
    const kind = isCloseDelimited ? 'no length' : 'a length';
    // Without chunks, an end of the gateway in the middle of a body, and even a
    // reset, looks like its end (review, cases 4 and 13).
    const isInChunks = isCloseDelimited && bytes > SMALL;
    it(`is ${isInChunks ? 'in chunks' : "the upstream's"}: ${kind}, ${bytes} bytes`, async () => {
      const head = await relayedHead(received(bytes, isCloseDelimited), bytes);
      expect(/content-length/.test(head)).to.equal(!isCloseDelimited);
      expect(/transfer-encoding: chunked/.test(head)).to.equal(isInChunks);
    });
  }

  it("is the upstream's: an error without a length or a byte", async () => {
    const head = await relayedHead(received(0, true, 500), 0);
    expect(head).to.match(/^http\/1.1 500/);
    expect(head).not.to.match(/content-length|transfer-encoding/);
  });
});
