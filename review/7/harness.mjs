/**
 * Starts the project's gateway as its deploy file does, against small stand-ins
 * of the platform's store and of servers. All addresses are loopback addresses.
 */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {writeFileSync} from 'node:fs';
import {createServer as createHttpServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const HOST = 'desk.example';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Ports given to programs that may not have bound them yet. */
const givenPorts = new Set();

/** Returns a free port below the range from which the system takes ports. */
export async function freePort() {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    const isFree = await new Promise(resolve => {
      const server = createTcpServer();
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
    });
    if (isFree && !givenPorts.has(port)) {
      givenPorts.add(port);
      return port;
    }
  }
}

/** The platform's store: keys, conditional writes, ranges and watches. */
export class Store {
  revision = 1;
  items = new Map();
  history = [];
  watches = new Set();
  writeCount = 0;

  async listen() {
    this.server = createHttpServer((incoming, outgoing) => {
      const chunks = [];
      incoming.on('data', chunk => chunks.push(chunk));
      incoming.on('end', () =>
        this.handle(incoming, outgoing, Buffer.concat(chunks).toString()),
      );
    });
    const port = await freePort();
    await new Promise(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
    this.address = `127.0.0.1:${port}`;
  }

  /** Writes a key without a condition, as the operator or a server does. */
  put(key, value) {
    this.set(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.wake();
    return this.revision;
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.history.push({key, revision: this.revision, removed: true});
      this.wake();
    }
  }

  text(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, 'base64').toString();
  }

  set(key, value, lease) {
    this.revision += 1;
    const {revision} = this;
    const createRevision = this.items.get(key)?.createRevision ?? revision;
    const item = {key, value, revision, createRevision, lease};
    this.items.set(key, item);
    this.history.push(item);
  }

  wake() {
    this.watches.forEach(wake => wake());
  }

  handle(incoming, outgoing, body) {
    const url = new URL(incoming.url, 'http://store');
    const query = url.searchParams;
    const send = (status, value) => {
      outgoing.writeHead(status, {'Content-Type': 'application/json'});
      outgoing.end(JSON.stringify(value));
    };
    // The store answers within some milliseconds.
    const respond = (status, value) => setTimeout(send, 4, status, value);
    if (url.pathname === '/kv-key') {
      const item = this.items.get(query.get('key'));
      respond(item ? 200 : 404, {...item, currentRev: this.revision});
    } else if (url.pathname === '/kv-range') {
      const items = [...this.items.values()]
        .filter(({key}) => key.startsWith(query.get('prefix')))
        .filter(({key}) => key > (query.get('after') ?? ''))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      respond(200, {
        items: items.slice(0, 500),
        truncated: items.length > 500,
        currentRev: this.revision,
      });
    } else if (url.pathname === '/kv-watch') {
      this.watch(query, outgoing, respond);
    } else if (url.pathname === '/kv-txn') {
      this.write(JSON.parse(body), respond);
    } else {
      respond(404, {});
    }
  }

  watch(query, outgoing, respond) {
    const after = Number(query.get('after'));
    const prefix = query.get('prefix');
    const changes = () =>
      this.history.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
    const finish = () => {
      clearTimeout(timer);
      this.watches.delete(wake);
      respond(200, {events: changes(), currentRev: this.revision});
    };
    const wake = () => changes().length > 0 && finish();
    const timer = setTimeout(finish, Number(query.get('waitMs') ?? 0));
    this.watches.add(wake);
    outgoing.on('close', () => {
      clearTimeout(timer);
      this.watches.delete(wake);
    });
    wake();
  }

  write({expected = [], setKeys = [], remove = []}, respond) {
    this.writeCount += 1;
    const isMet = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expected
        .map(({key}) => this.items.get(key))
        .filter(item => item !== undefined);
      respond(412, {items});
      return;
    }
    setKeys.forEach(({key, value, lease}) => this.set(key, value, lease ?? 0));
    remove.forEach(key => this.remove(key));
    this.wake();
    respond(200, {revision: this.revision});
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/**
 * A server, in this process. A request that states its tokens gets a stream or,
 * if it accepts only JSON, one whole answer; any other gets a plain answer.
 */
export class Server {
  /** Requests that it ran: id, tenant and X-Token-Usage. */
  runs = [];

  constructor(id, service, {events = 5, stepMs = 10, zone = 'north'} = {}) {
    Object.assign(this, {id, service, events, stepMs, zone});
  }

