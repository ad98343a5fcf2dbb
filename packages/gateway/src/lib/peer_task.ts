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
export interface BeatContent {
  version: number;
  revision: number;
  leaving: boolean;
  /** Time since the store answered. */
  storeSilence: Millis;
}

/** What the task needs of its owner. */
export interface PeerOwner {
  content(): BeatContent;
  /** A message of the peer at an address. */
  heard(from: string, message: PeerMessage): void;
  /** No news are exchanged with a peer any more. */
  parted(address: string): void;
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
  key: string;
}

type Beat = Extract<PeerMessage, {kind: PeerMessageKind.Beat}>;

/** Interval of beats to each peer. */
const BEAT_INTERVAL: Millis = 300;

/** Interval in which a peer is told who else runs. */
const MEMBERS_INTERVAL: Millis = 1_000;

/** Silence after which a link is opened anew. */
const LINK_SILENCE: Millis = 1_500;

/** Silence up to which a relay is asked for tokens. */
const RELAY_HEARD: Millis = 700;

/** Interval in which addresses that are silent are tried. */
const SEED_INTERVAL: Millis = 1_500;

/** What a relay said of its view. */
interface RelayView {
  count: number;
  storeSilence: Millis;
  at: Millis;
}

/** Keeps in touch with the other instances. */
export class PeerTask implements FleetMessageHandler<PeerMessage> {
  private readonly fleet: FleetLinks<PeerMessage>;
  private readonly topology: Topology;
  private readonly triedAt = new Map<string, Millis>();
  private readonly toldAt = new Map<string, Millis>();
  private readonly relayViews = new Map<string, RelayView>();
  private exchange: ExchangePartners = {
    relay: undefined,
    followers: [],
    meshPeers: [],
  };

