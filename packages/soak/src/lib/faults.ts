/** Carries the faults of a plan out, from outside the processes. */
import {
  StoreMode,
  pause,
  RelayMode,
  ServerFault,
} from '@citrontrestle/stand_ins';
import {FaultKind} from './plan.js';
import type {Fault} from './plan.js';
import type {UpstreamDrain, Revocation, Disruption} from './checks.js';
import type {
  GatewayProcess,
  HostedFleet,
  HostedServer,
} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';

/** An account of the callers. */
export interface Account {
  name: string;
  /** Keys in force. */
  apiKeys: string[];
  grantedTokens: number;
}

/** Time until a stopped or killed process is started again. */
const RESTART_DELAY: Millis = 150;

/** Time from an upstream's word that it leaves to its end. */
const DRAIN_TIME: Millis = 2_600;

/** Time after which a crashed upstream is off the list. */
const ENTRY_EXPIRY_TIME: Millis = 1_000;

/** Time for a new process to be in touch with the others. */
const STARTUP_TIME: Millis = 1_500;

/** What was done, for the checks. */
export interface FaultRecord {
  disruptions: Disruption[];
  plannedStops: {gateway: string; signalledAt: number}[];
  revocations: Revocation[];
  upstreamDrains: UpstreamDrain[];
}

/** The ways of a store that misbehaves. */
const STORE_FAULT_MODES = [
  StoreMode.Silent,
  StoreMode.Busy,
  StoreMode.LostWriteAnswers,
  StoreMode.DelayedWrites,
];

/** The ways of a link that misbehaves. */
const LINK_FAULT_MODES = [
  RelayMode.Silent,
  RelayMode.SilentToTarget,
  RelayMode.SilentFromTarget,
  RelayMode.Delayed,
];

/** The faults of one run. */
export class FaultInjector {
  readonly record: FaultRecord = {
    disruptions: [],
    plannedStops: [],
    revocations: [],
    upstreamDrains: [],
  };
  private configurationVersion = 10;
  private addedUpstreams = 0;
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
    [FaultKind.Reload]: fault => this.pickGateway(fault).sendSignal('SIGHUP'),
    [FaultKind.StoreFault]: fault =>
      this.injectStoreFault([this.pickGateway(fault)], fault),
    [FaultKind.StoreOutage]: fault =>
      this.injectStoreFault(this.fleet.gateways, fault),
    [FaultKind.Compaction]: () => this.fleet.store.compact(),
    [FaultKind.UpstreamFault]: fault => this.injectUpstreamFault(fault),
    [FaultKind.UpstreamCrash]: fault => this.crashUpstream(fault),
    [FaultKind.UpstreamDrain]: fault => this.drainUpstream(fault),
    [FaultKind.UpstreamLinkFault]: fault => this.degradeUpstreamLink(fault),
    [FaultKind.PeerLinkFault]: fault => this.degradePeerLink(fault),
    [FaultKind.ResetConnections]: fault => this.resetConnections(fault),
    [FaultKind.TopUp]: fault => this.topUpAccount(fault),
    [FaultKind.RotateKey]: fault => this.rotateKey(fault),
  };

  constructor(
    private readonly fleet: HostedFleet,
    private readonly accounts: Account[],
  ) {}

  /** Carries a fault out; resolves when it is over. */
  async inject(fault: Fault): Promise<void> {
    await this.handlers[fault.kind](fault);
  }

  /** Writes the configuration in force. */
  configure(): void {
    this.configurationVersion += 1;
    const tenants = this.accounts.map(({name, apiKeys, grantedTokens}) => ({
      name,
      apiKeys,
      prepaid: grantedTokens,
    }));
    this.fleet.configure(this.configurationVersion, {tenants});
  }

  private pickGateway({targetFraction}: Fault): GatewayProcess {
    return pickItem(this.fleet.gateways, targetFraction);
  }

  /** An upstream that is listed, if its service has another one. */
  private pickReplaceableUpstream({
    targetFraction,
  }: Fault): HostedServer | undefined {
    const listedServers = this.fleet.listedServers();
    const server = pickItem(listedServers, targetFraction);
    const {service} = server.settings;
    const others = listedServers.filter(
      candidate => candidate.settings.service === service,
    );
    return others.length > 1 ? server : undefined;
  }

  private recordDisruption(
    gateway: string | undefined,
    duration: Millis,
  ): void {
    const startedAt = Date.now();
    this.record.disruptions.push({
      gateway,
      from: startedAt,
      until: startedAt + duration,
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

  private async addUpstream(service: string): Promise<void> {
    this.addedUpstreams += 1;
    await this.fleet.addServer(`added-${this.addedUpstreams}`, service);
  }

  private async degradeUpstreamLink(fault: Fault): Promise<void> {
    const server = pickItem(this.fleet.listedServers(), fault.targetFraction);
    const relay = this.fleet.serverRelays.get(server);
    // What waits on the way may arrive late: bounds of time don't hold.
    this.recordDisruption(undefined, fault.duration);
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

/** Multiple of a grant after a top-up. */
const TOP_UP_FACTOR = 1.5;

/** The item at a place in [0, 1) of a list that is not empty. */
export function pickItem<T>(items: readonly T[], fraction: number): T {
  return items[Math.floor(fraction * items.length)] as T;
}
