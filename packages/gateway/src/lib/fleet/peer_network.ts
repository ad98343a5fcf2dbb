/**
 * Connects this gateway to the others: exchanges heartbeats with them, tracks
 * which of them run, and sends and broadcasts messages.
 */
import {
  HeardTimes,
  isRecorder,
  MEMBER_TIMEOUT,
  summariseLinks,
  Topology,
} from '@citrontrestle/decisions';
import {FleetLinks} from '@citrontrestle/fleet';
import {splitAddress} from '@citrontrestle/runtime';
import {guardStep} from '../process/exception_guard.js';
import {PEER_MESSAGE_SCHEMA, PeerMessageKind} from './peer_message.js';
import {PeerTraffic} from './peer_traffic.js';
import {PeerVersions} from './peer_versions.js';
import type {PeerMessage} from './peer_message.js';
import type {FleetMessageHandler, EntryIdentity} from '@citrontrestle/fleet';
import type {
  Clock,
  ExchangePartners,
  FleetView,
  MachineClock,
  Millis,
  ProxyPeer,
  StorePosition,
  Witnesses,
  ZoneLinks,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** State of an instance that its heartbeats report. */
export interface HeartbeatContent {
  /** Version of the configuration in force; -1 if there is none. */
  version: number;
  /** Era and newest store revision contained in the list of upstreams. */
  era: number;
  revision: number;
  /** Position of the store up to which the evacuated zones are known. */
  evacuations: StorePosition;
  /** Newest store revision of the verdicts on crashes. */
  verdicts: number;
  /** Whether the instance is stopping. */
  leaving: boolean;
  /** Whether the instance is partitioned from the upstreams. */
  partitioned: boolean;
  /** Time since the store last answered the instance or its relay. */
  storeSilence: Millis;
  /** Utilisation of the instance's link, as others are told. */
  linkUse: number;
}

/** Callbacks of a `PeerNetwork`. */
export interface PeerNetworkHandler {
  /** Returns the current state, for the next heartbeat. */
  heartbeatContent(): HeartbeatContent;
  /** Called for each message; `from` is the address of the sender. */
  onMessage(from: string, message: PeerMessage): void;
  /** Called when the peer at an address is no longer a partner. */
  onPartnerRemoved(address: string): void;
  /** Called when the partners, or what they report, may have changed. */
  onReportsChanged(): void;
}

/** What an instance does for the exchange of state in its fleet. */
export enum ExchangeRole {
  /** Other instances of its zone follow it. */
  Relay = 'relay',
  /** It follows the relay of its zone. */
  Follower = 'follower',
  /** It follows no relay and no instance follows it. */
  Standalone = 'standalone',
}

/** Settings of the links between instances. */
export interface PeerSettings {
  /** Identity of this process; a restarted instance has another one. */
  holder: string;
  instance: string;
  zone: string;
  /** Capacity of the machine, compared with others to choose the relay. */
  capacity: number;
  /** Address that other instances connect to, as `ip:port`. */
  address: string;
  /** Address to listen on for links, as `ip:port`. */
  listen: string;
  /** Address that accepts requests to forward; undefined if none does. */
  proxy: string | undefined;
  /** Addresses of some instances to connect to initially, as `ip:port`. */
  seeds: string[];
  /** Secret shared by all instances of the fleet. */
  fleetKey: string;
}

type Heartbeat = Extract<PeerMessage, {kind: PeerMessageKind.Heartbeat}>;

/** Interval of heartbeats to each partner. */
const HEARTBEAT_INTERVAL: Millis = 300;

/** Interval at which heartbeats to a peer include the known members. */
const MEMBER_REPORT_INTERVAL: Millis = 1_000;

/**
 * The same for heartbeats to the relay that is followed. It hears the members of
 * its zone itself, and is told of the others by their relays.
 */
const RELAY_MEMBER_REPORT_INTERVAL: Millis = 3_000;

/** Time without a heartbeat after which the link to a peer is reopened. */
const LINK_TIMEOUT: Millis = 1_500;

/**
 * Time without a heartbeat up to which the relay counts as responsive and is
 * asked for tokens.
 */
const MAX_RELAY_SILENCE: Millis = 700;

/** Minimum interval between attempts to reconnect to the same address. */
const REDIAL_INTERVAL: Millis = 1_500;

/** Interval at which the links of the zone are summarised. */
const LINKS_INTERVAL: Millis = 100;

/** What the last heartbeat of a peer says about the fleet and the store. */
interface FleetReport {
  /** Number of running instances in the peer's view. */
  count: number;
  /** Time since the store last answered the peer or its relay. */
  storeSilence: Millis;
  /** Whether the peer can record streams in the store. */
  recordsStreams: boolean;
  zone: string;
  /** Utilisation of the peer's link; 0 if it reports none. */
  linkUse: number;
  /** Links of the zone, if the peer is the zone's relay. */
  zoneLinks: ZoneLinks | undefined;
  receivedAt: Millis;
}

/**
 * The other gateways as seen from this one. In a small fleet each instance
 * exchanges messages with all others; in a large one an instance either follows
 * the relay of its zone or is a relay itself.
 */
export class PeerNetwork implements FleetMessageHandler<PeerMessage> {
  private readonly links: FleetLinks<PeerMessage>;
  private readonly topology: Topology;
  /** When a connection to each silent address was last attempted. */
  private readonly lastDialAt = new Map<string, Millis>();
  /** When the known members were last sent to each address. */
  private readonly membersSentAt = new Map<string, Millis>();
  /** Report of the last heartbeat of each peer, by its address. */
  private readonly fleetReports = new Map<string, FleetReport>();
  private readonly versions = new PeerVersions();
  /** Messages on the links. */
  readonly traffic = new PeerTraffic();
  private readonly heardTimes = new HeardTimes();
  /** Links of the zone, if this instance follows no relay. */
  private ownZoneLinks: ZoneLinks | undefined;
  private linksSummarisedAt: Millis = -Infinity;
  private currentPartners: ExchangePartners = {
    relay: undefined,
    followers: [],
    meshPeers: [],
  };

  constructor(
    private readonly settings: PeerSettings,
    private readonly clock: Clock,
    private readonly machineClock: MachineClock,
    /** Gets what the peers have heard of processes of this machine. */
    private readonly witnesses: Witnesses,
    private readonly log: Log,
    private readonly handler: PeerNetworkHandler,
  ) {
    const {holder, zone, fleetKey, address, listen, capacity} = settings;
    this.topology = new Topology({address, zone, capacity, leaving: false});
    this.links = new FleetLinks(
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

  /** Starts to listen for links and to send heartbeats. */
  start(): void {
    void this.links.start();
    this.sendHeartbeatsPeriodically();
  }

  /** Returns the peers that this instance currently exchanges state with. */
  partners(): ExchangePartners {
    return this.currentPartners;
  }

  /** Returns what this instance does for the exchange of state. */
  role(): ExchangeRole {
    const {relay, followers} = this.currentPartners;
    if (followers.length > 0) {
      return ExchangeRole.Relay;
    }
    return relay === undefined
      ? ExchangeRole.Standalone
      : ExchangeRole.Follower;
  }

  /**
   * Returns this instance and the known running ones, without those that are
   * stopping. In a large fleet, only some of other zones are known.
   */
  fleetView(): FleetView {
    const {address, zone} = this.settings;
    const self = {address, zone};
    const members = this.topology
      .liveMembers(this.clock.now())
      .filter(({leaving}) => !leaving);
    return {self, members: [self, ...members]};
  }

  /** Returns the addresses of all peers that are known to run. */
  livePeers(): string[] {
    return this.topology
      .liveMembers(this.clock.now())
      .map(member => member.address);
  }

  /**
   * Returns the number of running instances, including this one. A follower
   * takes it from its relay, because it knows only part of the other zones.
   */
  instanceCount(): number {
    const report = this.relayReport();
    return report?.count ?? 1 + this.livePeers().length;
  }

  /** Returns the relay that is followed, if it sent a heartbeat recently. */
  responsiveRelay(): string | undefined {
    const {relay} = this.currentPartners;
    const now = this.clock.now();
    const isResponsive =
      relay !== undefined &&
      this.topology.timeSinceHeard(relay, now) < MAX_RELAY_SILENCE;
    return isResponsive ? relay : undefined;
  }

  /**
   * Returns the time since the store last answered the relay; undefined without
   * a relay or without a recent heartbeat of it.
   */
  relayStoreSilence(): Millis | undefined {
    const report = this.relayReport();
    return report && report.storeSilence + this.clock.now() - report.receivedAt;
  }

  /**
   * Returns how full the links of the zone are; undefined if that is not known.
   * A follower takes it from its relay.
   */
  zoneLinks(): ZoneLinks | undefined {
    const {relay} = this.currentPartners;
    if (relay !== undefined) {
      return this.relayReport()?.zoneLinks;
    }
    const now = this.clock.now();
    if (now - this.linksSummarisedAt >= LINKS_INTERVAL) {
      this.linksSummarisedAt = now;
      this.ownZoneLinks = this.summariseZone(now);
    }
    return this.ownZoneLinks;
  }

  /** Summarises what the instances of the zone report of their links. */
  private summariseZone(now: Millis): ZoneLinks {
    const uses = [this.handler.heartbeatContent().linkUse];
    for (const {zone, linkUse, receivedAt} of this.fleetReports.values()) {
      if (zone === this.settings.zone && now - receivedAt < MEMBER_TIMEOUT) {
        uses.push(linkUse);
      }
    }
    return summariseLinks(uses);
  }

  /**
   * Returns whether this instance records streams in the store.
   * @param storeSilence time since the store answered this instance.
   */
  isRecorder(storeSilence: Millis): boolean {
    const available = new Set(this.availablePeers());
    const peers = this.currentPartners.meshPeers.flatMap(address => {
      const report = this.fleetReports.get(address);
      return report?.recordsStreams === true && available.has(address)
        ? [{address, storeSilence: report.storeSilence}]
        : [];
    });
    const {address} = this.settings;
    return isRecorder({address, storeSilence}, this.currentPartners, peers);
  }

  /**
   * Returns the addresses of the peers that sent a heartbeat recently and are
   * not stopping.
   */
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

  /**
   * Returns the known peers that forward requests to upstreams, without those
   * that are stopping or partitioned from the upstreams themselves.
   */
  proxies(): ProxyPeer[] {
    const proxies: ProxyPeer[] = [];
    for (const member of this.topology.liveMembers(this.clock.now())) {
      const {proxy, zone, capacity, leaving, partitioned} = member;
      if (proxy !== undefined && !leaving && partitioned !== true) {
        proxies.push({address: proxy, zone, capacity});
      }
    }
    return proxies;
  }

  /** Whether a peer understands a kind of message; true if it is not known. */
  understands(address: string, kind: PeerMessageKind): boolean {
    return this.versions.understands(address, kind);
  }

  /**
   * Sends a message to one peer, unless it is of an earlier version that does
   * not understand it; delivery isn't guaranteed.
   */
  send(address: string, message: PeerMessage): void {
    if (this.versions.understands(address, message.kind)) {
      this.links.send(address, message);
    }
  }

  /**
   * Sends a message to all partners, which forward it to the other instances
   * (see `forwardBroadcast`); delivery isn't guaranteed.
   */
  broadcast(message: PeerMessage): void {
    for (const address of partnerAddresses(this.currentPartners)) {
      this.send(address, message);
    }
  }

  /**
   * Sends a message about a stream to the relay that is followed, else to all
   * mesh peers.
   */
  sendToHolders(message: PeerMessage): void {
    const {relay, meshPeers} = this.currentPartners;
    for (const address of relay === undefined ? meshPeers : [relay]) {
      this.send(address, message);
    }
  }

  /**
   * Forwards a broadcast message from a partner: one from a follower to all
   * other partners, any other one only to the followers, since its sender sends
   * it to the other relays itself.
   */
  forwardBroadcast(from: string, message: PeerMessage): void {
    const {followers} = this.currentPartners;
    const isFromFollower = followers.includes(from);
    const recipients = isFromFollower
      ? partnerAddresses(this.currentPartners)
      : followers;
    for (const address of recipients.filter(recipient => recipient !== from)) {
      this.send(address, message);
    }
  }

  /**
   * Updates the partners and sends a heartbeat to each, over a new link if the
   * partner has been silent; also tries to reach silent addresses that are no
   * partners. Also called between the periodic heartbeats when the state to
   * report has changed.
   */
  sendHeartbeats(): void {
    const now = this.clock.now();
    const content = this.handler.heartbeatContent();
    if (content.leaving) {
      this.topology.markSelfLeaving();
    }
    this.updatePartners(now);
    this.handler.onReportsChanged();
    const partners = new Set(partnerAddresses(this.currentPartners));
    for (const address of partners) {
      const isSilent =
        this.topology.timeSinceHeard(address, now) > LINK_TIMEOUT;
      if (isSilent) {
        this.redialIfDue(address, content, now);
      } else {
        this.sendHeartbeat(address, content, now, false);
      }
    }
    for (const address of this.addressesToDial()) {
      if (!partners.has(address)) {
        this.redialIfDue(address, content, now);
      }
    }
  }

  /** Handles a message that arrived on a link. */
  onMessage(from: EntryIdentity, message: PeerMessage, bytes: number): void {
    const {address: peer} = from;
    const {kind} = message;
    this.traffic.recordReceived(kind, bytes);
    const handle = () => this.handleMessage(from, message);
    guardStep(handle, this.log, 'peer.message-threw', {peer, kind});
  }

  /** Counts a message that was written. */
  onSent({kind}: PeerMessage, bytes: number): void {
    this.traffic.recordSent(kind, bytes);
  }

  private handleMessage(from: EntryIdentity, message: PeerMessage): void {
    const {address, zone} = from;
    if (message.kind === PeerMessageKind.Heartbeat) {
      this.recordTimes(from, message);
      this.handleHeartbeat(address, zone, from.holder, message);
    }
    this.handler.onMessage(address, message);
  }

  /** Records the time of the sender, and what it has heard of this machine. */
  private recordTimes(
    {address, zone, holder}: EntryIdentity,
    {time, heard = []}: Heartbeat,
  ): void {
    if (time !== undefined) {
      this.heardTimes.record(address, {holder, time});
    }
    const now = this.machineClock.machineTime().monotonic;
    this.witnesses.recordStatement({holder, zone}, heard, now);
  }

  /** Records a heartbeat, and replies with the members if it asks for them. */
  private handleHeartbeat(
    address: string,
    zone: string,
    holder: string,
    heartbeat: Heartbeat,
  ): void {
    const now = this.clock.now();
    const {capacity, leaving, follows, relays, asks} = heartbeat;
    const {proxy, partitioned} = heartbeat;
    const isNew = this.topology.timeSinceHeard(address, now) > MEMBER_TIMEOUT;
    this.topology.recordHeartbeat(
      {address, zone, capacity, leaving, proxy, partitioned, follows, relays},
      now,
    );
    heartbeat.members.forEach(report =>
      this.topology.recordReport(report, now),
    );
    this.versions.recordHeartbeat(address, heartbeat);
    const {count, storeSilence, recordsStreams = false} = heartbeat;
    const {linkUse = 0, zoneLinks} = heartbeat;
    this.fleetReports.set(address, {
      count,
      storeSilence,
      recordsStreams,
      zone,
      linkUse,
      zoneLinks,
      receivedAt: now,
    });
    if (isNew) {
      this.log.info('peer.heard', {peer: address, holder});
      this.updatePartners(now);
    }
    this.handler.onReportsChanged();
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

  /** Sends heartbeats immediately, and then periodically. */
  private sendHeartbeatsPeriodically(): void {
    this.sendHeartbeats();
    setTimeout(() => this.sendHeartbeatsPeriodically(), HEARTBEAT_INTERVAL);
  }

  /** Chooses the partners and reports those that are no longer partners. */
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

  /**
   * Returns the silent addresses to connect to, so that members are found: the
   * seeds and the members of the own zone. Returns none while heartbeats of the
   * relay arrive.
   */
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

  /**
   * Closes the link to a silent address and sends a heartbeat that asks for the
   * members over a new link, unless that was tried recently.
   */
  private redialIfDue(
    address: string,
    content: HeartbeatContent,
    now: Millis,
  ): void {
    const lastDialAt = this.lastDialAt.get(address) ?? -Infinity;
    if (now - lastDialAt < REDIAL_INTERVAL) {
      return;
    }
    this.lastDialAt.set(address, now);
    this.links.closeLink(address, 'silent');
    this.sendHeartbeat(address, content, now, true);
  }

  /**
   * Sends one heartbeat, with the known members if they are due.
   * @param asksForMembers whether the receiver is to reply with its members.
   * @param reportedZone zone of which all members are reported, besides the own
   *     zone; of other zones only some may be.
   */
  private sendHeartbeat(
    address: string,
    content: HeartbeatContent,
    now: Millis,
    asksForMembers: boolean,
    reportedZone = this.settings.zone,
  ): void {
    const {relay, meshPeers, followers} = this.currentPartners;
    const interval =
      address === relay ? RELAY_MEMBER_REPORT_INTERVAL : MEMBER_REPORT_INTERVAL;
    const includesMembers =
      now - (this.membersSentAt.get(address) ?? -Infinity) >= interval;
    if (includesMembers) {
      this.membersSentAt.set(address, now);
    }
    const {instance, capacity, proxy} = this.settings;
    this.links.send(address, {
      kind: PeerMessageKind.Heartbeat,
      instance,
      capacity,
      proxy,
      recordsStreams: true,
      knowsCold: true,
      ...content,
      time: this.machineClock.machineTime().monotonic,
      heard: this.heardTimes.of(address),
      follows: address === relay,
      relays: meshPeers.includes(address),
      asks: asksForMembers,
      zoneLinks: followers.includes(address) ? this.zoneLinks() : undefined,
      count: this.instanceCount(),
      members: includesMembers
        ? this.topology.membersToReport(now, reportedZone)
        : [],
    });
  }

  /** Returns the last report of the relay, unless it is outdated. */
  private relayReport(): FleetReport | undefined {
    const {relay} = this.currentPartners;
    const report =
      relay === undefined ? undefined : this.fleetReports.get(relay);
    const isFresh =
      report && this.clock.now() - report.receivedAt < MEMBER_TIMEOUT;
    return isFresh ? report : undefined;
  }
}

/** Returns the addresses of all partners. */
function partnerAddresses({
  relay,
  followers,
  meshPeers,
}: ExchangePartners): string[] {
  const relayAddresses = relay === undefined ? [] : [relay];
  return [...relayAddresses, ...followers, ...meshPeers];
}
