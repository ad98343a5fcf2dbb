/** One entry: its tasks, wired together. */
import {
  RetryBudget,
  SuspectRequests,
  UpstreamKind,
  WALLET_DEFAULTS,
} from '@citrontrestle/decisions';
import {CallerListener, RefusalCode} from '@citrontrestle/caller';
import {EngineClient} from '@citrontrestle/engine';
import {FleetLinks, MESSAGE_SCHEMA, MessageKind} from '@citrontrestle/fleet';
import {InstanceListClient, KeyValueClient} from '@citrontrestle/platform';
import {ServiceClient} from '@citrontrestle/service';
import {
  createMetrics,
  sleep,
  randomId,
  shortDigest,
  splitAddress,
  SystemClock,
  waitAtMost,
} from '@citrontrestle/runtime';
import {AccountBook} from './account_book.js';
import {ConfigurationTask} from './configuration_task.js';
import {FleetTask} from './fleet_task.js';
import {JobRecord} from './job.js';
import {MembershipTask} from './membership_task.js';
import {ModelWork} from './model_work.js';
import {OperatorListener} from './operator_listener.js';
import {ServiceWork} from './service_work.js';
import {UpstreamTask} from './upstream_task.js';
import {WalletTask} from './wallet_task.js';
import type {
  ChatRequest,
  Credentials,
  CallerRequestHandler,
  Reply,
  WorkRequest,
} from '@citrontrestle/caller';
import type {Clock, Millis, WalletSettings} from '@citrontrestle/decisions';
import type {Message} from '@citrontrestle/fleet';
import type {Log, Metrics} from '@citrontrestle/runtime';
import type {EntrySettings} from './settings.js';
import type {EntryStatus} from './status.js';
import type {Job} from './job.js';

/** Longest wait for charges and shares to be written on a planned stop. */
const SETTLE_PATIENCE: Millis = 10_000;

/** Time for callers in the balancer's view to go elsewhere. */
const NOTICE: Millis = 200;

/** Addresses that an entry listens on, as `ip:port`. */
export interface EntryAddresses {
  callers: string;
  fleet: string;
  operators: string;
}

/** One entry. */
export class Entry implements CallerRequestHandler {
  /** Identity of this incarnation. */
  readonly holder: string;
  readonly keyValue: KeyValueClient;
  private readonly clock: Clock = new SystemClock();
  private readonly metrics: Metrics;
  private readonly instances: InstanceListClient;
  private readonly engines = new EngineClient();
  private readonly listener = new CallerListener(this);
  private readonly operators: OperatorListener;
  private readonly configuration: ConfigurationTask;
  private readonly wallet: WalletTask;
  private readonly upstreams: UpstreamTask;
  private readonly fleet: FleetLinks<Message>;
  private readonly fleetTask: FleetTask;
  private readonly model: ModelWork;
  private readonly service: ServiceWork;
  private members: MembershipTask | undefined;
  private book: AccountBook | undefined;
  private draining = false;
  private running = 0;

  constructor(
    private readonly settings: EntrySettings,
    private readonly log: Log,
    /** Called when an operator has closed this incarnation. */
    private readonly fenced: () => void,
  ) {
    const {instance, zone, platform} = settings;
    this.holder = `${instance}.${randomId(4)}`;
    this.metrics = createMetrics(settings.statsd, {instance, zone});
    this.keyValue = new KeyValueClient(
      {
        address: platform.keyValue,
        timeout: platform.timeoutMs,
        callsPerSecond: platform.callsPerSecond,
        burst: platform.burst,
      },
      this.clock,
    );
    this.instances = new InstanceListClient(
      platform.instances,
      platform.timeoutMs,
    );
    this.configuration = new ConfigurationTask(this.keyValue, log, next => {
      this.book = new AccountBook(next);
    });
    const suspects = new SuspectRequests();
    this.upstreams = this.createUpstreams();
    this.wallet = new WalletTask(this.walletSettings(), {
      keyValue: this.keyValue,
      clock: this.clock,
      send: (holder, message) => this.fleetTask.sendTo(holder, message),
      fenced: () => {
        this.log.error('holder.fenced', {holder: this.holder});
        this.fenced();
      },
    });
    this.fleetTask = new FleetTask({
      clock: this.clock,
      suspects,
      wallet: this.wallet,
      upstreams: this.upstreams,
      configuration: this.configuration,
      members: () => this.members,
    });
    this.fleet = new FleetLinks(
      this.fleetSettings(),
      MESSAGE_SCHEMA,
      this.fleetTask,
      log,
    );
    this.fleetTask.attach(this.fleet);
    const shared = this.sharedSurroundings();
    this.model = new ModelWork({
      ...shared,
      engines: this.engines,
      suspects,
      suspect: (fingerprint, upstream) =>
        this.fleetTask.tellAll({
          kind: MessageKind.SuspectRequest,
          fingerprint,
          upstream,
        }),
    });
    this.service = new ServiceWork({
      ...shared,
      holder: this.holder,
      services: new ServiceClient(),
      keyValue: this.keyValue,
      isAlive: holder => this.members?.isAlive(holder) ?? false,
    });
    this.operators = new OperatorListener(settings.operators.token, () =>
      this.status(),
    );
  }

  /** Starts all tasks; returns the addresses. */
  async start(): Promise<EntryAddresses> {
    const {listen, fleet} = this.settings;
    const address = await this.fleet.start();
    this.members = new MembershipTask(
      {address, seeds: fleet.seeds},
      {
        instances: this.instances,
        clock: this.clock,
        probe: target => this.fleetTask.probe(target),
        listed: instances => this.upstreams.list(instances),
        changed: peers => this.fleetTask.peersChanged(peers),
      },
    );
    this.members.start();
    this.upstreams.start();
    this.wallet.start();
    this.configuration.start();
    const own = splitAddress(listen.callers);
    const callers = await this.listener.listen(own.host, own.port);
    const operators = await this.operators.start(listen.operators);
    this.log.info('entry.started', {holder: this.holder, callers});
    return {callers, fleet: address, operators};
  }

