/**
 * Runs real gateway processes on a simulated platform, for tests and soak runs.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {splitAddress} from '@citrontrestle/runtime';
import {Relay, RelayMode} from '../relay.js';
import {ACCOUNT, API_KEY, call, HOST} from './caller.js';
import {
  NEW_CONNECTIONS,
  NewConnections,
  Partition,
  SOURCE_VARIABLE,
} from './partition.js';
import {HostedStore} from './store.js';
import {HostedServer} from './server.js';
import type {StoreEndpoint} from './store.js';
import type {RawServer} from './raw_server.js';
import type {HostedServerSettings} from './server.js';
import type {CallerResult} from './caller.js';
import type {PartitionCommand} from './partition.js';
import type {ChildProcess} from 'node:child_process';
import type {AddressInfo} from 'node:net';

/** One structured log line of a gateway. */
export type LogLine = Record<string, unknown> & {event: string};

/** Key of the operator's configuration in the store. */
const CONFIGURATION_KEY = 'op/config';

/** Prefix of the keys under which the store lists the servers. */
const SERVER_KEY_PREFIX = 'servers/';

/** Returns the key under which the store lists a server. */
function serverKey({settings}: HostedServer): string {
  return `${SERVER_KEY_PREFIX}${settings.id}`;
}

/**
 * Returns an operator's configuration with a route of each kind, for the
 * services `desk` and `models`. `overrides` replaces top-level fields.
 */
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

/** Module that is loaded into gateways which a test may partition. */
const PARTITION_PRELOAD = new URL('./partition_preload.js', import.meta.url)
  .href;

/** A gateway that runs as a process of its own. */
export class GatewayProcess {
  /** Log lines of all runs of the process, oldest first. */
  readonly logLines: LogLine[] = [];
  /** Text that the process wrote to its standard error. */
  stderrText = '';
  /** Undefined while the process runs; null if a signal ended it. */
  exitCode: number | null | undefined;
  /** Arguments of Node at the next start. */
  nodeArguments: readonly string[] = [];
  private child: ChildProcess | undefined;
  private partitionCommand: PartitionCommand | undefined;

  constructor(
    readonly name: string,
    /** Address for callers, as `ip:port`. */
    readonly callerAddress: string,
    /** Address of the readiness endpoint, as `ip:port`. */
    readonly readinessAddress: string,
    /** Endpoint of the store that only this gateway uses. */
    readonly storeEndpoint: StoreEndpoint,
    /** Relay through which the other instances connect to this one. */
    readonly peerRelay: Relay,
    /** Path of the settings file. */
    readonly settingsPath: string,
    /** Path of the gateway's main module; may be changed while it is down. */
    public mainModulePath: string,
    /**
     * Source address of its connections, which lets a test partition it from the
     * servers; undefined if no test does.
     */
    readonly sourceAddress?: string,
  ) {}

  /** Starts the process, for the first time or again after its exit. */
  start(): void {
    this.exitCode = undefined;
    const isPartitionable = this.sourceAddress !== undefined;
    const preload = isPartitionable ? [`--import=${PARTITION_PRELOAD}`] : [];
    const nodeArguments = [...this.nodeArguments, ...preload];
    const words = [...nodeArguments, this.mainModulePath];
    const child = spawn(process.execPath, words, {
      env: {
        ...process.env,
        CITRONTRESTLE_CONFIG: this.settingsPath,
        [SOURCE_VARIABLE]: this.sourceAddress,
      },
      stdio: ['ignore', 'pipe', 'pipe', isPartitionable ? 'ipc' : 'ignore'],
    });
    this.child = child;
    this.sendPartitionCommand();
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

  /** Returns its settings, as the next start reads them. */
  settings(): Record<string, unknown> {
    const text = readFileSync(this.settingsPath, 'utf8');
    return JSON.parse(text) as Record<string, unknown>;
  }

  /** Replaces some of its settings; they take effect at the next start. */
  changeSettings(changes: Record<string, unknown>): void {
    const settings = {...this.settings(), ...changes};
    writeFileSync(this.settingsPath, JSON.stringify(settings));
  }

  /** Returns the memory in use and the most so far, in MiB. */
  memory(): {now: number; most: number} {
    const text = readFileSync(`/proc/${this.child?.pid}/status`, 'utf8');
    const [most = 0, now = 0] = ['VmHWM', 'VmRSS'].map(
      name => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1]) / 1024,
    );
    return {now, most};
  }

  /** Sets how its new connections end, also those of later processes. */
  setNewConnections(command: PartitionCommand): void {
    this.partitionCommand = command;
    this.sendPartitionCommand();
  }

  /** A process that has ended gets the command at its next start. */
  private sendPartitionCommand(): void {
    if (this.partitionCommand !== undefined && this.child?.connected === true) {
      // Without a callback, a process that ends meanwhile would raise an error.
      this.child.send(this.partitionCommand, () => undefined);
    }
  }

  /** Sends a signal to the process, if it was started. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Waits until the process has exited; throws after ten seconds. */
  async waitForExit(): Promise<void> {
    await waitUntil(
      () => this.exitCode !== undefined,
      `${this.name} has exited`,
    );
  }

  /** Returns the log lines of an event, oldest first. */
  eventLines(event: string): LogLine[] {
    return this.logLines.filter(line => line.event === event);
  }

  /** Whether it has logged news of a server. */
  hasNewsOf(serverId: string): boolean {
    return this.eventLines('upstream.news').some(
      line => line['upstream'] === serverId,
    );
  }
}

