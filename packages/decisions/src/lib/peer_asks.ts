/** Questions to other entries for tokens, and which entries may be dealt with. */
import {affinity} from './routing.js';
import type {Millis} from './clock.js';
import type {PeerHolder} from './wallet_messages.js';

/** How long peers have to answer. */
const PEER_PATIENCE: Millis = 150;

interface Ask {
  at: Millis;
  awaited: Set<string>;
}

/** Questions to other entries. */
export class PeerAsks {
  private peers: PeerHolder[] = [];
  private readonly closed = new Set<string>();
  private readonly asks = new Map<string, Ask>();
  private turn = 0;

  constructor(
    private readonly most: number,
    private readonly zone: string,
  ) {}

  /** Sets the live peers. */
  setPeers(peers: PeerHolder[]): void {
    this.peers = peers;
  }

  /** Never deals with a holder again. */
  close(holder: string): void {
    this.closed.add(holder);
  }

  /** Whether a holder was closed. */
  isClosed(holder: string): boolean {
    return this.closed.has(holder);
  }

  /**
   * The peer that keeps copies of charges of a partition. All entries of a
   * zone agree on it, so that one peer writes the charges of many; it is in
   * another zone, so that a zone's loss does not take owner and copy.
   */
  keeper(partition: number): string | undefined {
    const far = this.open().filter(peer => peer.zone !== this.zone);
    let best: string | undefined;
    let bestRank = -1;
    for (const {holder} of far.length > 0 ? far : this.open()) {
      const rank = affinity(String(partition), holder);
      if (rank > bestRank) {
        best = holder;
        bestRank = rank;
      }
    }
    return best;
  }

  private open(): PeerHolder[] {
    return this.peers.filter(peer => !this.closed.has(peer.holder));
  }

  /** When peers were last asked for a budget. */
  askedAt(budget: string): Millis {
    return this.asks.get(budget)?.at ?? -Infinity;
  }

  /** Notes a question for a budget; returns whom to ask. */
  ask(budget: string, now: Millis): string[] {
    const open = this.open();
    const count = Math.min(this.most, open.length);
    const picked: string[] = [];
    for (let i = 0; i < count; i++) {
      const peer = open[(this.turn + i) % open.length] as PeerHolder;
      picked.push(peer.holder);
    }
    this.turn += count;
    this.asks.set(budget, {at: now, awaited: new Set(picked)});
    return picked;
  }

  /** Notes a peer's answer. */
  answered(budget: string, peer: string): void {
    this.asks.get(budget)?.awaited.delete(peer);
  }

  /** Whether a question asked at `since` or later was answered by all. */
  done(budget: string, since: Millis, now: Millis): boolean {
    const ask = this.asks.get(budget);
    if (ask === undefined || ask.at < since) {
      return false;
    }
    return ask.awaited.size === 0 || now - ask.at >= PEER_PATIENCE;
  }
}
