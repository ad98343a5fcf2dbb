/** One gateway process: creates its components and connects them. */
import {
  CrashVerdicts,
  Evacuations,
  feedTiming,
  LinkLoad,
  Placement,
  Reachability,
  Regions,
  RepeatAllowance,
  RouteTable,
  SECOND,
  StreamOrigins,
  streamLifetimes,
  UpstreamRegistry,
  Witnesses,
} from '@citrontrestle/decisions';
import {
  randomId,
  MonotonicClock,
  SystemMachineClock,
} from '@citrontrestle/runtime';
import {BrittleWatch} from '../upstreams/brittle_watch.js';
import {SpeedWatch} from '../upstreams/speed_watch.js';
import {BufferCollection, PROCESS_BUFFERS} from './buffer_collection.js';
import {PrepaidBudgets} from '../budgets/prepaid_budgets.js';
import {ColdWatch} from '../upstreams/cold_watch.js';
import {CrashWatch, partTraits} from '../crashes/crash_watch.js';
import {EvacuationWatch} from '../fleet/evacuation_watch.js';
import {FrontServer} from '../requests/front_server.js';
import {LimitWatch} from '../upstreams/limit_watch.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {HeldBytes} from './held_bytes.js';
import {LoopDelay} from './loop_delay.js';
import {PeerMessageKind} from '../fleet/peer_message.js';
import {PeerExchange} from '../fleet/peer_exchange.js';
import {PeerNetwork} from '../fleet/peer_network.js';
import {ProcessorTime} from './processor_time.js';
import {ProxyServer} from '../upstreams/proxy_server.js';
import {ReachabilityWatch} from '../upstreams/reachability_watch.js';
import {LinkAdmission} from '../requests/link_admission.js';
import {ReadyServer} from '../requests/ready_server.js';
import {RequestRecorder} from '../requests/request_recorder.js';
import {RefusalReason} from '../requests/refusal.js';
import {RequestService} from '../requests/request_service.js';
import {ReturnPlanner} from '../requests/return_planner.js';
import {SharedVerdicts} from '../crashes/shared_verdicts.js';
import {Shutdown} from './shutdown.js';
import {StartCosts, StartStep, usedTime} from './start_costs.js';
import {SocketReads} from './socket_reads.js';
import {StatementWatch} from '../upstreams/statement_watch.js';
import {StateSync} from '../fleet/state_sync.js';
import {StreamRecords} from '../streams/stream_records.js';
import {StreamTracker} from '../streams/stream_tracker.js';
import {TokenExchange} from '../budgets/token_exchange.js';
import {UpstreamAgent} from '../upstreams/upstream_agent.js';
import {UpstreamPaths} from '../upstreams/upstream_paths.js';
import type {HeartbeatContent} from '../fleet/peer_network.js';
import type {CallerResponse} from '../requests/caller_response.js';
import type {
  RequestHandle,
  FrontServerHandler,
  BufferedRequest,
} from '../requests/front_server.js';
import type {Dialect, EraListener, Store} from './ports.js';
import {propagationBounds} from './settings.js';
import type {GatewaySettings} from './settings.js';
import type {InstanceContext} from './instance_context.js';
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';
import type {IncomingMessage} from 'node:http';

/** Interval at which data about upstreams that are gone is deleted. */
const PRUNE_INTERVAL: Millis = 1_000;

/** Interval at which counts are logged. */
const COUNTS_LOG_INTERVAL: Millis = 10 * SECOND;

/** Maximum size of a request body before a configuration is known, in bytes. */
const INITIAL_MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Upper limit of the reported time since the store last answered; a longer time
 * is reported to peers as this one.
 */
const MAX_REPORTED_SILENCE: Millis = 3_600_000;

/**
 * Capacity of a standard core. Capacities are in Mbit/s of link bandwidth, so a
 * core counts as much as a link of 100 Mbit/s.
 */
const CORE_CAPACITY = 100;

const MIB = 2 ** 20;

/**
 * Fraction of the machine's memory for bytes of requests, and as much for bytes
 * of responses.
 */
const HELD_FRACTION = 0.08;

