/** What the gateways tell each other, and what each makes of it. */
import {PeerMessageKind} from './peer_message.js';
import type {BudgetTask} from './budget_task.js';
import type {CrashWatch} from './crash_watch.js';
import type {PeerMessage} from './peer_message.js';
import type {PeerTask} from './peer_task.js';
import type {StateTask} from './state_task.js';
import type {
  Clock,
  Millis,
  Placement,
  RouteTable,
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
  suspects: CrashWatch;
  peers: PeerTask;
}

/** Least interval in which peers hear of placed load. */
const LOAD_INTERVAL: Millis = 50;

/** Interval of news of load for each instance that must be told. */
const LOAD_PAUSE: Millis = 12;

/** The exchange of one gateway with the others. */
export class PeerExchange {
  private toldLoad = '';
  private loadRepeats = 0;
  private readonly handlers: Handlers = {
    [PeerMessageKind.Beat]: (message, from) => this.takeBeat(message, from),
    [PeerMessageKind.Load]: (message, from) => this.takeLoad(message, from),
    [PeerMessageKind.ConfigurationAsk]: (_message, from) =>
      this.giveConfiguration(from),
    [PeerMessageKind.ConfigurationGive]: ({value}, from) =>
      this.parts.state.takeConfiguration(Buffer.from(value), from),
    [PeerMessageKind.UpstreamsAsk]: (_message, from) =>
      this.giveUpstreams(from),
    [PeerMessageKind.UpstreamsGive]: (message, from) =>
      this.takeUpstreams(message, from),
    [PeerMessageKind.TokensAsk]: ({account, tokens}, from) =>
      this.giveTokens(from, account, tokens),
    [PeerMessageKind.TokensGive]: ({account, tokens}) =>
      this.parts.budgets.receive(account, tokens),
    [PeerMessageKind.Suspect]: ({fingerprint, upstream}) =>
      this.parts.suspects.heard(fingerprint, upstream),
    [PeerMessageKind.Cleared]: ({fingerprint}) =>
      this.parts.suspects.heardAnswered(fingerprint),
  };

  constructor(private readonly parts: ExchangeParts) {}

  /** Takes a message of a peer. */
  take<K extends PeerMessageKind>(from: string, message: MessageOf<K>): void {
    const handle: (message: MessageOf<K>, from: string) => void =
      this.handlers[message.kind as K];
    handle(message, from);
  }

  /** Asks all peers for tokens. */
  askTokens(account: string, tokens: number): void {
    const kind = PeerMessageKind.TokensAsk;
    this.parts.peers.tellAll({kind, account, tokens: Math.ceil(tokens)});
  }

  /** Gives tokens to one of the peers that run; false if there is none. */
  handOver(account: string, tokens: number): boolean {
    const {peers} = this.parts;
    const staying = peers.staying();
    const to = staying[Math.floor(Math.random() * staying.length)];
    if (to === undefined) {
      return false;
    }
    peers.send(to, {kind: PeerMessageKind.TokensGive, account, tokens});
    return true;
  }

  /** Tells the peers from time to time what this instance has placed. */
  tellLoad(): void {
    const {placement, peers} = this.parts;
    const loads = [...placement.ownLoad()].map(
      ([id, {running, reading}]): [string, number, number] => [
        id,
        running,
        Math.round(reading),
      ],
    );
    const text = JSON.stringify(loads);
    if (text !== this.toldLoad || this.loadRepeats > 0) {
      this.loadRepeats = text === this.toldLoad ? this.loadRepeats - 1 : 1;
      this.toldLoad = text;
      peers.tellAll({kind: PeerMessageKind.Load, loads});
    }
    const instances = 1 + peers.live().length;
    const span = Math.max(LOAD_INTERVAL, LOAD_PAUSE * instances);
    setTimeout(() => this.tellLoad(), span);
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
      message.loads.map(([id, running, reading]) => [id, {running, reading}]),
    );
    this.parts.placement.peerLoad(from, loads, this.parts.clock.now());
  }

  private giveConfiguration(to: string): void {
    const value = this.parts.state.configurationValue();
    if (value !== undefined) {
      const kind = PeerMessageKind.ConfigurationGive;
      this.parts.peers.send(to, {kind, value: Uint8Array.from(value)});
    }
  }

  private giveUpstreams(to: string): void {
    const news = this.parts.registry.news();
    this.parts.peers.send(to, {kind: PeerMessageKind.UpstreamsGive, news});
  }

  private takeUpstreams(
    message: MessageOf<PeerMessageKind.UpstreamsGive>,
    from: string,
  ): void {
    const news = message.news.map(({id, revision, listing}) => ({
      id,
      revision,
      listing,
    }));
    this.parts.state.takeNews(news, from);
  }

  private giveTokens(to: string, account: string, tokens: number): void {
    const {budgets, peers, log} = this.parts;
    const given = budgets.give(account, tokens);
    if (given > 0) {
      const kind = PeerMessageKind.TokensGive;
      peers.send(to, {kind, account, tokens: given});
      log.info('budget.given', {account, tokens: given, peer: to});
    }
  }
}
