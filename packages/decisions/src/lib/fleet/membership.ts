/**
 * Tracks which other entries are alive. The instance list lags behind, so it
 * only provides candidates; a peer counts as alive when messages from it
 * arrive, be they answers to probes or others.
 */
import {SECOND} from '../base/clock.js';
import type {Millis} from '../base/clock.js';

/** Another entry, known from the instance list or from its own messages. */
export interface Peer {
  /** Address for links between entries, as `ip:port`. */
  address: string;
  zone: string;
  /** Identifier of its incarnation; undefined until its first message. */
  holder: string | undefined;
  /** When its last message arrived; `-Infinity` before the first. */
  lastHeardAt: Millis;
  /** Whether it announced that it is shutting down. */
  leaving: boolean;
}

/**
 * A peer silent for this long counts as not running. This doesn't affect its
 * shares in the ledger.
 */
const PEER_TIMEOUT: Millis = 3 * SECOND;

/** The other entries as known to one entry. */
export class Membership {
  private readonly peers = new Map<string, Peer>();

  /** @param probeCount Maximum number of peers to probe at once. */
  constructor(private readonly probeCount: number) {}

  /**
   * Adds peers that are new in the instance list, and removes those that are
   * neither listed nor alive. Other peers stay as they are.
   */
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

  /** Records a message from a peer, which is added if it is unknown. */
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

  /** Records that a peer is shutting down. */
  markLeaving(holder: string): void {
    for (const peer of this.peers.values()) {
      peer.leaving ||= peer.holder === holder;
    }
  }

  /**
   * Returns addresses to probe, chosen at random.
   * @param random returns a number from 0 to below 1.
   */
  pickProbeTargets(random: () => number): string[] {
    const addresses = [...this.peers.keys()];
    const picked: string[] = [];
    while (picked.length < this.probeCount && addresses.length > 0) {
      const index = Math.floor(random() * addresses.length);
      picked.push(...addresses.splice(index, 1));
    }
    return picked;
  }

  /** Whether an incarnation of an entry sent a message within the timeout. */
  isAlive(holder: string, now: Millis): boolean {
    for (const peer of this.peers.values()) {
      if (peer.holder === holder) {
        return now - peer.lastHeardAt <= PEER_TIMEOUT;
      }
    }
    return false;
  }

  /** Returns the peers that are alive and not leaving. */
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
