/**
 * A machine is lost for good while a tenant's prepaid tokens are in use. The
 * others must go on to serve the tenant until its tokens are consumed.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  createConfiguration,
  HostedServer,
  HostedStore,
} from '@citrontrestle/stand_ins';
import {
  addGateways,
  call,
  IS_CALM,
  KEY,
  onEnd,
  record,
  run,
  sleep,
  TENANT,
  tokenHeaders,
  until,
} from './harness.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));

/** Tokens that the tenant has paid for. */
const PREPAID = 60_000;

/** Tokens of the prompt, and the most of the output, of each request. */
const INPUT_TOKENS = 100;
const OUTPUT_TOKENS = 30;
const REQUEST_TOKENS = INPUT_TOKENS + OUTPUT_TOKENS;

const MACHINES = 8;
const REQUESTS_PER_SECOND = 40;

/** When the machine is lost and when the traffic ends, in seconds. */
const LOSS_AT = 3;
const TRAFFIC_S = 40;

/** A request is owed if it fits, at its most, into this part of the tokens. */
const OWED_FRACTION = 0.97;

await run(FOLDER, async () => {
  const store = new HostedStore();
  store.put(
    'op/config',
    createConfiguration(3, {
      tenants: [{name: TENANT, apiKeys: [KEY], prepaid: PREPAID}],
    }),
  );
  const servers = [];
  for (const id of ['m1', 'm2', 'm3']) {
    const server = new HostedServer({
      id,
      service: 'models',
      zone: 'north',
      version: 'v1',
      slots: 64,
      stepMs: 5,
      // Six events of up to five tokens: the most that a request may use.
      eventCount: 6,
    });
    const entry = await server.listen();
    store.put(`servers/${id}`, {...entry, sequence: 1, born: Date.now()});
    servers.push(server);
    onEnd(() => server.stop());
  }
  const gateways = await addGateways(MACHINES, {
    zones: ['north', 'south'],
    store: () => {
      const endpoint = store.createEndpoint();
      onEnd(() => endpoint.stop());
      return endpoint.listen();
    },
  });
  for (const gateway of gateways) {
    await until(() => gateway.isReady(), `${gateway.name} is ready`);
  }
  await sleep(3_000);

  /** The most tokens that all requests that have run until now can use. */
  const consumedAtMost = () =>
    servers.reduce((sum, {runs}) => sum + runs.length * REQUEST_TOKENS, 0);
  const results = [];
  const counts = () => {
    const byStatus = {};
    for (const {status} of results) {
      byStatus[status] = (byStatus[status] ?? 0) + 1;
    }
    return JSON.stringify(byStatus);
  };
  const pending = [];
  const [lost, ...others] = gateways;
  let live = gateways;
  const startedAt = Date.now();
  const elapsed = () => (Date.now() - startedAt) / 1_000;
  let reportAt = 0;
  for (let sent = 0; elapsed() < TRAFFIC_S; sent++) {
    if (live === gateways && elapsed() > LOSS_AT) {
      live = others;
      if (!IS_CALM) {
        lost.signal('SIGKILL');
        record(`${lost.name} is gone for good`);
      }
    }
    const gateway = live[sent % live.length];
    pending.push(
      call(gateway.callers, {
        path: '/talk/1',
        method: 'POST',
        body: 'x',
        headers: tokenHeaders(INPUT_TOKENS, OUTPUT_TOKENS),
      }).then(result => {
        const consumed = consumedAtMost();
        results.push({...result, gateway: gateway.name, consumed});
        const {id, status} = result;
        record(`${gateway.name} ${id} ${status}, consumed ${consumed}`);
      }),
    );
    if (elapsed() >= reportAt) {
      reportAt += 5;
      record(`== ${consumedAtMost()} of ${PREPAID} consumed; ${counts()}`);
    }
    await sleep(1_000 / REQUESTS_PER_SECOND);
  }
  await Promise.all(pending);
  const denied = results.filter(
    ({status, consumed}) =>
      status === 402 && consumed + REQUEST_TOKENS <= OWED_FRACTION * PREPAID,
  );
  const allowed = 5 + results.length / 500;
  return {
    broken: denied.length > allowed,
    text:
      `${results.length} requests, answers ${counts()}; ${consumedAtMost()} of ` +
      `${PREPAID} tokens consumed at most; ${denied.length} requests got 402 ` +
      `though they fitted (DENIED allows ${allowed.toFixed(1)})`,
  };
});
