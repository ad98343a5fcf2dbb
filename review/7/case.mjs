/**
 * All gateways are killed once and start again. Then one tenant sends requests
 * until its prepaid tokens are used up, or until it is refused for want of them.
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
} from '../stand-ins-2/harness.mjs';

const IS_TROUBLE = process.env.TROUBLE !== '0';
const PREPAID = 400_000;
/** A request must be served if it fits into this part of `prepaid`. */
const OWED_PART = 0.97;
const INPUT_TOKENS = 1_000;
const TOKENS_PER_EVENT = 5;
const EVENTS = 5;
const MOST_TOKENS = INPUT_TOKENS + EVENTS * TOKENS_PER_EVENT;
const DOWN_MS = 2_000;
/** Longer than `contactMs`, and than the time of all returns of tokens. */
const CALM_MS = 16_000;
const EARLY_REQUESTS = 16;
const MAX_REFUSALS = 40;
const ZONES = ['north', 'south', 'east', 'west'];

const tenants = ['club', 'school', 'shop', 'coach'].map((name, index) => ({
  name,
  apiKeys: [`key-${index}`],
  priority: 1,
  prepaid: PREPAID,
}));

const record = recorder(dirname(fileURLToPath(import.meta.url)));

await runCase(async defer => {
  const store = new Store();
  await store.listen();
  defer(() => store.stop());
  const servers = [
    new Server('i-1', 'models', {events: EVENTS, zone: 'north'}),
    new Server('i-2', 'models', {events: EVENTS, zone: 'south'}),
    new Server('i-3', 'desk', {zone: 'east'}),
  ];
  for (const server of servers) {
    await server.listen(store);
    defer(() => server.stop());
  }
  store.put('op/config', configuration(1, tenants));
  const gateways = await startGateways(store, [...ZONES, ...ZONES]);
  gateways.forEach(gateway => defer(() => gateway.stop()));
  await sleep(4_000);

  let used = 0;
  let sent = 0;
  let denied = 0;
  const statuses = {};
  const chat = async () => {
    const gateway = gateways[sent % gateways.length];
    sent += 1;
    const {id, status, body} = await call(gateway.front, {
      path: '/chat/1',
      method: 'POST',
      body: 'prompt',
      headers: {
        Authorization: 'Bearer key-0',
        'X-Model': 'm',
        'X-Token-Usage': `${INPUT_TOKENS},${EVENTS * TOKENS_PER_EVENT}`,
        'X-Prompt-Prefix': `a1:${INPUT_TOKENS - 10},b2:10`,
      },
    });
    const events = [...body.matchAll(/^data: .*\n\n/gm)].length;
    const hasRun = servers.some(({runs}) => runs.some(run => run.id === id));
    // Those that ran count at their most.
    used += hasRun ? MOST_TOKENS : 0;
    statuses[status] = (statuses[status] ?? 0) + 1;
    const isOwed = used + MOST_TOKENS <= OWED_PART * PREPAID;
    denied += status === 402 && isOwed ? 1 : 0;
    record(
      `sent ${id} to ${gateway.name}: status ${status}, ${events} events, ` +
        `ran: ${hasRun}, used at most ${used}`,
    );
    return status;
  };

  for (let index = 0; index < EARLY_REQUESTS; index++) {
    await chat();
  }
  if (IS_TROUBLE) {
    record('all gateways are killed');
    gateways.forEach(gateway => gateway.signal('SIGKILL'));
    await Promise.all(gateways.map(({ended}) => ended));
    await sleep(DOWN_MS);
    gateways.forEach(gateway => gateway.start());
    await Promise.all(gateways.map(gateway => gateway.waitUntilReady()));
    record('all gateways run again and are ready');
  }
  await sleep(CALM_MS);
  const sentBefore = sent;
  while (used + MOST_TOKENS <= PREPAID && (statuses[402] ?? 0) < MAX_REFUSALS) {
    const status = await chat();
    await sleep(status === 200 ? 0 : 100);
  }
  record(`answers: ${JSON.stringify(statuses)}`);
  record(`used at most ${used} of ${PREPAID} prepaid tokens`);
  record(`402 though it fits into ${OWED_PART} of prepaid: ${denied}`);
  if (sent === sentBefore || !statuses[200]) {
    return 2;
  }
  return denied > 5 + sent / 500 ? 1 : 0;
}, record);