/** The store, servers and gateways of one test or soak run. */
export class HostedFleet {
  readonly store = new HostedStore();
  readonly servers: HostedServer[] = [];
  /** Relays through which the gateways connect to each server. */
  readonly serverRelays = new Map<HostedServer, Relay>();
  readonly gateways: GatewayProcess[] = [];
  private readonly rawServers: RawServer[] = [];

  /**
   * @param mainModulePath path of the gateway's main module.
   * @param isPartitionable whether gateways can be partitioned from the servers.
   */
  constructor(
    private readonly mainModulePath: string,
    private readonly isPartitionable = false,
  ) {}

  /** Starts a server behind a relay and lists it in the store. */
  async addServer(
    id: string,
    service: string,
    overrides: Partial<HostedServerSettings> = {},
  ): Promise<HostedServer> {
    const defaults = {
      id,
      service,
      zone: 'north',
      version: 'v1',
      slots: 8,
      stepMs: 5,
      eventCount: 6,
    };
    const server = new HostedServer({...defaults, ...overrides});
    this.servers.push(server);
    const entry = await server.listen();
    const relay = new Relay(String(entry['address']));
    this.serverRelays.set(server, relay);
    server.resetWithBytes = (socket, bytes) => {
      socket.write(bytes);
      relay.resetAfter(socket.remotePort ?? 0, socket.bytesWritten);
    };
    const address = await relay.start('127.0.0.1');
    this.serverAddresses.push(address);
    this.store.put(serverKey(server), {...entry, address});
    return server;
  }

  /** Starts a server that writes bytes and lists it in the store. */
  async addRawServer(server: RawServer, service: string): Promise<void> {
    const address = await server.listen();
    this.rawServers.push(server);
    this.serverAddresses.push(address);
    this.store.put(`${SERVER_KEY_PREFIX}${server.id}`, {
      service,
      address,
      zone: 'north',
      slots: 8,
      state: 'ready',
      version: 'v1',
      coldRemainingMs: 0,
    });
  }

  /** Writes a version of the operator's configuration to the store. */
  configure(version: number, overrides: Record<string, unknown> = {}): void {
    this.store.put(CONFIGURATION_KEY, createConfiguration(version, overrides));
  }

  /** Writes the operator's configuration again, unchanged. */
  reconfigure(): void {
    const configuration = this.store.readValue(CONFIGURATION_KEY);
    this.store.put(CONFIGURATION_KEY, configuration);
  }

  /** Returns the servers that are listed in the store. */
  listedServers(): HostedServer[] {
    const keys = new Set(this.store.listKeys(SERVER_KEY_PREFIX));
    return this.servers.filter(server => keys.has(serverKey(server)));
  }

  /** Changes the state of a listed server to draining. */
  markDraining(server: HostedServer): void {
    this.relist(server, {state: 'draining'});
  }

  /** Writes the entries of all listed servers again, as their heartbeats do. */
  relistAll(): void {
    this.listedServers().forEach(server => this.relist(server, {}));
  }

  /** Changes some fields of the entry of a listed server. */
  relist(server: HostedServer, changes: Record<string, unknown>): void {
    const key = serverKey(server);
    const entry = this.store.readValue(key) as Record<string, unknown>;
    this.store.put(key, {...entry, ...changes});
  }

  /** Removes a server from the list in the store; the server keeps running. */
  unlistServer(server: HostedServer): void {
    this.store.remove(serverKey(server));
  }

