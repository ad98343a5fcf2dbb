/** Real gateway processes on the stand-in of the platform, for tests and the soak. */
import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Relay} from '../relay.js';
import {HostedStore} from './store.js';
import {HostedServer} from './upstream.js';
import type {StoreGate} from './store.js';
import type {HostedServerSettings} from './upstream.js';
import type {Agent} from 'node:http';
import type {ChildProcess} from 'node:child_process';
import type {AddressInfo} from 'node:net';

/** Names that the operator of the tests uses. */
export const HOST = 'desk.example';
export const API_KEY = 'key-of-club';
export const ACCOUNT = 'club';

/** One log line of a gateway. */
export type LogLine = Record<string, unknown> & {event: string};

/** What a caller got. */
export interface CallerResult {
  /** 0 if the connection ended without a head. */
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** Whether the answer was framed as complete. */
  complete: boolean;
  /** When the answer, or the connection, had ended. */
  endedAt: number;
  /** Whether the body had a length or chunks. */
  framed: boolean;
}

/** The operator's configuration, with routes of each kind. */
export function configuration(
  version: number,
  changes: Record<string, unknown> = {},
): Record<string, unknown> {
  const common = {
    host: HOST,
    timeoutMs: 3_000,
    targetLatencyMs: 500,
    priority: 0,
    public: false,
    sticky: false,
    resumable: false,
  };
  const route = (
    prefix: string,
    kind: string,
    service: string,
    extra: Record<string, unknown> = {},
  ) => ({...common, name: prefix, prefix, kind, service, ...extra});
  return {
    version,
    routes: [
      route('/read/', 'idempotent', 'desk', {maxAttempts: 2}),
      route('/order/', 'non_idempotent', 'desk', {maxAttempts: 1}),
      route('/talk/', 'streaming', 'models', {maxAttempts: 1}),
      route('/long/', 'streaming', 'models', {
        maxAttempts: 2,
        resumable: true,
      }),
    ],
    services: [
      {name: 'desk', healthPath: '/health', maxConnections: 100},
      {
        name: 'models',
        healthPath: '/health',
        maxConnections: 100,
        engine: {slots: 8, kvCapacityTokens: 100_000, stride: 5},
      },
    ],
    tenants: [{name: ACCOUNT, apiKeys: [API_KEY], prepaid: 1_000_000}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 10_000,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 10_000,
    },
    ...changes,
  };
}

/** One gateway process. */
export class GatewayProcess {
  readonly lines: LogLine[] = [];
  errors = '';
  exitCode: number | null | undefined;
  private child: ChildProcess | undefined;

  constructor(
    readonly name: string,
    readonly callers: string,
    readonly ready: string,
    readonly gate: StoreGate,
    /** Way of the other instances to this one. */
    readonly links: Relay,
    /** Path of its settings. */
    readonly file: string,
    /** Path of the gateway's main module. */
    private readonly program: string,
  ) {}

