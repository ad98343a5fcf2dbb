/** What the gateways tell each other, and what each makes of it. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {PeerMessageKind} from './peer_message.js';
import {FeedMode} from './store_feed.js';
import type {BudgetTask} from './budget_task.js';
import type {CrashWatch} from './crash_watch.js';
import type {PeerMessage} from './peer_message.js';
import type {PeerTask} from './peer_task.js';
import type {StateTask} from './state_task.js';
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
export interface ExchangeParts {
  clock: Clock;
  log: Log;
  table: RouteTable;
  registry: UpstreamRegistry;
  placement: Placement;
  state: StateTask;
  budgets: BudgetTask;
  tokens: TokenExchange;
  suspects: CrashWatch;
  peers: PeerTask;
}

/** Least interval in which peers hear of placed load. */
const LOAD_INTERVAL: Millis = 50;

/** Interval of news of load for each instance that must be told. */
const LOAD_PAUSE: Millis = 12;

/** Messages of load that are sent once more when nothing has changed. */
const LOAD_REPEATS = 1;

/** Age of what a relay saw of the store after which it is not relied on. */
const RELAYED_STORE_SILENCE: Millis = 1_500;

/** Largest configuration that is taken from a peer, in bytes. */
const MOST_CONFIGURATION_BYTES = 16 * 1024 * 1024;

/** What was last told to a peer of placed load. */
interface ToldLoad {
  text: string;
  repeats: number;
}

/** The exchange of one gateway with the others. */
export class PeerExchange {
  private readonly toldLoads = new Map<string, ToldLoad>();
  private compressed:
    {value: Buffer; bytes: Uint8Array<ArrayBuffer>} | undefined;
  private readonly handlers: Handlers = {
    [PeerMessageKind.Beat]: (message, from) => this.takeBeat(message, from),
    [PeerMessageKind.Load]: (message, from) => this.takeLoad(message, from),
    [PeerMessageKind.ConfigurationAsk]: (_message, from) =>
      this.giveConfiguration(from),
    [PeerMessageKind.ConfigurationGive]: ({value}, from) =>
      this.takeConfiguration(value, from),
    [PeerMessageKind.UpstreamsAsk]: (_message, from) =>
      this.giveUpstreams(from),
    [PeerMessageKind.UpstreamsGive]: (message, from) =>
      this.takeUpstreams(message, from),
    [PeerMessageKind.TokensAsk]: (message, from) =>
      this.parts.tokens.give(from, message),
    [PeerMessageKind.TokensGive]: ({account, tokens}) =>
      this.parts.budgets.receiveFromPeer(account, tokens),
    [PeerMessageKind.TokensRefuse]: ({account, tokens, exhausted}) =>
      this.parts.budgets.recordRelayRefusal(account, tokens, exhausted),
    [PeerMessageKind.Suspect]: (message, from) => {
      this.parts.suspects.heard(message.fingerprint, message.upstream);
      this.parts.peers.passOn(from, message);
    },
    [PeerMessageKind.Cleared]: (message, from) => {
      this.parts.suspects.heardAnswered(message.fingerprint);
      this.parts.peers.passOn(from, message);
    },
  };

  constructor(private readonly parts: ExchangeParts) {}

  /** Takes a message of a peer. */
  take<K extends PeerMessageKind>(from: string, message: MessageOf<K>): void {
    const handle: (message: MessageOf<K>, from: string) => void =
      this.handlers[message.kind as K];
    handle(message, from);
  }

  /** How closely this instance has to follow the store itself. */
  feedMode(): FeedMode {
    const {peers} = this.parts;
    const {relay, followers} = peers.partners();
    if (followers.length > 0) {
      return FeedMode.Relay;
    }
    const silence = peers.relayStoreSilence();
    if (relay === undefined || silence === undefined) {
      return FeedMode.Own;
    }
    if (silence < RELAYED_STORE_SILENCE) {
      return FeedMode.Off;
    }
    const lives = peers.heardRelay() !== undefined;
    return lives ? FeedMode.Spare : FeedMode.Own;
  }

