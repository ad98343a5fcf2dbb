/** Links to the other gateways: who lives, and what each has to tell. */
import {MEMBER_TIMEOUT, Topology} from '@citrontrestle/decisions';
import {FleetLinks} from '@citrontrestle/fleet';
import {splitAddress} from '@citrontrestle/runtime';
import {PEER_MESSAGE_SCHEMA, PeerMessageKind} from './peer_message.js';
import type {PeerMessage} from './peer_message.js';
import type {FleetMessageHandler, EntryIdentity} from '@citrontrestle/fleet';
import type {Clock, ExchangePartners, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** What an instance tells in its beats. */
export interface HeartbeatContent {
  version: number;
  revision: number;
  leaving: boolean;
  /** Time since the store answered. */
  storeSilence: Millis;
}

/** What the task needs of its owner. */
export interface PeerNetworkHandler {
  heartbeatContent(): HeartbeatContent;
  /** A message of the peer at an address. */
  onMessage(from: string, message: PeerMessage): void;
  /** No news are exchanged with a peer any more. */
  onPartnerRemoved(address: string): void;
}

/** Settings of the links between instances. */
export interface PeerSettings {
  holder: string;
  instance: string;
  zone: string;
  /** What the machine can carry, compared with the others. */
  capacity: number;
  /** Own address as the others dial it, as `ip:port`. */
  address: string;
  /** Where links are taken, as `ip:port`. */
  listen: string;
  /** Addresses of some instances as `ip:port`. */
  seeds: string[];
  fleetKey: string;
}

type Heartbeat = Extract<PeerMessage, {kind: PeerMessageKind.Heartbeat}>;

/** Interval of beats to each peer. */
const HEARTBEAT_INTERVAL: Millis = 300;

/** Interval in which a peer is told who else runs. */
const MEMBER_REPORT_INTERVAL: Millis = 1_000;

/** Silence after which a link is opened anew. */
const LINK_TIMEOUT: Millis = 1_500;

/** Silence up to which a relay is asked for tokens. */
const MAX_RELAY_SILENCE: Millis = 700;

/** Interval in which addresses that are silent are tried. */
const REDIAL_INTERVAL: Millis = 1_500;

/** What a relay said of its view. */
interface FleetReport {
  count: number;
  storeSilence: Millis;
  receivedAt: Millis;
}

/** Keeps in touch with the other instances. */
export class PeerNetwork implements FleetMessageHandler<PeerMessage> {
  private readonly fleet: FleetLinks<PeerMessage>;
  private readonly topology: Topology;
  private readonly redialedAt = new Map<string, Millis>();
  private readonly membersSentAt = new Map<string, Millis>();
  private readonly fleetReports = new Map<string, FleetReport>();
  private currentPartners: ExchangePartners = {
    relay: undefined,
    followers: [],
    meshPeers: [],
  };

  constructor(
    private readonly settings: PeerSettings,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly handler: PeerNetworkHandler,
  ) {
    const {holder, zone, fleetKey, address, listen, capacity} = settings;
    this.topology = new Topology({address, zone, capacity, leaving: false});
    this.fleet = new FleetLinks(
      {
        holder,
        zone,
        fleetKey,
        ...splitAddress(listen),
        advertise: address,
      },
      PEER_MESSAGE_SCHEMA,
      this,
      log,
    );
  }

  /** Starts to take links and to beat. */
  async start(): Promise<void> {
    await this.fleet.start();
    this.sendHeartbeatsPeriodically();
  }

  /** With whom news are exchanged now. */
  partners(): ExchangePartners {
    return this.currentPartners;
  }

  /** Addresses of peers that run, as far as this instance knows them. */
  liveAddresses(): string[] {
    return this.topology
      .liveMembers(this.clock.now())
      .map(member => member.address);
  }

  /** Instances that run, with this one. */
  instanceCount(): number {
    const report = this.relayReport();
    return report?.count ?? 1 + this.liveAddresses().length;
  }

  /** The relay that is followed, if it was heard lately. */
  responsiveRelay(): string | undefined {
    const {relay} = this.currentPartners;
    const now = this.clock.now();
    const isResponsive =
      relay !== undefined &&
      this.topology.timeSinceHeard(relay, now) < MAX_RELAY_SILENCE;
    return isResponsive ? relay : undefined;
  }

  /** Time since the relay heard the store; undefined without a relay. */
  relayStoreSilence(): Millis | undefined {
    const report = this.relayReport();
    return report && report.storeSilence + this.clock.now() - report.receivedAt;
  }

  /** Addresses of the peers that were just heard and don't stop. */
  availablePeers(): string[] {
    const now = this.clock.now();
    return this.topology
      .liveMembers(now)
      .filter(({leaving}) => !leaving)
      .map(({address}) => address)
      .filter(
        address => this.topology.timeSinceHeard(address, now) < LINK_TIMEOUT,
      );
  }

  /** Sends a message to one peer; it may be lost. */
  send(address: string, message: PeerMessage): void {
    this.fleet.send(address, message);
  }

  /** Sends a message that all instances are to have; it may be lost. */
  broadcast(message: PeerMessage): void {
    for (const address of partnerAddresses(this.currentPartners)) {
      this.fleet.send(address, message);
    }
  }

  /** Passes a message that is to reach all instances on to the next ones. */
  forwardBroadcast(from: string, message: PeerMessage): void {
    const {followers} = this.currentPartners;
    const isFromFollower = followers.includes(from);
    const recipients = isFromFollower
      ? partnerAddresses(this.currentPartners)
      : followers;
    for (const address of recipients.filter(recipient => recipient !== from)) {
      this.fleet.send(address, message);
    }
  }

  /** Sends a beat now, as when the state has changed. */
  sendHeartbeats(): void {
    const now = this.clock.now();
    const content = this.handler.heartbeatContent();
    if (content.leaving) {
      this.topology.markSelfLeaving();
    }
    this.updatePartners(now);
    const partners = new Set(partnerAddresses(this.currentPartners));
    for (const address of partners) {
      const isSilent =
        this.topology.timeSinceHeard(address, now) > LINK_TIMEOUT;
      if (isSilent) {
        this.redial(address, content, now);
      } else {
        this.sendHeartbeat(address, content, now, false);
      }
    }
    for (const address of this.addressesToDial()) {
      if (!partners.has(address)) {
        this.redial(address, content, now);
      }
    }
  }

  /** Called by the links. */
  onMessage(from: EntryIdentity, message: PeerMessage): void {
    const {address, zone} = from;
    if (message.kind === PeerMessageKind.Heartbeat) {
      this.handleHeartbeat(address, zone, from.holder, message);
    }
    this.handler.onMessage(address, message);
  }

  private handleHeartbeat(
    address: string,
    zone: string,
    holder: string,
    heartbeat: Heartbeat,
  ): void {
    const now = this.clock.now();
    const {capacity, leaving, follows, relays, asks} = heartbeat;
    if (this.topology.timeSinceHeard(address, now) > MEMBER_TIMEOUT) {
      this.log.info('peer.heard', {peer: address, holder});
    }
    const heartbeatMember = {address, zone, capacity, leaving, follows, relays};
    this.topology.recordHeartbeat(heartbeatMember, now);
    heartbeat.members.forEach(report =>
      this.topology.recordReport(report, now),
    );
    const {count, storeSilence} = heartbeat;
    this.fleetReports.set(address, {count, storeSilence, receivedAt: now});
    if (asks) {
      this.membersSentAt.delete(address);
      this.sendHeartbeat(
        address,
        this.handler.heartbeatContent(),
        now,
        false,
        zone,
      );
    }
  }

  /** Beats now and then again. */
  private sendHeartbeatsPeriodically(): void {
    this.sendHeartbeats();
    setTimeout(() => this.sendHeartbeatsPeriodically(), HEARTBEAT_INTERVAL);
  }

  /** Chooses the partners anew. */
  private updatePartners(now: Millis): void {
    const previous = this.currentPartners;
    const next = this.topology.choosePartners(now);
    this.currentPartners = next;
    if (previous.relay !== next.relay) {
      const {relay} = next;
      const instances = this.instanceCount();
      this.log.info('peer.relay', {relay, before: previous.relay, instances});
    }
    const nextAddresses = new Set(partnerAddresses(next));
    for (const address of partnerAddresses(previous)) {
      if (!nextAddresses.has(address)) {
        this.fleetReports.delete(address);
        this.handler.onPartnerRemoved(address);
      }
    }
  }

  /** Addresses that are tried though they are not heard. */
  private addressesToDial(): string[] {
    const {relay} = this.currentPartners;
    if (relay !== undefined && this.relayReport() !== undefined) {
      return [];
    }
    const {zone, seeds, address} = this.settings;
    const now = this.clock.now();
    const sameZoneMembers = this.topology
      .liveMembers(now)
      .filter(member => member.zone === zone);
    return [...seeds, ...sameZoneMembers.map(member => member.address)].filter(
      candidate =>
        candidate !== address &&
        this.topology.timeSinceHeard(candidate, now) > LINK_TIMEOUT,
    );
  }

  private redial(
    address: string,
    content: HeartbeatContent,
    now: Millis,
  ): void {
    const redialedAt = this.redialedAt.get(address) ?? -Infinity;
    if (now - redialedAt < REDIAL_INTERVAL) {
      return;
    }
    this.redialedAt.set(address, now);
    this.fleet.closeLink(address, 'silent');
    this.sendHeartbeat(address, content, now, true);
  }

  private sendHeartbeat(
    address: string,
    content: HeartbeatContent,
    now: Millis,
    asksForMembers: boolean,
    zone = this.settings.zone,
  ): void {
    const {relay, meshPeers} = this.currentPartners;
    const includesMembers =
      now - (this.membersSentAt.get(address) ?? -Infinity) >=
      MEMBER_REPORT_INTERVAL;
    if (includesMembers) {
      this.membersSentAt.set(address, now);
    }
    const {instance, capacity} = this.settings;
    this.fleet.send(address, {
      kind: PeerMessageKind.Heartbeat,
      instance,
      capacity,
      ...content,
      follows: address === relay,
      relays: meshPeers.includes(address),
      asks: asksForMembers,
      count: this.instanceCount(),
      members: includesMembers ? this.topology.membersToReport(now, zone) : [],
    });
  }

  private relayReport(): FleetReport | undefined {
    const {relay} = this.currentPartners;
    const report =
      relay === undefined ? undefined : this.fleetReports.get(relay);
    const isFresh =
      report && this.clock.now() - report.receivedAt < MEMBER_TIMEOUT;
    return isFresh ? report : undefined;
  }
}

/** Addresses of all with whom news are exchanged. */
function partnerAddresses({
  relay,
  followers,
  meshPeers,
}: ExchangePartners): string[] {
  const relayAddresses = relay === undefined ? [] : [relay];
  return [...relayAddresses, ...followers, ...meshPeers];
}
