/**
 * Answers of the platform carry no identifier. One that is sent again, where the
 * answer to the next call is due, must not be taken for that.
 */
import {createServer} from 'node:http';
import {expect} from 'chai';
import {SystemClock} from '@citrontrestle/runtime';
import {CborCodec} from '../lib/codec.js';
import {InstanceListClient} from '../lib/instances.js';
import {KeyValueClient, KeyValueOutcome} from '../lib/key_value.js';
import type {AddressInfo, Socket} from 'node:net';

/** Status, version and body of an answer. */
type Answer = [status: number, version: number, body?: Buffer];

const {Absent, Conflict, Found, Unavailable, Written} = KeyValueOutcome;
const A = new CborCodec().encode('a');
const B = new CborCodec().encode('b');

const read = (client: KeyValueClient) => client.read('key');
const write = (client: KeyValueClient) => client.write('key', 1, 'value');

/** Runs `use` against a platform that repeats each answer before the next. */
async function withPlatform(
  answers: Answer[],
  use: (address: string) => Promise<void>,
): Promise<void> {
  const rest = [...answers];
  let last: {socket: Socket; copy: Buffer} | undefined;
  const server = createServer((incoming, outgoing) => {
    last?.socket.write(last.copy);
    const [status, version, body = Buffer.alloc(0)] = rest.shift() ?? [500, 0];
    const etag = `"${version}"`;
    const head = `HTTP/1.1 ${status} X\r\netag: ${etag}\r\ncontent-length: `;
    const copy = Buffer.from(`${head}${body.length}\r\n\r\n`);
    last = {socket: incoming.socket, copy: Buffer.concat([copy, body])};
    incoming.resume();
    outgoing.writeHead(status, {etag}).end(body);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  try {
    await use(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

const CASES: {
  name: string;
  answers: Answer[];
  calls: ((client: KeyValueClient) => Promise<{outcome: KeyValueOutcome}>)[];
  expected: object[];
}[] = [
  {
    name: 'a write after a write that took effect',
    answers: [
      [200, 7],
      [412, 3, B],
    ],
    calls: [write, write],
    expected: [
      {outcome: Written, version: 7},
      {outcome: Conflict, version: 3, value: 'b'},
    ],
  },
  {
    name: 'a write after a refused write',
    answers: [
      [503, 0],
      [200, 8],
    ],
    calls: [write, write],
    expected: [{outcome: Unavailable}, {outcome: Written, version: 8}],
  },
  {
    name: 'a write after a write in conflict',
    answers: [
      [412, 2, A],
      [200, 3],
    ],
    calls: [write, write],
    expected: [
      {outcome: Conflict, version: 2, value: 'a'},
      {outcome: Written, version: 3},
    ],
  },
  {
    name: 'a read after a read',
    answers: [
      [200, 1, A],
      [200, 2, B],
    ],
    calls: [read, read],
    expected: [
      {outcome: Found, version: 1, value: 'a'},
      {outcome: Found, version: 2, value: 'b'},
    ],
  },
  {
    name: 'a read after a read of a missing key',
    answers: [
      [404, 0],
      [200, 2, B],
    ],
    calls: [read, read],
    expected: [{outcome: Absent}, {outcome: Found, version: 2, value: 'b'}],
  },
];

describe('an answer that the platform sends again', () => {
  for (const {name, answers, calls, expected} of CASES) {
    it(`is not taken for that to ${name}`, () =>
      withPlatform(answers, async address => {
        const limits = {timeout: 5_000, callsPerSecond: 10, burst: 10};
        const settings = {address, ...limits};
        const client = new KeyValueClient(settings, new SystemClock());
        const results: object[] = [];
        for (const call of calls) {
          results.push(await call(client));
        }
        client.close();
        expect(results).to.deep.equal(expected);
      }));
  }

  it('is not taken for the next instance list', () => {
    const kind = {kind: 'engine', zone: 'z', address: '10.0.0.1:1'};
    const lists = ['one', 'two'].map(id => [{id, ...kind, state: 'live'}]);
    const bodies = lists.map(list => Buffer.from(JSON.stringify(list)));
    return withPlatform(
      bodies.map(body => [200, 0, body]),
      async address => {
        const client = new InstanceListClient(address, 5_000);
        const results = [await client.read(), await client.read()];
        client.close();
        expect(results).to.deep.equal(lists);
      },
    );
  });
});
