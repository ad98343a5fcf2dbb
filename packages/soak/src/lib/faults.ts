/** Carries the faults of a plan out, from outside the processes. */
import {
  StoreMode,
  pause,
  RelayMode,
  ServerFault,
} from '@citrontrestle/stand_ins';
import {FaultKind} from './plan.js';
import type {Fault} from './plan.js';
import type {Leaving, Revocation, Trouble} from './checks.js';
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
  keys: string[];
  granted: number;
}

/** Time until a stopped or killed process is started again. */
const RESTART_PAUSE: Millis = 150;

/** Time from an upstream's word that it leaves to its end. */
const DRAIN_TIME: Millis = 2_600;

/** Time after which a crashed upstream is off the list. */
const LAPSE_TIME: Millis = 1_000;

/** Time for a new process to be in touch with the others. */
const START_TIME: Millis = 1_500;

/** What was done, for the checks. */
export interface FaultRecord {
  troubles: Trouble[];
  stops: {gateway: string; at: number}[];
  revocations: Revocation[];
  leavings: Leaving[];
}

/** The ways of a store that misbehaves. */
const STORE_MODES = [
  StoreMode.Silent,
  StoreMode.Busy,
  StoreMode.LostWriteAnswers,
  StoreMode.DelayedWrites,
];

/** The ways of a link that misbehaves. */
const LINK_MODES = [
  RelayMode.Silent,
  RelayMode.SilentToTarget,
  RelayMode.SilentFromTarget,
  RelayMode.Delayed,
];

/** The faults of one run. */
export class Faults {
  readonly record: FaultRecord = {
    troubles: [],
    stops: [],
    revocations: [],
    leavings: [],
  };
  private version = 10;
  private added = 0;
  private readonly handlers: Readonly<
    Record<FaultKind, (fault: Fault) => Promise<void> | void>
  > = {
    [FaultKind.Stop]: fault => this.stop(this.gateway(fault)),
    [FaultKind.Kill]: fault => this.kill(this.gateway(fault)),
    [FaultKind.KillAll]: async () => {
      await Promise.all(this.fleet.gateways.map(one => this.kill(one)));
    },
    [FaultKind.Freeze]: fault => this.freeze(fault),
    [FaultKind.Reload]: fault => this.gateway(fault).sendSignal('SIGHUP'),
    [FaultKind.StoreFault]: fault =>
      this.storeFault([this.gateway(fault)], fault),
    [FaultKind.StoreOutage]: fault =>
      this.storeFault(this.fleet.gateways, fault),
    [FaultKind.Compaction]: () => this.fleet.store.compact(),
    [FaultKind.UpstreamFault]: fault => this.upstreamFault(fault),
    [FaultKind.UpstreamCrash]: fault => this.upstreamCrash(fault),
    [FaultKind.UpstreamLeave]: fault => this.upstreamLeave(fault),
    [FaultKind.UpstreamLink]: fault => this.upstreamLink(fault),
    [FaultKind.PeerLink]: fault => this.peerLink(fault),
    [FaultKind.ResetConnections]: fault => this.resetConnections(fault),
    [FaultKind.TopUp]: fault => this.topUp(fault),
    [FaultKind.ChangeKey]: fault => this.changeKey(fault),
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
    this.version += 1;
    const tenants = this.accounts.map(({name, keys, granted}) => ({
      name,
      apiKeys: keys,
      prepaid: granted,
    }));
    this.fleet.configure(this.version, {tenants});
  }

  private gateway({pick}: Fault): GatewayProcess {
    return choose(this.fleet.gateways, pick);
  }

  /** An upstream that is listed, if its service has another one. */
  private upstream({pick}: Fault): HostedServer | undefined {
    const listed = this.fleet.listedServers();
    const server = choose(listed, pick);
    const {service} = server.settings;
    const others = listed.filter(one => one.settings.service === service);
    return others.length > 1 ? server : undefined;
  }

  private trouble(name: string | undefined, span: Millis): void {
    const from = Date.now();
    this.record.troubles.push({name, from, until: from + span});
  }

  private async stop(gateway: GatewayProcess): Promise<void> {
    if (gateway.exitCode !== undefined) {
      return;
    }
    this.record.stops.push({gateway: gateway.name, at: Date.now()});
    gateway.sendSignal('SIGTERM');
    await gateway.waitForExit();
    await this.restart(gateway);
  }