  /**
   * Starts a gateway process and returns without waiting until it is ready. It
   * gets the addresses of the first gateways of the fleet, at most three, as
   * its seeds.
   * @param mainModulePath main module of another build of the gateway.
   */
  async addGateway(
    mainModulePath = this.mainModulePath,
  ): Promise<GatewayProcess> {
    const ports = await findFreePorts(4);
    const [callers, ready, listen, proxy] = ports.map(
      port => `127.0.0.1:${port}`,
    );
    this.proxyPorts.push(splitAddress(proxy ?? '').port);
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
      peers: {listen, advertise, proxy, seeds, key: 'fleet of the tests'},
      store: {address: await storeEndpoint.listen()},
      stop: {graceSeconds: 8},
      repeats: {ratio: 0.2, slack: 50, windowSeconds: 10},
    };
    const directory = mkdtempSync(join(tmpdir(), 'citrontrestle-'));
    const settingsPath = join(directory, 'settings.yaml');
    // Each JSON document is a YAML document.
    writeFileSync(settingsPath, JSON.stringify(settings));
    const gateway = new GatewayProcess(
      name,
      callers ?? '',
      ready ?? '',
      storeEndpoint,
      peerRelay,
      settingsPath,
      mainModulePath,
      this.isPartitionable ? `127.0.1.${1 + this.gateways.length}` : undefined,
    );
    this.gateways.push(gateway);
    gateway.start();
    return gateway;
  }

  /** Partitions a gateway from all servers that were added. */
  partition(gateway: GatewayProcess, partition: Partition): void {
    const newConnections = NEW_CONNECTIONS[partition];
    gateway.setNewConnections({newConnections, ports: this.serverPorts()});
    const source = gateway.sourceAddress ?? '';
    for (const relay of this.serverRelays.values()) {
      PARTITION_HANDLERS[partition](relay, source);
    }
  }

  /** Sets how the new connections of a gateway to servers and peers end. */
  setNewConnections(
    gateway: GatewayProcess,
    newConnections: NewConnections,
  ): void {
    const ports = [...this.serverPorts(), ...this.proxyPorts];
    gateway.setNewConnections({newConnections, ports});
  }

  /** Ends the partition of a gateway. */
  endPartition(gateway: GatewayProcess): void {
    gateway.setNewConnections({newConnections: NewConnections.Open, ports: []});
    for (const relay of this.serverRelays.values()) {
      relay.setSourceMode(gateway.sourceAddress ?? '', RelayMode.Open);
    }
  }

  private serverPorts(): number[] {
    return this.serverAddresses.map(address => splitAddress(address).port);
  }

  /**
   * Waits until a gateway reports that it is ready and has logged at least as
   * many changes of servers as there are servers; throws after ten seconds.
   */
  async waitUntilServing(gateway: GatewayProcess): Promise<void> {
    await waitUntil(async () => {
      const {status} = await call(gateway.readinessAddress, {path: '/ready'});
      const newsCount = gateway.eventLines('upstream.news').length;
      return status === 200 && newsCount >= this.servers.length;
    }, `${gateway.name} is ready and knows all servers`);
  }

  /** Kills all gateways, then stops the servers, relays and store endpoints. */
  async stop(): Promise<void> {
    for (const gateway of this.gateways) {
      gateway.sendSignal('SIGKILL');
    }
    await Promise.all(this.gateways.map(gateway => gateway.waitForExit()));
    this.servers.forEach(server => server.stop());
    this.rawServers.forEach(server => server.stop());
    this.serverRelays.forEach(relay => relay.stop());
    this.gateways.forEach(gateway => {
      gateway.storeEndpoint.stop();
      gateway.peerRelay.stop();
    });
  }

  /** Ports on which gateways take the requests of peers. */
  private readonly proxyPorts: number[] = [];
  /** Addresses of the servers' relays. */
  private readonly serverAddresses: string[] = [];
  /** Addresses that the gateways advertise to each other. */
  private readonly peerAddresses: string[] = [];
}

/** What each kind of partition does to open connections at a relay. */
const PARTITION_HANDLERS: Readonly<
  Record<Partition, (relay: Relay, source: string) => void>
> = {
  [Partition.Hanging]: (relay, source) =>
    relay.setSourceMode(source, RelayMode.Silent),
  [Partition.Reset]: (relay, source) => relay.reset(source),
  [Partition.OnlyNew]: () => undefined,
};

/**
 * Checks a condition every 20 milliseconds until it is met; throws after ten
 * seconds.
 */
export async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
  description: string,
): Promise<void> {
  const deadline = Date.now() + 10_000;
  while (!(await isMet())) {
    if (Date.now() > deadline) {
      throw new Error(`timed out waiting for this condition: ${description}`);
    }
    await pause(20);
  }
}

/**
 * Sends POST requests through gateways in turn, at an interval and for a time in
 * milliseconds, without waiting for the answers to earlier ones. Returns all
 * answers in the order of the requests.
 */
export async function postInTurn(
  gateways: readonly GatewayProcess[],
  request: {path: string; headers: Record<string, string>},
  {intervalMs, durationMs}: {intervalMs: number; durationMs: number},
): Promise<CallerResult[]> {
  const results: Array<Promise<CallerResult>> = [];
  const end = Date.now() + durationMs;
  while (Date.now() < end) {
    const gateway = gateways[results.length % gateways.length];
    results.push(
      call(gateway?.callerAddress ?? '', {
        ...request,
        method: 'POST',
        body: 'prompt',
      }),
    );
    await pause(intervalMs);
  }
  return Promise.all(results);
}

/** Resolves after a time in milliseconds. */
export function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, durationMs);
  });
}

/**
 * Ports that were assigned to a process. The process may not have bound them
 * yet, so that they would still look free.
 */
const assignedPorts = new Set<number>();

/**
 * Returns free ports from 12000 to 29999. They lie below the range from which
 * the system assigns ports, so that no other socket gets one by chance.
 */
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