  /** Passes news of upstreams on to those who rely on this instance. */
  pushUpstreams(news: UpstreamUpdate[], after: number, lapsed: boolean): void {
    const {peers} = this.parts;
    const kind = PeerMessageKind.UpstreamsGive;
    for (const address of peers.partners().followers) {
      peers.send(address, {kind, news, after, lapsed});
    }
  }

  /** Forgets what a peer told that is no longer a partner. */
  parted(address: string): void {
    this.toldLoads.delete(address);
    this.parts.placement.setPeerLoad(
      address,
      new Map(),
      this.parts.clock.now(),
    );
  }

  /** Tells the partners from time to time what is placed where. */
  tellLoad(): void {
    const {placement, peers, clock} = this.parts;
    const {relay, followers, meshPeers} = peers.partners();
    const now = clock.now();
    const below = placement.loadIncludingPeers(followers, now);
    for (const address of relay === undefined ? meshPeers : [relay]) {
      this.tellLoadTo(address, below);
    }
    for (const address of followers) {
      this.tellLoadTo(address, placement.loadExcludingPeer(address, now));
    }
    const partners = followers.length + meshPeers.length;
    const span = Math.max(LOAD_INTERVAL, LOAD_PAUSE * partners);
    setTimeout(() => this.tellLoad(), span);
  }

  private tellLoadTo(
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
    const text = JSON.stringify(loads);
    const told = this.toldLoads.get(address);
    const changed = text !== told?.text;
    if (changed || told.repeats > 0) {
      const repeats = changed ? LOAD_REPEATS : told.repeats - 1;
      this.toldLoads.set(address, {text, repeats});
      this.parts.peers.send(address, {kind: PeerMessageKind.Load, loads});
    }
  }

  private takeBeat(
    {version, revision}: MessageOf<PeerMessageKind.Beat>,
    from: string,
  ): void {
    const {table, registry, peers} = this.parts;
    if (version > table.version()) {
      peers.send(from, {kind: PeerMessageKind.ConfigurationAsk});
    }
    if (revision > registry.revision()) {
      peers.send(from, {kind: PeerMessageKind.UpstreamsAsk});
    }
  }

  private takeLoad(
    message: MessageOf<PeerMessageKind.Load>,
    from: string,
  ): void {
    const loads = new Map(
      message.loads.map(([id, running, prefillTime]) => [
        id,
        {running, prefillTime},
      ]),
    );
    this.parts.placement.setPeerLoad(from, loads, this.parts.clock.now());
  }

  private giveConfiguration(to: string): void {
    const value = this.parts.state.configurationValue();
    if (value === undefined) {
      return;
    }
    if (this.compressed?.value !== value) {
      const bytes = Uint8Array.from(deflateRawSync(value));
      this.compressed = {value, bytes};
    }
    const kind = PeerMessageKind.ConfigurationGive;
    this.parts.peers.send(to, {kind, value: this.compressed.bytes});
  }

  private takeConfiguration(bytes: Uint8Array, from: string): void {
    const {state, log} = this.parts;
    try {
      const maxOutputLength = MOST_CONFIGURATION_BYTES;
      state.takeConfiguration(inflateRawSync(bytes, {maxOutputLength}), from);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error('configuration.unreadable', {source: from, reason});
    }
  }

  private giveUpstreams(to: string): void {
    const {registry, state, peers} = this.parts;
    peers.send(to, {
      kind: PeerMessageKind.UpstreamsGive,
      news: registry.allUpdates(),
      after: WHOLE_LIST,
      lapsed: state.lapsed(),
    });
  }

  private takeUpstreams(
    {news, after, lapsed}: MessageOf<PeerMessageKind.UpstreamsGive>,
    from: string,
  ): void {
    const {registry, state, peers} = this.parts;
    if (after > registry.revision()) {
      // Something between was missed: later news would hide it.
      peers.send(from, {kind: PeerMessageKind.UpstreamsAsk});
      return;
    }
    const taken = news.map(({id, revision, listing}) => ({
      id,
      revision,
      listing,
    }));
    state.takeNews(taken, from, lapsed);
  }
}

/** Marks news that are a whole list. */
const WHOLE_LIST = -1;