  private async kill(gateway: GatewayProcess): Promise<void> {
    this.trouble(gateway.name, RESTART_PAUSE + START_TIME);
    gateway.sendSignal('SIGKILL');
    await gateway.waitForExit();
    await this.restart(gateway);
  }

  private async restart(gateway: GatewayProcess): Promise<void> {
    this.trouble(gateway.name, RESTART_PAUSE + START_TIME);
    await pause(RESTART_PAUSE);
    if (gateway.exitCode !== undefined) {
      gateway.start();
    }
  }

  private async freeze(fault: Fault): Promise<void> {
    const gateway = this.gateway(fault);
    this.trouble(gateway.name, fault.span);
    gateway.sendSignal('SIGSTOP');
    await pause(fault.span);
    gateway.sendSignal('SIGCONT');
  }

  private async storeFault(
    gateways: GatewayProcess[],
    {span, variant}: Fault,
  ): Promise<void> {
    for (const {storeEndpoint, name} of gateways) {
      this.trouble(name, span);
      storeEndpoint.mode = choose(STORE_MODES, variant);
    }
    await pause(span);
    for (const {storeEndpoint} of gateways) {
      storeEndpoint.mode = StoreMode.Serving;
    }
  }

  private async upstreamFault(fault: Fault): Promise<void> {
    const server = choose(this.fleet.listedServers(), fault.pick);
    const kinds = Object.values(ServerFault).filter(
      one => one !== ServerFault.None,
    );
    server.fault = choose(kinds, fault.variant);
    await pause(fault.span);
    server.fault = ServerFault.None;
  }

  private async upstreamCrash(fault: Fault): Promise<void> {
    const server = this.upstream(fault);
    if (server === undefined) {
      return;
    }
    server.stop();
    await pause(LAPSE_TIME);
    this.fleet.unlistServer(server);
    await this.addUpstream(server.settings.service);
  }

  private async upstreamLeave(fault: Fault): Promise<void> {
    const server = this.upstream(fault);
    if (server === undefined) {
      return;
    }
    const {id, service} = server.settings;
    await this.addUpstream(service);
    this.record.leavings.push({upstream: id, at: Date.now()});
    this.fleet.markDraining(server);
    await pause(DRAIN_TIME);
    this.fleet.unlistServer(server);
  }

  private async addUpstream(service: string): Promise<void> {
    this.added += 1;
    await this.fleet.addServer(`added-${this.added}`, service);
  }

  private async upstreamLink(fault: Fault): Promise<void> {
    const server = choose(this.fleet.listedServers(), fault.pick);
    const relay = this.fleet.serverRelays.get(server);
    // What waits on the way may arrive late: bounds of time don't hold.
    this.trouble(undefined, fault.span);
    relay?.setMode(choose(LINK_MODES, fault.variant));
    await pause(fault.span);
    relay?.setMode(RelayMode.Open);
  }

  private async peerLink(fault: Fault): Promise<void> {
    const {peerRelay} = this.gateway(fault);
    peerRelay.setMode(choose(LINK_MODES, fault.variant));
    await pause(fault.span);
    peerRelay.setMode(RelayMode.Open);
  }

  private resetConnections(fault: Fault): void {
    this.trouble(undefined, 0);
    this.gateway(fault).peerRelay.reset();
    const server = choose(this.fleet.listedServers(), fault.variant);
    this.fleet.serverRelays.get(server)?.reset();
  }

  private topUp({pick}: Fault): void {
    const account = choose(this.accounts, pick);
    account.granted = Math.round(account.granted * TOP_UP);
    this.configure();
  }

  private changeKey({pick}: Fault): void {
    const account = choose(this.accounts, pick);
    const [oldest] = account.keys.splice(0, 1);
    account.keys.push(`${account.name}-${this.version}`);
    this.configure();
    if (oldest !== undefined) {
      this.record.revocations.push({key: oldest, at: Date.now()});
    }
  }
}

/** Multiple of a grant after a top-up. */
const TOP_UP = 1.5;

/** The item at a place in [0, 1) of a list that is not empty. */
export function choose<T>(items: readonly T[], pick: number): T {
  return items[Math.floor(pick * items.length)] as T;
}
