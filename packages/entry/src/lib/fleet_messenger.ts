/** Messages between this entry and its peers. */
import {WalletEventKind} from '@citrontrestle/decisions';
import {MessageKind} from '@citrontrestle/fleet';
import type {Clock, Peer, SuspectRequests} from '@citrontrestle/decisions';
import type {
  FleetLinks,
  FleetMessageHandler,
  EntryIdentity,
  Message,
} from '@citrontrestle/fleet';
import type {ConfigurationTask} from './configuration_task.js';
import type {MembershipTask} from './membership_task.js';
import type {UpstreamTask} from './upstream_task.js';
import type {WalletTask} from './wallet_task.js';

/** The tasks that received messages are passed to. */
export interface FleetMessengerDependencies {
  clock: Clock;
  suspectRequests: SuspectRequests;
  wallet: WalletTask;
  upstreams: UpstreamTask;
  configuration: ConfigurationTask;
  membership(): MembershipTask | undefined;
}

type MessageOf<K extends MessageKind> = Extract<Message, {kind: K}>;

/** Sends messages to peers and passes received ones to the tasks. */
export class FleetMessenger implements FleetMessageHandler<Message> {
  private links: FleetLinks<Message> | undefined;
  /** Address of each entry that has sent a message, by its holder id. */
  private readonly addressesByHolder = new Map<string, string>();

  constructor(private readonly dependencies: FleetMessengerDependencies) {}

  /** Sets the links to send over; until then messages are dropped. */
  setLinks(links: FleetLinks<Message>): void {
    this.links = links;
  }

  /**
   * Sends to the run of an entry with a holder id. Drops the message if that is
   * unknown, or if another run has its address: tokens are for one run.
   */
  sendTo(holder: string, message: Message): void {
    const address = this.addressesByHolder.get(holder);
    if (address !== undefined) {
      this.links?.send(address, message, holder);
    }
  }

  /** Sends to every live peer. */
  broadcast(message: Message): void {
    for (const peer of this.dependencies.membership()?.livePeers() ?? []) {
      this.links?.send(peer.address, message);
    }
  }

  /** Sends a probe to the entry at an address, which replies if it is alive. */
  probe(address: string): void {
    this.links?.send(address, this.createProbeMessage(MessageKind.Probe));
  }

  /** Tells the wallet which peers it may exchange tokens and charges with. */
  updatePeers(livePeers: Peer[]): void {
    const peers = livePeers.flatMap(({holder, zone}) =>
      holder === undefined ? [] : [{holder, zone}],
    );
    this.dependencies.wallet.handle({kind: WalletEventKind.Peers, peers});
  }

  /** Handles a message from a peer; any message shows that it is alive. */
  onMessage(from: EntryIdentity, message: Message): void {
    this.addressesByHolder.set(from.holder, from.address);
    const membership = this.dependencies.membership();
    membership?.recordMessage(from.address, from.zone, from.holder);
    const handler = this.handlers[message.kind] as (
      from: EntryIdentity,
      message: Message,
    ) => void;
    handler(from, message);
  }

  private createProbeMessage(
    kind: MessageKind.Probe | MessageKind.ProbeReply,
  ): Message {
    return {kind, generation: this.dependencies.configuration.generation()};
  }

  /** Requests the configuration from a peer if it has a newer generation. */
  private requestNewerConfiguration(
    from: EntryIdentity,
    generation: number,
  ): void {
    const ownGeneration = this.dependencies.configuration.generation();
    if (generation > ownGeneration) {
      const kind = MessageKind.ConfigurationRequest;
      this.links?.send(from.address, {kind, generation: ownGeneration});
    }
  }

  private readonly handlers: {
    [K in MessageKind]: (from: EntryIdentity, message: MessageOf<K>) => void;
  } = {
    [MessageKind.Probe]: (from, {generation}) => {
      const reply = this.createProbeMessage(MessageKind.ProbeReply);
      this.links?.send(from.address, reply);
      this.requestNewerConfiguration(from, generation);
    },
    [MessageKind.ProbeReply]: (from, {generation}) =>
      this.requestNewerConfiguration(from, generation),
    [MessageKind.TokenRequest]: ({holder}, {budget, tokens}) =>
      this.dependencies.wallet.handle({
        kind: WalletEventKind.PeerAsk,
        from: holder,
        budget,
        tokens,
      }),
    [MessageKind.TokenGrant]: ({holder}, {budget, total, state}) =>
      this.dependencies.wallet.handle({
        kind: WalletEventKind.PeerGive,
        from: holder,
        budget,
        total,
        state,
      }),
    [MessageKind.SettlementCopy]: ({holder}, {settlement}) =>
      this.dependencies.wallet.handle({
        kind: WalletEventKind.PeerCopy,
        from: holder,
        settlement,
      }),
    [MessageKind.SettlementCopied]: ({holder}, {digest}) =>
      this.dependencies.wallet.handle({
        kind: WalletEventKind.PeerCopied,
        from: holder,
        digest,
      }),
    [MessageKind.SettlementDrop]: ({holder}, {digests}) =>
      this.dependencies.wallet.handle({
        kind: WalletEventKind.PeerDrop,
        from: holder,
        digests,
      }),
    [MessageKind.EntryLeaving]: ({holder}) =>
      this.dependencies.membership()?.markLeaving(holder),
    [MessageKind.UpstreamLeaving]: (_from, {upstream}) =>
      this.dependencies.upstreams.table.markLeaving(upstream),
    [MessageKind.SuspectRequest]: (_from, {fingerprint, upstream}) => {
      const now = this.dependencies.clock.now();
      this.dependencies.suspectRequests.recordFailure(
        fingerprint,
        upstream,
        now,
      );
    },
    [MessageKind.ConfigurationRequest]: (from, {generation}) => {
      const configuration = this.dependencies.configuration.get();
      if (configuration && configuration.head.generation > generation) {
        const kind = MessageKind.ConfigurationReply;
        this.links?.send(from.address, {kind, configuration});
      }
    },
    [MessageKind.ConfigurationReply]: (_from, {configuration}) =>
      this.dependencies.configuration.acceptFromPeer(configuration),
  };
}