/** Settings of a gateway, and its adapters to the platform. */
export interface GatewayDependencies {
  settings: GatewaySettings;
  store: Store;
  dialect: Dialect;
  log: Log;
  /** What the start has cost until now; by default only its total is known. */
  startCosts?: StartCosts;
}

/**
 * One gateway. It serves the requests of callers, and shares its state with the
 * other instances of the fleet.
 */
export class Gateway implements FrontServerHandler {
  private readonly clock: Clock = new MonotonicClock();
  private readonly routeTable = new RouteTable();
  private readonly upstreamRegistry = new UpstreamRegistry();
  private readonly placement = new Placement(Math.random);
  private readonly upstreamAgent = new UpstreamAgent();
  private readonly linkLoad: LinkLoad;
  private readonly reachability: ReachabilityWatch;
  private readonly paths: UpstreamPaths;
  private readonly proxyServer: ProxyServer;
  private readonly metrics: GatewayMetrics;
  private readonly stateSync: StateSync;
  private readonly evacuationWatch: EvacuationWatch;
  private readonly budgets: PrepaidBudgets;
  private readonly peerNetwork: PeerNetwork;
  private readonly crashVerdicts = new CrashVerdicts();
  private readonly sharedVerdicts: SharedVerdicts;
  private readonly crashWatch: CrashWatch;
  private readonly limitWatch: LimitWatch;
  private readonly brittleWatch: BrittleWatch;
  private readonly coldWatch: ColdWatch;
  private readonly statementWatch: StatementWatch;
  private readonly streamOrigins = new StreamOrigins();
  private readonly streamRecords: StreamRecords;
  private readonly streamTracker: StreamTracker;
  private readonly peerExchange: PeerExchange;
  private readonly tokenExchange: TokenExchange;
  private readonly requestService: RequestService;
  private readonly frontServer: FrontServer;
  private readonly readyServer: ReadyServer;
  private readonly shutdown: Shutdown;
  private readonly recorder: RequestRecorder;
  private readonly linkAdmission: LinkAdmission;
  private readonly loopDelay: LoopDelay;
  private readonly processorTime = new ProcessorTime();
  private readonly socketReads = new SocketReads(this.clock);
  private readonly startCosts: StartCosts;
  /** Whether a configuration was in force since the start. */
  private wasConfigured = false;

