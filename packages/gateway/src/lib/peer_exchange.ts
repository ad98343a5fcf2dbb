/** What the gateways tell each other, and what each makes of it. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {PeerMessageKind} from './peer_message.js';
import {FeedMode} from './store_feed.js';
import type {PrepaidBudgets} from './prepaid_budgets.js';
import type {CrashWatch} from './crash_watch.js';
import type {PeerMessage} from './peer_message.js';
import type {PeerNetwork} from './peer_network.js';
import type {StateSync} from './state_sync.js';
import type {TokenExchange} from './token_exchange.js';
import type {
  Clock,
  Millis,
  Placement,
  RouteTable,
  UpstreamLoad,
  UpstreamUpdate,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** A message of one kind. */
type MessageOf<K extends PeerMessageKind> = PeerMessage & {kind: K};

/** Handles one kind of message from the peer at an address. */
type Handlers = {
  readonly [K in PeerMessageKind]: (
    message: MessageOf<K>,
    from: string,
  ) => void;
};

/** The tasks that the messages concern. */
export interface PeerExchangeDependencies {
  clock: Clock;
  log: Log;
  table: RouteTable;
  registry: UpstreamRegistry;
  placement: Placement;
  state: StateSync;
  budgets: PrepaidBudgets;
  tokens: TokenExchange;
  suspects: CrashWatch;
  peers: PeerNetwork;
}

/** Least interval in which peers hear of placed load. */
const MIN_LOAD_INTERVAL: Millis = 50;

/** Interval of news of load for each instance that must be told. */
const LOAD_INTERVAL_PER_PARTNER: Millis = 12;

/** Messages of load that are sent once more when nothing has changed. */
const LOAD_REPEATS = 1;

/** Age of what a relay saw of the store after which it is not relied on. */
const MAX_RELAYED_STORE_SILENCE: Millis = 1_500;

/** Largest configuration that is taken from a peer, in bytes. */
const MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024;

/** What was last told to a peer of placed load. */
interface SentLoad {
  json: string;
  repeatsLeft: number;
}

/** The exchange of one gateway with the others. */
export class PeerExchange {
  private readonly sentLoads = new Map<string, SentLoad>();
  private compressedConfiguration:
    {value: Buffer; bytes: Uint8Array<ArrayBuffer>} | undefined;
  private readonly handlers: Handlers = {
    [PeerMessageKind.Heartbeat]: (message, from) =>
      this.handleHeartbeat(message, from),
    [PeerMessageKind.Load]: (message, from) => this.handleLoad(message, from),
    [PeerMessageKind.ConfigurationRequest]: (_message, from) =>
      this.sendConfiguration(from),
    [PeerMessageKind.Configuration]: ({value}, from) =>
      this.handleConfiguration(value, from),
    [PeerMessageKind.UpstreamsRequest]: (_message, from) =>
      this.sendUpstreams(from),
    [PeerMessageKind.UpstreamUpdates]: (message, from) =>
      this.handleUpstreamUpdates(message, from),
    [PeerMessageKind.TokenRequest]: (message, from) =>
      this.dependencies.tokens.handleRequest(from, message),
    [PeerMessageKind.TokenTransfer]: ({account, tokens}) =>
      this.dependencies.budgets.receiveFromPeer(account, tokens),
    [PeerMessageKind.TokenRefusal]: ({account, tokens, exhausted}) =>
      this.dependencies.budgets.recordRelayRefusal(account, tokens, exhausted),
    [PeerMessageKind.SuspectReport]: (message, from) => {
      this.dependencies.suspects.recordCrash(
        message.fingerprint,
        message.upstream,
      );
      this.dependencies.peers.forwardBroadcast(from, message);
    },
    [PeerMessageKind.SuspectCleared]: (message, from) => {
      this.dependencies.suspects.clear(message.fingerprint);
      this.dependencies.peers.forwardBroadcast(from, message);
    },
  };

  constructor(private readonly dependencies: PeerExchangeDependencies) {}

  /** Takes a message of a peer. */
  handleMessage<K extends PeerMessageKind>(
    from: string,
    message: MessageOf<K>,
  ): void {
    const handle: (message: MessageOf<K>, from: string) => void =
      this.handlers[message.kind as K];
    handle(message, from);
  }

  /** How closely this instance has to follow the store itself. */
  feedMode(): FeedMode {
    const {peers} = this.dependencies;
    const {relay, followers} = peers.partners();
    if (followers.length > 0) {
      return FeedMode.Relay;
    }
    const storeSilence = peers.relayStoreSilence();
    if (relay === undefined || storeSilence === undefined) {
      return FeedMode.Standalone;
    }
    if (storeSilence < MAX_RELAYED_STORE_SILENCE) {
      return FeedMode.Off;
    }
    const isRelayResponsive = peers.responsiveRelay() !== undefined;
    return isRelayResponsive ? FeedMode.Fallback : FeedMode.Standalone;
  }

