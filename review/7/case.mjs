/**
 * A new version of the configuration adds a tenant. With TROUBLE=1 its name is
 * one that JavaScript objects have as a property; nothing else differs.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  call,
  configuration,
  recorder,
  runCase,
  Server,
  sleep,
  startGateways,
  Store,
} from './harness.mjs';

const IS_TROUBLE = process.env.TROUBLE !== '0';
const NEW_TENANT = IS_TROUBLE ? 'constructor' : 'konstruktor';
const PREPAID = 20_000;
const INPUT_TOKENS = 1_000;
const MAX_OUTPUT_TOKENS = 25;
const TOKENS_PER_EVENT = 5;
const REQUESTS = 60;
const OLD_TENANTS = ['club', 'school', 'shop', 'coach'].map((name, index) => ({
  name,
  apiKeys: [`key-${index}`],
  priority: 1,
  prepaid: 400_000,
}));

const record = recorder(dirname(fileURLToPath(import.meta.url)));

async function chat(gateway, tenant, key) {
  const result = await call(gateway.front, {
    path: '/chat/1',
    method: 'POST',
    body: 'prompt',
    headers: {
      Authorization: `Bearer ${key}`,
      'X-Model': 'm',
      'X-Token-Usage': `${INPUT_TOKENS},${MAX_OUTPUT_TOKENS}`,
      'X-Prompt-Prefix': `a1:${INPUT_TOKENS - 10},b2:10`,
    },
  });
  const events = [...result.body.matchAll(/^data: .*\n\n/gm)].length;
  record(
    `sent ${result.id} of ${tenant} to ${gateway.name}: ` +
      `status ${result.status}, ${events} events`,
  );
  return {...result, events};
}

await runCase(async defer => {
  const store = new Store();
  await store.listen();
  defer(() => store.stop());
  const servers = [
    new Server('i-1', 'models', {events: 5}),
    new Server('i-2', 'models', {events: 5, zone: 'south'}),
    new Server('i-3', 'desk'),
  ];
  for (const server of servers) {
    await server.listen(store);
    defer(() => server.stop());
  }
  store.put('op/config', configuration(1, OLD_TENANTS));
  const gateways = await startGateways(store, ['north', 'south', 'north']);
  gateways.forEach(gateway => defer(() => gateway.stop()));
  await sleep(4_000);
  for (const [index, gateway] of gateways.entries()) {
    await chat(gateway, OLD_TENANTS[index].name, `key-${index}`);
  }
  const added = {name: NEW_TENANT, apiKeys: ['key-new'], prepaid: PREPAID};
  store.put('op/config', configuration(7, [...OLD_TENANTS, added]));
  record(`acked version 7, which adds tenant ${NEW_TENANT}: ${PREPAID} tokens`);
  await sleep(4_000);

  let used = 0;
  const statuses = {};
  for (let index = 0; index < REQUESTS; index++) {
    const gateway = gateways[index % gateways.length];
    const {id, status, events} = await chat(gateway, NEW_TENANT, 'key-new');
    const hasRun = servers.some(({runs}) => runs.some(run => run.id === id));
    used += hasRun ? INPUT_TOKENS + events * TOKENS_PER_EVENT : 0;
    statuses[status] = (statuses[status] ?? 0) + 1;
  }
  for (const {id, runs} of servers) {
    runs.forEach(run =>
      record(`server ${id} ran ${run.id} of ${run.tenant}, ${run.usage}`),
    );
  }
  record(`answers to ${NEW_TENANT}: ${JSON.stringify(statuses)}`);
  record(`${NEW_TENANT} consumed ${used} tokens of ${PREPAID} prepaid`);
  for (const {name, logLines} of gateways) {
    const unreadable = logLines.filter(
      ({event}) => event === 'budget.unreadable',
    );
    record(`${name} found a budget page unreadable ${unreadable.length} times`);
  }
  if (!statuses[200]) {
    return 2;
  }
  return used > PREPAID ? 1 : 0;
}, record);
