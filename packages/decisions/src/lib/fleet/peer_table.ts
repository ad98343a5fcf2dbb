/** The other entries as sources of tokens and as holders of charge copies. */
import {affinityRank} from '../placement/routing.js';
import type {PeerHolder} from '../budgets/wallet_messages.js';

/** The other entries with which a wallet exchanges tokens and charges. */
export class PeerTable {
  private peers: PeerHolder[] = [];
  private readonly closedHolders = new Set<string>();
  /** Position in the rotation of peers that are asked for tokens. */
  private nextPeer = 0;

  constructor(
    private readonly self: PeerHolder,
    /** Maximum number of peers to ask at once. */
    private readonly maxAsked: number,
  ) {}

  /** Replaces the list of live peers. */
  setPeers(peers: PeerHolder[]): void {
    this.peers = peers;
  }

  /** Excludes a holder that an operator closed, for good. */
  markClosed(holder: string): void {
    this.closedHolders.add(holder);
  }

  /** Whether a holder is excluded because an operator closed it. */
  isClosed(holder: string): boolean {
    return this.closedHolders.has(holder);
  }

  /**
   * Returns the holder that takes tokens of a partition from the ledger on
   * behalf of all entries, so that they don't compete for the same value; it
   * may be this entry. This is only a preference: every entry may write, and
   * compare-and-swap resolves conflicts.
   */
  homeOf(partition: number): string {
    const home = highestRanked([...this.openPeers(), this.self], partition);
    return home ?? this.self.holder;
  }

  /**
   * Returns the peer that keeps copies of charges to a partition; undefined if
   * there are no peers. All entries of a zone choose the same one, so that one
   * peer writes the charges of many. It is in another zone if possible, so that
   * the loss of a zone doesn't destroy a charge along with its copy.
   */
  copyHolderOf(partition: number): string | undefined {
    const candidates = this.openPeers();
    const inOtherZones = candidates.filter(
      peer => peer.zone !== this.self.zone,
    );
    return highestRanked(
      inOtherZones.length > 0 ? inOtherZones : candidates,
      partition,
    );
  }

  /** Returns the next peers, other than `except`, to ask for unused tokens. */
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

/** Returns the holder with the highest rank by rendezvous hashing. */
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