  constructor(private readonly dependencies: GatewayDependencies) {
    const {settings, store, dialect, log} = dependencies;
    const {clock} = this;
    const {instance, zone, peers, repeats} = settings;
    this.startCosts = dependencies.startCosts ?? new StartCosts();
    this.linkLoad = new LinkLoad(settings.machine.linkMbps);
    this.loopDelay = new LoopDelay(clock, log);
    this.shutdown = this.createShutdown();
    // Identity of this process, under which it holds prepaid tokens and
    // connects to peers; a restarted instance gets another one.
    const holder = `${instance}.${randomId(4)}`;
    store.setEraListener(this.createEraListener());
    this.metrics = new GatewayMetrics(store, {
      budgetTotals: () => this.budgets.totals(),
      coldCounts: () => this.coldWatch.coldCounts(),
      slowCount: () => this.placement.speeds.slowCount(),
      connectionCounts: () => this.upstreamAgent.counts,
      linkStatus: () => this.linkAdmission.status(),
      messageCounts: () => this.peerNetwork.traffic.totals(),
    });
    this.evacuationWatch = this.createEvacuationWatch();
    const timing = feedTiming(propagationBounds(settings));
    this.stateSync = new StateSync(
      this.routeTable,
      this.upstreamRegistry,
      dialect,
      store,
      clock,
      log,
      timing,
      {
        onConfigurationChanged: () => this.handleNewConfiguration(),
        onUpstreamLost: upstream => this.crashWatch.recordDown(upstream),
        onUpstreamUpdates: (updates, positionBefore, lapseGrace) => {
          this.coldWatch.recordUpdates(updates);
          this.peerExchange.forwardUpstreamUpdates(
            updates,
            positionBefore,
            lapseGrace,
          );
          void this.streamRecords.check();
        },
        onOperatorList: (items, position) =>
          this.evacuationWatch.applyStoreList(items, position),
        onOperatorChange: (event, era) =>
          this.evacuationWatch.applyStoreChange(event, era),
        feedMode: () => this.peerExchange.feedMode(),
      },
    );
    const machineClock = new SystemMachineClock();
    const witnesses = new Witnesses({holder, zone});
    this.peerNetwork = new PeerNetwork(
      {
        holder,
        instance,
        zone,
        capacity: machineCapacity(settings),
        address: peers.advertise ?? peers.listen,
        listen: peers.listen,
        proxy: peers.proxy,
        seeds: parseAddressList(peers.seeds),
        fleetKey: peers.key,
      },
      clock,
      machineClock,
      witnesses,
      log,
      {
        heartbeatContent: () => this.heartbeatContent(),
        onMessage: (from, message) =>
          this.peerExchange.handleMessage(from, message),
        onPartnerRemoved: address => this.peerExchange.forgetPartner(address),
        onReportsChanged: () => this.stateSync.updateMode(),
      },
    );
    this.budgets = new PrepaidBudgets(
      {holder, instance, store, clock, machineClock, witnesses, log},
      {
        // An instance that follows a relay learns of an era from its updates.
        storeEra: () =>
          Math.max(store.era(), this.upstreamRegistry.position().era),
        grantedTokens: account => this.routeTable.grantedTokens(account) ?? 0,
        budgetedAccounts: () => this.routeTable.budgetedAccounts(),
        drawingInstanceCount: () => this.tokenExchange.drawingInstanceCount(),
        supplierCount: () => this.tokenExchange.supplierCount(),
        requestFromRelay: (account, tokens, options) =>
          this.tokenExchange.requestFromRelay(account, tokens, options),
        returnToRelay: (account, tokens) =>
          this.tokenExchange.returnToRelay(account, tokens),
        hasResponsiveRelay: () =>
          this.peerNetwork.responsiveRelay() !== undefined,
        requestFromPeers: (account, tokens) =>
          this.tokenExchange.requestFromPeers(account, tokens),
        giveToRandomPeer: (account, tokens) =>
          this.tokenExchange.giveToRandomPeer(account, tokens),
        // Waits are judged only when the answers to their questions were read.
        callAfter: (delay, callback) => {
          setTimeout(() => this.socketReads.runAfter(callback), delay);
        },
      },
    );
    this.sharedVerdicts = new SharedVerdicts(
      this.crashVerdicts,
      store,
      clock,
      log,
    );
    this.crashWatch = this.createCrashWatch();
    this.limitWatch = new LimitWatch(clock, log, {
      fleetView: () => this.peerNetwork.fleetView(),
      reportLimit: (upstream, perSecond) => {
        const kind = PeerMessageKind.UpstreamLimit;
        this.peerNetwork.broadcast({kind, upstream, perSecond});
      },
    });
    this.brittleWatch = new BrittleWatch(this.upstreamRegistry, clock, log, {
      fleetView: () => this.peerNetwork.fleetView(),
      runningAt: (upstream, now) => this.placement.runningAt(upstream, now),
      report: ({id, startedAt, maxRejections}, isFull) =>
        this.peerNetwork.broadcast({
          kind: PeerMessageKind.UpstreamBrittle,
          upstream: id,
          startedAt,
          maxRejections,
          isFull,
        }),
    });
    this.coldWatch = this.createColdWatch();
    this.statementWatch = new StatementWatch(
      this.upstreamRegistry,
      clock,
      log,
      {
        reportLeaving: ({id, startedAt}) => {
          const kind = PeerMessageKind.UpstreamLeaving;
          this.peerNetwork.broadcast({kind, upstream: id, startedAt});
        },
      },
    );
    this.streamRecords = this.createStreamRecords();
    this.streamTracker = this.createStreamTracker();
    this.tokenExchange = new TokenExchange(
      this.budgets,
      this.peerNetwork,
      clock,
      log,
    );
    this.peerExchange = new PeerExchange({
      clock,
      log,
      routeTable: this.routeTable,
      upstreamRegistry: this.upstreamRegistry,
      placement: this.placement,
      stateSync: this.stateSync,
      evacuationWatch: this.evacuationWatch,
      budgets: this.budgets,
      tokenExchange: this.tokenExchange,
      crashWatch: this.crashWatch,
      limitWatch: this.limitWatch,
      brittleWatch: this.brittleWatch,
      coldWatch: this.coldWatch,
      speedWatch: new SpeedWatch(
        this.placement.speeds,
        this.upstreamRegistry,
        clock,
        log,
      ),
      statementWatch: this.statementWatch,
      sharedVerdicts: this.sharedVerdicts,
      streamTracker: this.streamTracker,
      peerNetwork: this.peerNetwork,
      feedTiming: timing,
    });
    this.reachability = new ReachabilityWatch(
      new Reachability(),
      this.upstreamRegistry,
      this.upstreamAgent,
      this.linkLoad,
      clock,
      log,
      () => this.peerNetwork.sendHeartbeats(),
      () => this.loopDelay.hasStoodStill(),
    );
    this.paths = new UpstreamPaths({
      zone,
      fleetKey: peers.key,
      clock,
      log,
      dialect,
      agent: this.upstreamAgent,
      reachability: this.reachability,
      upstreamRegistry: this.upstreamRegistry,
      statementWatch: this.statementWatch,
      evacuationWatch: this.evacuationWatch,
      linkLoad: this.linkLoad,
      proxies: () => this.peerNetwork.proxies(),
      random: Math.random,
    });
    const maxHeldBytes = heldBytesLimit(settings);
    const heldRequests = new HeldBytes(maxHeldBytes);
    const bufferCollection = new BufferCollection(
      PROCESS_BUFFERS,
      maxHeldBytes,
    );
    this.frontServer = new FrontServer(
      dialect,
      this,
      log,
      heldRequests,
      bufferCollection,
      this.socketReads,
    );
    this.readyServer = new ReadyServer(() => this.isReady(), log);
    const returnPlanner = new ReturnPlanner(this.linkLoad, clock, Math.random);
    this.linkAdmission = new LinkAdmission({
      linkLoad: this.linkLoad,
      routeTable: this.routeTable,
      dialect,
      returnPlanner,
      clock,
      log,
      zoneLinks: () => this.peerNetwork.zoneLinks(),
    });
    this.recorder = new RequestRecorder(
      clock,
      log,
      this.metrics,
      this.routeTable,
      this.budgets,
    );
    const context: InstanceContext = {
      zone,
      clock,
      log,
      dialect,
      placement: this.placement,
      reachability: this.reachability,
      paths: this.paths,
      upstreamRegistry: this.upstreamRegistry,
      evacuationWatch: this.evacuationWatch,
      regions: new Regions(settings.regions),
      repeatAllowance: new RepeatAllowance({
        ratio: repeats.ratio,
        slack: repeats.slack,
        window: repeats.windowSeconds * SECOND,
      }),
      crashWatch: this.crashWatch,
      limitWatch: this.limitWatch,
      brittleWatch: this.brittleWatch,
      coldWatch: this.coldWatch,
      statementWatch: this.statementWatch,
      streamTracker: this.streamTracker,
      heldResponses: new HeldBytes(maxHeldBytes),
      bufferCollection,
      returnPlanner,
      socketReads: this.socketReads,
      linkLoad: this.linkLoad,
      admits: deadline => this.shutdown.admits(deadline),
      instanceCount: () => this.instanceCount(),
      recordDeparture: () => this.metrics.recordDeparture(),
      recordHeldBack: service => this.metrics.recordHeldBack(service),
      random: Math.random,
    };
    this.proxyServer = new ProxyServer({
      ...context,
      fleetKey: peers.key,
      agent: this.upstreamAgent,
      heldRequests,
      maxBodyBytes: () => this.maxBodyBytes(),
    });
    this.requestService = new RequestService(
      context,
      this.routeTable,
      this.budgets,
      this.recorder,
    );
    this.startCosts.record(StartStep.Created);
  }

