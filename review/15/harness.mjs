/**
 * What the scripts of this review share: a fleet of real gateway processes,
 * started with the command of the deploy file, before the project's stand-ins of
 * the platform's store and the servers. All addresses are loopback addresses.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');

/** Whether the disruption is left out. */
export const IS_CALM = process.env.TROUBLE === '0';

export const HOST = 'desk.example';
export const TENANT = 'club';
export const KEY = 'key-of-club';

/** Bounds of the small sites. */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  configApplyMs: 2_000,
  revokeMs: 5_000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 56,
  settleMs: 1_500,
};

export const sleep = time => new Promise(resolve => setTimeout(resolve, time));

/** Lines of record.txt. */
const startedAt = Date.now();
const lines = [];
export function record(text) {
  lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3)} ${text}`);
}

const children = [];
const closers = [];

/** Is called when a script ends: ends all that it started. */
export function onEnd(close) {
  closers.push(close);
}

/** Writes the record, ends all processes and exits. */
export async function finish(folder, status, verdict) {
  record(verdict);
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  console.log(verdict);
  for (const child of children) {
    if (child.exitCode === null && child.signalCode === null) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
  }
  for (const close of closers) {
    await close();
  }
  process.exit(status);
}

/** Runs a script; what can't be carried out exits with 2. */
export async function run(folder, script) {
  const limit = setTimeout(() => {
    void finish(folder, 2, 'could not run: took over 115 s');
  }, 115_000);
  limit.unref();
  try {
    const {broken, text} = await script();
    await finish(
      folder,
      broken ? 1 : 0,
      `${broken ? 'BROKEN' : 'held'}: ${text}`,
    );
  } catch (error) {
    await finish(folder, 2, `could not run: ${error?.stack ?? error}`);
  }
}

const used = new Set();

/** Returns free ports below the range from which the system takes ports. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    const isFree =
      !used.has(port) &&
      (await new Promise(resolve => {
        const server = createServer();
        server.once('error', () => resolve(false));
        server.listen(port, '127.0.0.1', () =>
          server.close(() => resolve(true)),
        );
      }));
    if (isFree) {
      used.add(port);
      ports.push(port);
    }
  }
  return ports;
}

/** Fills in the template of the settings as the platform does. */
function fillTemplate(fields) {
  const template = readFileSync(join(ROOT, 'deploy/settings.yaml'), 'utf8');
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((at, key) => at?.[key], fields);
    if (json) {
      return value === undefined ? '' : JSON.stringify(value);
    }
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

/** Returns the words of the command that runs a gateway. */
function runCommand() {
  const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(deployFile);
  return command.split(' ');
}

/** One gateway on a machine of its own. */
export class Gateway {
  log = '';
  constructor(name, fields) {
    this.name = name;
    this.callers = fields.listen.front;
    this.ready = fields.listen.ready;
    this.folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    this.settings = join(this.folder, 'settings.yaml');
    writeFileSync(this.settings, fillTemplate(fields));
    onEnd(() => rmSync(this.folder, {recursive: true, force: true}));
  }
  start() {
    const [, ...words] = runCommand();
    this.child = spawn(process.execPath, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CITRONTRESTLE_CONFIG: this.settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.push(this.child);
    record(`platform starts ${this.name}`);
    this.child.stdout.on('data', bytes => (this.log += bytes));
    this.child.stderr.on('data', bytes => (this.log += bytes));
    this.child.on('exit', (code, signal) => {
      record(`${this.name} ended: ${signal ?? `status ${code}`}`);
    });
  }
  signal(signal) {
    record(`platform sends ${signal} to ${this.name}`);
    this.child.kill(signal);
  }
  hasEnded() {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }
  /** Events of the log, of one kind. */
  events(kind) {
    return this.log
      .split('\n')
      .filter(line => line.includes(`"${kind}"`))
      .flatMap(line => {
        try {
          return [JSON.parse(line)];
        } catch {
          return [];
        }
      });
  }
  async isReady() {
    const {status} = await call(this.ready, {path: '/ready', plain: true});
    return status === 200;
  }
}

/** Adds gateways that know each other by their seeds. */
export async function addGateways(
  count,
  {zones = ['north'], store, overrides = {}},
) {
  const ports = await freePorts(count * 5);
  const seeds = [];
  const gateways = [];
  for (let index = 0; index < count; index++) {
    const [front, ready, control, proxy, metrics] = ports.slice(
      index * 5,
      index * 5 + 5,
    );
    const at = port => `127.0.0.1:${port}`;
    if (seeds.length < 3) {
      seeds.push(at(control));
    }
    const zone = zones[index % zones.length];
    const name = `front-${zone}-${index + 1}`;
    const fields = {
      nodeName: name,
      zone,
      ip: '127.0.0.1',
      internalPorts: [proxy, proxy],
      seeds,
      zones: Object.fromEntries(zones.map(each => [each, 'region'])),
      listen: {front: at(front), ready: at(ready), control: at(control)},
      limits: {cpuShare: 0.675, cores: 1, memoryMb: 200, linkMbps: 1_000},
      bounds: BOUNDS,
      platform: {address: await store(index)},
      ...overrides,
    };
    const gateway = new Gateway(name, fields);
    const text = readFileSync(gateway.settings, 'utf8');
    writeFileSync(
      gateway.settings,
      text.replace(/^metrics: .*$/m, `metrics: '127.0.0.1:${metrics}'`),
    );
    gateways.push(gateway);
  }
  gateways.forEach(gateway => gateway.start());
  return gateways;
}

/** Waits until a condition holds. */
export async function until(isMet, text, time = 20_000) {
  const end = Date.now() + time;
  while (!(await isMet())) {
    if (Date.now() > end) {
      throw new Error(`timed out: ${text}`);
    }
    await sleep(20);
  }
}

let count = 0;

/** Sends a request as a client does and reads the whole answer. */
export function call(
  address,
  {path, method = 'GET', body, headers = {}, agent = false, plain = false, id},
) {
  const [host, port] = address.split(':');
  const requestId = id ?? `r${(count += 1)}-${process.pid}`;
  const result = {
    id: requestId,
    status: 0,
    headers: {},
    body: '',
    isComplete: false,
    sentAt: Date.now(),
    endedAt: 0,
  };
  return new Promise(resolve => {
    const outgoing = request({
      host,
      port: Number(port),
      path,
      method,
      agent,
      headers: plain
        ? {}
        : {
            Host: HOST,
            'X-Request-Id': requestId,
            'X-Request-Deadline-Ms': '8000',
            Authorization: `Bearer ${KEY}`,
            ...headers,
          },
    });
    const end = isComplete => {
      if (result.endedAt === 0) {
        result.endedAt = Date.now();
        result.isComplete = isComplete;
        resolve(result);
      }
    };
    outgoing.on('error', error => {
      result.error = error.code ?? error.message;
      end(false);
    });
    outgoing.on('response', incoming => {
      result.status = incoming.statusCode;
      result.headers = incoming.headers;
      incoming.on('data', bytes => (result.body += bytes.toString('latin1')));
      incoming.on('error', () => undefined);
      incoming.on('close', () => end(incoming.complete));
    });
    outgoing.end(body);
  });
}

/** Headers of a token stream. */
export function tokenHeaders(inputTokens, maxOutputTokens) {
  return {
    'X-Model': 'm',
    'X-Token-Usage': `${inputTokens},${maxOutputTokens}`,
    'X-Prompt-Prefix': `a1:${inputTokens - 10},${Math.random().toString(16).slice(2, 10)}:10`,
  };
}
