/** The other entries as sources of tokens and as keepers of copies. */
import {affinity} from './routing.js';
import type {PeerHolder} from './wallet_messages.js';

/** The other entries that a wallet deals with. */
export class PeerTable {
  private peers: PeerHolder[] = [];
  private readonly closed = new Set<string>();
  private turn = 0;

  constructor(
    private readonly self: PeerHolder,
    private readonly most: number,
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
   * The entry that takes tokens of a partition from the ledger for all, so
   * that they do not race; this entry itself may be it. Only a preference:
   * compare-and-swap decides, whoever writes.
   */
  home(partition: number): string {
    const home = best([...this.open(), this.self], partition);
    return home ?? this.self.holder;
  }

  /**
   * The peer that keeps copies of charges of a partition. All entries of a
   * zone agree on it, so that one peer writes the charges of many; it is in
   * another zone, so that a zone's loss does not take owner and copy.
   */
  keeper(partition: number): string | undefined {
    const open = this.open();
    const far = open.filter(peer => peer.zone !== this.self.zone);
    return best(far.length > 0 ? far : open, partition);
  }

  /** Picks peers to ask for what they have left. */
  pick(except: string): string[] {
    const open = this.open().filter(peer => peer.holder !== except);
    const count = Math.min(this.most, open.length);
    const picked: string[] = [];
    for (let i = 0; i < count; i++) {
      const peer = open[(this.turn + i) % open.length] as PeerHolder;
      picked.push(peer.holder);
    }
    this.turn += count;
    return picked;
  }

  private open(): PeerHolder[] {
    return this.peers.filter(peer => !this.closed.has(peer.holder));
  }
}

/** The highest of a rendezvous hash. */
function best(peers: PeerHolder[], partition: number): string | undefined {
  let found: string | undefined;
  let foundRank = -1;
  for (const {holder} of peers) {
    const rank = affinity(String(partition), holder);
    if (rank > foundRank) {
      found = holder;
      foundRank = rank;
    }
  }
  return found;
}
