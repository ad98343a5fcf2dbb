/** Injects the planned faults into a fleet, from outside its processes. */
import {
  CopyOccasion,
  Partition,
  StoreMode,
  pause,
  RefusalCopier,
  RelayMode,
  ServerFault,
} from '@citrontrestle/stand_ins';
import {CHANGE_PROPAGATION_LIMIT, EVENTS_PER_STREAM} from './checks.js';
import {FaultKind} from './plan.js';
import type {Fault} from './plan.js';
import type {
  CrashingPart,
  Disruption,
  Evacuation,
  Revocation,
  UpstreamDrain,
} from './checks.js';
import type {
  GatewayProcess,
  HostedFleet,
  HostedServer,
} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';

/** A client account of the callers. */
export interface Account {
  name: string;
  /** Valid keys, oldest first. */
  apiKeys: string[];
  /** Tokens granted so far. */
  grantedTokens: number;
}

/** Service of the upstreams that stream tokens. */
const MODEL_SERVICE = 'models';

/** Time between two events of a stream. */
const EVENT_INTERVAL: Millis = 40;

/** Time between the exit of a process and its restart. */
const RESTART_DELAY: Millis = 150;

/** Time from marking an upstream as draining to its removal from the list. */
const DRAIN_TIME: Millis = 2_600;

/**
 * Time after which the list entry of a crashed upstream is removed, as if it had
 * expired.
 */
const ENTRY_EXPIRY_TIME: Millis = 1_000;

/** Time for a new process to connect to its peers. */
const STARTUP_TIME: Millis = 1_500;

/** The injected faults, as far as the checks take them into account. */
export interface FaultRecord {
  disruptions: Disruption[];
  plannedStops: {gateway: string; signalledAt: number}[];
  revocations: Revocation[];
  upstreamDrains: UpstreamDrain[];
  crashingParts: CrashingPart[];
  evacuations: Evacuation[];
}

/** Prefix of the keys that order the evacuation of a zone. */
const EVACUATION_PREFIX = 'op/evacuate/';

/** Zones of the upstreams; the instances are in the first one. */
const ZONES = ['north', 'south'];

/** Modes of the store that count as a fault. */
const STORE_FAULT_MODES = [
  StoreMode.Silent,
  StoreMode.Busy,
  StoreMode.LostWriteAnswers,
  StoreMode.DelayedWrites,
];

/** How long an instance stalls in each interval: seldom and long, or often. */
const STALL_TIMES = [
  {duration: 900, interval: 2_000},
  {duration: 210, interval: 300},
];

/** Statuses of refusals that are repeated. */
const REPEATED_STATUSES = [503, 429];

/** Share of the faults of refusals that concern all upstreams at once. */
const ALL_UPSTREAMS_SHARE = 0.7;

/** Share of the partitions that concern all instances but one. */
const MOST_INSTANCES_SHARE = 0.5;

/** Modes of a link that count as a fault. */
const LINK_FAULT_MODES = [
  RelayMode.Silent,
  RelayMode.SilentToTarget,
  RelayMode.SilentFromTarget,
  RelayMode.Delayed,
];

