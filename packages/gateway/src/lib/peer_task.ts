/** Links to the other gateways: who lives, and what each has to tell. */
import {Fleet} from '@citrontrestle/fleet';
import {splitAddress} from '@citrontrestle/runtime';
import {PEER_MESSAGE_SCHEMA, PeerMessageKind} from './peer_message.js';
import type {PeerMessage} from './peer_message.js';
import type {FleetOwner, Identity} from '@citrontrestle/fleet';
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** What an instance tells in its beats. */
export interface BeatContent {
  version: number;
  revision: number;
  leaving: boolean;
}

/** What the task needs of its owner. */
export interface PeerOwner {
  content(): BeatContent;
  /** A message of the peer at an address. */
  heard(from: string, message: PeerMessage): void;
}

/** Settings of the links between instances. */
export interface PeerSettings {
  holder: string;
  instance: string;
  zone: string;
  /** Own address as `ip:port`. */
  address: string;
  /** Addresses of some instances as `ip:port`. */
  seeds: string[];
  key: string;
}

/** Least interval of beats to each peer. */
const BEAT_INTERVAL: Millis = 300;

/** Interval of beats for each peer that must be told. */
const BEAT_PAUSE: Millis = 10;

/** Silence after which a link is opened anew. */
const LINK_SILENCE: Millis = 1_500;

/** Silence after which a peer counts as not running. */
const PEER_SILENCE: Millis = 4_000;

/** Interval in which addresses that were never heard are tried. */
const SEED_INTERVAL: Millis = 1_500;

/** Silence after which an address is forgotten. */
const ADDRESS_MEMORY: Millis = 30_000;

interface Peer {
  heardAt: Millis;
  triedAt: Millis;
  leaving: boolean;
}

/** Keeps in touch with the other instances. */
export class PeerTask implements FleetOwner<PeerMessage> {
  private readonly fleet: Fleet<PeerMessage>;
  private readonly peers = new Map<string, Peer>();
  private readonly self: string;

  constructor(
    private readonly settings: PeerSettings,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: PeerOwner,
  ) {
    const {holder, zone, key, address} = settings;
    this.self = address;
    this.fleet = new Fleet(
      {holder, zone, key, ...splitAddress(address)},
      PEER_MESSAGE_SCHEMA,
      this,
      log,
    );
  }

  /** Starts to take links and to beat. */
  async start(): Promise<void> {
    await this.fleet.start();
    for (const seed of this.settings.seeds) {
      this.meet(seed);
    }
    this.beatOn();
  }

  /** Adds the address of an instance that may run. */
  meet(address: string): void {
    if (address !== this.self && !this.peers.has(address)) {
      const never = -Infinity;
      const peer = {heardAt: never, triedAt: never};
      this.peers.set(address, {...peer, leaving: false});
    }
  }

  /** Addresses of the peers that run. */
  live(): string[] {
    const now = this.clock.now();
    const live: string[] = [];
    for (const [address, peer] of this.peers) {
      if (now - peer.heardAt < PEER_SILENCE) {
        live.push(address);
      }
    }
    return live;
  }

  /** Addresses of the peers that were just heard and don't stop. */
  staying(): string[] {
    const now = this.clock.now();
    return this.live().filter(address => {
      const peer = this.peers.get(address);
      const silence = now - (peer?.heardAt ?? -Infinity);
      return peer?.leaving === false && silence < LINK_SILENCE;
    });
  }

  /** Sends a message to one peer; it may be lost. */
  send(address: string, message: PeerMessage): void {
    this.fleet.send(address, message);
  }

  /** Sends a message to all peers that run. */
  tellAll(message: PeerMessage): void {
    for (const address of this.live()) {
      this.fleet.send(address, message);
    }
  }

  /** Sends a beat now, as when the state has changed. */
  beat(): void {
    const now = this.clock.now();
    const message = this.beatMessage();
    for (const [address, peer] of this.peers) {
      const silence = now - peer.heardAt;
      if (silence > ADDRESS_MEMORY && peer.heardAt !== -Infinity) {
        this.peers.delete(address);
        continue;
      }
      if (silence > LINK_SILENCE) {
        this.retry(address, peer, message, now);
      } else {
        this.fleet.send(address, message);
      }
    }
  }

  /** Called by the links. */
  message(from: Identity, message: PeerMessage): void {
    this.meet(from.address);
    const peer = this.peers.get(from.address);
    if (peer === undefined) {
      return;
    }
    const silence = this.clock.now() - peer.heardAt;
    peer.heardAt = this.clock.now();
    if (silence > PEER_SILENCE) {
      this.log.info('peer.heard', {peer: from.address, holder: from.holder});
    }
    if (message.kind === PeerMessageKind.Beat) {
      peer.leaving = message.leaving;
      message.members.forEach(address => this.meet(address));
    }
    this.owner.heard(from.address, message);
  }

  /** Beats now and then again, less often with more peers. */
  private beatOn(): void {
    this.beat();
    const span = Math.max(BEAT_INTERVAL, BEAT_PAUSE * this.peers.size);
    setTimeout(() => this.beatOn(), span);
  }

  private retry(
    address: string,
    peer: Peer,
    message: PeerMessage,
    now: Millis,
  ): void {
    if (now - peer.triedAt < SEED_INTERVAL) {
      return;
    }
    peer.triedAt = now;
    this.fleet.drop(address, 'silent');
    this.fleet.send(address, message);
  }

  private beatMessage(): PeerMessage {
    const {version, revision, leaving} = this.owner.content();
    return {
      kind: PeerMessageKind.Beat,
      instance: this.settings.instance,
      version,
      revision,
      leaving,
      members: this.live(),
    };
  }
}
