/** Real gateway processes on the stand-in of the platform, for tests and the soak. */
import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Relay} from '../relay.js';
import {ACCOUNT, API_KEY, call, HOST} from './caller.js';
import {HostedStore} from './store.js';
import {HostedServer} from './upstream.js';
import type {StoreGate} from './store.js';
import type {HostedServerSettings} from './upstream.js';
import type {ChildProcess} from 'node:child_process';
import type {AddressInfo} from 'node:net';

/** One log line of a gateway. */
export type LogLine = Record<string, unknown> & {event: string};

/** Key of the operator's configuration. */
const CONFIGURATION_KEY = 'op/config';

/** Prefix of the servers' entries in the store. */
const LIST_PREFIX = 'servers/';

function keyOf({settings}: HostedServer): string {
  return `${LIST_PREFIX}${settings.id}`;
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
    this.store.put(keyOf(server), {...entry, address});
    return server;
  }

  /** Writes the operator's configuration. */
  configure(version: number, changes: Record<string, unknown> = {}): void {
    this.store.put(CONFIGURATION_KEY, configuration(version, changes));
  }

  /** Servers that are in the store's list. */
  listed(): HostedServer[] {
    const keys = new Set(this.store.keys(LIST_PREFIX));
    return this.servers.filter(one => keys.has(keyOf(one)));
  }

  /** States that a server leaves. */
  announceLeaving(server: HostedServer): void {
    const key = keyOf(server);
    const entry = this.store.value(key) as Record<string, unknown>;
    this.store.put(key, {...entry, state: 'draining'});
  }

  /** Takes a server off the store's list. */
  withdraw(server: HostedServer): void {
    this.store.drop(keyOf(server));
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
