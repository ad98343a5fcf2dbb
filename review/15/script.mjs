/**
 * A server fails some of its orders with 503 after it has run them, without the
 * header that says that they haven't run. Clients must not be promised that these
 * orders have not run.
 */
import {createServer} from 'node:http';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createConfiguration, HostedStore} from '@citrontrestle/stand_ins';
import {
  addGateways,
  call,
  IS_CALM,
  onEnd,
  record,
  run,
  sleep,
  until,
} from './harness.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));

/** Servers of the order desk; the first one is grey. */
const SERVERS = 7;

/** The grey server fails this many of this many orders. */
const FAILED = 4;
const OF = 10;

const ORDERS = 140;
const ORDERS_PER_SECOND = 14;

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

/** A server that runs an order when it has read it; adds its id to `ran`. */
function startServer(id, isGrey, ran) {
  let count = 0;
  const server = createServer((incoming, outgoing) => {
    incoming.resume();
    incoming.on('end', () => {
      const requestId = incoming.headers['x-request-id'];
      const headers = {'X-Request-Id': requestId, 'X-Response-Seal': `s-${id}`};
      if (incoming.headers['x-expect-instance'] !== id) {
        outgoing.writeHead(421, {...headers, 'X-Instance-Id': id}).end();
        return;
      }
      ran.add(requestId);
      count += 1;
      const fails = isGrey && !IS_CALM && count % OF < FAILED;
      record(`server ${id} runs ${requestId}${fails ? ', then fails' : ''}`);
      const body = fails ? 'the order book is away' : 'recorded';
      setTimeout(() => {
        outgoing
          .writeHead(fails ? 503 : 200, {
            ...headers,
            'Content-Length': body.length,
          })
          .end(body);
      }, 20);
    });
  });
  onEnd(() => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${server.address().port}`);
    });
  });
}

await run(FOLDER, async () => {
  const store = new HostedStore();
  store.put('op/config', createConfiguration(3));
  const ran = new Set();
  for (let index = 0; index < SERVERS; index++) {
    const id = `d${index + 1}`;
    store.put(`servers/${id}`, {
      service: 'desk',
      address: await startServer(id, index === 0, ran),
      zone: 'north',
      version: 'v1',
      slots: 6,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: Date.now(),
    });
  }
  const gateways = await addGateways(2, {
    store: () => {
      const endpoint = store.createEndpoint();
      onEnd(() => endpoint.stop());
      return endpoint.listen();
    },
  });
  for (const gateway of gateways) {
    await until(() => gateway.isReady(), `${gateway.name} is ready`);
  }
  await sleep(1_500);
  const pending = [];
  for (let index = 0; index < ORDERS; index++) {
    const gateway = gateways[index % gateways.length];
    pending.push(
      call(gateway.callers, {
        id: `o${index + 1}`,
        path: '/order/1',
        method: 'POST',
        body: 'racket',
        headers: {'X-Request-Deadline-Ms': '1500'},
      }).then(result => {
        const {id, status, headers} = result;
        const seal = headers['x-response-seal'] ?? 'none';
        record(`client gets ${status} for ${id}, signature ${seal}`);
        return result;
      }),
    );
    await sleep(1_000 / ORDERS_PER_SECOND);
  }
  const results = await Promise.all(pending);
  const refused = results.filter(({status}) => PROMISES.has(status));
  const untrue = refused.filter(({id}) => ran.has(id));
  return {
    broken: untrue.length > 0,
    text:
      `${results.length} orders, ${ran.size} ran; ${refused.length} answered ` +
      `with a promise that they have not run, ${untrue.length} of these had run`,
  };
});
