/** Real gateway processes on the stand-in of the platform, for tests and the soak. */
import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Relay} from '../relay.js';
import {ACCOUNT, API_KEY, call, HOST} from './caller.js';
import {HostedStore} from './store.js';
import {HostedServer} from './server.js';
import type {StoreEndpoint} from './store.js';
import type {HostedServerSettings} from './server.js';
import type {ChildProcess} from 'node:child_process';
import type {AddressInfo} from 'node:net';

/** One log line of a gateway. */
export type LogLine = Record<string, unknown> & {event: string};

/** Key of the operator's configuration. */
const CONFIGURATION_KEY = 'op/config';

/** Prefix of the servers' entries in the store. */
const SERVER_KEY_PREFIX = 'servers/';

function serverKey({settings}: HostedServer): string {
  return `${SERVER_KEY_PREFIX}${settings.id}`;
}

/** The operator's configuration, with routes of each kind. */
export function createConfiguration(
  version: number,
  overrides: Record<string, unknown> = {},
): Record<string, unknown> {
  const commonFields = {
    host: HOST,
    timeoutMs: 3_000,
    targetLatencyMs: 500,
    priority: 0,
    public: false,
    sticky: false,
    resumable: false,
  };
  const createRoute = (
    prefix: string,
    kind: string,
    service: string,
    kindFields: Record<string, unknown> = {},
  ) => ({...commonFields, name: prefix, prefix, kind, service, ...kindFields});
  return {
    version,
    routes: [
      createRoute('/read/', 'idempotent', 'desk', {maxAttempts: 2}),
      createRoute('/order/', 'non_idempotent', 'desk', {maxAttempts: 1}),
      createRoute('/talk/', 'streaming', 'models', {maxAttempts: 1}),
      createRoute('/long/', 'streaming', 'models', {
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
    ...overrides,
  };
}

/** One gateway process. */
export class GatewayProcess {
  readonly logLines: LogLine[] = [];
  stderrText = '';
  exitCode: number | null | undefined;
  private child: ChildProcess | undefined;

  constructor(
    readonly name: string,
    readonly callerAddress: string,
    readonly readinessAddress: string,
    readonly storeEndpoint: StoreEndpoint,
    /** Way of the other instances to this one. */
    readonly peerRelay: Relay,
    /** Path of its settings. */
    readonly settingsPath: string,
    /** Path of the gateway's main module. */
    private readonly mainModulePath: string,
  ) {}

  /** Starts the process. */
  start(): void {
    this.exitCode = undefined;
    const child = spawn(process.execPath, [this.mainModulePath], {
      env: {...process.env, CITRONTRESTLE_CONFIG: this.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    let partialLine = '';
    child.stdout?.on('data', (bytes: Buffer) => {
      const completeLines = (partialLine + bytes.toString('utf8')).split('\n');
      partialLine = completeLines.pop() ?? '';
      this.logLines.push(
        ...completeLines.map(line => JSON.parse(line) as LogLine),
      );
    });
    child.stderr?.on('data', (bytes: Buffer) => {
      this.stderrText += bytes.toString('utf8');
    });
    child.on('exit', code => {
      this.exitCode = code;
    });
  }

  /** Sends a signal to this process. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Waits until the process has ended. */
  async waitForExit(): Promise<void> {
    await waitUntil(() => this.exitCode !== undefined, `${this.name} ended`);
  }

  /** Lines of one event. */
  eventLines(event: string): LogLine[] {
    return this.logLines.filter(line => line.event === event);
  }
}

/** Store, servers and gateways of one test. */
export class HostedFleet {
  readonly store = new HostedStore();
  readonly servers: HostedServer[] = [];
  /** Ways of the gateways to each server. */
  readonly serverRelays = new Map<HostedServer, Relay>();
  readonly gateways: GatewayProcess[] = [];

  /** @param mainModulePath path of the gateway's main module. */
  constructor(private readonly mainModulePath: string) {}

  /** Adds a server and lists it in the store. */
  async addServer(
    id: string,
    service: string,
    overrides: Partial<HostedServerSettings> = {},
  ): Promise<HostedServer> {
    const defaults = {
      id,
      service,
      zone: 'north',
      slots: 8,
      stepMs: 5,
      eventCount: 6,
    };
    const server = new HostedServer({...defaults, ...overrides});
    this.servers.push(server);
    const entry = await server.listen();
    const relay = new Relay(String(entry['address']));
    this.serverRelays.set(server, relay);
    const address = await relay.start('127.0.0.1');
    this.store.put(serverKey(server), {...entry, address});
    return server;
  }

  /** Writes the operator's configuration. */
  configure(version: number, overrides: Record<string, unknown> = {}): void {
    this.store.put(CONFIGURATION_KEY, createConfiguration(version, overrides));
  }

  /** Servers that are in the store's list. */
  listedServers(): HostedServer[] {
    const keys = new Set(this.store.listKeys(SERVER_KEY_PREFIX));
    return this.servers.filter(server => keys.has(serverKey(server)));
  }

  /** States that a server leaves. */
  markDraining(server: HostedServer): void {
    const key = serverKey(server);
    const entry = this.store.readValue(key) as Record<string, unknown>;
    this.store.put(key, {...entry, state: 'draining'});
  }

  /** Takes a server off the store's list. */
  unlistServer(server: HostedServer): void {
    this.store.remove(serverKey(server));
  }

  /** Adds a gateway and waits until it is ready. */
  async addGateway(): Promise<GatewayProcess> {
    const ports = await findFreePorts(3);
    const [callers, ready, listen] = ports.map(port => `127.0.0.1:${port}`);
    const storeEndpoint = this.store.createEndpoint();
    const name = `g${this.gateways.length + 1}`;
    const seeds = this.peerAddresses.slice(0, 3).join(',');
    const peerRelay = new Relay(listen ?? '');
    const advertise = await peerRelay.start('127.0.0.1');
    this.peerAddresses.push(advertise);
    const settings = {
      instance: name,
      zone: 'north',
      listen: {callers, ready},
      peers: {listen, advertise, seeds, key: 'fleet of the tests'},
      store: {address: await storeEndpoint.listen()},
      stop: {graceSeconds: 8},
      repeats: {ratio: 0.2, slack: 50, windowSeconds: 10},
    };
    const directory = mkdtempSync(join(tmpdir(), 'citrontrestle-'));
    const settingsPath = join(directory, 'settings.yaml');
    // JSON is YAML.
    writeFileSync(settingsPath, JSON.stringify(settings));
    const gateway = new GatewayProcess(
      name,
      callers ?? '',
      ready ?? '',
      storeEndpoint,
      peerRelay,
      settingsPath,
      this.mainModulePath,
    );
    this.gateways.push(gateway);
    gateway.start();
    return gateway;
  }

  /** Waits until a gateway says that it is ready and lists all servers. */
  async waitUntilServing(gateway: GatewayProcess): Promise<void> {
    await waitUntil(async () => {
      const {status} = await call(gateway.readinessAddress, {path: '/ready'});
      const newsCount = gateway.eventLines('upstream.news').length;
      return status === 200 && newsCount >= this.servers.length;
    }, `${gateway.name} serves`);
  }

  /** Ends all processes and servers that this fleet started. */
  async stop(): Promise<void> {
    for (const gateway of this.gateways) {
      gateway.sendSignal('SIGKILL');
    }
    await Promise.all(this.gateways.map(gateway => gateway.waitForExit()));
    this.servers.forEach(server => server.stop());
    this.serverRelays.forEach(relay => relay.stop());
    this.gateways.forEach(gateway => {
      gateway.storeEndpoint.stop();
      gateway.peerRelay.stop();
    });
  }

  private readonly peerAddresses: string[] = [];
}

/** Waits until something holds; fails after ten seconds. */
export async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
  description: string,
): Promise<void> {
  const deadline = Date.now() + 10_000;
  while (!(await isMet())) {
    if (Date.now() > deadline) {
      throw new Error(`not in time: ${description}`);
    }
    await pause(20);
  }
}

/** Waits. */
export function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, durationMs);
  });
}

/** Ports that were handed out: a process may not have bound its own yet. */
const assignedPorts = new Set<number>();

/** Ports below the range that the system hands out. */
async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    if (!assignedPorts.has(port) && (await isPortFree(port))) {
      assignedPorts.add(port);
      ports.push(port);
    }
  }
  return ports;
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      const {port: boundPort} = server.address() as AddressInfo;
      server.close(() => resolve(boundPort === port));
    });
  });
}