  constructor(
    private readonly settings: PeerSettings,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: PeerOwner,
  ) {
    const {holder, zone, key, address, listen, capacity} = settings;
    this.topology = new Topology({address, zone, capacity, leaving: false});
    this.fleet = new FleetLinks(
      {
        holder,
        zone,
        fleetKey: key,
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
    this.beatOn();
  }

  /** With whom news are exchanged now. */
  partners(): ExchangePartners {
    return this.exchange;
  }

  /** Addresses of peers that run, as far as this instance knows them. */
  live(): string[] {
    return this.topology.liveMembers(this.clock.now()).map(one => one.address);
  }

  /** Instances that run, with this one. */
  count(): number {
    const view = this.relayView();
    return view?.count ?? 1 + this.live().length;
  }

  /** The relay that is followed, if it was heard lately. */
  heardRelay(): string | undefined {
    const {relay} = this.exchange;
    const now = this.clock.now();
    const heard =
      relay !== undefined &&
      this.topology.timeSinceHeard(relay, now) < RELAY_HEARD;
    return heard ? relay : undefined;
  }

  /** Time since the relay heard the store; undefined without a relay. */
  relayStoreSilence(): Millis | undefined {
    const view = this.relayView();
    return view && view.storeSilence + this.clock.now() - view.at;
  }

  /** Addresses of the peers that were just heard and don't stop. */
  staying(): string[] {
    const now = this.clock.now();
    return this.topology
      .liveMembers(now)
      .filter(({leaving}) => !leaving)
      .map(({address}) => address)
      .filter(
        address => this.topology.timeSinceHeard(address, now) < LINK_SILENCE,
      );
  }

  /** Sends a message to one peer; it may be lost. */
  send(address: string, message: PeerMessage): void {
    this.fleet.send(address, message);
  }

  /** Sends a message that all instances are to have; it may be lost. */
  spread(message: PeerMessage): void {
    for (const address of allPartners(this.exchange)) {
      this.fleet.send(address, message);
    }
  }

  /** Passes a message that is to reach all instances on to the next ones. */
  passOn(from: string, message: PeerMessage): void {
    const {followers} = this.exchange;
    const fromBelow = followers.includes(from);
    const next = fromBelow ? allPartners(this.exchange) : followers;
    for (const address of next.filter(one => one !== from)) {
      this.fleet.send(address, message);
    }
  }

  /** Sends a beat now, as when the state has changed. */
  beat(): void {
    const now = this.clock.now();
    const content = this.owner.content();
    if (content.leaving) {
      this.topology.markSelfLeaving();
    }
    this.rewire(now);
    const partners = new Set(allPartners(this.exchange));
    for (const address of partners) {
      const silent = this.topology.timeSinceHeard(address, now) > LINK_SILENCE;
      if (silent) {
        this.retry(address, content, now);
      } else {
        this.tell(address, content, now, false);
      }
    }
    for (const address of this.toMeet()) {
      if (!partners.has(address)) {
        this.retry(address, content, now);
      }
    }
  }

  /** Called by the links. */
  onMessage(from: EntryIdentity, message: PeerMessage): void {
    const {address, zone} = from;
    if (message.kind === PeerMessageKind.Beat) {
      this.takeBeat(address, zone, from.holder, message);
    }
    this.owner.heard(address, message);
  }

  private takeBeat(
    address: string,
    zone: string,
    holder: string,
    beat: Beat,
  ): void {
    const now = this.clock.now();
    const {capacity, leaving, follows, relays, asks} = beat;
    if (this.topology.timeSinceHeard(address, now) > MEMBER_TIMEOUT) {
      this.log.info('peer.heard', {peer: address, holder});
    }
    const news = {address, zone, capacity, leaving, follows, relays};
    this.topology.recordHeartbeat(news, now);
    beat.members.forEach(one => this.topology.recordReport(one, now));
    const {count, storeSilence} = beat;
    this.relayViews.set(address, {count, storeSilence, at: now});
    if (asks) {
      this.toldAt.delete(address);
      this.tell(address, this.owner.content(), now, false, zone);
    }
  }

  /** Beats now and then again. */
  private beatOn(): void {
    this.beat();
    setTimeout(() => this.beatOn(), BEAT_INTERVAL);
  }

  /** Chooses the partners anew. */
  private rewire(now: Millis): void {
    const before = this.exchange;
    const next = this.topology.choosePartners(now);
    this.exchange = next;
    if (before.relay !== next.relay) {
      const {relay} = next;
      const instances = this.count();
      this.log.info('peer.relay', {relay, before: before.relay, instances});
    }
    const kept = new Set(allPartners(next));
    for (const address of allPartners(before)) {
      if (!kept.has(address)) {
        this.relayViews.delete(address);
        this.owner.parted(address);
      }
    }
  }

  /** Addresses that are tried though they are not heard. */
  private toMeet(): string[] {
    const {relay} = this.exchange;
    if (relay !== undefined && this.relayView() !== undefined) {
      return [];
    }
    const {zone, seeds, address} = this.settings;
    const now = this.clock.now();
    const near = this.topology
      .liveMembers(now)
      .filter(one => one.zone === zone);
    return [...seeds, ...near.map(one => one.address)].filter(
      one =>
        one !== address &&
        this.topology.timeSinceHeard(one, now) > LINK_SILENCE,
    );
  }

  private retry(address: string, content: BeatContent, now: Millis): void {
    const triedAt = this.triedAt.get(address) ?? -Infinity;
    if (now - triedAt < SEED_INTERVAL) {
      return;
    }
    this.triedAt.set(address, now);
    this.fleet.closeLink(address, 'silent');
    this.tell(address, content, now, true);
  }

  private tell(
    address: string,
    content: BeatContent,
    now: Millis,
    asks: boolean,
    zone = this.settings.zone,
  ): void {
    const {relay, meshPeers} = this.exchange;
    const due =
      now - (this.toldAt.get(address) ?? -Infinity) >= MEMBERS_INTERVAL;
    if (due) {
      this.toldAt.set(address, now);
    }
    const {instance, capacity} = this.settings;
    this.fleet.send(address, {
      kind: PeerMessageKind.Beat,
      instance,
      capacity,
      ...content,
      follows: address === relay,
      relays: meshPeers.includes(address),
      asks,
      count: this.count(),
      members: due ? this.topology.membersToReport(now, zone) : [],
    });
  }

  private relayView(): RelayView | undefined {
    const {relay} = this.exchange;
    const view = relay === undefined ? undefined : this.relayViews.get(relay);
    const fresh = view && this.clock.now() - view.at < MEMBER_TIMEOUT;
    return fresh ? view : undefined;
  }
}

/** Addresses of all with whom news are exchanged. */
function allPartners({
  relay,
  followers,
  meshPeers,
}: ExchangePartners): string[] {
  const above = relay === undefined ? [] : [relay];
  return [...above, ...followers, ...meshPeers];
}
