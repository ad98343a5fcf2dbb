/**
 * Which kinds of messages each peer understands. A gateway of an earlier version
 * closes the link on a message of a kind that it does not know.
 */
import {PeerMessageKind} from './peer_message.js';
import type {PeerMessage} from './peer_message.js';

/** The heartbeat of a peer. */
type Heartbeat = PeerMessage & {kind: PeerMessageKind.Heartbeat};

/**
 * Fields of heartbeats that came with a kind of message: a peer that sends one
 * understands that kind.
 */
const MARKING_FIELDS: Partial<Record<PeerMessageKind, keyof Heartbeat>> = {
  [PeerMessageKind.Evacuations]: 'evacuations',
  [PeerMessageKind.EvacuationsRequest]: 'evacuations',
  [PeerMessageKind.StreamBeginning]: 'verdicts',
  [PeerMessageKind.StreamQuery]: 'verdicts',
  [PeerMessageKind.UpstreamLeaving]: 'era',
  [PeerMessageKind.UpstreamBrittle]: 'partitioned',
  [PeerMessageKind.UpstreamCold]: 'knowsCold',
};

/** What is known of the versions of the peers. */
export class PeerVersions {
  /** Kinds that each peer does not understand, by its address. */
  private readonly unknownKinds = new Map<string, Set<PeerMessageKind>>();

  /** Records what the heartbeat of a peer tells of its version. */
  recordHeartbeat(address: string, heartbeat: Heartbeat): void {
    const kinds = Object.values(PeerMessageKind).filter(kind => {
      const field = MARKING_FIELDS[kind];
      return field !== undefined && heartbeat[field] === undefined;
    });
    this.unknownKinds.set(address, new Set(kinds));
  }

  /** Whether a peer understands a kind of message; true if it is not known. */
  understands(address: string, kind: PeerMessageKind): boolean {
    return this.unknownKinds.get(address)?.has(kind) !== true;
  }
}
