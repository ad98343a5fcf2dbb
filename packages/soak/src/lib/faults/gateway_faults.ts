/** Faults of gateway processes and of their links to the store and each other. */
import {
  NewConnections,
  Partition,
  pause,
  RelayMode,
  StoreMode,
} from '@citrontrestle/stand_ins';
import {FaultKind} from '../plan.js';
import {pickItem} from './context.js';
import {LINK_FAULT_MODES} from './link_modes.js';
import type {Fault} from '../plan.js';
import type {GatewayProcess} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';
import type {FaultContext, FaultHandlers} from './context.js';

/** Time between the exit of a process and its restart. */
const RESTART_DELAY: Millis = 150;

/** Time for a new process to connect to its peers. */
const STARTUP_TIME: Millis = 1_500;

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

/** Share of the partitions that concern all instances but one. */
const MOST_INSTANCES_SHARE = 0.5;

/** Faults of gateway processes and of their links. */
export class GatewayFaults {
  readonly handlers: FaultHandlers<
    | FaultKind.Stop
    | FaultKind.Kill
    | FaultKind.KillAll
    | FaultKind.Loss
    | FaultKind.Freeze
    | FaultKind.StallSeries
    | FaultKind.Reload
    | FaultKind.StoreFault
    | FaultKind.StoreOutage
    | FaultKind.Partition
    | FaultKind.PeerLinkFault
    | FaultKind.SlowConnections
  > = {
    [FaultKind.Stop]: fault =>
      this.stopGateway(this.context.pickGateway(fault)),
    [FaultKind.Kill]: fault =>
      this.killGateway(this.context.pickGateway(fault)),
    [FaultKind.KillAll]: async () => {
      await Promise.all(
        this.context.fleet.gateways.map(gateway => this.killGateway(gateway)),
      );
    },
    [FaultKind.Loss]: async fault => {
      const gateway = this.context.pickGateway(fault);
      this.context.recordDisruption(gateway.name, Infinity);
      gateway.sendSignal('SIGKILL');
      await gateway.waitForExit();
    },
    [FaultKind.Freeze]: fault => this.freezeGateway(fault),
    [FaultKind.StallSeries]: fault => this.stallGateway(fault),
    [FaultKind.Reload]: fault =>
      this.context.pickGateway(fault).sendSignal('SIGHUP'),
    [FaultKind.StoreFault]: fault =>
      this.injectStoreFault([this.context.pickGateway(fault)], fault),
    [FaultKind.StoreOutage]: fault =>
      this.injectStoreFault(this.context.fleet.gateways, fault),
    [FaultKind.Partition]: fault => this.partitionGateways(fault),
    [FaultKind.SlowConnections]: fault => this.delayConnections(fault),
    [FaultKind.PeerLinkFault]: fault => this.degradePeerLink(fault),
  };

  constructor(private readonly context: FaultContext) {}

  private async stopGateway(gateway: GatewayProcess): Promise<void> {
    if (gateway.exitCode !== undefined) {
      return;
    }
    this.context.record.plannedStops.push({
      gateway: gateway.name,
      signalledAt: Date.now(),
    });
    gateway.sendSignal('SIGTERM');
    await gateway.waitForExit();
    await this.restartGateway(gateway);
  }

  private async killGateway(gateway: GatewayProcess): Promise<void> {
    this.context.recordDisruption(gateway.name, RESTART_DELAY + STARTUP_TIME);
    gateway.sendSignal('SIGKILL');
    await gateway.waitForExit();
    await this.restartGateway(gateway);
  }

  private async restartGateway(gateway: GatewayProcess): Promise<void> {
    this.context.recordDisruption(gateway.name, RESTART_DELAY + STARTUP_TIME);
    await pause(RESTART_DELAY);
    if (gateway.exitCode !== undefined) {
      gateway.start();
    }
  }

  private async freezeGateway(fault: Fault): Promise<void> {
    const gateway = this.context.pickGateway(fault);
    this.context.recordDisruption(gateway.name, fault.duration);
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
      this.context.recordDisruption(name, duration, {isOfStore: true});
      storeEndpoint.mode = pickItem(STORE_FAULT_MODES, variantFraction);
    }
    await pause(duration);
    for (const {storeEndpoint} of gateways) {
      storeEndpoint.mode = StoreMode.Serving;
    }
  }

  /** Partitions instances from all upstreams that are listed now. */
  private async partitionGateways(fault: Fault): Promise<void> {
    const picked = this.context.pickGateway(fault);
    const gateways =
      this.context.random() < MOST_INSTANCES_SHARE
        ? this.context.fleet.gateways.filter(gateway => gateway !== picked)
        : [picked];
    const partition = pickItem(Object.values(Partition), fault.variantFraction);
    for (const gateway of gateways) {
      this.context.recordDisruption(gateway.name, fault.duration, {
        holdsBytes: true,
      });
      this.context.fleet.partition(gateway, partition);
    }
    await pause(fault.duration);
    gateways.forEach(gateway => this.context.fleet.endPartition(gateway));
  }

  /**
   * Delays the new connections of instances. That is no disruption: a request
   * that waits for its connection is bound by what is learned meanwhile.
   */
  private async delayConnections(fault: Fault): Promise<void> {
    const {fleet} = this.context;
    for (const gateway of fleet.gateways) {
      fleet.setNewConnections(gateway, NewConnections.Late);
    }
    await pause(fault.duration);
    for (const gateway of fleet.gateways) {
      fleet.setNewConnections(gateway, NewConnections.Open);
    }
  }

  private async degradePeerLink(fault: Fault): Promise<void> {
    const {peerRelay} = this.context.pickGateway(fault);
    peerRelay.setMode(pickItem(LINK_FAULT_MODES, fault.variantFraction));
    await pause(fault.duration);
    peerRelay.setMode(RelayMode.Open);
  }
}
