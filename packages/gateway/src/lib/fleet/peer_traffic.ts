/** Counts the messages between this gateway and the others. */
import type {PeerMessageKind} from './peer_message.js';

/** Messages of one kind, with the bytes of their frames. */
export interface MessageCounts {
  sent: number;
  sentBytes: number;
  received: number;
  receivedBytes: number;
}

const NO_MESSAGES: Readonly<MessageCounts> = {
  sent: 0,
  sentBytes: 0,
  received: 0,
  receivedBytes: 0,
};

/** The messages of this process by kind, since its start. */
export class PeerTraffic {
  private readonly counts = new Map<PeerMessageKind, MessageCounts>();
  /** The counts when `takeRecent` was called last. */
  private readonly takenCounts = new Map<PeerMessageKind, MessageCounts>();

  /** Counts a message that was written. */
  recordSent(kind: PeerMessageKind, bytes: number): void {
    const counts = this.countsOf(kind);
    counts.sent += 1;
    counts.sentBytes += bytes;
  }

  /** Counts a message that arrived. */
  recordReceived(kind: PeerMessageKind, bytes: number): void {
    const counts = this.countsOf(kind);
    counts.received += 1;
    counts.receivedBytes += bytes;
  }

  /** Returns the counts since the start by kind; none of kinds without messages. */
  totals(): ReadonlyMap<PeerMessageKind, Readonly<MessageCounts>> {
    return this.counts;
  }

  /** Returns the counts since the last call by kind, without zero ones. */
  takeRecent(): Map<PeerMessageKind, MessageCounts> {
    const recent = new Map<PeerMessageKind, MessageCounts>();
    for (const [kind, counts] of this.counts) {
      const taken = this.takenCounts.get(kind) ?? NO_MESSAGES;
      if (counts.sent > taken.sent || counts.received > taken.received) {
        recent.set(kind, difference(counts, taken));
      }
      this.takenCounts.set(kind, {...counts});
    }
    return recent;
  }

  private countsOf(kind: PeerMessageKind): MessageCounts {
    let counts = this.counts.get(kind);
    if (counts === undefined) {
      counts = {...NO_MESSAGES};
      this.counts.set(kind, counts);
    }
    return counts;
  }
}

function difference(
  counts: MessageCounts,
  earlier: Readonly<MessageCounts>,
): MessageCounts {
  return {
    sent: counts.sent - earlier.sent,
    sentBytes: counts.sentBytes - earlier.sentBytes,
    received: counts.received - earlier.received,
    receivedBytes: counts.receivedBytes - earlier.receivedBytes,
  };
}