  /** Starts the process. */
  start(): void {
    this.exitCode = undefined;
    const child = spawn(process.execPath, [this.program], {
      env: {...process.env, CITRONTRESTLE_CONFIG: this.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    let rest = '';
    child.stdout?.on('data', (bytes: Buffer) => {
      const parts = (rest + bytes.toString('utf8')).split('\n');
      rest = parts.pop() ?? '';
      this.lines.push(...parts.map(line => JSON.parse(line) as LogLine));
    });
    child.stderr?.on('data', (bytes: Buffer) => {
      this.errors += bytes.toString('utf8');
    });
    child.on('exit', code => {
      this.exitCode = code;
    });
  }

  /** Sends a signal to this process. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Waits until the process has ended. */
  async ended(): Promise<void> {
    await until(() => this.exitCode !== undefined, `${this.name} ended`);
  }

  /** Lines of one event. */
  events(event: string): LogLine[] {
    return this.lines.filter(line => line.event === event);
  }
}

/** Store, servers and gateways of one test. */
export class HostedFleet {
  readonly store = new HostedStore();
  readonly servers: HostedServer[] = [];
  /** Ways of the gateways to each server. */
  readonly ways = new Map<HostedServer, Relay>();
  readonly gateways: GatewayProcess[] = [];

  /** @param program path of the gateway's main module. */
  constructor(private readonly program: string) {}

  /** Adds a server and lists it in the store. */
  async addServer(
    id: string,
    service: string,
    changes: Partial<HostedServerSettings> = {},
  ): Promise<HostedServer> {
    const base = {id, service, zone: 'north', slots: 8, stepMs: 5, events: 6};
    const server = new HostedServer({...base, ...changes});
    this.servers.push(server);
    const entry = await server.listen();
    const way = new Relay(String(entry['address']));
    this.ways.set(server, way);
    const address = await way.start('127.0.0.1');
    this.store.put(`servers/${id}`, {...entry, address});
    return server;
  }

  /** Adds a gateway and waits until it is ready. */
  async addGateway(): Promise<GatewayProcess> {
    const ports = await freePorts(3);
    const [callers, ready, listen] = ports.map(port => `127.0.0.1:${port}`);
    const gate = this.store.gate();
    const name = `g${this.gateways.length + 1}`;
    const peer = this.peerAddresses.slice(0, 3).join(',');
    const links = new Relay(listen ?? '');
    const advertise = await links.start('127.0.0.1');
    this.peerAddresses.push(advertise);
    const settings = {
      instance: name,
      zone: 'north',
      listen: {callers, ready},
      peers: {listen, advertise, seeds: peer, key: 'fleet of the tests'},
      store: {address: await gate.listen()},
      stop: {graceSeconds: 8},
      repeats: {ratio: 0.2, slack: 50, windowSeconds: 10},
    };
    const folder = mkdtempSync(join(tmpdir(), 'citrontrestle-'));
    const file = join(folder, 'settings.yaml');
    // JSON is YAML.
    writeFileSync(file, JSON.stringify(settings));
    const gateway = new GatewayProcess(
      name,
      callers ?? '',
      ready ?? '',
      gate,
      links,
      file,
      this.program,
    );
    this.gateways.push(gateway);
    gateway.start();
    return gateway;
  }

  /** Waits until a gateway says that it is ready and lists all servers. */
  async serving(gateway: GatewayProcess): Promise<void> {
    await until(async () => {
      const {status} = await call(gateway.ready, {path: '/ready'});
      const known = gateway.events('upstream.news').length;
      return status === 200 && known >= this.servers.length;
    }, `${gateway.name} serves`);
  }

  /** Ends all processes and servers that this fleet started. */
  async stop(): Promise<void> {
    for (const gateway of this.gateways) {
      gateway.signal('SIGKILL');
    }
    await Promise.all(this.gateways.map(one => one.ended()));
    this.servers.forEach(server => server.stop());
    this.ways.forEach(way => way.stop());
    this.gateways.forEach(one => {
      one.gate.stop();
      one.links.stop();
    });
  }

  private readonly peerAddresses: string[] = [];
}

/** Headers of a caller's request for a token stream. */
export function tokens(input: number, most: number): Record<string, string> {
  return {
    'X-Token-Usage': `${input},${most}`,
    'X-Prompt-Prefix': `a1:${input - 10},b2:10`,
    'X-Model': 'm',
  };
}

let requests = 0;

/** Makes one call and reads what comes. */
export function call(
  address: string,
  options: {
    path: string;
    method?: string;
    headers?: Record<string, string>;
    body?: string;
    /** Leaves after this time. */
    leaveAfter?: number;
    /** Connections to use again; a new one without. */
    agent?: Agent;
  },
): Promise<CallerResult> {
  requests += 1;
  const [host, port] = address.split(':');
  const result: CallerResult = {
    status: 0,
    headers: {},
    body: '',
    complete: false,
    endedAt: 0,
    framed: false,
  };
  return new Promise(resolve => {
    const outgoing = request({
      host,
      port: Number(port),
      path: options.path,
      method: options.method ?? 'GET',
      agent: options.agent ?? false,
      headers: {
        Host: HOST,
        'X-Request-Id': `request-${requests}`,
        'X-Request-Deadline-Ms': '3000',
        Authorization: `Bearer ${API_KEY}`,
        ...options.headers,
      },
    });
    if (options.leaveAfter !== undefined) {
      setTimeout(() => outgoing.destroy(), options.leaveAfter);
    }
    outgoing.on('error', () => {
      result.endedAt = Date.now();
      resolve(result);
    });
    outgoing.on('response', incoming => {
      result.status = incoming.statusCode ?? 0;
      result.headers = incoming.headers;
      result.framed =
        incoming.headers['content-length'] !== undefined ||
        incoming.headers['transfer-encoding'] !== undefined;
      incoming.on('data', (bytes: Buffer) => {
        result.body += bytes.toString('latin1');
      });
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        result.complete = incoming.complete;
        result.endedAt = Date.now();
        resolve(result);
      });
    });
    outgoing.end(options.body);
  });
}

/** Waits until something holds; fails after ten seconds. */
export async function until(
  holds: () => boolean | Promise<boolean>,
  what: string,
): Promise<void> {
  const end = Date.now() + 10_000;
  while (!(await holds())) {
    if (Date.now() > end) {
      throw new Error(`not in time: ${what}`);
    }
    await pause(20);
  }
}

/** Waits. */
export function pause(span: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, span);
  });
}

/** Ports that were handed out: a process may not have bound its own yet. */
const usedPorts = new Set<number>();

/** Ports below the range that the system hands out. */
async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    if (!usedPorts.has(port) && (await isFree(port))) {
      usedPorts.add(port);
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      const {port: bound} = server.address() as AddressInfo;
      server.close(() => resolve(bound === port));
    });
  });
}