  /** Logs the eras of the store, and a repeated invalid one only once. */
  private createEraListener(): EraListener {
    const {log} = this.dependencies;
    let lastInvalid: string | undefined;
    return {
      onChange: (era, previousEra) => log.info('store.era', {era, previousEra}),
      onInvalid: text => {
        if (text !== lastInvalid) {
          lastInvalid = text;
          log.warn('store.era-invalid', {text});
        }
      },
    };
  }

  /** Connects the evacuated zones to the other components. */
  private createEvacuationWatch(): EvacuationWatch {
    const {dialect, log} = this.dependencies;
    const evacuations = new Evacuations();
    return new EvacuationWatch(evacuations, dialect.layout, this.clock, log, {
      onChanged: (change, source) => {
        this.metrics.recordEvacuations(change, evacuations.count());
        this.peerExchange.tellEvacuations(source);
      },
      onOpened: zone => this.coldWatch.recordZoneOpened(zone, this.clock.now()),
    });
  }

  /** Connects the detection of crashes to the other instances. */
  private createCrashWatch(): CrashWatch {
    const {log} = this.dependencies;
    return new CrashWatch(this.crashVerdicts, this.clock, {
      reportCrash: ({id, fingerprint, sharedParts, events}, upstream) => {
        log.warn('request.crashed-upstream', {
          request: id,
          fingerprint,
          parts: sharedParts.join(','),
          events,
          upstream,
        });
        const kind = PeerMessageKind.SuspectReport;
        const traits = partTraits(sharedParts);
        this.peerNetwork.broadcast({kind, fingerprint, traits, upstream});
      },
      reportCleared: ({fingerprint, sharedParts}) => {
        const kind = PeerMessageKind.SuspectCleared;
        const traits = partTraits(sharedParts);
        this.peerNetwork.broadcast({kind, fingerprint, traits});
      },
      onConvicted: () => void this.sharedVerdicts.save(),
      isDown: upstream => this.reachability.isDown(upstream),
      claimTrial: verdict => this.sharedVerdicts.claimTrial(verdict),
    });
  }