  /** Passes news of upstreams on to those who rely on this instance. */
  forwardUpstreamUpdates(
    updates: UpstreamUpdate[],
    revisionBefore: number,
    afterOutage: boolean,
  ): void {
    const {peers} = this.dependencies;
    const kind = PeerMessageKind.UpstreamUpdates;
    for (const address of peers.partners().followers) {
      peers.send(address, {
        kind,
        news: updates,
        after: revisionBefore,
        lapsed: afterOutage,
      });
    }
  }

  /** Forgets what a peer told that is no longer a partner. */
  forgetPartner(address: string): void {
    this.sentLoads.delete(address);
    this.dependencies.placement.setPeerLoad(
      address,
      new Map(),
      this.dependencies.clock.now(),
    );
  }

  /** Tells the partners from time to time what is placed where. */
  sendLoadPeriodically(): void {
    const {placement, peers, clock} = this.dependencies;
    const {relay, followers, meshPeers} = peers.partners();
    const now = clock.now();
    const ownAndFollowerLoad = placement.loadIncludingPeers(followers, now);
    for (const address of relay === undefined ? meshPeers : [relay]) {
      this.sendLoadIfChanged(address, ownAndFollowerLoad);
    }
    for (const address of followers) {
      this.sendLoadIfChanged(
        address,
        placement.loadExcludingPeer(address, now),
      );
    }
    const partnerCount = followers.length + meshPeers.length;
    const interval = Math.max(
      MIN_LOAD_INTERVAL,
      LOAD_INTERVAL_PER_PARTNER * partnerCount,
    );
    setTimeout(() => this.sendLoadPeriodically(), interval);
  }

  private sendLoadIfChanged(
    address: string,
    load: ReadonlyMap<string, UpstreamLoad>,
  ): void {
    const loads = [...load].map(
      ([id, {running, prefillTime}]): [string, number, number] => [
        id,
        running,
        Math.round(prefillTime),
      ],
    );
    const json = JSON.stringify(loads);
    const lastSent = this.sentLoads.get(address);
    const changed = json !== lastSent?.json;
    if (changed || lastSent.repeatsLeft > 0) {
      const repeatsLeft = changed ? LOAD_REPEATS : lastSent.repeatsLeft - 1;
      this.sentLoads.set(address, {json, repeatsLeft});
      this.dependencies.peers.send(address, {
        kind: PeerMessageKind.Load,
        loads,
      });
    }
  }

  private handleHeartbeat(
    {version, revision}: MessageOf<PeerMessageKind.Heartbeat>,
    from: string,
  ): void {
    const {table, registry, peers} = this.dependencies;
    if (version > table.version()) {
      peers.send(from, {kind: PeerMessageKind.ConfigurationRequest});
    }
    if (revision > registry.revision()) {
      peers.send(from, {kind: PeerMessageKind.UpstreamsRequest});
    }
  }

  private handleLoad(
    message: MessageOf<PeerMessageKind.Load>,
    from: string,
  ): void {
    const loads = new Map(
      message.loads.map(([id, running, prefillTime]) => [
        id,
        {running, prefillTime},
      ]),
    );
    this.dependencies.placement.setPeerLoad(
      from,
      loads,
      this.dependencies.clock.now(),
    );
  }

  private sendConfiguration(recipient: string): void {
    const value = this.dependencies.state.configurationValue();
    if (value === undefined) {
      return;
    }
    if (this.compressedConfiguration?.value !== value) {
      const bytes = Uint8Array.from(deflateRawSync(value));
      this.compressedConfiguration = {value, bytes};
    }
    const kind = PeerMessageKind.Configuration;
    this.dependencies.peers.send(recipient, {
      kind,
      value: this.compressedConfiguration.bytes,
    });
  }

  private handleConfiguration(bytes: Uint8Array, from: string): void {
    const {state, log} = this.dependencies;
    try {
      const maxOutputLength = MAX_CONFIGURATION_BYTES;
      state.applyConfiguration(inflateRawSync(bytes, {maxOutputLength}), from);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error('configuration.unreadable', {source: from, reason});
    }
  }

  private sendUpstreams(recipient: string): void {
    const {registry, state, peers} = this.dependencies;
    peers.send(recipient, {
      kind: PeerMessageKind.UpstreamUpdates,
      news: registry.allUpdates(),
      after: FULL_LIST,
      lapsed: state.hadRecentOutage(),
    });
  }

  private handleUpstreamUpdates(
    {news, after, lapsed}: MessageOf<PeerMessageKind.UpstreamUpdates>,
    from: string,
  ): void {
    const {registry, state, peers} = this.dependencies;
    if (after > registry.revision()) {
      // Something between was missed: later news would hide it.
      peers.send(from, {kind: PeerMessageKind.UpstreamsRequest});
      return;
    }
    const updates = news.map(({id, revision, listing}) => ({
      id,
      revision,
      listing,
    }));
    state.applyUpdates(updates, from, lapsed);
  }
}

/** Marks news that are a whole list. */
const FULL_LIST = -1;
