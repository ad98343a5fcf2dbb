/**
 * An entry of another writer lies among those of the servers; its identifier
 * can't be read.
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
import {KeptChannel, send} from './client.mjs';
import {pause, waitUntil} from './machine.mjs';
import {Server} from './server.mjs';

const CHANNELS = 6;
const ORDER_WORK_MS = 20;
const EVENTS = 10;
const FIRST_EVENT_AFTER_MS = 400;
const EVENT_INTERVAL_MS = 60;

/** Time between an exit and the restart by the platform. */
const RESTART_DELAY_MS = 500;

/** Rule LOST allows three such closes. */
const MAX_CLOSED_CHANNELS = 3;

/** Key whose bytes are not UTF-8, as it stands in the JSON of the store. */
const UNREADABLE_KEY = 'servers/i-\ufffd\ufffd';

/** Entry of another writer: the fields after `state` are missing. */
const ODD_ENTRY = {
  service: 'rendeles',
  address: '127.0.0.1:9',
  zone: 'buda-nord',
  version: 'v1',
  slots: 6,
  state: 'ready',
};

function stream(_incoming, outgoing, run) {
  let number = 0;
  const sendEvent = () => {
    if (number === 0) {
      outgoing.writeHead(200, {
        ...this.headers(run),
        'Content-Type': 'text/event-stream',
      });
    }
    number += 1;
    outgoing.write(`id: ${number}\ndata: token ${number}\n\n`);
    if (number === EVENTS) {
      outgoing.end();
    } else {
      timer = setTimeout(sendEvent, EVENT_INTERVAL_MS);
    }
  };
  let timer = setTimeout(sendEvent, FIRST_EVENT_AFTER_MS);
  outgoing.on('close', () => clearTimeout(timer));
}

/** Answers an order after its work. */
function answerOrder(_incoming, outgoing, run) {
  setTimeout(() => {
    outgoing.writeHead(200, {...this.headers(run), 'Content-Length': 8});
    outgoing.end('recorded');
  }, ORDER_WORK_MS);
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, machines, store, servers}) => {
    store.put('op/config', configuration(3));
    const addServer = async (id, service, answer, slots) => {
      const options = {id, service, zone: 'buda-nord', version: 'v1', slots};
      const server = new Server(options, answer, record);
      await server.listen();
      servers.push(server);
      store.put(server.key(), server.entry());
      return server;
    };
    await addServer('i-31b174c273', 'hurtanacs', stream, 128);
    await addServer('i-5c20e9d7aa', 'rendeles', answerOrder, 6);
    for (const zone of ['buda-nord', 'buda-sud', 'pest-kozep']) {
      const {address} = await store.open();
      const machine = await machines.add(zone, address);
      machine.start();
    }
    const areReady = async () =>
      (await Promise.all(machines.all.map(machine => machine.isReady()))).every(
        Boolean,
      );
    await waitUntil(areReady, 'all machines are ready');
    await pause(2_500);
    const request = () => clientRequest('/advice/1', 8_000, STREAM_HEADERS);
    const [first] = machines.all;
    const channels = Array.from(
      {length: CHANNELS},
      () => new KeptChannel(first, record),
    );
    // The first request of each channel ends; the second one is on its way when
    // the entry comes.
    const before = await Promise.all(
      channels.map(channel => channel.send(request())),
    );
    if (before.some(({status}) => status !== 200)) {
      throw new Error('the machine does not serve');
    }
    const running = channels.map(channel => channel.send(request()));
    if (HAS_TROUBLE) {
      store.put(UNREADABLE_KEY, ODD_ENTRY);
    }
    await pause(100);
    const others = [];
    let isOver = false;
    const restarts = machines.all.map(async machine => {
      while (!isOver) {
        await Promise.race([machine.ended, pause(100)]);
        if (!machine.isRunning && !isOver) {
          await pause(RESTART_DELAY_MS);
          machine.start();
        }
      }
    });
    const end = Date.now() + 6_000;
    while (Date.now() < end) {
      for (const machine of machines.all) {
        const order = clientRequest('/order/1', 600);
        others.push(send(machine, order, record).done);
      }
      await pause(300);
    }
    const after = await Promise.all(running);
    await Promise.all(others);
    isOver = true;
    await Promise.all(restarts);
    const exits = machines.all.map(
      ({name, exits}) =>
        `${name} ${exits.filter(({code}) => code === 1).length}`,
    );
    record(`processes ended by themselves: ${exits.join(', ')}`);
    const ids = new Set(
      servers.flatMap(({runs}) => runs.map(({requestId}) => requestId)),
    );
    const lost = after.filter(
      ({id, status, isClosed}) => isClosed && status === 0 && ids.has(id),
    );
    return lost.length > MAX_CLOSED_CHANNELS
      ? [
          `LOST: ${lost.length} kept channels closed without an answer to requests that a sound server ran`,
        ]
      : [];
  },
  'odd_entry_record.txt',
);