  /** Connects the watch of cold upstreams to the other instances. */
  private createColdWatch(): ColdWatch {
    const {settings, log} = this.dependencies;
    return new ColdWatch(
      settings.cold,
      this.upstreamRegistry,
      this.clock,
      log,
      {
        expectsPeers: this.expectsPeers(),
        fleetView: () => this.peerNetwork.fleetView(),
        profileOf: service => this.routeTable.findService(service),
        reportCold: ({id, startedAt}, remaining) => {
          const kind = PeerMessageKind.UpstreamCold;
          this.peerNetwork.broadcast({
            kind,
            upstream: id,
            startedAt,
            remaining,
          });
        },
      },
    );
  }

  /** Whether the settings name other instances than this one. */
  private expectsPeers(): boolean {
    const {
      listen,
      advertise = listen,
      seeds,
    } = this.dependencies.settings.peers;
    return parseAddressList(seeds).some(address => address !== advertise);
  }

  /** Connects the planned stop to the other components. */
  private createShutdown(): Shutdown {
    const {settings, log} = this.dependencies;
    return new Shutdown({
      clock: this.clock,
      log,
      graceSeconds: settings.stop.graceSeconds,
      activeRequests: () => this.activeRequests(),
      announce: () => this.peerNetwork.sendHeartbeats(),
      closeConnections: () => this.frontServer.close(),
      endRequests: () => this.frontServer.endRequests(),
      returnShares: () => this.budgets.returnShares(),
    });
  }

  /** Connects the record of streams in the store to the other components. */
  private createStreamRecords(): StreamRecords {
    const {settings, store, log} = this.dependencies;
    return new StreamRecords(
      settings.zone,
      this.streamOrigins,
      this.upstreamRegistry,
      store,
      this.clock,
      log,
      {
        isRecorder: () =>
          !this.shutdown.hasBegun() &&
          this.peerNetwork.isRecorder(this.stateSync.storeSilence()),
        streamLifetimes: () => streamLifetimes(this.routeTable.configuration()),
        onStream: (stream, version) =>
          this.streamTracker.learn(stream, version),
      },
    );
  }

