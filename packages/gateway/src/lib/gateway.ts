/** One gateway: its tasks, wired together. */
import {
  Placement,
  RepeatAllowance,
  RouteTable,
  SECOND,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import {randomId, shortDigest, SteadyClock} from '@citrontrestle/runtime';
import {BudgetAnswer, BudgetTask} from './budget_task.js';
import {CrashWatch} from './crash_watch.js';
import {Forwarding} from './forwarding.js';
import {FrontServer} from './front_server.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {PeerMessageKind} from './peer_message.js';
import {PeerTask} from './peer_task.js';
import {ReadyServer} from './ready_server.js';
import {RefusalReason} from './refusal.js';
import {StateTask} from './state_task.js';
import {UpstreamAgent} from './upstream_agent.js';
import type {AdmittedRequest, ForwardingEnd} from './forwarding.js';
import type {BeatContent, PeerOwner} from './peer_task.js';
import type {CallerAnswer} from './caller_answer.js';
import type {CallerWork, FrontOwner, ReadRequest} from './front_server.js';
import type {Dialect, Store} from './ports.js';
import type {GatewaySettings} from './settings.js';
import type {PeerMessage} from './peer_message.js';
import type {Surroundings} from './surroundings.js';
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';
import type {IncomingMessage} from 'node:http';

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

/** Least interval in which peers hear of placed load. */
const LOAD_INTERVAL: Millis = 50;

/** Interval of news of load for each instance that must be told. */
const LOAD_PAUSE: Millis = 6;

/** Body bound before a configuration is known, in bytes. */
const FIRST_BODY_BYTES = 4 * 1024 * 1024;

/** What a gateway runs with. */
export interface GatewayParts {
  settings: GatewaySettings;
  store: Store;
  dialect: Dialect;
  log: Log;
}

/** One gateway. */
export class Gateway implements FrontOwner, PeerOwner {
  private readonly clock: Clock = new SteadyClock();
  private readonly table = new RouteTable();
  private readonly registry = new UpstreamRegistry();
  private readonly placement = new Placement();
  private readonly agent = new UpstreamAgent();
  private readonly metrics: GatewayMetrics;
  private readonly state: StateTask;
  private readonly budgets: BudgetTask;
  private readonly peers: PeerTask;
  private readonly suspects: CrashWatch;
  private readonly front: FrontServer;
  private readonly readiness: ReadyServer;
  private readonly surroundings: Surroundings;
  private stoppingAt: Millis | undefined;
  private toldLoad = '';
  private loadRepeats = 0;

  constructor(private readonly parts: GatewayParts) {
    const {settings, store, dialect, log} = parts;
    const {clock} = this;
    const {instance, zone, peers, repeats} = settings;
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
      },
    );
    this.peers = new PeerTask(
      {
        holder,
        instance,
        zone,
        address: peers.listen,
        seeds: addressesOf(peers.seeds),
        key: peers.key,
      },
      clock,
      log,
      this,
    );
    this.budgets = new BudgetTask(holder, instance, store, clock, log, {
      granted: account => this.table.grantedTo(account) ?? 0,
      accounts: () => this.table.budgets(),
      instances: () => this.instances(),
      ask: (account, tokens) => {
        const kind = PeerMessageKind.TokensAsk;
        this.peers.tellAll({kind, account, tokens: Math.ceil(tokens)});
      },
      handOver: (account, tokens) => this.handOver(account, tokens),
      after: (span, callback) => {
        setTimeout(callback, span);
      },
    });
    this.suspects = new CrashWatch(clock, {
      crashed: (fingerprint, upstream) => {
        log.warn('request.crashed-upstream', {fingerprint, upstream});
        const kind = PeerMessageKind.Suspect;
        this.peers.tellAll({kind, fingerprint, upstream});
      },
      cleared: fingerprint => {
        this.peers.tellAll({kind: PeerMessageKind.Cleared, fingerprint});
      },
    });
    this.front = new FrontServer(dialect, this);
    this.readiness = new ReadyServer(() => this.ready());
    this.surroundings = {
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
      instances: () => this.instances(),
      random: Math.random,
    };
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
    this.tellLoad();
    setInterval(() => this.prune(), PRUNE_INTERVAL);
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
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        const elapsed = this.clock.now() - begun;
        const idle = elapsed > BALANCER_NOTICE && this.front.active() === 0;
        if (idle || elapsed > most) {
          clearInterval(timer);
          resolve();
        }
      }, STOP_INTERVAL);
    });
    const left = most + STOP_RESERVE / 2 - (this.clock.now() - begun);
    await Promise.race([this.budgets.returnShares(), pause(left)]);
    await pause(LINK_FLUSH);
    this.parts.log.info('gateway.stopped', {active: this.front.active()});
  }

  /** Whether the instance takes new connections. */
  ready(): boolean {
    const configured = this.table.configuration() !== undefined;
    return configured && this.stoppingAt === undefined;
  }

  /** Called by the front server. */
  closing(): boolean {
    return this.stoppingAt !== undefined;
  }

  /** Called by the front server. */
  mostBodyBytes(): number {
    const limits = this.table.configuration()?.limits;
    return limits?.bodyBytes ?? FIRST_BODY_BYTES;
  }

  /** Called by the front server. */
  refusal(incoming: IncomingMessage): RefusalReason | undefined {
    if (this.table.configuration() === undefined) {
      return RefusalReason.NoConfiguration;
    }
    const caller = this.parts.dialect.callerRequest(
      incoming.method ?? '',
      incoming.url ?? '',
      incoming.headers,
    );
    if (caller.id === '') {
      return RefusalReason.BadRequest;
    }
    const route = this.table.route(caller.host, caller.path);
    if (route === undefined) {
      return RefusalReason.NoRoute;
    }
    const account = this.table.account(caller.apiKey ?? '');
    return route.open || account !== undefined
      ? undefined
      : RefusalReason.NoAccount;
  }

  /** Called by the front server. */
  serve(request: ReadRequest, answer: CallerAnswer): CallerWork {
    const admitted = this.admit(request);
    const work: {left: boolean; forwarding: Forwarding | undefined} = {
      left: false,
      forwarding: undefined,
    };
    const begin = () => {
      const forwarding = new Forwarding(
        admitted,
        answer,
        this.surroundings,
        end => this.ended(admitted, end),
      );
      work.forwarding = forwarding;
      forwarding.start();
    };
    if (this.suspects.blocked(admitted.fingerprint)) {
      this.refuse(admitted, answer, RefusalReason.CrashesUpstreams);
    } else if (reservationOf(admitted) === 0) {
      begin();
    } else {
      void this.reserve(admitted, answer, begin, () => work.left);
    }
    return {
      callerLeft: () => {
        work.left = true;
        work.forwarding?.callerLeft();
      },
    };
  }

  /** Called by the peer task. */
  content(): BeatContent {
    return {
      version: this.table.version(),
      revision: this.registry.revision(),
      leaving: this.stoppingAt !== undefined,
    };
  }

  /** Called by the peer task. */
  beat(
    from: string,
    message: PeerMessage & {kind: PeerMessageKind.Beat},
  ): void {
    if (message.version > this.table.version()) {
      this.peers.send(from, {kind: PeerMessageKind.ConfigurationAsk});
    }
    if (message.revision > this.registry.revision()) {
      this.peers.send(from, {kind: PeerMessageKind.UpstreamsAsk});
    }
  }

  /** Called by the peer task. */
  heard(from: string, message: PeerMessage): void {
    PEER_HANDLERS[message.kind](this, from, message);
  }

  /** Takes the load that a peer has placed. */
  takeLoad(
    message: PeerMessage & {kind: PeerMessageKind.Load},
    from: string,
  ): void {
    const loads = new Map(
      message.loads.map(([id, running, reading]) => [id, {running, reading}]),
    );
    this.placement.peerLoad(from, loads, this.clock.now());
  }

  /** Answers a peer that asks for the configuration. */
  giveConfiguration(to: string): void {
    const value = this.state.configurationValue();
    if (value !== undefined) {
      const kind = PeerMessageKind.ConfigurationGive;
      this.peers.send(to, {kind, value: Uint8Array.from(value)});
    }
  }

  /** Takes a configuration that a peer gave. */
  takeConfiguration(value: Uint8Array, from: string): void {
    this.state.takeConfiguration(Buffer.from(value), from);
  }

  /** Answers a peer that asks for the list of upstreams. */
  giveUpstreams(to: string): void {
    const news = this.registry.news();
    this.peers.send(to, {kind: PeerMessageKind.UpstreamsGive, news});
  }

  /** Takes news of upstreams that a peer gave. */
  takeUpstreams(
    message: PeerMessage & {kind: PeerMessageKind.UpstreamsGive},
    from: string,
  ): void {
    const news = message.news.map(({id, revision, listing}) => ({
      id,
      revision,
      listing,
    }));
    this.state.takeNews(news, from);
  }

  /** Answers a peer that asks for tokens. */
  giveTokens(to: string, account: string, tokens: number): void {
    const given = this.budgets.give(account, tokens);
    if (given > 0) {
      const kind = PeerMessageKind.TokensGive;
      this.peers.send(to, {kind, account, tokens: given});
      this.parts.log.info('budget.given', {account, tokens: given, peer: to});
    }
  }

  /** Takes tokens that a peer gave. */
  takeTokens(account: string, tokens: number): void {
    this.budgets.receive(account, tokens);
  }

  /** Another instance lost an upstream under a request. */
  takeSuspect(fingerprint: string, upstream: string): void {
    this.suspects.heard(fingerprint, upstream);
  }

  /** Another instance saw a suspected request answered. */
  takeCleared(fingerprint: string): void {
    this.suspects.heardAnswered(fingerprint);
  }

  private configured(): void {
    const configuration = this.table.configuration();
    if (configuration !== undefined) {
      this.front.bound(configuration.limits);
    }
    this.peers.beat();
    this.budgets.granted();
  }

  /** Gives tokens to one of the peers that run. */
  private handOver(account: string, tokens: number): boolean {
    const live = this.peers.staying();
    const to = live[Math.floor(Math.random() * live.length)];
    if (to === undefined) {
      return false;
    }
    this.peers.send(to, {kind: PeerMessageKind.TokensGive, account, tokens});
    return true;
  }

  private instances(): number {
    return 1 + this.peers.live().length;
  }

  /** Tells the peers what this instance has placed, if that changed. */
  private tellLoad(): void {
    const loads = [...this.placement.ownLoad()].map(
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
      this.peers.tellAll({kind: PeerMessageKind.Load, loads});
    }
    const span = Math.max(LOAD_INTERVAL, LOAD_PAUSE * this.instances());
    setTimeout(() => this.tellLoad(), span);
  }

  private prune(): void {
    const now = this.clock.now();
    this.registry.prune(now);
    this.placement.prune(id => this.registry.isListed(id));
  }

  private admit({incoming, body}: ReadRequest): AdmittedRequest {
    const method = incoming.method ?? '';
    const target = incoming.url ?? '';
    const {dialect} = this.parts;
    const caller = dialect.callerRequest(method, target, incoming.headers);
    const route = this.table.route(caller.host, caller.path);
    if (route === undefined) {
      throw new Error('a request without a route was admitted');
    }
    const account = route.open
      ? undefined
      : this.table.account(caller.apiKey ?? '');
    return {
      caller,
      method,
      target,
      rawHeaders: incoming.rawHeaders,
      body,
      route,
      account,
      arrivedAt: this.clock.now(),
      fingerprint: shortDigest(
        method,
        target,
        account?.name ?? '',
        body.toString('latin1'),
      ),
    };
  }

  private async reserve(
    admitted: AdmittedRequest,
    answer: CallerAnswer,
    begin: () => void,
    left: () => boolean,
  ): Promise<void> {
    const account = admitted.account?.name ?? '';
    const tokens = reservationOf(admitted);
    const outcome = await this.budgets.reserve(account, tokens);
    const {Reserved, Exhausted} = BudgetAnswer;
    if (outcome !== Reserved) {
      const {BudgetExhausted, BudgetUnavailable} = RefusalReason;
      const reason =
        outcome === Exhausted ? BudgetExhausted : BudgetUnavailable;
      if (!left()) {
        this.refuse(admitted, answer, reason);
      }
      return;
    }
    if (left()) {
      this.budgets.settle(account, tokens, 0);
      return;
    }
    begin();
  }

  private refuse(
    admitted: AdmittedRequest,
    answer: CallerAnswer,
    reason: RefusalReason,
  ): void {
    answer.refuse(reason);
    this.record(admitted, {
      outcome: reason,
      upstream: undefined,
      attempts: 0,
      mayHaveRun: false,
      events: 0,
      firstByteAt: undefined,
    });
  }

  private ended(admitted: AdmittedRequest, end: ForwardingEnd): void {
    const reserved = reservationOf(admitted);
    if (reserved > 0) {
      const account = admitted.account?.name ?? '';
      this.budgets.settle(account, reserved, this.used(admitted, end));
    }
    if (end.outcome === 'answered') {
      this.suspects.answered(admitted.fingerprint);
    }
    this.record(admitted, end);
  }

  /** Tokens that a request consumed: its prompt once, and what it was sent. */
  private used(admitted: AdmittedRequest, end: ForwardingEnd): number {
    if (!end.mayHaveRun) {
      return 0;
    }
    const service = admitted.route.targets[0]?.service ?? '';
    const engine = this.table.service(service)?.engine;
    const most = admitted.caller.usage?.mostOutput ?? 0;
    const output = end.events * (engine?.tokensPerEvent ?? most);
    return (admitted.caller.usage?.input ?? 0) + output;
  }

  private record(admitted: AdmittedRequest, end: ForwardingEnd): void {
    const now = this.clock.now();
    const {caller, route, account, arrivedAt} = admitted;
    const wholeMs = Math.round(now - arrivedAt);
    const firstMs =
      end.firstByteAt === undefined
        ? undefined
        : Math.round(end.firstByteAt - arrivedAt);
    this.metrics.ended(route.name, end.outcome, wholeMs, firstMs);
    this.parts.log.info('request.ended', {
      request: caller.id,
      route: route.name,
      account: account?.name,
      outcome: end.outcome,
      upstream: end.upstream,
      attempts: end.attempts,
      mayHaveRun: end.mayHaveRun,
      events: end.events,
      tokens: reservationOf(admitted),
      used: this.used(admitted, end),
      granted: account && this.table.grantedTo(account.name),
      available: account && Math.round(this.budgets.available(account.name)),
      untaken: account && this.budgets.untaken(account.name),
      version: this.table.version(),
      wholeMs,
      firstMs,
    });
  }
}