/** Injects the faults of one run and records them. */
export class FaultInjector {
  readonly record: FaultRecord = {
    disruptions: [],
    plannedStops: [],
    revocations: [],
    upstreamDrains: [],
    crashingParts: [],
    evacuations: [],
  };
  private readonly refusalCopiers: RefusalCopier[] = [];
  /** Prompt part under which model upstreams crash now. */
  private crashingPart: CrashingPart | undefined;
  private configurationVersion = 10;
  private addedUpstreams = 0;
  private addedModels = 0;
  private readonly handlers: Readonly<
    Record<FaultKind, (fault: Fault) => Promise<void> | void>
  > = {
    [FaultKind.Stop]: fault => this.stopGateway(this.pickGateway(fault)),
    [FaultKind.Kill]: fault => this.killGateway(this.pickGateway(fault)),
    [FaultKind.KillAll]: async () => {
      await Promise.all(
        this.fleet.gateways.map(gateway => this.killGateway(gateway)),
      );
    },
    [FaultKind.Freeze]: fault => this.freezeGateway(fault),
    [FaultKind.StallSeries]: fault => this.stallGateway(fault),
    [FaultKind.Reload]: fault => this.pickGateway(fault).sendSignal('SIGHUP'),
    [FaultKind.StoreFault]: fault =>
      this.injectStoreFault([this.pickGateway(fault)], fault),
    [FaultKind.StoreOutage]: fault =>
      this.injectStoreFault(this.fleet.gateways, fault),
    [FaultKind.Compaction]: () => this.fleet.store.compact(),
    [FaultKind.UpstreamFault]: fault => this.injectUpstreamFault(fault),
    [FaultKind.RepeatedRefusals]: fault => this.repeatRefusals(fault),
    [FaultKind.Partition]: fault => this.partitionGateways(fault),
    [FaultKind.UpstreamCrash]: fault => this.crashUpstream(fault),
    [FaultKind.CrashingPart]: fault => this.letPartCrash(fault),
    [FaultKind.UpstreamDrain]: fault => this.drainUpstream(fault),
    [FaultKind.UpstreamLinkFault]: fault => this.degradeUpstreamLink(fault),
    [FaultKind.PeerLinkFault]: fault => this.degradePeerLink(fault),
    [FaultKind.ResetConnections]: fault => this.resetConnections(fault),
    [FaultKind.TopUp]: fault => this.topUpAccount(fault),
    [FaultKind.Evacuation]: fault => this.evacuateZone(fault),
    [FaultKind.RotateKey]: fault => this.rotateKey(fault),
  };

  constructor(
    private readonly fleet: HostedFleet,
    private readonly accounts: Account[],
    private readonly random: () => number,
  ) {}

  /** Injects a fault; resolves when it is over. */
  async inject(fault: Fault): Promise<void> {
    await this.handlers[fault.kind](fault);
  }

  /** Writes the accounts' current keys and grants to the configuration. */
  configure(): void {
    this.configurationVersion += 1;
    const tenants = this.accounts.map(({name, apiKeys, grantedTokens}) => ({
      name,
      apiKeys,
      prepaid: grantedTokens,
    }));
    this.fleet.configure(this.configurationVersion, {tenants});
  }

  /** Returns the number of copies of refusals that upstreams wrote. */
  copiedRefusals(): number {
    return this.refusalCopiers.reduce((sum, {copyCount}) => sum + copyCount, 0);
  }

  /** Returns the prompt part that crashes upstreams now, if there is one. */
  crashingPartName(): string | undefined {
    return this.crashingPart?.part;
  }

  /**
   * Starts an upstream in one of two zones and lists it. Model upstreams have two
   * versions in turn, which their events name.
   */
  async addUpstream(service: string): Promise<void> {
    this.addedUpstreams += 1;
    const id = `${service}-${this.addedUpstreams}`;
    // So both versions get upstreams in both zones.
    const zone = ZONES[Math.floor(this.addedUpstreams / 4) % ZONES.length];
    if (service !== MODEL_SERVICE) {
      await this.fleet.addServer(id, service, {zone});
      return;
    }
    this.addedModels += 1;
    const server = await this.fleet.addServer(id, service, {
      version: `v${1 + (this.addedModels % 2)}`,
      namesVersion: true,
      zone,
      eventCount: EVENTS_PER_STREAM,
      stepMs: EVENT_INTERVAL,
    });
    server.crashingPart = this.crashingPart?.part;
    server.onCrash = () => void this.replaceCrashed(server);
  }

  private pickGateway({targetFraction}: Fault): GatewayProcess {
    return pickItem(this.fleet.gateways, targetFraction);
  }

  /**
   * Picks a listed upstream; returns undefined if it is the only one of its
   * service.
   */
  private pickReplaceableUpstream({
    targetFraction,
  }: Fault): HostedServer | undefined {
    const listedServers = this.fleet.listedServers();
    const server = pickItem(listedServers, targetFraction);
    const {service} = server.settings;
    const serversOfService = listedServers.filter(
      candidate => candidate.settings.service === service,
    );
    return serversOfService.length > 1 ? server : undefined;
  }

  /**
   * Records a disruption from now on; `gateway` undefined means all instances.
   */
  private recordDisruption(
    gateway: string | undefined,
    duration: Millis,
    holdsBytes = false,
  ): void {
    const startedAt = Date.now();
    this.record.disruptions.push({
      gateway,
      from: startedAt,
      until: startedAt + duration,
      holdsBytes,
    });
  }