  /** Whether requests can be served. */
  ready(): boolean {
    const joined = this.wallet.wallet.hasJoined();
    return this.book !== undefined && joined && !this.draining;
  }

  /** Planned stop: finishes what runs, settles, returns the shares. */
  async drain(): Promise<void> {
    this.draining = true;
    this.log.info('entry.draining', {running: this.running});
    this.fleetTask.tellAll({kind: MessageKind.EntryLeaving});
    await sleep(NOTICE);
    await waitAtMost(this.listener.drain(), this.settings.drainMs);
    await waitAtMost(this.wallet.drain(), SETTLE_PATIENCE);
    await this.stop();
    this.log.info('entry.stopped');
  }

  /** Ends at once, without settling. */
  async stop(): Promise<void> {
    this.members?.stop();
    this.upstreams.stop();
    this.wallet.stop();
    this.configuration.stop();
    this.service.stop();
    this.fleet.stop();
    this.engines.close();
    this.keyValue.close();
    this.instances.close();
    this.metrics.close();
    await Promise.all([this.listener.stop(), this.operators.stop()]);
  }

  /** Serves engine work. */
  async handleChat(request: ChatRequest, reply: Reply): Promise<void> {
    const {model, messages, maxTokens} = request;
    const body = JSON.stringify([model, messages, maxTokens ?? null]);
    const {Engine} = UpstreamKind;
    const job = this.job(request, model, Engine, body, reply);
    if (job !== undefined) {
      await this.count(this.model.serve(job, request, reply));
    }
  }

  /** Serves work for plain services. */
  async handleWork(request: WorkRequest, reply: Reply): Promise<void> {
    const {method, query, body} = request;
    const text = `${method} ${query}\n${body.toString('latin1')}`;
    const {Service} = UpstreamKind;
    const job = this.job(request, request.className, Service, text, reply);
    if (job === undefined) {
      return;
    }
    if (!job.workClass.idempotent && request.idempotencyKey === undefined) {
      reply.refuse(RefusalCode.IdempotencyKeyRequired);
      return;
    }
    await this.count(this.service.serve(job, request, reply));
  }

  /** What operators see of this entry. */
  status(): EntryStatus {
    return {
      instance: this.settings.instance,
      holder: this.holder,
      zone: this.settings.zone,
      ready: this.ready(),
      draining: this.draining,
      generation: this.configuration.generation(),
      running: this.running,
      waiting: this.model.waiting(),
      peers: (this.members?.live() ?? []).map(peer => ({
        holder: peer.holder ?? '',
        zone: peer.zone,
      })),
      shares: this.wallet.wallet.shareStatuses(),
      upstreams: this.upstreams.table.allStates().map(one => ({
        id: one.id,
        zone: one.zone,
        leaving: one.leaving,
        shunned: this.clock.now() < one.backoffUntil,
        inFlight: one.inFlight,
      })),
      keyValue: {
        ...this.keyValue.calls,
        failing: this.wallet.wallet.isLedgerFailing(),
      },
    };
  }

  /** Admits a request to its class, or refuses it. */
  private job(
    request: Credentials & {id: string},
    className: string,
    kind: UpstreamKind,
    body: string,
    reply: Reply,
  ): Job | undefined {
    const refuse = (code: RefusalCode) => {
      reply.refuse(code);
      return undefined;
    };
    if (this.draining) {
      return refuse(RefusalCode.Draining);
    }
    if (this.book === undefined) {
      return refuse(RefusalCode.NotConfigured);
    }
    const permission = this.book.permit(request.apiKey, className, kind);
    if (!permission.ok) {
      return refuse(permission.code);
    }
    const {account, workClass} = permission;
    const key = request.idempotencyKey ?? `own ${request.id}`;
    const digest = shortDigest(account.name, className, key, body);
    const begun = this.clock.now();
    return {id: request.id, account, workClass, digest, begun};
  }

  private async count(work: Promise<void>): Promise<void> {
    this.running += 1;
    try {
      await work;
    } finally {
      this.running -= 1;
    }
  }

  private createUpstreams(): UpstreamTask {
    const {zone, routing} = this.settings;
    const {policy, zoneMs, reportsPerSecond} = routing;
    const {holder} = this;
    return new UpstreamTask(
      {policy, zone, zoneMs, reportsPerSecond, holder},
      this.clock,
      () => 1 + (this.members?.live().length ?? 0),
      upstream =>
        this.fleetTask.tellAll({kind: MessageKind.UpstreamLeaving, upstream}),
    );
  }

  private walletSettings(): WalletSettings {
    const {budget, fleet, instance, zone} = this.settings;
    return {
      ...WALLET_DEFAULTS,
      policy: budget.policy,
      holder: this.holder,
      instance,
      zone,
      partitionCount: budget.partitions,
      declaredEntries: fleet.entries,
      shareLimits: {horizon: budget.horizonMs, cap: budget.cap},
      copySettleInterval: budget.settleMs,
    };
  }

  private fleetSettings() {
    const {zone, fleet, listen, advertise} = this.settings;
    const own = splitAddress(listen.fleet);
    return {holder: this.holder, zone, fleetKey: fleet.key, ...own, advertise};
  }

  private sharedSurroundings() {
    return {
      clock: this.clock,
      upstreams: this.upstreams,
      wallet: this.wallet,
      retries: new RetryBudget(),
      record: new JobRecord(this.log, this.metrics),
    };
  }
}