/** Tokens that a request may consume at its most. */
function reservationOf({caller, account}: AdmittedRequest): number {
  const {usage} = caller;
  const counted = account?.granted !== undefined && usage !== undefined;
  return counted ? usage.input + usage.mostOutput : 0;
}

/** Addresses separated by commas. */
function addressesOf(list: string): string[] {
  return list
    .split(',')
    .map(address => address.trim())
    .filter(address => address !== '');
}

function pause(span: Millis): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, Math.max(0, span));
  });
}

type PeerHandler = (
  gateway: Gateway,
  from: string,
  message: PeerMessage,
) => void;

/** Builds a handler for one kind of message. */
function on<K extends PeerMessageKind>(
  kind: K,
  handle: (
    gateway: Gateway,
    from: string,
    message: PeerMessage & {kind: K},
  ) => void,
): PeerHandler {
  return (gateway, from, message) => {
    if (message.kind === kind) {
      handle(gateway, from, message as PeerMessage & {kind: K});
    }
  };
}

const PEER_HANDLERS: Readonly<Record<PeerMessageKind, PeerHandler>> = {
  [PeerMessageKind.Beat]: on(PeerMessageKind.Beat, (gateway, from, message) =>
    gateway.beat(from, message),
  ),
  [PeerMessageKind.Load]: on(PeerMessageKind.Load, (gateway, from, message) =>
    gateway.takeLoad(message, from),
  ),
  [PeerMessageKind.ConfigurationAsk]: (gateway, from) =>
    gateway.giveConfiguration(from),
  [PeerMessageKind.ConfigurationGive]: on(
    PeerMessageKind.ConfigurationGive,
    (gateway, from, message) => gateway.takeConfiguration(message.value, from),
  ),
  [PeerMessageKind.UpstreamsAsk]: (gateway, from) =>
    gateway.giveUpstreams(from),
  [PeerMessageKind.UpstreamsGive]: on(
    PeerMessageKind.UpstreamsGive,
    (gateway, from, message) => gateway.takeUpstreams(message, from),
  ),
  [PeerMessageKind.TokensAsk]: on(
    PeerMessageKind.TokensAsk,
    (gateway, from, message) =>
      gateway.giveTokens(from, message.account, message.tokens),
  ),
  [PeerMessageKind.TokensGive]: on(
    PeerMessageKind.TokensGive,
    (gateway, _from, message) =>
      gateway.takeTokens(message.account, message.tokens),
  ),
  [PeerMessageKind.Cleared]: on(
    PeerMessageKind.Cleared,
    (gateway, _from, message) => gateway.takeCleared(message.fingerprint),
  ),
  [PeerMessageKind.Suspect]: on(
    PeerMessageKind.Suspect,
    (gateway, _from, message) =>
      gateway.takeSuspect(message.fingerprint, message.upstream),
  ),
};