  private async stopGateway(gateway: GatewayProcess): Promise<void> {
    if (gateway.exitCode !== undefined) {
      return;
    }
    this.record.plannedStops.push({
      gateway: gateway.name,
      signalledAt: Date.now(),
    });
    gateway.sendSignal('SIGTERM');
    await gateway.waitForExit();
    await this.restartGateway(gateway);
  }

  private async killGateway(gateway: GatewayProcess): Promise<void> {
    this.recordDisruption(gateway.name, RESTART_DELAY + STARTUP_TIME);
    gateway.sendSignal('SIGKILL');
    await gateway.waitForExit();
    await this.restartGateway(gateway);
  }

  private async restartGateway(gateway: GatewayProcess): Promise<void> {
    this.recordDisruption(gateway.name, RESTART_DELAY + STARTUP_TIME);
    await pause(RESTART_DELAY);
    if (gateway.exitCode !== undefined) {
      gateway.start();
    }
  }

  private async freezeGateway(fault: Fault): Promise<void> {
    const gateway = this.pickGateway(fault);
    this.recordDisruption(gateway.name, fault.duration);
    gateway.sendSignal('SIGSTOP');
    await pause(fault.duration);
    gateway.sendSignal('SIGCONT');
  }

  /** Lets an instance stall several times, for a part of each interval. */
  private async stallGateway(fault: Fault): Promise<void> {
    const stall = pickItem(STALL_TIMES, fault.variantFraction);
    for (let time = 0; time < fault.duration; time += stall.interval) {
      await this.freezeGateway({...fault, duration: stall.duration});
      await pause(stall.interval - stall.duration);
    }
  }

  private async injectStoreFault(
    gateways: GatewayProcess[],
    {duration, variantFraction}: Fault,
  ): Promise<void> {
    for (const {storeEndpoint, name} of gateways) {
      this.recordDisruption(name, duration);
      storeEndpoint.mode = pickItem(STORE_FAULT_MODES, variantFraction);
    }
    await pause(duration);
    for (const {storeEndpoint} of gateways) {
      storeEndpoint.mode = StoreMode.Serving;
    }
  }

  private async injectUpstreamFault(fault: Fault): Promise<void> {
    const server = pickItem(this.fleet.listedServers(), fault.targetFraction);
    const serverFaults = Object.values(ServerFault).filter(
      serverFault => serverFault !== ServerFault.None,
    );
    server.fault = pickItem(serverFaults, fault.variantFraction);
    await pause(fault.duration);
    server.fault = ServerFault.None;
  }

  /** Lets one upstream or all of them refuse requests and repeat this. */
  private async repeatRefusals({
    targetFraction,
    variantFraction,
    duration,
  }: Fault): Promise<void> {
    const {random} = this;
    const servers = this.fleet.listedServers();
    const concerned =
      random() < ALL_UPSTREAMS_SHARE
        ? servers
        : [pickItem(servers, targetFraction)];
    const occasion = pickItem(Object.values(CopyOccasion), variantFraction);
    const status = pickItem(REPEATED_STATUSES, random());
    const copiers = concerned.map(server => {
      const copier = new RefusalCopier({status, occasion, random});
      this.refusalCopiers.push(copier);
      server.refusalCopier = copier;
      return {server, copier};
    });
    await pause(duration);
    for (const {server, copier} of copiers) {
      // A later fault may have replaced it.
      if (server.refusalCopier === copier) {
        server.refusalCopier = undefined;
      }
    }
  }

  /** Partitions instances from all upstreams that are listed now. */
  private async partitionGateways(fault: Fault): Promise<void> {
    const picked = this.pickGateway(fault);
    const gateways =
      this.random() < MOST_INSTANCES_SHARE
        ? this.fleet.gateways.filter(gateway => gateway !== picked)
        : [picked];
    const partition = pickItem(Object.values(Partition), fault.variantFraction);
    for (const gateway of gateways) {
      this.recordDisruption(gateway.name, fault.duration, true);
      this.fleet.partition(gateway, partition);
    }
    await pause(fault.duration);
    gateways.forEach(gateway => this.fleet.endPartition(gateway));
  }

  private async crashUpstream(fault: Fault): Promise<void> {
    const server = this.pickReplaceableUpstream(fault);
    if (server === undefined) {
      return;
    }
    server.stop();
    await pause(ENTRY_EXPIRY_TIME);
    this.fleet.unlistServer(server);
    await this.addUpstream(server.settings.service);
  }

