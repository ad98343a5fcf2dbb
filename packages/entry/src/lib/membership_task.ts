/** Owns the view of the fleet: reads the instance list and probes peers. */
import {Membership} from '@citrontrestle/decisions';
import {InstanceKind} from '@citrontrestle/platform';
import type {Clock, Millis, Peer} from '@citrontrestle/decisions';
import type {Instance, InstanceListClient} from '@citrontrestle/platform';

/** Interval of readings of the instance list. */
const INSTANCE_LIST_INTERVAL: Millis = 1_000;

/** Interval of probes. */
const PROBE_INTERVAL: Millis = 500;

/** Peers probed at once. */
const PEERS_PER_PROBE_ROUND = 4;

/** Settings of a membership task. */
export interface MembershipSettings {
  /** Own address for links. */
  address: string;
  seeds: string[];
}

/** What a membership task does through others. */
export interface MembershipDependencies {
  instanceList: Pick<InstanceListClient, 'read'>;
  clock: Clock;
  probe(address: string): void;
  /** Called with each instance list read. */
  onInstanceList(instances: Instance[]): void;
  /** Called when the live peers may have changed. */
  onPeersChanged(peers: Peer[]): void;
}

/** Owns the view of the fleet. */
export class MembershipTask {
  private readonly membership: Membership;
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(
    private readonly settings: MembershipSettings,
    private readonly dependencies: MembershipDependencies,
  ) {
    this.membership = new Membership(PEERS_PER_PROBE_ROUND);
    const seeds = settings.seeds.map(address => ({address, zone: ''}));
    this.membership.applyInstanceList(
      this.excludeOwnEntry(seeds),
      dependencies.clock.now(),
    );
  }

  /** Starts to read the list and to probe. */
  start(): void {
    void this.readInstanceList();
    this.probePeers();
    this.timers.push(
      setInterval(() => {
        void this.readInstanceList();
      }, INSTANCE_LIST_INTERVAL),
      setInterval(() => {
        this.probePeers();
      }, PROBE_INTERVAL),
    );
  }

  /** Stops both. */
  stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
  }

  /** Live peers. */
  livePeers(): Peer[] {
    return this.membership.livePeers(this.dependencies.clock.now());
  }

  /** Whether an incarnation was heard lately. */
  isAlive(holder: string): boolean {
    return this.membership.isAlive(holder, this.dependencies.clock.now());
  }

  /** Notes a message from a peer. */
  recordMessage(address: string, zone: string, holder: string): void {
    const now = this.dependencies.clock.now();
    const wasAlive = this.membership.isAlive(holder, now);
    this.membership.recordMessage(address, zone, holder, now);
    if (!wasAlive) {
      this.dependencies.onPeersChanged(this.livePeers());
    }
  }

  /** Notes that a peer is leaving. */
  markLeaving(holder: string): void {
    this.membership.markLeaving(holder);
    this.dependencies.onPeersChanged(this.livePeers());
  }

  private async readInstanceList(): Promise<void> {
    const instances = await this.dependencies.instanceList.read();
    if (instances === undefined) {
      return;
    }
    const entries = instances.filter(
      instance => instance.kind === InstanceKind.Entry,
    );
    const seeds = this.settings.seeds.map(address => ({address, zone: ''}));
    const otherEntries = this.excludeOwnEntry([...entries, ...seeds]);
    this.membership.applyInstanceList(
      otherEntries,
      this.dependencies.clock.now(),
    );
    this.dependencies.onInstanceList(instances);
  }

  private excludeOwnEntry<T extends {address: string}>(entries: T[]): T[] {
    return entries.filter(entry => entry.address !== this.settings.address);
  }

  private probePeers(): void {
    for (const address of this.membership.pickProbeTargets(Math.random)) {
      this.dependencies.probe(address);
    }
    this.dependencies.onPeersChanged(this.livePeers());
  }
}
