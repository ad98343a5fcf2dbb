/** Faults of upstreams and of the links to them, and planned drains. */
import {
  AnswerEnder,
  ConnectionEnd,
  CopyOccasion,
  pause,
  RefusalCopier,
  RelayMode,
  ServerFault,
} from '@citrontrestle/stand_ins';
import {seededRandom} from '@citrontrestle/runtime';
import {EVENTS_PER_STREAM} from '../observations.js';
import {FaultKind} from '../plan.js';
import {pickItem} from './context.js';
import {LINK_FAULT_MODES} from './link_modes.js';
import type {CrashingPart} from '../observations.js';
import type {Fault} from '../plan.js';
import type {HostedServer} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';
import type {FaultContext, FaultHandlers} from './context.js';

/** Number of ways in which model upstreams word their events. */
const WORDINGS = 3;

/** Service of the upstreams that stream tokens. */
export const MODEL_SERVICE = 'models';

/** Time between two events of a stream. */
const EVENT_INTERVAL: Millis = 40;

/** Time from marking an upstream as draining to its removal from the list. */
const DRAIN_TIME: Millis = 2_600;

/** Time from the first statement in answers to the removal from the list. */
const STATED_DRAIN_TIME: Millis = 4_000;

/** Limit of the seeds that a fault draws by its target fraction. */
const MAX_SEED = 1_000_000;

/**
 * Time after which the list entry of a crashed upstream is removed, as if it had
 * expired.
 */
const ENTRY_EXPIRY_TIME: Millis = 1_000;

/** Zones of the upstreams; the instances are in the first one. */
export const ZONES = ['north', 'south'];

/** Statuses of refusals that are repeated. */
const REPEATED_STATUSES = [503, 429];

/** Share of the faults of refusals that concern all upstreams at once. */
const ALL_UPSTREAMS_SHARE = 0.7;

/** Ends of the connections that a fault of answer endings draws from. */
const END_SETS: readonly (readonly ConnectionEnd[])[] = [
  [ConnectionEnd.Close, ConnectionEnd.ResetWithBytes, ConnectionEnd.ResetLater],
  [ConnectionEnd.ResetWithBytes],
  [ConnectionEnd.ResetWithBytes, ConnectionEnd.ResetLater],
  [ConnectionEnd.Kill],
];

/** How an upstream says that it leaves. */
enum DepartureNotice {
  ListEntry,
  /** Its list entry is removed. */
  Removal,
  /** It says so in its answers only. */
  Statement,
}

const DEPARTURE_NOTICES = [
  DepartureNotice.ListEntry,
  DepartureNotice.Removal,
  DepartureNotice.Statement,
];

/** Faults of upstreams and of the links to them. */
export class UpstreamFaults {
  private readonly refusalCopiers: RefusalCopier[] = [];
  /** Prompt part under which model upstreams crash now. */
  private crashingPart: CrashingPart | undefined;
  private addedUpstreams = 0;
  private addedModels = 0;
  readonly handlers: FaultHandlers<
    | FaultKind.UpstreamFault
    | FaultKind.RepeatedRefusals
    | FaultKind.UpstreamCrash
    | FaultKind.CrashingPart
    | FaultKind.UpstreamDrain
    | FaultKind.UpstreamLinkFault
    | FaultKind.ResetConnections
    | FaultKind.AnswerEndings
    | FaultKind.Departure
  > = {
    [FaultKind.UpstreamFault]: fault => this.injectUpstreamFault(fault),
    [FaultKind.RepeatedRefusals]: fault => this.repeatRefusals(fault),
    [FaultKind.UpstreamCrash]: fault => this.crashUpstream(fault),
    [FaultKind.CrashingPart]: fault => this.letPartCrash(fault),
    [FaultKind.UpstreamDrain]: fault => this.drainUpstream(fault),
    [FaultKind.UpstreamLinkFault]: fault => this.degradeUpstreamLink(fault),
    [FaultKind.AnswerEndings]: fault => this.endAnswers(fault),
    [FaultKind.Departure]: fault => this.letUpstreamLeave(fault),
    [FaultKind.ResetConnections]: fault => this.resetConnections(fault),
  };

  /** Upstreams that have begun to leave. */
  private readonly leaving = new Set<HostedServer>();
  private readonly departureHandlers: Readonly<
    Record<DepartureNotice, (server: HostedServer) => Promise<void> | void>
  > = {
    [DepartureNotice.ListEntry]: async server => {
      this.recordDrain(server);
      this.context.fleet.markDraining(server);
      await pause(DRAIN_TIME);
      this.context.fleet.unlistServer(server);
    },
    [DepartureNotice.Removal]: server => this.removeUpstream(server),
    [DepartureNotice.Statement]: async server => {
      this.recordDrain(server, true);
      server.saysLeaving = true;
      await pause(STATED_DRAIN_TIME);
      this.removeUpstream(server);
    },
  };