  private async drainUpstream(fault: Fault): Promise<void> {
    const server = this.pickReplaceableUpstream(fault);
    if (server === undefined) {
      return;
    }
    const {id, service} = server.settings;
    await this.addUpstream(service);
    this.record.upstreamDrains.push({upstream: id, announcedAt: Date.now()});
    this.fleet.markDraining(server);
    await pause(DRAIN_TIME);
    this.fleet.unlistServer(server);
  }

  /** Evacuates a zone for a time after the order is in force everywhere. */
  private async evacuateZone(fault: Fault): Promise<void> {
    const zone = pickItem(ZONES, fault.targetFraction);
    const key = `${EVACUATION_PREFIX}${zone}`;
    this.fleet.store.put(key, {});
    const evacuation = {zone, orderedAt: Date.now(), takenBackAt: Infinity};
    this.record.evacuations.push(evacuation);
    await pause(CHANGE_PROPAGATION_LIMIT + fault.duration);
    evacuation.takenBackAt = Date.now();
    this.fleet.store.remove(key);
  }

  private async letPartCrash(fault: Fault): Promise<void> {
    const part = `bad-${this.record.crashingParts.length}`;
    this.crashingPart = {part, crashTimes: []};
    this.record.crashingParts.push(this.crashingPart);
    this.setCrashingPart(part);
    await pause(fault.duration);
    // A later fault may have replaced the part, and have ended.
    if (this.crashingPart?.part === part) {
      this.crashingPart = undefined;
      this.setCrashingPart(undefined);
    }
  }

  private setCrashingPart(part: string | undefined): void {
    for (const server of this.fleet.servers) {
      server.crashingPart =
        server.settings.service === MODEL_SERVICE ? part : undefined;
    }
  }

  private async replaceCrashed(server: HostedServer): Promise<void> {
    this.crashingPart?.crashTimes.push(Date.now());
    this.fleet.serverRelays.get(server)?.stop();
    await pause(ENTRY_EXPIRY_TIME);
    this.fleet.unlistServer(server);
    await this.addUpstream(server.settings.service);
  }

  private async degradeUpstreamLink(fault: Fault): Promise<void> {
    const server = pickItem(this.fleet.listedServers(), fault.targetFraction);
    const relay = this.fleet.serverRelays.get(server);
    // Bytes held by the relay may arrive late, so time bounds don't hold.
    this.recordDisruption(undefined, fault.duration, true);
    relay?.setMode(pickItem(LINK_FAULT_MODES, fault.variantFraction));
    await pause(fault.duration);
    relay?.setMode(RelayMode.Open);
  }

  private async degradePeerLink(fault: Fault): Promise<void> {
    const {peerRelay} = this.pickGateway(fault);
    peerRelay.setMode(pickItem(LINK_FAULT_MODES, fault.variantFraction));
    await pause(fault.duration);
    peerRelay.setMode(RelayMode.Open);
  }

  private resetConnections(fault: Fault): void {
    this.recordDisruption(undefined, 0);
    this.pickGateway(fault).peerRelay.reset();
    const server = pickItem(this.fleet.listedServers(), fault.variantFraction);
    this.fleet.serverRelays.get(server)?.reset();
  }

  private topUpAccount({targetFraction}: Fault): void {
    const account = pickItem(this.accounts, targetFraction);
    account.grantedTokens = Math.round(account.grantedTokens * TOP_UP_FACTOR);
    this.configure();
  }

  private rotateKey({targetFraction}: Fault): void {
    const account = pickItem(this.accounts, targetFraction);
    const [oldest] = account.apiKeys.splice(0, 1);
    account.apiKeys.push(`${account.name}-${this.configurationVersion}`);
    this.configure();
    if (oldest !== undefined) {
      this.record.revocations.push({apiKey: oldest, revokedAt: Date.now()});
    }
  }
}

/** Factor by which a top-up multiplies an account's granted tokens. */
const TOP_UP_FACTOR = 1.5;

/**
 * Returns the item at a relative position in [0, 1); `items` must not be empty.
 */
export function pickItem<T>(items: readonly T[], fraction: number): T {
  return items[Math.floor(fraction * items.length)] as T;
}
