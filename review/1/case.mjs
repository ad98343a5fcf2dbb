/**
 * A server spoils one answer: a wrong byte in the middle of a stream,
 * which it then breaks off.
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
import {KeptChannel} from './client.mjs';
import {pause, waitUntil} from './machine.mjs';
import {Server} from './server.mjs';

const EVENTS = 10;

/** Time to the first event: the faulty server has the shorter queue. */
const FAULTY_FIRST_EVENT_MS = 100;
const SOUND_FIRST_EVENT_MS = 800;
const EVENT_INTERVAL_MS = 60;

/** Channels that clients keep to one machine. */
const CHANNELS = 20;

/** Rounds of requests on all channels before the spoiled answer. */
const ROUNDS = 6;

/** Rule LOST allows three such closes. */
const MAX_CLOSED_CHANNELS = 3;

/** Event after which the spoiled answer goes on with wrong bytes. */
const LAST_SOUND_EVENT = 3;

/** An event of which one byte was overwritten. */
const SPOILED_EVENT = 'id: \u0007\ndata: token 4\n\n';

/** Whether the faulty server spoils its next resumable stream. */
let isSpoilDue = false;

function stream(_incoming, outgoing, run) {
  const isSpoiled =
    this.isFaulty && isSpoilDue && run.path.startsWith('/summary/');
  if (isSpoiled) {
    isSpoilDue = false;
    this.spoiled.push(run.requestId);
  }
  let number = 0;
  const sendEvent = () => {
    if (number === 0) {
      outgoing.writeHead(200, {
        ...this.headers(run),
        'Content-Type': 'text/event-stream',
      });
    }
    if (isSpoiled && number === LAST_SOUND_EVENT) {
      this.record(`server ${this.options.id} spoils ${run.requestId}`);
      outgoing.write(SPOILED_EVENT);
      timer = setTimeout(
        () => outgoing.socket.resetAndDestroy(),
        EVENT_INTERVAL_MS,
      );
      return;
    }
    number += 1;
    outgoing.write(`id: ${number}\ndata: token ${number}\n\n`);
    if (number === EVENTS) {
      outgoing.end();
    } else {
      timer = setTimeout(sendEvent, EVENT_INTERVAL_MS);
    }
  };
  const firstEventMs = this.isFaulty
    ? FAULTY_FIRST_EVENT_MS
    : SOUND_FIRST_EVENT_MS;
  let timer = setTimeout(sendEvent, firstEventMs);
  outgoing.on('close', () => clearTimeout(timer));
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, machines, store, servers}) => {
    store.put('op/config', configuration(3));
    for (const id of ['i-31b174c273', 'i-5c20e9d7aa', 'i-77aa03c1f4']) {
      const service = 'hurtanacs';
      const options = {
        id,
        service,
        zone: 'buda-nord',
        version: 'v1',
        slots: 128,
      };
      const server = new Server(options, stream, record);
      await server.listen();
      servers.push(server);
      store.put(server.key(), server.entry());
    }
    const [faulty, ...sound] = servers;
    Object.assign(faulty, {isFaulty: true, spoiled: []});
    for (const zone of ['buda-nord', 'buda-sud', 'pest-kozep']) {
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
    const [machine] = machines.all;
    const channels = Array.from(
      {length: CHANNELS},
      () => new KeptChannel(machine, record),
    );
    let prompts = 0;
    const request = path => {
      prompts += 1;
      const prompt = `${prompts.toString(16)}:1460`;
      return clientRequest(path, 5_000, {
        ...STREAM_HEADERS,
        'X-Prompt-Prefix': prompt,
      });
    };
    const sendOnAll = path =>
      Promise.all(channels.map(channel => channel.send(request(path))));
    for (let round = 0; round < ROUNDS; round++) {
      const paths = ['/summary/1', '/advice/1'];
      const answers = await sendOnAll(paths[round % paths.length]);
      if (answers.some(({status}) => status !== 200)) {
        throw new Error('the machine does not serve');
      }
    }
    record(`the faulty server has answered ${faulty.runs.length} requests`);
    isSpoilDue = HAS_TROUBLE;
    const last = [];
    const end = Date.now() + 6_000;
    while (Date.now() < end && faulty.spoiled.length === 0) {
      last.push(...(await sendOnAll('/summary/1')));
      if (!HAS_TROUBLE) {
        break;
      }
    }
    if (HAS_TROUBLE && faulty.spoiled.length === 0) {
      throw new Error('the faulty server got no stream');
    }
    await pause(500);
    const soundIds = new Set(
      sound.flatMap(({runs}) => runs.map(({requestId}) => requestId)),
    );
    const lost = last.filter(
      ({id, status, isClosed}) => isClosed && status === 0 && soundIds.has(id),
    );
    record(`process running: ${machine.isRunning}, ${lost.length} lost`);
    return lost.length > MAX_CLOSED_CHANNELS
      ? [
          `LOST: ${lost.length} kept channels closed without an answer to requests that sound servers ran`,
        ]
      : [];
  },
);