  /** Connects the tracker of streams to the other instances. */
  private createStreamTracker(): StreamTracker {
    const {peers} = this.dependencies.settings;
    const asker = peers.advertise ?? peers.listen;
    const {StreamBeginning, StreamQuery} = PeerMessageKind;
    return new StreamTracker(
      this.streamOrigins,
      this.upstreamRegistry,
      this.clock,
      {
        record: (stream, version) => this.streamRecords.add(stream, version),
        readRecords: () => this.streamRecords.refresh(),
        tellBeginning: (stream, version) =>
          this.peerNetwork.sendToHolders({
            kind: StreamBeginning,
            stream,
            version,
          }),
        ask: stream =>
          this.peerNetwork.sendToHolders({kind: StreamQuery, stream, asker}),
        confirmUpstreams: () => this.stateSync.confirmUpstreams(),
      },
    );
  }

  /**
   * Starts all components. An address that can't be listened on is tried again,
   * and holds up nothing else; resolves when callers can connect.
   */
  async start(): Promise<void> {
    const {settings, log} = this.dependencies;
    void this.proxyServer.listen(settings.peers.proxy);
    void this.metrics.listen(settings.metrics, log);
    this.peerNetwork.start();
    this.stateSync.start();
    this.sharedVerdicts.start();
    this.streamRecords.start();
    this.reachability.start();
    this.loopDelay.start();
    this.budgets.start();
    this.peerExchange.sendLoadPeriodically();
    setInterval(() => this.prune(), PRUNE_INTERVAL);
    setInterval(() => this.logCounts(), COUNTS_LOG_INTERVAL);
    await Promise.all([
      this.frontServer.listen(settings.listen.callers),
      this.readyServer.listen(settings.listen.ready),
    ]);
    log.info('gateway.started', {
      callers: settings.listen.callers,
      ...this.startCosts.logFields(),
      residentMb: Math.round(process.memoryUsage.rss() / 2 ** 20),
    });
  }

  /**
   * Performs a planned stop: finishes running requests and returns unspent
   * prepaid tokens, within the grace period of the settings. Resolves when the
   * process may exit.
   */
  drain(): Promise<void> {
    return this.shutdown.run();
  }

  /** Returns the number of requests of callers and peers that are running. */
  private activeRequests(): number {
    return (
      this.frontServer.activeRequests() + this.proxyServer.activeRequests()
    );
  }

  /** Whether the load balancer should send new connections. */
  isReady(): boolean {
    const isConfigured = this.routeTable.configuration() !== undefined;
    const canConnect = this.frontServer.isListening();
    return isConfigured && canConnect && !this.isClosing();
  }

  /**
   * Whether connections are closed after their next response, so that callers
   * connect to other instances: while this one stops or is not ready, as its
   * link is busy.
   */
  isClosing(): boolean {
    return this.shutdown.hasBegun() || !this.linkAdmission.isReady();
  }

  /** Counts bytes that were received from callers. */
  recordReceived(bytes: number): void {
    this.linkLoad.recordBytes(bytes, 0, this.clock.now());
  }

  /** Refuses a request on its head, if the link is too full for its body. */
  delayOfRefusedHead(incoming: IncomingMessage): Millis | undefined {
    const refused = this.linkAdmission.refusalOf(incoming);
    if (refused !== undefined) {
      this.recorder.recordRefusal(RefusalReason.MachineBusy, refused.id);
    }
    return refused?.retryAfter;
  }

  /** Returns the maximum size of a request body in bytes. */
  maxBodyBytes(): number {
    const limits = this.routeTable.configuration()?.limits;
    return limits?.maxBodyBytes ?? INITIAL_MAX_BODY_BYTES;
  }

  /** Counts a request whose caller left before anything was done for it. */
  recordDeparture(): void {
    this.metrics.recordDeparture();
  }

  /** Serves a request whose body has been read. */
  serve(request: BufferedRequest, response: CallerResponse): RequestHandle {
    return this.requestService.serve(request, response);
  }

