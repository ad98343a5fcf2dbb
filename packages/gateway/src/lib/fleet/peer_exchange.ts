/**
 * Dispatches the messages of other gateways, and sends them configuration,
 * upstreams and load.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {isNewer, ListRequests} from '@citrontrestle/decisions';
import {PeerMessageKind} from './peer_message.js';
import {FeedMode} from './store_feed.js';
import type {PrepaidBudgets} from '../budgets/prepaid_budgets.js';
import type {BrittleWatch} from '../upstreams/brittle_watch.js';
import type {ColdWatch} from '../upstreams/cold_watch.js';
import type {CrashWatch} from '../crashes/crash_watch.js';
import type {EvacuationWatch} from './evacuation_watch.js';
import type {LimitWatch} from '../upstreams/limit_watch.js';
import type {PeerMessage} from './peer_message.js';
import type {PeerNetwork} from './peer_network.js';
import type {SharedVerdicts} from '../crashes/shared_verdicts.js';
import type {SpeedWatch, StatedSpeed} from '../upstreams/speed_watch.js';
import type {StatementWatch} from '../upstreams/statement_watch.js';
import type {StateSync} from './state_sync.js';
import type {StreamTracker} from '../streams/stream_tracker.js';
import type {TokenExchange} from '../budgets/token_exchange.js';
import type {
  Clock,
  FeedTiming,
  Millis,
  Placement,
  RouteTable,
  StorePosition,
  UpstreamLoad,
  UpstreamUpdate,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** A peer message narrowed to one kind. */
type MessageOf<K extends PeerMessageKind> = PeerMessage & {kind: K};

/** Handler of each kind of message; `from` is the address of the sender. */
type Handlers = {
  readonly [K in PeerMessageKind]: (
    message: MessageOf<K>,
    from: string,
  ) => void;
};

/** Components that handle the messages or supply the content of sent ones. */
export interface PeerExchangeDependencies {
  clock: Clock;
  log: Log;
  routeTable: RouteTable;
  upstreamRegistry: UpstreamRegistry;
  placement: Placement;
  stateSync: StateSync;
  evacuationWatch: EvacuationWatch;
  budgets: PrepaidBudgets;
  tokenExchange: TokenExchange;
  crashWatch: CrashWatch;
  limitWatch: LimitWatch;
  brittleWatch: BrittleWatch;
  coldWatch: ColdWatch;
  speedWatch: SpeedWatch;
  statementWatch: StatementWatch;
  sharedVerdicts: SharedVerdicts;
  streamTracker: StreamTracker;
  peerNetwork: PeerNetwork;
  feedTiming: FeedTiming;
}

/** Minimum interval at which load is sent to the partners. */
const MIN_LOAD_INTERVAL: Millis = 50;

/**
 * The interval is at least this long for each partner, so that the rate of
 * load messages stays bounded however many partners there are.
 */
const LOAD_INTERVAL_PER_PARTNER: Millis = 12;

/**
 * Time after which a load that has not changed is sent once more, as messages may
 * be lost.
 */
const LOAD_REPEAT_DELAY: Millis = 1_000;

/** Maximum size of a decompressed configuration from a peer, in bytes. */
const MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024;

/** The load that was last sent to a peer. */
interface SentLoad {
  json: string;
  /** When it is to be sent once more; undefined if that was done. */
  repeatAt: Millis | undefined;
}

/**
 * Exchanges state with other gateways. A gateway that follows a relay exchanges
 * configuration, upstreams and load through it instead of with every gateway.
 */
