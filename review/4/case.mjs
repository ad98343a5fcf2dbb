/**
 * A server answers without a length, as the pages allow, and the process that
 * passes the answer on is killed in the middle of it.
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
const EVENT_INTERVAL_MS = 60;
const STREAMS = 6;

/** Zones of the seven machines; one of them is killed. */
const ZONES = [
  'buda-nord',
  'buda-sud',
  'pest-kozep',
  'pest-kelet',
  'buda-nord',
  'buda-sud',
  'pest-kozep',
];

/** When the process is killed, after the streams were sent. */
const KILL_AFTER_MS = 700;

const event = number => `id: ${number}\ndata: token ${number}\n\n`;
const WHOLE_STREAM = Array.from({length: EVENTS}, (_, index) =>
  event(index + 1),
).join('');

/** Streams all events; the end of the channel ends the answer. */
function streamWithoutLength(_incoming, outgoing, run) {
  outgoing.useChunkedEncodingByDefault = false;
  outgoing.shouldKeepAlive = false;
  outgoing.writeHead(200, {
    ...server.headers(run),
    'Content-Type': 'text/event-stream',
  });
  let number = 0;
  const timer = setInterval(() => {
    number += 1;
    outgoing.write(event(number));
    if (number === EVENTS) {
      clearInterval(timer);
      outgoing.end();
    }
  }, EVENT_INTERVAL_MS);
  outgoing.on('close', () => clearInterval(timer));
}

let server;

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
    server = new Server(options, streamWithoutLength, record);
    await server.listen();
    servers.push(server);
    store.put(server.key(), server.entry());
    for (const zone of ZONES) {
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
    const [killed] = machines.all;
    const streams = Array.from({length: STREAMS}, () =>
      send(killed, clientRequest('/advice/1', 8_000, STREAM_HEADERS), record),
    );
    await pause(KILL_AFTER_MS);
    if (HAS_TROUBLE) {
      killed.signal('SIGKILL');
    }
    const results = await Promise.all(streams.map(({done}) => done));
    if (results.some(({status}) => status !== 200)) {
      throw new Error('not all streams began');
    }
    return results
      .filter(({end, body}) => end === End.Complete && body !== WHOLE_STREAM)
      .map(
        ({headers, body}) =>
          `MIXED: ${headers['x-request-id']} looks complete after ${body.split('\n\n').length - 1} of ${EVENTS} events`,
      );
  },
);