  /** Returns the state that is reported to peers in heartbeats. */
  private heartbeatContent(): HeartbeatContent {
    const {era, revision} = this.upstreamRegistry.position();
    return {
      version: this.routeTable.version(),
      era,
      revision,
      evacuations: this.evacuationWatch.position(),
      verdicts: this.sharedVerdicts.knownRevision(),
      leaving: this.shutdown.hasBegun(),
      partitioned: this.reachability.isPartitioned(),
      storeSilence: this.storeSilence(),
      linkUse: this.linkLoad.reportedUtilisation(this.clock.now()),
    };
  }

  /** Returns the time since the store answered this instance or its relay. */
  private storeSilence(): Millis {
    const relayStoreSilence =
      this.peerNetwork.relayStoreSilence() ?? MAX_REPORTED_SILENCE;
    return Math.min(
      MAX_REPORTED_SILENCE,
      relayStoreSilence,
      this.stateSync.storeSilence(),
    );
  }

  /** Applies the limits of a new configuration and announces its version. */
  private handleNewConfiguration(): void {
    const configuration = this.routeTable.configuration();
    if (configuration !== undefined) {
      this.frontServer.applyLimits(configuration.limits);
      this.logFirstConfiguration();
    }
    this.peerNetwork.sendHeartbeats();
    this.budgets.handleChangedGrants();
  }

  /** Logs once what it has cost until requests can be served. */
  private logFirstConfiguration(): void {
    if (!this.wasConfigured) {
      this.wasConfigured = true;
      this.dependencies.log.info('gateway.configured', {cpuMs: usedTime()});
    }
  }

  /** Returns how many instances may be running, this one included. */
  private instanceCount(): number {
    return this.peerNetwork.instanceCount();
  }

  /** Deletes data about upstreams that are gone. */
  private prune(): void {
    const now = this.clock.now();
    this.upstreamRegistry.prune(now);
    const isListed = (id: string) => this.upstreamRegistry.isListed(id);
    this.placement.prune(isListed);
    this.limitWatch.prune(isListed);
    this.statementWatch.prune();
    this.brittleWatch.prune();
    this.coldWatch.prune();
    this.paths.prune();
  }

  /** Logs counts and resource use, for operators who collect no metrics. */
  private logCounts(): void {
    const {store, log} = this.dependencies;
    const {relay, followers, meshPeers} = this.peerNetwork.partners();
    const silence = this.reachability.silence();
    const link = this.linkAdmission.status();
    const processorUse = this.processorTime.takeRecent();
    const messages = this.peerNetwork.traffic.takeRecent();
    log.info('gateway.counts', {
      storeCalls: JSON.stringify(store.callCounts()),
      active: this.activeRequests(),
      linkUse: Number(link.use.toFixed(2)),
      linkReady: link.isReady,
      upstreamSilentMs: silence && Math.round(silence),
      instances: this.instanceCount(),
      role: this.peerNetwork.role(),
      relay,
      followers: followers.length,
      equals: meshPeers.length,
      cpuMs: usedTime(),
      cpuUserMs: processorUse.user,
      cpuSystemMs: processorUse.system,
      messages: JSON.stringify(Object.fromEntries(messages)),
      departed: this.metrics.departures(),
      maxDelayMs: Math.round(this.loopDelay.takeMax()),
      storeSilentMs: Math.round(this.storeSilence()),
    });
  }
}

/** Splits a comma-separated list of addresses. */
function parseAddressList(list: string): string[] {
  return list
    .split(',')
    .map(address => address.trim())
    .filter(address => address !== '');
}

/** Returns how many bytes of requests, and as many of responses, may be kept. */
function heldBytesLimit({machine}: GatewaySettings): number {
  return machine.memoryMb * MIB * HELD_FRACTION;
}

/**
 * Returns the capacity of the machine: that of its processor or that of its
 * link, whichever is lower.
 */
function machineCapacity({machine}: GatewaySettings): number {
  const {processorShare, cores, linkMbps} = machine;
  const processorCapacity = CORE_CAPACITY * processorShare * cores;
  return Math.round(Math.min(processorCapacity, linkMbps));
}
