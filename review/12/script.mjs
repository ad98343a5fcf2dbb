/**
 * A server crashes in the middle of a stream whose length it has stated, and the
 * stream goes on at another server. What the client gets must be one whole answer,
 * and its channel must stay usable.
 */
import {connect, createServer} from 'node:net';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createConfiguration, HostedStore} from '@citrontrestle/stand_ins';
import {
  addGateways,
  HOST,
  IS_CALM,
  KEY,
  onEnd,
  record,
  run,
  sleep,
  tokenHeaders,
  until,
} from './harness.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));

/** Events of a whole stream, and the time between two, in milliseconds. */
const EVENTS = 12;
const INTERVAL = 50;

/** Events that the first server writes before it crashes. */
const EVENTS_BEFORE_CRASH = 5;

/** What the first run and the next one generate: each words it in its own way. */
const WORDS = ['twenty-four kilos', 'twenty-three and a half kilos'];

const eventOf = (runIndex, number) =>
  `id: ${number}\ndata: ${WORDS[runIndex]}\n\n`;

let runCount = 0;
let hasCrashed = false;

/** A model server whose streams have a length. The first one to run crashes. */
function startServer(id) {
  const sockets = new Set();
  const server = createServer(socket => {
    let text = '';
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      text += bytes.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      const bodyLength = Number(/^content-length: (\d+)/im.exec(text)?.[1]);
      if (end < 0 || text.length < end + 4 + bodyLength) {
        return;
      }
      const requestId = /^x-request-id: (.*)\r$/im.exec(text)?.[1];
      const last = Number(/^last-event-id: (\d+)/im.exec(text)?.[1] ?? 0);
      text = '';
      record(`server ${id} runs ${requestId} after event ${last}`);
      stream(socket, requestId, last);
    });
  });
  const stream = (socket, requestId, last) => {
    const runIndex = runCount;
    runCount += 1;
    let events = '';
    for (let number = last + 1; number <= EVENTS; number++) {
      events += eventOf(runIndex, number);
    }
    socket.write(
      'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n' +
        `X-Request-Id: ${requestId}\r\nX-Response-Seal: seal-${id}\r\n` +
        `Content-Length: ${events.length}\r\n\r\n`,
    );
    let number = last;
    const timer = setInterval(() => {
      if (number === EVENTS_BEFORE_CRASH && !hasCrashed && !IS_CALM) {
        hasCrashed = true;
        clearInterval(timer);
        record(`server ${id} crashes after event ${number}`);
        server.close();
        sockets.forEach(each => each.resetAndDestroy());
        return;
      }
      number += 1;
      socket.write(eventOf(runIndex, number));
      if (number === EVENTS) {
        clearInterval(timer);
        record(`server ${id} has written all of ${requestId}`);
      }
    }, INTERVAL);
  };
  onEnd(() => server.close());
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${server.address().port}`);
    });
  });
}

/** A client with one kept channel, which reads answers by their framing. */
class Client {
  buffer = '';
  isClosed = false;
  constructor(address) {
    const [host, port] = address.split(':');
    this.socket = connect({host, port: Number(port)});
    this.socket.on('data', bytes => (this.buffer += bytes.toString('latin1')));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
    onEnd(() => this.socket.destroy());
  }
  send(id) {
    record(`client sends ${id}`);
    const headers = Object.entries({
      Host: HOST,
      'X-Request-Id': id,
      'X-Request-Deadline-Ms': '3000',
      Authorization: `Bearer ${KEY}`,
      'Content-Length': '1',
      ...tokenHeaders(100, 60),
    });
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`POST /long/1 HTTP/1.1\r\n${lines.join('')}\r\nx`);
  }
  /** Returns the next answer; it is not whole if no more comes. */
  async read(time) {
    const end = Date.now() + time;
    const waits = async isMet => {
      while (!isMet() && !this.isClosed && Date.now() < end) {
        await sleep(10);
      }
      return isMet();
    };
    if (!(await waits(() => this.buffer.includes('\r\n\r\n')))) {
      return {head: this.buffer, body: '', isWhole: false};
    }
    const [head] = this.buffer.split('\r\n\r\n', 1);
    this.buffer = this.buffer.slice(head.length + 4);
    const length = /^content-length: (\d+)/im.exec(head)?.[1];
    if (length !== undefined) {
      const isWhole = await waits(() => this.buffer.length >= Number(length));
      const body = this.buffer.slice(0, Number(length));
      this.buffer = this.buffer.slice(Number(length));
      return {head, body, isWhole};
    }
    const isWhole = await waits(() => this.buffer.includes('0\r\n\r\n'));
    const chunks = this.buffer.slice(0, this.buffer.indexOf('0\r\n\r\n'));
    this.buffer = this.buffer.slice(chunks.length + 5);
    const body = chunks.replace(/(^|\r\n)[0-9a-f]+\r\n/g, '');
    return {head, body: body.replace(/\r\n$/, ''), isWhole};
  }
}

const eventsIn = body => [...body.matchAll(/^id: \d+\ndata: .*\n\n/gm)].length;

await run(FOLDER, async () => {
  const store = new HostedStore();
  store.put('op/config', createConfiguration(3));
  for (const id of ['m1', 'm2']) {
    store.put(`servers/${id}`, {
      service: 'models',
      address: await startServer(id),
      zone: 'north',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: Date.now(),
    });
  }
  const [gateway] = await addGateways(1, {
    store: () => {
      const endpoint = store.createEndpoint();
      onEnd(() => endpoint.stop());
      return endpoint.listen();
    },
  });
  await until(() => gateway.isReady(), 'the gateway is ready');
  await sleep(1_500);
  const client = new Client(gateway.callers);
  client.send('r1');
  const first = await client.read(3_500);
  const events = eventsIn(first.body);
  record(first.head.replaceAll('\r\n', ' | '));
  record(`client got ${first.body.length} bytes of r1, ${events} whole events`);
  record(`r1 ${first.isWhole ? 'is whole by its length' : 'is not whole'}`);
  record(`r1 ends with ${JSON.stringify(first.body.slice(-40))}`);
  const isCut = first.isWhole && events < EVENTS;
  await sleep(300);
  const isOpen = !client.isClosed;
  const stray = client.buffer;
  record(
    `channel ${isOpen ? 'open' : 'closed'}, then came ${JSON.stringify(stray)}`,
  );
  const isSpoiled = isOpen && stray !== '';
  return {
    broken: isCut || isSpoiled,
    text:
      `by its length r1 ${first.isWhole ? 'is whole' : 'is not whole'}, with ` +
      `${events} of ${EVENTS} events; ${stray.length} bytes came after it on ` +
      `the ${isOpen ? 'open' : 'closed'} channel`,
  };
});