  constructor(private readonly context: FaultContext) {}

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
      await this.context.fleet.addServer(id, service, {zone});
      return;
    }
    this.addedModels += 1;
    const server = await this.context.fleet.addServer(id, service, {
      version: `v${1 + (this.addedModels % 2)}`,
      namesVersion: true,
      extraWords: this.addedModels % WORDINGS,
      zone,
      eventCount: EVENTS_PER_STREAM,
      stepMs: EVENT_INTERVAL,
    });
    server.crashingPart = this.crashingPart?.part;
    server.onCrash = () => void this.replaceCrashed(server);
  }

  /**
   * Picks a listed upstream; returns undefined if it is the only one of its
   * service.
   */
  private pickReplaceableUpstream({
    targetFraction,
  }: Fault): HostedServer | undefined {
    const listedServers = this.context.fleet.listedServers();
    const server = pickItem(listedServers, targetFraction);
    const {service} = server.settings;
    const serversOfService = listedServers.filter(
      candidate => candidate.settings.service === service,
    );
    return serversOfService.length > 1 ? server : undefined;
  }

  private async injectUpstreamFault(fault: Fault): Promise<void> {
    const server = pickItem(
      this.context.fleet.listedServers(),
      fault.targetFraction,
    );
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
    const {random} = this.context;
    const servers = this.context.fleet.listedServers();
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

  private async crashUpstream(fault: Fault): Promise<void> {
    const server = this.pickReplaceableUpstream(fault);
    if (server === undefined) {
      return;
    }
    server.stop();
    await pause(ENTRY_EXPIRY_TIME);
    this.context.fleet.unlistServer(server);
    await this.addUpstream(server.settings.service);
  }

  private async drainUpstream(fault: Fault): Promise<void> {
    const server = this.pickReplaceableUpstream(fault);
    if (server === undefined) {
      return;
    }
    const {id, service} = server.settings;
    await this.addUpstream(service);
    this.context.record.upstreamDrains.push({
      upstream: id,
      announcedAt: Date.now(),
    });
    this.context.fleet.markDraining(server);
    await pause(DRAIN_TIME);
    this.context.fleet.unlistServer(server);
  }

  /** Lets upstreams end some answers in a way of their own. */
  private async endAnswers({
    targetFraction,
    variantFraction,
    duration,
  }: Fault): Promise<void> {
    const {fleet} = this.context;
    const ends = pickItem(END_SETS, variantFraction);
    const random = seededRandom(Math.floor(targetFraction * MAX_SEED));
    const ender = new AnswerEnder({ends, random});
    const servers = fleet.listedServers();
    for (const server of servers) {
      server.ender = ender;
      server.onKill = () => void this.replaceCrashed(server);
    }
    await pause(duration);
    for (const server of servers) {
      // A later fault may have replaced it.
      if (server.ender === ender) {
        server.ender = undefined;
      }
    }
  }

  /** Whether upstreams end answers in a way of their own now. */
  endsAnswers(): boolean {
    return this.context.fleet.servers.some(({ender}) => ender !== undefined);
  }

  /** Lets an upstream leave, and another one take its place. */
  private async letUpstreamLeave(fault: Fault): Promise<void> {
    const server = this.pickReplaceableUpstream(fault);
    if (server === undefined || this.leaving.has(server)) {
      return;
    }
    this.leaving.add(server);
    await this.addUpstream(server.settings.service);
    const notice = pickItem(DEPARTURE_NOTICES, fault.variantFraction);
    await this.departureHandlers[notice](server);
  }

  private recordDrain({settings}: HostedServer, isOnlyStated = false): void {
    this.context.record.upstreamDrains.push({
      upstream: settings.id,
      announcedAt: Date.now(),
      isOnlyStated,
    });
  }

  private removeUpstream(server: HostedServer): void {
    this.recordDrain(server);
    this.context.fleet.unlistServer(server);
  }

  private async letPartCrash(fault: Fault): Promise<void> {
    const part = `bad-${this.context.record.crashingParts.length}`;
    this.crashingPart = {part, crashTimes: []};
    this.context.record.crashingParts.push(this.crashingPart);
    this.setCrashingPart(part);
    await pause(fault.duration);
    // A later fault may have replaced the part, and have ended.
    if (this.crashingPart?.part === part) {
      this.crashingPart = undefined;
      this.setCrashingPart(undefined);
    }
  }

  private setCrashingPart(part: string | undefined): void {
    for (const server of this.context.fleet.servers) {
      server.crashingPart =
        server.settings.service === MODEL_SERVICE ? part : undefined;
    }
  }

  private async replaceCrashed(server: HostedServer): Promise<void> {
    this.crashingPart?.crashTimes.push(Date.now());
    this.context.fleet.serverRelays.get(server)?.stop();
    await pause(ENTRY_EXPIRY_TIME);
    this.context.fleet.unlistServer(server);
    await this.addUpstream(server.settings.service);
  }

  private async degradeUpstreamLink(fault: Fault): Promise<void> {
    const server = pickItem(
      this.context.fleet.listedServers(),
      fault.targetFraction,
    );
    const relay = this.context.fleet.serverRelays.get(server);
    // Bytes held by the relay may arrive late, so time bounds don't hold.
    this.context.recordDisruption(undefined, fault.duration, {
      holdsBytes: true,
    });
    relay?.setMode(pickItem(LINK_FAULT_MODES, fault.variantFraction));
    await pause(fault.duration);
    relay?.setMode(RelayMode.Open);
  }

  private resetConnections(fault: Fault): void {
    this.context.recordDisruption(undefined, 0);
    this.context.pickGateway(fault).peerRelay.reset();
    const server = pickItem(
      this.context.fleet.listedServers(),
      fault.variantFraction,
    );
    this.context.fleet.serverRelays.get(server)?.reset();
  }
}
