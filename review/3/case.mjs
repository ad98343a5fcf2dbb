/**
 * A server spoils one answer: one wrong byte in the identifier of an event. It
 * sends all events, and ends the stream as whole.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  clientRequest,
  configuration,
  HAS_TROUBLE,
  runCase,
  STREAM_HEADERS,
} from './play.mjs';
import {End, send} from './client.mjs';
import {pause, waitUntil} from './machine.mjs';
import {Server} from './server.mjs';

const EVENTS = 24;
const EVENT_INTERVAL_MS = 20;

/** One answer of the server in so many is spoiled. */
const SPOILED_IN = 20;
const REQUESTS = 60;

/** The event whose identifier has a wrong byte, and what becomes of it. */
const SPOILED_EVENT = 12;
const SPOILED_ID = '92';

/** Whole bodies that the server sent, by the request. */
const sentBodies = new Map();
let answers = 0;

function stream(_incoming, outgoing, run) {
  answers += 1;
  const isSpoiled = HAS_TROUBLE && answers % SPOILED_IN === 0;
  if (isSpoiled) {
    this.record(`server ${this.options.id} spoils ${run.requestId}`);
  }
  outgoing.writeHead(200, {
    ...this.headers(run),
    'Content-Type': 'text/event-stream',
  });
  let number = 0;
  let body = '';
  const timer = setInterval(() => {
    number += 1;
    const id = isSpoiled && number === SPOILED_EVENT ? SPOILED_ID : number;
    const event = `id: ${id}\ndata: token ${number}\n\n`;
    body += event;
    outgoing.write(event);
    if (number === EVENTS) {
      clearInterval(timer);
      sentBodies.set(run.requestId, body);
      outgoing.end();
    }
  }, EVENT_INTERVAL_MS);
  outgoing.on('close', () => clearInterval(timer));
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, machines, store, servers}) => {
    store.put('op/config', configuration(3));
    const options = {
      id: 'i-31b174c273',
      service: 'hurtanacs',
      zone: 'buda-nord',
      version: 'v1',
      slots: 128,
    };
    const server = new Server(options, stream, record);
    await server.listen();
    servers.push(server);
    store.put(server.key(), server.entry());
    for (const zone of ['buda-nord', 'buda-sud']) {
      const {address} = await store.open();
      (await machines.add(zone, address)).start();
    }
    await waitUntil(
      async () =>
        (
          await Promise.all(machines.all.map(machine => machine.isReady()))
        ).every(Boolean),
      'all machines are ready',
    );
    await pause(2_500);
    const sent = [];
    for (let index = 0; index < REQUESTS; index++) {
      const machine = machines.all[index % machines.all.length];
      const request = clientRequest('/advice/1', 8_000, STREAM_HEADERS);
      sent.push(send(machine, request, record).done);
      await pause(50);
    }
    const results = await Promise.all(sent);
    if (results.some(({status}) => status !== 200)) {
      throw new Error('not all streams were served');
    }
    return results
      .filter(
        ({id, end, body}) =>
          end === End.Complete &&
          sentBodies.has(id) &&
          body !== sentBodies.get(id),
      )
      .map(({id, body}) => {
        const events = body.split('\n\n').length - 1;
        return `MIXED: ${id} is a whole success of ${events} events; the server sent ${EVENTS}`;
      });
  },
);
