/**
 * Which other entries are alive. The instance list lags, so it only names
 * candidates; probes and any other message are the evidence.
 */
import {SECOND} from './clock.js';
import type {Millis} from './clock.js';

/** Another entry as the instance list or its own messages name it. */
export interface Peer {
  /** Address for links between entries, as `ip:port`. */
  address: string;
  zone: string;
  /** Identity of its incarnation, once it said so. */
  holder: string | undefined;
  lastHeardAt: Millis;
  leaving: boolean;
}

/** A peer not heard from for so long is taken for gone, for routing only. */
const PEER_TIMEOUT: Millis = 3 * SECOND;

/** The other entries, as one entry knows them. */
export class Membership {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly probeCount: number) {}

  /** Takes the entries of the instance list; only adds and removes. */
  applyInstanceList(
    entries: {address: string; zone: string}[],
    now: Millis,
  ): void {
    const listedAddresses = new Set(entries.map(entry => entry.address));
    for (const [address, peer] of this.peers) {
      if (
        !listedAddresses.has(address) &&
        now - peer.lastHeardAt > PEER_TIMEOUT
      ) {
        this.peers.delete(address);
      }
    }
    for (const entry of entries) {
      if (!this.peers.has(entry.address)) {
        this.addPeer(entry.address, entry.zone);
      }
    }
  }

  /** Notes a message from a peer. */
  recordMessage(
    address: string,
    zone: string,
    holder: string,
    now: Millis,
  ): void {
    const peer = this.peers.get(address) ?? this.addPeer(address, zone);
    if (peer.holder !== holder) {
      peer.leaving = false;
    }
    peer.holder = holder;
    peer.lastHeardAt = now;
  }

  /** Notes that a peer is leaving. */
  markLeaving(holder: string): void {
    for (const peer of this.peers.values()) {
      peer.leaving ||= peer.holder === holder;
    }
  }

  /** Addresses to probe now. */
  pickProbeTargets(random: () => number): string[] {
    const addresses = [...this.peers.keys()];
    const picked: string[] = [];
    while (picked.length < this.probeCount && addresses.length > 0) {
      const index = Math.floor(random() * addresses.length);
      picked.push(...addresses.splice(index, 1));
    }
    return picked;
  }

  /** Whether an incarnation was heard lately. */
  isAlive(holder: string, now: Millis): boolean {
    for (const peer of this.peers.values()) {
      if (peer.holder === holder) {
        return now - peer.lastHeardAt <= PEER_TIMEOUT;
      }
    }
    return false;
  }

  /** Live peers. */
  livePeers(now: Millis): Peer[] {
    return [...this.peers.values()].filter(
      peer =>
        peer.holder !== undefined &&
        !peer.leaving &&
        now - peer.lastHeardAt <= PEER_TIMEOUT,
    );
  }

  private addPeer(address: string, zone: string): Peer {
    const peer: Peer = {
      address,
      zone,
      holder: undefined,
      lastHeardAt: -Infinity,
      leaving: false,
    };
    this.peers.set(address, peer);
    return peer;
  }
}
