/** Questions to other entries for tokens, and which entries may be dealt with. */
import type {Millis} from './clock.js';

/** How long peers have to answer. */
const PEER_PATIENCE: Millis = 150;

interface Ask {
  at: Millis;
  awaited: Set<string>;
}

/** Questions to other entries. */
export class PeerAsks {
  private peers: string[] = [];
  private readonly closed = new Set<string>();
  private readonly asks = new Map<string, Ask>();
  private turn = 0;

  constructor(private readonly most: number) {}

  /** Sets the peers, best keeper of copies first. */
  setPeers(peers: string[]): void {
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

  /** The peer that keeps copies of this entry's charges. */
  keeper(): string | undefined {
    return this.peers.find(peer => !this.closed.has(peer));
  }

  /** When peers were last asked for a budget. */
  askedAt(budget: string): Millis {
    return this.asks.get(budget)?.at ?? -Infinity;
  }

  /** Notes a question for a budget; returns whom to ask. */
  ask(budget: string, now: Millis): string[] {
    const open = this.peers.filter(peer => !this.closed.has(peer));
    const count = Math.min(this.most, open.length);
    const picked: string[] = [];
    for (let i = 0; i < count; i++) {
      picked.push(open[(this.turn + i) % open.length] as string);
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