  async listen(store) {
    this.server = createHttpServer((incoming, outgoing) => {
      incoming.resume();
      incoming.on('end', () => this.handle(incoming, outgoing));
    });
    const port = await freePort();
    await new Promise(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
    this.address = `127.0.0.1:${port}`;
    this.born = Date.now();
    this.sequence = 0;
    this.report(store);
    this.heartbeat = setInterval(() => this.report(store), 1_200);
  }

  report(store) {
    this.sequence += 1;
    const {service, address, zone, born, sequence} = this;
    store.put(`servers/${this.id}`, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 128,
      state: 'ready',
      coldRemainingMs: 0,
      born,
      sequence,
    });
  }

  handle(incoming, outgoing) {
    const {headers} = incoming;
    if (headers['x-expect-instance'] !== this.id) {
      outgoing.writeHead(421, {'X-Instance-Id': this.id}).end();
      return;
    }
    const id = headers['x-request-id'];
    const usage = headers['x-token-usage'];
    this.runs.push({id, tenant: headers['x-tenant'], usage});
    const answerHeaders = {
      'X-Request-Id': id,
      'X-Response-Seal': `seal.${this.id}.${id}`,
      'X-Server-Load': '1,0,128',
    };
    if (usage === undefined) {
      setTimeout(() => {
        outgoing.writeHead(200, {...answerHeaders, 'Content-Length': 4});
        outgoing.end('done');
      }, this.stepMs);
      return;
    }
    if (headers.accept === 'application/json') {
      setTimeout(() => {
        const text = 'word '.repeat(this.events * 5);
        const body = JSON.stringify({text, outputTokens: this.events * 5});
        outgoing.writeHead(200, {
          ...answerHeaders,
          'Content-Type': 'application/json',
          'Content-Length': body.length,
        });
        outgoing.end(body);
      }, this.stepMs);
      return;
    }
    outgoing.writeHead(200, {
      ...answerHeaders,
      'Content-Type': 'text/event-stream',
    });
    let event = 0;
    const timer = setInterval(() => {
      event += 1;
      outgoing.write(`id: ${event}\ndata: five tokens of text\n\n`);
      if (event === this.events || outgoing.destroyed) {
        clearInterval(timer);
        outgoing.end();
      }
    }, this.stepMs);
  }

  stop() {
    clearInterval(this.heartbeat);
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** One gateway, run with the command and the template of the deploy file. */
export class Gateway {
  logLines = [];
  exitCount = 0;

  constructor(name, zone, seedPorts) {
    Object.assign(this, {name, zone, seedPorts});
  }

  /** Fills in the template of the settings; `{{a.b}}` and `{{a.b|json}}`. */
  fillTemplate(fields) {
    const template = readFileSync(join(ROOT, 'deploy/settings.yaml'), 'utf8');
    return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = path
        .split('.')
        .reduce((object, name) => object?.[name], fields);
      if (json !== undefined) {
        return JSON.stringify(value ?? null);
      }
      return Array.isArray(value) ? value.join(',') : String(value ?? '');
    });
  }

  async prepare(storeAddress, zones) {
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    const [front, ready, proxy, metrics] = await Promise.all(
      [0, 1, 2, 3].map(() => freePort()),
    );
    this.front = `127.0.0.1:${front}`;
    this.ready = `127.0.0.1:${ready}`;
    const fields = {
      nodeName: this.name,
      ip: '127.0.0.1',
      zone: this.zone,
      zones,
      internalPorts: [proxy, proxy],
      seeds: this.seedPorts.map(port => `127.0.0.1:${port}`),
      listen: {
        front: this.front,
        ready: this.ready,
        control: `127.0.0.1:${this.controlPort}`,
      },
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb: 200,
        maxFds: 4_100,
        linkMbps: 1_000,
      },
      bounds: {
        contactMs: 3_000,
        drainMs: 2_000,
        graceS: 8,
        configApplyMs: 2_000,
        revokeMs: 5_000,
        retryBudgetRatio: 0.2,
        budgetWindowS: 10,
        retrySlack: 56,
      },
      platform: {address: storeAddress},
    };
    // On one machine the fixed port of the metrics would be taken twice.
    const text = this.fillTemplate(fields).replace(':9464', `:${metrics}`);
    this.settingsPath = join(this.directory, 'node.yaml');
    writeFileSync(this.settingsPath, text);
  }

