/**
 * One entry: a process that accepts requests from callers, charges them to the
 * budgets of their accounts and forwards them to upstreams.
 */
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
import {AccountIndex} from './account_index.js';
import {ConfigurationTask} from './configuration_task.js';
import {FleetMessenger} from './fleet_messenger.js';
import {JobRecorder} from './job.js';
import {MembershipTask} from './membership_task.js';
import {ChatProcessor} from './chat_processor.js';
import {OperatorListener} from './operator_listener.js';
import {ServiceProcessor} from './service_processor.js';
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

/** Maximum time of a graceful stop to write charges and return shares. */
const MAX_SETTLE_WAIT: Millis = 10_000;

/**
 * Delay between reporting "not ready" and draining connections, in which the
 * load balancer starts to send callers to other entries.
 */
const DRAIN_DELAY: Millis = 200;

/** Addresses that an entry listens on, as `ip:port`. */
export interface EntryAddresses {
  callers: string;
  fleet: string;
  operators: string;
}

/** Creates the tasks and listeners of one entry and connects them. */
export class Entry implements CallerRequestHandler {
  /** Id of this run of the entry; a restarted entry has a new one. */
  readonly holder: string;
  readonly keyValue: KeyValueClient;
  private readonly clock: Clock = new SystemClock();
  private readonly metrics: Metrics;
  private readonly instanceList: InstanceListClient;
  private readonly engineClient = new EngineClient();
  private readonly callerListener = new CallerListener(this);
  private readonly operatorListener: OperatorListener;
  private readonly configurationTask: ConfigurationTask;
  private readonly walletTask: WalletTask;
  private readonly upstreamTask: UpstreamTask;
  private readonly fleetLinks: FleetLinks<Message>;
  private readonly fleetMessenger: FleetMessenger;
  private readonly chatProcessor: ChatProcessor;
  private readonly serviceProcessor: ServiceProcessor;
  private membershipTask: MembershipTask | undefined;
  private accountIndex: AccountIndex | undefined;
  private isDraining = false;
  private runningRequests = 0;

  constructor(
    private readonly settings: EntrySettings,
    private readonly log: Log,
    /** Called when an operator has closed this run in the ledger. */
    private readonly onFenced: () => void,
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
    this.instanceList = new InstanceListClient(
      platform.instances,
      platform.timeoutMs,
    );
    this.configurationTask = new ConfigurationTask(
      this.keyValue,
      log,
      configuration => {
        this.accountIndex = new AccountIndex(configuration);
      },
    );
    const suspectRequests = new SuspectRequests();
    this.upstreamTask = this.createUpstreamTask();
    this.walletTask = new WalletTask(this.walletSettings(), {
      keyValue: this.keyValue,
      clock: this.clock,
      send: (holder, message) => this.fleetMessenger.sendTo(holder, message),
      onFenced: () => {
        this.log.error('holder.fenced', {holder: this.holder});
        this.onFenced();
      },
    });
    this.fleetMessenger = new FleetMessenger({
      clock: this.clock,
      suspectRequests,
      wallet: this.walletTask,
      upstreams: this.upstreamTask,
      configuration: this.configurationTask,
      membership: () => this.membershipTask,
    });
    this.fleetLinks = new FleetLinks(
      this.fleetLinkSettings(),
      MESSAGE_SCHEMA,
      this.fleetMessenger,
      log,
    );
    this.fleetMessenger.setLinks(this.fleetLinks);
    const sharedDependencies = this.sharedDependencies();
    this.chatProcessor = new ChatProcessor({
      ...sharedDependencies,
      engineClient: this.engineClient,
      suspectRequests,
      reportUpstreamFailure: (fingerprint, upstream) =>
        this.fleetMessenger.broadcast({
          kind: MessageKind.SuspectRequest,
          fingerprint,
          upstream,
        }),
    });
    this.serviceProcessor = new ServiceProcessor({
      ...sharedDependencies,
      holder: this.holder,
      serviceClient: new ServiceClient(),
      keyValue: this.keyValue,
      isAlive: holder => this.membershipTask?.isAlive(holder) ?? false,
    });
    this.operatorListener = new OperatorListener(settings.operators.token, () =>
      this.status(),
    );
  }

  /** Starts all tasks and listeners; returns the addresses listened on. */
  async start(): Promise<EntryAddresses> {
    const {listen, fleet} = this.settings;
    const fleetAddress = await this.fleetLinks.start();
    this.membershipTask = new MembershipTask(
      {address: fleetAddress, seeds: fleet.seeds},
      {
        instanceList: this.instanceList,
        clock: this.clock,
        probe: target => this.fleetMessenger.probe(target),
        onInstanceList: instances =>
          this.upstreamTask.applyInstanceList(instances),
        onPeersChanged: peers => this.fleetMessenger.updatePeers(peers),
      },
    );
    this.membershipTask.start();
    this.upstreamTask.start();
    this.walletTask.start();
    this.configurationTask.start();
    const callerAddress = splitAddress(listen.callers);
    const callers = await this.callerListener.listen(
      callerAddress.host,
      callerAddress.port,
    );
    const operators = await this.operatorListener.start(listen.operators);
    this.log.info('entry.started', {holder: this.holder, callers});
    return {callers, fleet: fleetAddress, operators};
  }

  /**
   * Whether requests can be served: a configuration is in force, the wallet has
   * joined the ledger, and the entry isn't draining.
   */
  isReady(): boolean {
    const hasJoined = this.walletTask.wallet.isJoined();
    return this.accountIndex !== undefined && hasJoined && !this.isDraining;
  }

