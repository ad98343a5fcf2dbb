/** Passes messages between the peers and the tasks of this entry. */
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

/** The tasks that messages are for. */
export interface FleetSurroundings {
  clock: Clock;
  suspects: SuspectRequests;
  wallet: WalletTask;
  upstreams: UpstreamTask;
  configuration: ConfigurationTask;
  members(): MembershipTask | undefined;
}

type MessageOf<K extends MessageKind> = Extract<Message, {kind: K}>;

/** Passes messages between the peers and the tasks of this entry. */
export class FleetTask implements FleetMessageHandler<Message> {
  private fleet: FleetLinks<Message> | undefined;
  private readonly addresses = new Map<string, string>();

  constructor(private readonly around: FleetSurroundings) {}

  /** Sets the links to send over. */
  attach(fleet: FleetLinks<Message>): void {
    this.fleet = fleet;
  }

  /** Sends to the entry of a holder. */
  sendTo(holder: string, message: Message): void {
    const address = this.addresses.get(holder);
    if (address !== undefined) {
      this.fleet?.send(address, message);
    }
  }

  /** Sends to every live peer. */
  tellAll(message: Message): void {
    for (const peer of this.around.members()?.live() ?? []) {
      this.fleet?.send(peer.address, message);
    }
  }

  /** Probes the entry at an address. */
  probe(address: string): void {
    this.fleet?.send(address, this.greeting(MessageKind.Probe));
  }

  /** Tells the wallet which peers it may deal with. */
  peersChanged(live: Peer[]): void {
    const peers = live.flatMap(({holder, zone}) =>
      holder === undefined ? [] : [{holder, zone}],
    );
    this.around.wallet.handle({kind: WalletEventKind.Peers, peers});
  }

  /** Takes a message; called by the links. */
  onMessage(from: EntryIdentity, message: Message): void {
    this.addresses.set(from.holder, from.address);
    const members = this.around.members();
    members?.heard(from.address, from.zone, from.holder);
    const take = this.handlers[message.kind] as (
      from: EntryIdentity,
      message: Message,
    ) => void;
    take(from, message);
  }

  private greeting(kind: MessageKind.Probe | MessageKind.ProbeReply): Message {
    return {kind, generation: this.around.configuration.generation()};
  }

  /** Fetches the configuration from a peer that has a newer one. */
  private compare(from: EntryIdentity, generation: number): void {
    const own = this.around.configuration.generation();
    if (generation > own) {
      const kind = MessageKind.ConfigurationRequest;
      this.fleet?.send(from.address, {kind, generation: own});
    }
  }

  private readonly handlers: {
    [K in MessageKind]: (from: EntryIdentity, message: MessageOf<K>) => void;
  } = {
    [MessageKind.Probe]: (from, {generation}) => {
      const answer = this.greeting(MessageKind.ProbeReply);
      this.fleet?.send(from.address, answer);
      this.compare(from, generation);
    },
    [MessageKind.ProbeReply]: (from, {generation}) =>
      this.compare(from, generation),
    [MessageKind.TokenRequest]: ({holder}, {budget, tokens}) =>
      this.around.wallet.handle({
        kind: WalletEventKind.PeerAsk,
        from: holder,
        budget,
        tokens,
      }),
    [MessageKind.TokenGrant]: ({holder}, {budget, total, state}) =>
      this.around.wallet.handle({
        kind: WalletEventKind.PeerGive,
        from: holder,
        budget,
        total,
        state,
      }),
    [MessageKind.SettlementCopy]: ({holder}, {settlement}) =>
      this.around.wallet.handle({
        kind: WalletEventKind.PeerCopy,
        from: holder,
        settlement,
      }),
    [MessageKind.SettlementCopied]: ({holder}, {digest}) =>
      this.around.wallet.handle({
        kind: WalletEventKind.PeerCopied,
        from: holder,
        digest,
      }),
    [MessageKind.SettlementDrop]: ({holder}, {digests}) =>
      this.around.wallet.handle({
        kind: WalletEventKind.PeerDrop,
        from: holder,
        digests,
      }),
    [MessageKind.EntryLeaving]: ({holder}) =>
      this.around.members()?.leaves(holder),
    [MessageKind.UpstreamLeaving]: (_from, {upstream}) =>
      this.around.upstreams.table.markLeaving(upstream),
    [MessageKind.SuspectRequest]: (_from, {fingerprint, upstream}) => {
      const now = this.around.clock.now();
      this.around.suspects.recordFailure(fingerprint, upstream, now);
    },
    [MessageKind.ConfigurationRequest]: (from, {generation}) => {
      const configuration = this.around.configuration.get();
      if (configuration && configuration.head.generation > generation) {
        const kind = MessageKind.ConfigurationReply;
        this.fleet?.send(from.address, {kind, configuration});
      }
    },
    [MessageKind.ConfigurationReply]: (_from, {configuration}) =>
      this.around.configuration.offerUnchecked(configuration),
  };
}
