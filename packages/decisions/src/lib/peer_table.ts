/** The other entries as sources of tokens and as keepers of copies. */
import {affinityRank} from './routing.js';
import type {PeerHolder} from './wallet_messages.js';

/** The other entries that a wallet deals with. */
export class PeerTable {
  private peers: PeerHolder[] = [];
  private readonly closedHolders = new Set<string>();
  private nextPeer = 0;

  constructor(
    private readonly self: PeerHolder,
    private readonly maxAsked: number,
  ) {}

  /** Sets the live peers. */
  setPeers(peers: PeerHolder[]): void {
    this.peers = peers;
  }

  /** Never deals with a holder again. */
  markClosed(holder: string): void {
    this.closedHolders.add(holder);
  }

  /** Whether a holder was closed. */
  isClosed(holder: string): boolean {
    return this.closedHolders.has(holder);
  }

  /**
   * The entry that takes tokens of a partition from the ledger for all, so
   * that they do not race; this entry itself may be it. Only a preference:
   * compare-and-swap decides, whoever writes.
   */
  homeOf(partition: number): string {
    const home = highestRanked([...this.openPeers(), this.self], partition);
    return home ?? this.self.holder;
  }

  /**
   * The peer that keeps copies of charges of a partition. All entries of a
   * zone agree on it, so that one peer writes the charges of many; it is in
   * another zone, so that a zone's loss does not take owner and copy.
   */
  keeperOf(partition: number): string | undefined {
    const candidates = this.openPeers();
    const inOtherZones = candidates.filter(
      peer => peer.zone !== this.self.zone,
    );
    return highestRanked(
      inOtherZones.length > 0 ? inOtherZones : candidates,
      partition,
    );
  }

  /** Picks peers to ask for what they have left. */
  pickPeersToAsk(except: string): string[] {
    const candidates = this.openPeers().filter(peer => peer.holder !== except);
    const count = Math.min(this.maxAsked, candidates.length);
    const picked: string[] = [];
    for (let i = 0; i < count; i++) {
      const peer = candidates[
        (this.nextPeer + i) % candidates.length
      ] as PeerHolder;
      picked.push(peer.holder);
    }
    this.nextPeer += count;
    return picked;
  }

  private openPeers(): PeerHolder[] {
    return this.peers.filter(peer => !this.closedHolders.has(peer.holder));
  }
}

/** The highest of a rendezvous hash. */
function highestRanked(
  peers: PeerHolder[],
  partition: number,
): string | undefined {
  let highest: string | undefined;
  let highestRank = -1;
  for (const {holder} of peers) {
    const rank = affinityRank(String(partition), holder);
    if (rank > highestRank) {
      highest = holder;
      highestRank = rank;
    }
  }
  return highest;
}