  /**
   * Stops gracefully: finishes running requests, settles charges and returns
   * the shares of the budgets, each within its time limit.
   */
  async drain(): Promise<void> {
    this.isDraining = true;
    this.log.info('entry.draining', {running: this.runningRequests});
    this.fleetMessenger.broadcast({kind: MessageKind.EntryLeaving});
    await sleep(DRAIN_DELAY);
    await waitAtMost(this.callerListener.drain(), this.settings.drainMs);
    await waitAtMost(this.walletTask.drain(), MAX_SETTLE_WAIT);
    await this.stop();
    this.log.info('entry.stopped');
  }

  /** Stops at once, without waiting for requests or settling charges. */
  async stop(): Promise<void> {
    this.membershipTask?.stop();
    this.upstreamTask.stop();
    this.walletTask.stop();
    this.configurationTask.stop();
    this.serviceProcessor.stop();
    this.fleetLinks.stop();
    this.engineClient.close();
    this.keyValue.close();
    this.instanceList.close();
    this.metrics.close();
    await Promise.all([
      this.callerListener.stop(),
      this.operatorListener.stop(),
    ]);
  }

  /** Serves a chat request from a model engine. */
  async handleChat(request: ChatRequest, reply: Reply): Promise<void> {
    const {model, messages, maxTokens} = request;
    const content = JSON.stringify([model, messages, maxTokens ?? null]);
    const {Engine} = UpstreamKind;
    const job = this.createJob(request, model, Engine, content, reply);
    if (job !== undefined) {
      await this.trackRunning(this.chatProcessor.serve(job, request, reply));
    }
  }

  /**
   * Serves a request from a plain service. A request that must not run twice
   * is refused without an idempotency key.
   */
  async handleWork(request: WorkRequest, reply: Reply): Promise<void> {
    const {method, query, body} = request;
    const content = `${method} ${query}\n${body.toString('latin1')}`;
    const {Service} = UpstreamKind;
    const job = this.createJob(
      request,
      request.className,
      Service,
      content,
      reply,
    );
    if (job === undefined) {
      return;
    }
    if (!job.workClass.idempotent && request.idempotencyKey === undefined) {
      reply.refuse(RefusalCode.IdempotencyKeyRequired);
      return;
    }
    await this.trackRunning(this.serviceProcessor.serve(job, request, reply));
  }

  /** Returns the status that operators can query. */
  status(): EntryStatus {
    return {
      instance: this.settings.instance,
      holder: this.holder,
      zone: this.settings.zone,
      ready: this.isReady(),
      draining: this.isDraining,
      generation: this.configurationTask.generation(),
      running: this.runningRequests,
      waiting: this.chatProcessor.waitingCount(),
      peers: (this.membershipTask?.livePeers() ?? []).map(peer => ({
        holder: peer.holder ?? '',
        zone: peer.zone,
      })),
      shares: this.walletTask.wallet.shareStatuses(),
      upstreams: this.upstreamTask.table.allStates().map(upstream => ({
        id: upstream.id,
        zone: upstream.zone,
        leaving: upstream.leaving,
        shunned: this.clock.now() < upstream.backoffUntil,
        inFlight: upstream.inFlight,
      })),
      keyValue: {
        ...this.keyValue.calls,
        failing: this.walletTask.wallet.isLedgerFailing(),
      },
    };
  }

  /** Authorizes a request; refuses it and returns undefined if that fails. */
  private createJob(
    request: Credentials & {id: string},
    className: string,
    kind: UpstreamKind,
    content: string,
    reply: Reply,
  ): Job | undefined {
    const refuse = (code: RefusalCode) => {
      reply.refuse(code);
      return undefined;
    };
    if (this.isDraining) {
      return refuse(RefusalCode.Draining);
    }
    if (this.accountIndex === undefined) {
      return refuse(RefusalCode.NotConfigured);
    }
    const authorization = this.accountIndex.authorize(
      request.apiKey,
      className,
      kind,
    );
    if (!authorization.ok) {
      return refuse(authorization.code);
    }
    const {account, workClass} = authorization;
    // A request without a key gets one that no other request has, so that it
    // never shares its digest.
    const idempotencyKey = request.idempotencyKey ?? `own ${request.id}`;
    const digest = shortDigest(
      account.name,
      className,
      idempotencyKey,
      content,
    );
    const startedAt = this.clock.now();
    return {id: request.id, account, workClass, digest, startedAt};
  }

  /** Counts a request as running until `work` has settled. */
  private async trackRunning(work: Promise<void>): Promise<void> {
    this.runningRequests += 1;
    try {
      await work;
    } finally {
      this.runningRequests -= 1;
    }
  }

  private createUpstreamTask(): UpstreamTask {
    const {zone, routing} = this.settings;
    const {policy, zoneMs, reportsPerSecond} = routing;
    const {holder} = this;
    return new UpstreamTask(
      {policy, zone, zoneMs, reportsPerSecond, holder},
      this.clock,
      () => 1 + (this.membershipTask?.livePeers().length ?? 0),
      upstream =>
        this.fleetMessenger.broadcast({
          kind: MessageKind.UpstreamLeaving,
          upstream,
        }),
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
      shareLimits: {horizon: budget.horizonMs, maxGrantFraction: budget.cap},
      copySettleInterval: budget.settleMs,
    };
  }

  private fleetLinkSettings() {
    const {zone, fleet, listen, advertise} = this.settings;
    const listenAddress = splitAddress(listen.fleet);
    return {
      holder: this.holder,
      zone,
      fleetKey: fleet.key,
      ...listenAddress,
      advertise,
    };
  }

  private sharedDependencies() {
    return {
      clock: this.clock,
      upstreams: this.upstreamTask,
      wallet: this.walletTask,
      retryBudget: new RetryBudget(),
      recorder: new JobRecorder(this.log, this.metrics),
    };
  }
}