export class PeerExchange {
  /** Load last sent to each partner, by the partner's address. */
  private readonly sentLoads = new Map<string, SentLoad>();
  private readonly listRequests = new ListRequests();
  /** Cached result of compressing the configuration in force. */
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
    [PeerMessageKind.EvacuationsRequest]: (_message, from) =>
      this.dependencies.peerNetwork.send(from, this.evacuationsMessage()),
    [PeerMessageKind.Evacuations]: ({position, zones}, from) =>
      this.dependencies.evacuationWatch.applyPeerState(
        {...position, zones},
        from,
      ),
    [PeerMessageKind.TokenRequest]: (message, from) =>
      this.dependencies.tokenExchange.handleRequest(from, message),
    [PeerMessageKind.TokenTransfer]: ({account, tokens}) =>
      this.dependencies.budgets.receiveFromPeer(account, tokens),
    [PeerMessageKind.TokenRefusal]: ({account, tokens, ...refusal}) =>
      this.dependencies.budgets.recordRelayRefusal(account, tokens, refusal),
    [PeerMessageKind.SuspectReport]: (message, from) => {
      const {fingerprint, traits, upstream} = message;
      this.dependencies.crashWatch.recordCrash(
        [fingerprint, ...traits],
        upstream,
      );
      this.dependencies.peerNetwork.forwardBroadcast(from, message);
    },
    [PeerMessageKind.SuspectCleared]: (message, from) => {
      const {fingerprint, traits} = message;
      this.dependencies.crashWatch.clear([fingerprint, ...traits]);
      this.dependencies.peerNetwork.forwardBroadcast(from, message);
    },
    [PeerMessageKind.UpstreamLimit]: (message, from) => {
      const {upstream, perSecond} = message;
      this.dependencies.limitWatch.recordPeerReport(upstream, perSecond, from);
      this.dependencies.peerNetwork.forwardBroadcast(from, message);
    },
    [PeerMessageKind.UpstreamBrittle]: (message, from) => {
      const {upstream: id, startedAt, maxRejections, isFull} = message;
      this.dependencies.brittleWatch.recordPeerReport(
        {id, startedAt, maxRejections},
        isFull,
        from,
      );
      this.dependencies.peerNetwork.forwardBroadcast(from, message);
    },
    [PeerMessageKind.UpstreamLeaving]: (message, from) => {
      const {upstream: id, startedAt} = message;
      this.dependencies.statementWatch.recordLeaving({id, startedAt}, from);
      this.dependencies.peerNetwork.forwardBroadcast(from, message);
    },
    [PeerMessageKind.UpstreamCold]: (message, from) => {
      const {upstream: id, startedAt, remaining} = message;
      const {coldWatch, peerNetwork} = this.dependencies;
      coldWatch.recordPeerReport({id, startedAt}, remaining, from);
      peerNetwork.forwardBroadcast(from, message);
    },
    [PeerMessageKind.StreamBeginning]: (message, from) => {
      this.dependencies.streamTracker.learnBeginning(
        message.stream,
        message.version,
      );
      this.copyToOtherRelay(from, message);
    },
    [PeerMessageKind.StreamQuery]: (message, from) =>
      this.answerStreamQuery(message, from),
  };

  constructor(private readonly dependencies: PeerExchangeDependencies) {}

  /** Handles a message from the peer at address `from`. */
  handleMessage<K extends PeerMessageKind>(
    from: string,
    message: MessageOf<K>,
  ): void {
    const handle: (message: MessageOf<K>, from: string) => void =
      this.handlers[message.kind as K];
    handle(message, from);
  }

  /**
   * Returns how this instance is to follow the store. A follower leaves it to
   * its relay while the relay's view of the store is recent.
   */
  feedMode(): FeedMode {
    const {peerNetwork, feedTiming} = this.dependencies;
    const {relay, followers} = peerNetwork.partners();
    if (followers.length > 0) {
      return FeedMode.Relay;
    }
    const storeSilence = peerNetwork.relayStoreSilence();
    if (relay === undefined || storeSilence === undefined) {
      return FeedMode.Standalone;
    }
    if (!peerNetwork.understands(relay, PeerMessageKind.Evacuations)) {
      // A relay of an earlier version does not pass evacuations on.
      return FeedMode.Standalone;
    }
    if (storeSilence < feedTiming.maxRelayStoreSilence) {
      return FeedMode.Off;
    }
    const isRelayResponsive = peerNetwork.responsiveRelay() !== undefined;
    return isRelayResponsive ? FeedMode.Fallback : FeedMode.Standalone;
  }

  /**
   * Forwards updates of upstreams to the instances that follow this one.
   * @param positionBefore position of this instance's list before the updates;
   *     a follower with an older one knows by it that it missed some.
   * @param lapseGrace see `StateSync.lapseGrace`.
   */
  forwardUpstreamUpdates(
    updates: UpstreamUpdate[],
    positionBefore: StorePosition,
    lapseGrace: Millis,
  ): void {
    const {peerNetwork} = this.dependencies;
    const kind = PeerMessageKind.UpstreamUpdates;
    for (const address of peerNetwork.partners().followers) {
      peerNetwork.send(address, {
        kind,
        news: updates,
        after: positionBefore.revision,
        afterEra: positionBefore.era,
        ...graceFields(lapseGrace),
      });
    }
  }

  /**
   * Tells the other instances which zones are evacuated.
   * @param source the peer that told it; undefined for the store.
   */
  tellEvacuations(source: string | undefined): void {
    const {peerNetwork} = this.dependencies;
    const message = this.evacuationsMessage();
    if (source === undefined) {
      peerNetwork.broadcast(message);
    } else {
      peerNetwork.forwardBroadcast(source, message);
    }
  }

  /** Forgets the load of a peer that is no longer a partner. */
  forgetPartner(address: string): void {
    this.sentLoads.delete(address);
    this.dependencies.speedWatch.forgetPeer(address);
    this.dependencies.placement.setPeerLoad(
      address,
      new Map(),
      this.dependencies.clock.now(),
    );
  }

  /** Sends the load on the upstreams to the partners, now and periodically. */
  sendLoadPeriodically(): void {
    this.sendLoads();
    const {followers, meshPeers} = this.dependencies.peerNetwork.partners();
    const partnerCount = followers.length + meshPeers.length;
    const interval = Math.max(
      MIN_LOAD_INTERVAL,
      LOAD_INTERVAL_PER_PARTNER * partnerCount,
    );
    setTimeout(() => this.sendLoadPeriodically(), interval);
  }

  /**
   * Sends the load on the upstreams to the partners, if it has changed. Other
   * relays, or the relay that this instance follows, get the load of this
   * instance and its followers; a follower gets all load but its own.
   */
  sendLoads(): void {
    const {placement, peerNetwork, clock, speedWatch} = this.dependencies;
    speedWatch.beginRound();
    const {relay, followers, meshPeers} = peerNetwork.partners();
    const now = clock.now();
    const ownAndFollowerLoad = placement.loadIncludingPeers(followers, now);
    for (const address of relay === undefined ? meshPeers : [relay]) {
      this.sendLoadIfChanged(
        address,
        ownAndFollowerLoad,
        speedWatch.statementFor(address, {included: followers}),
      );
    }
    for (const address of followers) {
      this.sendLoadIfChanged(
        address,
        placement.loadExcludingPeer(address, now),
        speedWatch.statementFor(address, {excluded: address}),
      );
    }
  }

  /**
   * Passes what a follower told on to one relay of another zone, so that it is
   * not lost with this instance.
   */
  private copyToOtherRelay(from: string, message: PeerMessage): void {
    const {peerNetwork} = this.dependencies;
    const {followers, meshPeers} = peerNetwork.partners();
    const [otherRelay] = meshPeers;
    if (followers.includes(from) && otherRelay !== undefined) {
      peerNetwork.send(otherRelay, message);
    }
  }

  /** Answers the asker if the stream is known, else asks the other relays. */
  private answerStreamQuery(
    message: MessageOf<PeerMessageKind.StreamQuery>,
    from: string,
  ): void {
    const {peerNetwork, streamTracker} = this.dependencies;
    const {stream, asker} = message;
    const version = streamTracker.find(stream);
    if (version !== undefined) {
      const kind = PeerMessageKind.StreamBeginning;
      peerNetwork.send(asker, {kind, stream, version});
      return;
    }
    const {followers, meshPeers} = peerNetwork.partners();
    for (const address of followers.includes(from) ? meshPeers : []) {
      peerNetwork.send(address, message);
    }
  }

  /**
   * Sends a load if it has changed, is still to be repeated or speeds of upstreams
   * are to be told.
   */
  private sendLoadIfChanged(
    address: string,
    load: ReadonlyMap<string, UpstreamLoad>,
    speeds: StatedSpeed[] | undefined,
  ): void {
    const loads = [...load].map(
      ([id, {running, prefillTime}]): [string, number, number] => [
        id,
        running,
        Math.round(prefillTime),
      ],
    );
    const json = JSON.stringify(loads);
    const now = this.dependencies.clock.now();
    const lastSent = this.sentLoads.get(address);
    const changed = json !== lastSent?.json;
    const isRepeatDue = now >= (lastSent?.repeatAt ?? Infinity);
    if (changed || isRepeatDue || speeds !== undefined) {
      const repeatAt = changed ? now + LOAD_REPEAT_DELAY : undefined;
      this.sentLoads.set(address, {json, repeatAt});
      this.dependencies.peerNetwork.send(address, {
        kind: PeerMessageKind.Load,
        loads,
        ...(speeds && {speeds}),
      });
    }
  }

  /**
   * Gets evacuations, configuration, upstreams or verdicts if the sender's are
   * newer. Evacuations come first, so that an instance that has just started
   * knows them before it has a configuration and serves.
   */
  private handleHeartbeat(
    heartbeat: MessageOf<PeerMessageKind.Heartbeat>,
    from: string,
  ): void {
    const {version, era, revision, verdicts, evacuations} = heartbeat;
    const {routeTable, peerNetwork, evacuationWatch} = this.dependencies;
    if (evacuations && isNewer(evacuations, evacuationWatch.position())) {
      peerNetwork.send(from, {kind: PeerMessageKind.EvacuationsRequest});
    }
    this.dependencies.sharedVerdicts.learnRevision(verdicts ?? 0);
    if (version > routeTable.version()) {
      peerNetwork.send(from, {kind: PeerMessageKind.ConfigurationRequest});
    }
    const known = this.knownPosition();
    const stated = {era: era ?? known.era, revision};
    if (isNewer(stated, known)) {
      this.requestUpstreams(from, stated);
    }
  }

  /** Position up to which this instance misses no change of the upstreams. */
  private knownPosition(): StorePosition {
    const applied = this.dependencies.upstreamRegistry.position();
    return this.listRequests.knownPosition(applied);
  }

  /** Asks a peer that has stated a position for its whole list. */
  private requestUpstreams(peer: string, stated: StorePosition): void {
    this.listRequests.recordRequest(peer, stated);
    const kind = PeerMessageKind.UpstreamsRequest;
    this.dependencies.peerNetwork.send(peer, {kind});
  }

  private evacuationsMessage(): PeerMessage {
    const {era, revision, zones} = this.dependencies.evacuationWatch.snapshot();
    const kind = PeerMessageKind.Evacuations;
    return {kind, position: {era, revision}, zones: [...zones]};
  }

  /** Replaces the load that is known of the sender. */
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
    if (message.speeds !== undefined) {
      this.dependencies.speedWatch.recordStatement(from, message.speeds);
    }
  }

  /** Sends the configuration in force, if there is one. */
  private sendConfiguration(recipient: string): void {
    const value = this.dependencies.stateSync.configurationValue();
    if (value === undefined) {
      return;
    }
    if (this.compressedConfiguration?.value !== value) {
      const bytes = Uint8Array.from(deflateRawSync(value));
      this.compressedConfiguration = {value, bytes};
    }
    const kind = PeerMessageKind.Configuration;
    this.dependencies.peerNetwork.send(recipient, {
      kind,
      value: this.compressedConfiguration.bytes,
    });
  }

  /** Applies a configuration; one that can't be decompressed is logged. */
  private handleConfiguration(bytes: Uint8Array, from: string): void {
    const {stateSync, log} = this.dependencies;
    try {
      const maxOutputLength = MAX_CONFIGURATION_BYTES;
      stateSync.applyConfiguration(
        inflateRawSync(bytes, {maxOutputLength}),
        from,
      );
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error('configuration.unreadable', {source: from, reason});
    }
  }

  /** Sends the whole list of upstreams. */
  private sendUpstreams(recipient: string): void {
    const {upstreamRegistry, stateSync, peerNetwork} = this.dependencies;
    peerNetwork.send(recipient, {
      kind: PeerMessageKind.UpstreamUpdates,
      news: upstreamRegistry.allUpdates(),
      after: FULL_LIST,
      ...graceFields(stateSync.lapseGrace()),
    });
  }

  /** Applies updates, or requests the whole list if some were missed. */
  private handleUpstreamUpdates(
    message: MessageOf<PeerMessageKind.UpstreamUpdates>,
    from: string,
  ): void {
    const {news, after, afterEra} = message;
    const known = this.knownPosition();
    const before = {era: afterEra ?? known.era, revision: after};
    if (after !== FULL_LIST && isNewer(before, known)) {
      // Updates in between were missed. Applying these would raise the known
      // revision, so that heartbeats would no longer reveal the gap.
      this.requestUpstreams(from, before);
      return;
    }
    const updates = news.map(({id, era, revision, listing}) => ({
      id,
      era: era ?? known.era,
      revision,
      listing,
    }));
    this.dependencies.stateSync.applyUpdates(
      updates,
      from,
      this.graceOf(message),
    );
    if (after === FULL_LIST) {
      this.listRequests.recordAnswer(from);
    }
  }

  /** Returns the grace of the sender; one of an earlier version names none. */
  private graceOf({
    lapsed,
    graceMs,
  }: MessageOf<PeerMessageKind.UpstreamUpdates>): Millis {
    const longest = this.dependencies.feedTiming.lapseGrace;
    return lapsed ? Math.min(graceMs ?? UNSTATED_GRACE, longest) : 0;
  }
}

/** Grace of a sender that states an outage and no time. */
const UNSTATED_GRACE: Millis = 1_600;

/** Returns the fields of a message that state `StateSync.lapseGrace`. */
function graceFields(graceMs: Millis): {lapsed: boolean; graceMs?: Millis} {
  return graceMs > 0 ? {lapsed: true, graceMs} : {lapsed: false};
}

/** Value of `after` in a message that holds the whole list of upstreams. */
const FULL_LIST = -1;