  start() {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [, command] = /^run = "node ([^"]+)"$/m.exec(deploy);
    this.isRunning = true;
    const child = spawn(process.execPath, command.split(' '), {
      cwd: ROOT,
      env: {PATH: process.env.PATH, CITRONTRESTLE_CONFIG: this.settingsPath},
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    this.child = child;
    let rest = '';
    child.stdout.on('data', bytes => {
      const lines = (rest + bytes).split('\n');
      rest = lines.pop();
      this.logLines.push(...lines.map(line => JSON.parse(line)));
    });
    this.ended = new Promise(resolve => {
      child.on('exit', () => {
        this.isRunning = false;
        this.exitCount += 1;
        resolve();
      });
    });
  }

  async waitUntilReady() {
    const end = Date.now() + 15_000;
    for (;;) {
      const {status} = await call(this.ready, {path: '/ready'});
      if (status === 200) {
        return;
      }
      if (Date.now() > end) {
        throw new Error(`${this.name} is not ready`);
      }
      await sleep(50);
    }
  }

  signal(name) {
    this.child.kill(name);
  }

  async stop() {
    if (this.isRunning) {
      this.signal('SIGKILL');
      await this.ended;
    }
    rmSync(this.directory, {recursive: true, force: true});
  }
}

/** Starts a gateway in each of the zones; all find each other by the seeds. */
export async function startGateways(store, zoneNames) {
  const zones = Object.fromEntries(zoneNames.map(name => [name, 'region']));
  const controlPorts = [];
  for (const _ of zoneNames) {
    controlPorts.push(await freePort());
  }
  const gateways = zoneNames.map((zone, index) => {
    const seeds = controlPorts.slice(0, 3);
    const gateway = new Gateway(`front-${zone}-${index + 1}`, zone, seeds);
    gateway.controlPort = controlPorts[index];
    return gateway;
  });
  for (const gateway of gateways) {
    await gateway.prepare(store.address, zones);
    gateway.start();
  }
  await Promise.all(gateways.map(gateway => gateway.waitUntilReady()));
  return gateways;
}

let requestCount = 0;

/** Sends one request; resolves with what came back, also after a failure. */
export function call(address, {path, method = 'GET', headers = {}, body}) {
  const [host, port] = address.split(':');
  requestCount += 1;
  const id = `r${process.pid}-${requestCount}`;
  const result = {id, status: 0, body: '', complete: false};
  return new Promise(resolve => {
    const outgoing = request({
      host,
      port,
      path,
      method,
      agent: false,
      headers: {
        Host: HOST,
        'X-Request-Id': id,
        'X-Request-Deadline-Ms': '5000',
        ...headers,
      },
    });
    const finish = () => resolve(result);
    outgoing.setTimeout(8_000, () => outgoing.destroy());
    outgoing.on('error', finish);
    outgoing.on('response', incoming => {
      result.status = incoming.statusCode;
      result.headers = incoming.headers;
      incoming.on('data', bytes => (result.body += bytes));
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        result.complete = incoming.complete;
        finish();
      });
    });
    outgoing.end(body);
  });
}

/** Returns a configuration like that of a small installation. */
export function configuration(version, tenants, overrides = {}) {
  const common = {
    host: HOST,
    timeoutMs: 5_000,
    targetLatencyMs: 400,
    priority: 0,
    public: false,
    sticky: false,
    resumable: false,
    maxAttempts: 1,
  };
  return {
    version,
    routes: [
      {
        ...common,
        name: 'chat',
        prefix: '/chat/',
        kind: 'streaming',
        service: 'models',
        gapAimMs: 400,
        sticky: true,
      },
      {
        ...common,
        name: 'order',
        prefix: '/order/',
        kind: 'non_idempotent',
        service: 'desk',
      },
      {
        ...common,
        name: 'status',
        prefix: '/status/',
        kind: 'idempotent',
        service: 'desk',
        maxAttempts: 2,
      },
    ],
    services: [
      {
        name: 'models',
        healthPath: '/health',
        maxConnections: 620,
        engine: {slots: 128, kvCapacityTokens: 623_513, stride: 5},
      },
      {name: 'desk', healthPath: '/health', maxConnections: 110},
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants,
    ...overrides,
  };
}

/** Writes lines to `record.txt` in the folder of a case, and to the screen. */
export function recorder(folder) {
  const path = join(folder, 'record.txt');
  writeFileSync(path, '');
  const startedAt = Date.now();
  return text => {
    const seconds = ((Date.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(path, `${seconds} s  ${text}\n`);
  };
}

/** Runs a case; exits with its result, or with 2 if it can't run. */
export async function runCase(run, record) {
  const cleanups = [];
  let status = 2;
  try {
    status = await run(cleanup => cleanups.push(cleanup));
  } catch (error) {
    record(`could not run: ${error.stack}`);
  }
  for (const cleanup of cleanups.reverse()) {
    await cleanup();
  }
  record(`exit ${status}`);
  console.log(`exit ${status}`);
  process.exit(status);
}
