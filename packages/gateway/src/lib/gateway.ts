/** One gateway: its tasks, wired together. */
import {
  LinkLoad,
  Placement,
  RepeatAllowance,
  RouteTable,
  SECOND,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import {
  sleep,
  randomId,
  MonotonicClock,
  waitAtMost,
} from '@citrontrestle/runtime';
import {BudgetTask} from './budget_task.js';
import {CrashWatch} from './crash_watch.js';
import {FrontServer} from './front_server.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {PeerMessageKind} from './peer_message.js';
import {PeerExchange} from './peer_exchange.js';
import {PeerTask} from './peer_task.js';
import {ReadyServer} from './ready_server.js';
import {RequestRecord} from './request_record.js';
import {RequestService} from './request_service.js';
import {StateTask} from './state_task.js';
import {TokenExchange} from './token_exchange.js';
import {UpstreamAgent} from './upstream_agent.js';
import type {BeatContent} from './peer_task.js';
import type {CallerAnswer} from './caller_answer.js';
import type {CallerWork, FrontOwner, ReadRequest} from './front_server.js';
import type {Dialect, Store} from './ports.js';
import type {GatewaySettings} from './settings.js';
import type {Surroundings} from './surroundings.js';
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Time before SIGKILL at which a planned stop ends in any case. */
const STOP_RESERVE: Millis = 300;

/** Time in which the balancer stops to send new connections. */
const BALANCER_NOTICE: Millis = 2_600;

/** Time for the last messages to peers to leave. */
const LINK_FLUSH: Millis = 20;

/** Interval in which a planned stop looks whether all work is done. */
const STOP_INTERVAL: Millis = 50;

/** Interval in which what is no longer needed is forgotten. */
const PRUNE_INTERVAL: Millis = 1_000;

/** Interval of the log line with counts. */
const COUNTS_INTERVAL: Millis = 10 * SECOND;

/** Body bound before a configuration is known, in bytes. */
const FIRST_BODY_BYTES = 4 * 1024 * 1024;

/** Longest silence that peers are told of. */
const MOST_SILENCE: Millis = 3_600_000;

/** Capacity of a whole core, and of a link of 100 Mbit/s. */
const FULL_CAPACITY = 100;

/** What a gateway runs with. */
export interface GatewayParts {
  settings: GatewaySettings;
  store: Store;
  dialect: Dialect;
  log: Log;
}

/** One gateway. */
export class Gateway implements FrontOwner {
  private readonly clock: Clock = new MonotonicClock();
  private readonly table = new RouteTable();
  private readonly registry = new UpstreamRegistry();
  private readonly placement = new Placement();
  private readonly agent = new UpstreamAgent();
  private readonly link: LinkLoad;
  private readonly metrics: GatewayMetrics;
  private readonly state: StateTask;
  private readonly budgets: BudgetTask;
  private readonly peers: PeerTask;
  private readonly suspects: CrashWatch;
  private readonly exchange: PeerExchange;
  private readonly tokens: TokenExchange;
  private readonly service: RequestService;
  private readonly front: FrontServer;
  private readonly readiness: ReadyServer;
  private stoppingAt: Millis | undefined;

  constructor(private readonly parts: GatewayParts) {
    const {settings, store, dialect, log} = parts;
    const {clock} = this;
    const {instance, zone, peers, repeats} = settings;
    this.link = new LinkLoad(settings.machine.linkMbps);
    const holder = `${instance}.${randomId(4)}`;
    this.metrics = new GatewayMetrics(store);
    this.state = new StateTask(
      this.table,
      this.registry,
      dialect,
      store,
      clock,
      log,
      {
        configured: () => this.configured(),
        gone: upstream => this.suspects.down(upstream),
        learned: (news, after, lapsed) =>
          this.exchange.pushUpstreams(news, after, lapsed),
        feedMode: () => this.exchange.feedMode(),
      },
    );
    this.peers = new PeerTask(
      {
        holder,
        instance,
        zone,
        capacity: capacityOf(settings),
        address: peers.advertise ?? peers.listen,
        listen: peers.listen,
        seeds: addressesOf(peers.seeds),
        key: peers.key,
      },
      clock,
      log,
      {
        content: () => this.content(),
        heard: (from, message) => this.exchange.take(from, message),
        parted: address => this.exchange.parted(address),
      },
    );
    this.budgets = new BudgetTask(holder, instance, store, clock, log, {
      granted: account => this.table.grantedTokens(account) ?? 0,
      accounts: () => this.table.budgetedAccounts(),
      instances: () => this.tokens.drawing(),
      askRelay: (account, tokens, ahead) =>
        this.tokens.askRelay(account, tokens, ahead),
      giveRelay: (account, tokens) => this.tokens.giveRelay(account, tokens),
      relayed: () => this.peers.heardRelay() !== undefined,
      ask: (account, tokens) => this.tokens.askTokens(account, tokens),
      handOver: (account, tokens) => this.tokens.handOver(account, tokens),
      after: (span, callback) => {
        setTimeout(callback, span);
      },
    });
    this.suspects = new CrashWatch(clock, {
      crashed: (fingerprint, upstream) => {
        log.warn('request.crashed-upstream', {fingerprint, upstream});
        const kind = PeerMessageKind.Suspect;
        this.peers.spread({kind, fingerprint, upstream});
      },
      cleared: fingerprint => {
        this.peers.spread({kind: PeerMessageKind.Cleared, fingerprint});
      },
    });
    this.tokens = new TokenExchange(this.budgets, this.peers, log);
    this.exchange = new PeerExchange({
      clock,
      log,
      table: this.table,
      registry: this.registry,
      placement: this.placement,
      state: this.state,
      budgets: this.budgets,
      tokens: this.tokens,
      suspects: this.suspects,
      peers: this.peers,
    });
    this.front = new FrontServer(dialect, this);
    this.readiness = new ReadyServer(() => this.ready());
    const surroundings: Surroundings = {
      zone,
      clock,
      log,
      dialect,
      agent: this.agent,
      placement: this.placement,
      upstreams: this.registry,
      repeats: new RepeatAllowance({
        ratio: repeats.ratio,
        slack: repeats.slack,
        window: repeats.windowSeconds * SECOND,
      }),
      suspects: this.suspects,
      link: this.link,
      instances: () => this.instances(),
      random: Math.random,
    };
    this.service = new RequestService(
      surroundings,
      this.table,
      this.budgets,
      new RequestRecord(clock, log, this.metrics, this.table, this.budgets),
    );
  }

  /** Starts all tasks. */
  async start(): Promise<void> {
    const {settings, log} = this.parts;
    this.state.start();
    await Promise.all([
      this.front.listen(settings.listen.callers),
      this.readiness.listen(settings.listen.ready),
      this.peers.start(),
      this.metrics.listen(settings.metrics),
    ]);
    this.budgets.start();
    this.exchange.tellLoad();
    setInterval(() => this.prune(), PRUNE_INTERVAL);
    setInterval(() => this.logCounts(), COUNTS_INTERVAL);
    log.info('gateway.started', {
      callers: settings.listen.callers,
      cpuMs: Math.round(process.cpuUsage().user / 1_000),
      residentMb: Math.round(process.memoryUsage.rss() / 2 ** 20),
    });
  }

  /** Planned stop: finishes what runs, returns the shares. */
  async drain(): Promise<void> {
    if (this.stoppingAt !== undefined) {
      return;
    }
    const begun = this.clock.now();
    this.stoppingAt = begun;
    const active = this.front.active();
    this.parts.log.info('gateway.stopping', {active});
    this.peers.beat();
    const grace = this.parts.settings.stop.graceSeconds * SECOND;
    const most = grace - STOP_RESERVE;
    await this.idle(begun + BALANCER_NOTICE, begun + most);
    // Kept connections may bring requests until they are closed.
    this.front.close();
    await this.idle(this.clock.now(), begun + most);
    const left = most + STOP_RESERVE / 2 - (this.clock.now() - begun);
    await waitAtMost(this.budgets.returnShares(), Math.max(0, left));
    await sleep(LINK_FLUSH);
    this.parts.log.info('gateway.stopped', {active: this.front.active()});
  }

  /** Waits until no request is served, from a time on and up to another. */
  private idle(from: Millis, until: Millis): Promise<void> {
    return new Promise(resolve => {
      const timer = setInterval(() => {
        const now = this.clock.now();
        const idle = now > from && this.front.active() === 0;
        if (idle || now > until) {
          clearInterval(timer);
          resolve();
        }
      }, STOP_INTERVAL);
    });
  }

  /** Whether the instance takes new connections. */
  ready(): boolean {
    const configured = this.table.configuration() !== undefined;
    return configured && !this.closing();
  }

  /** Called by the front server. */
  closing(): boolean {
    const stopping = this.stoppingAt !== undefined;
    return stopping || this.link.isBusy(this.clock.now());
  }

  /** Called by the front server. */
  mostBodyBytes(): number {
    const limits = this.table.configuration()?.limits;
    return limits?.maxBodyBytes ?? FIRST_BODY_BYTES;
  }

  /** Called by the front server. */
  serve(request: ReadRequest, answer: CallerAnswer): CallerWork {
    return this.service.serve(request, answer);
  }

  private content(): BeatContent {
    return {
      version: this.table.version(),
      revision: this.registry.revision(),
      leaving: this.stoppingAt !== undefined,
      storeSilence: this.storeSilence(),
    };
  }

  /** Time since the store answered this instance or its relay. */
  private storeSilence(): Millis {
    const relayed = this.peers.relayStoreSilence() ?? MOST_SILENCE;
    return Math.min(MOST_SILENCE, relayed, this.state.storeSilence());
  }

  private configured(): void {
    const configuration = this.table.configuration();
    if (configuration !== undefined) {
      this.front.bound(configuration.limits);
    }
    this.peers.beat();
    this.budgets.granted();
  }

  private instances(): number {
    return this.peers.count();
  }

  private prune(): void {
    const now = this.clock.now();
    this.registry.prune(now);
    this.placement.prune(id => this.registry.isListed(id));
  }

  /** Logs what the instance has cost so far, for those without metrics. */
  private logCounts(): void {
    const {store, log} = this.parts;
    const {relay, followers, meshPeers} = this.peers.partners();
    log.info('gateway.counts', {
      storeCalls: JSON.stringify(store.callCounts()),
      active: this.front.active(),
      linkUse: Number(this.link.utilisation(this.clock.now()).toFixed(2)),
      instances: this.instances(),
      relay,
      followers: followers.length,
      equals: meshPeers.length,
      cpuMs: Math.round(process.cpuUsage().user / 1_000),
    });
  }
}

/** Addresses separated by commas. */
function addressesOf(list: string): string[] {
  return list
    .split(',')
    .map(address => address.trim())
    .filter(address => address !== '');
}

/** What the machine can carry, by what is scarcer: processor or link. */
function capacityOf({machine}: GatewaySettings): number {
  const {processorShare, cores, linkMbps} = machine;
  const processor = FULL_CAPACITY * processorShare * cores;
  return Math.round(Math.min(processor, linkMbps));
}
