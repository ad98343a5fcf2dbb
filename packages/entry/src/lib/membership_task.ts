/**
 * Keeps the list of live peers current, by reading the instance list and
 * probing peers at regular intervals.
 */
import {Membership} from '@citrontrestle/decisions';
import {InstanceKind} from '@citrontrestle/platform';
import type {Clock, Millis, Peer} from '@citrontrestle/decisions';
import type {Instance, InstanceListClient} from '@citrontrestle/platform';

/** Interval between reads of the instance list. */
const INSTANCE_LIST_INTERVAL: Millis = 1_000;

/** Interval between rounds of probes. */
const PROBE_INTERVAL: Millis = 500;

/** Number of randomly chosen peers that are probed in each round. */
const PEERS_PER_PROBE_ROUND = 4;

/** Settings of a membership task. */
export interface MembershipSettings {
  /** Address of this entry for links from other entries. */
  address: string;
  /**
   * Addresses of entries that are probed even if they aren't listed, or if the
   * instance list can't be read.
   */
  seeds: string[];
}

/** What a membership task needs, and whom it notifies. */
export interface MembershipDependencies {
  instanceList: Pick<InstanceListClient, 'read'>;
  clock: Clock;
  /** Sends a probe to the entry at an address. */
  probe(address: string): void;
  /** Called after each successful read of the instance list. */
  onInstanceList(instances: Instance[]): void;
  /** Called with the live peers whenever they may have changed. */
  onPeersChanged(peers: Peer[]): void;
}

/** Keeps the list of live peers of one entry current. */
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

  /** Reads the list and probes peers at once, then at regular intervals. */
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

  /** Stops reading the list and probing. */
  stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
  }

  /** Returns the peers heard from recently that aren't leaving. */
  livePeers(): Peer[] {
    return this.membership.livePeers(this.dependencies.clock.now());
  }

  /** Whether a run of an entry, by its holder id, was heard from recently. */
  isAlive(holder: string): boolean {
    return this.membership.isAlive(holder, this.dependencies.clock.now());
  }

  /** Records that a peer sent a message; a new peer is reported at once. */
  recordMessage(address: string, zone: string, holder: string): void {
    const now = this.dependencies.clock.now();
    const wasAlive = this.membership.isAlive(holder, now);
    this.membership.recordMessage(address, zone, holder, now);
    if (!wasAlive) {
      this.dependencies.onPeersChanged(this.livePeers());
    }
  }

  /** Records that a peer is shutting down. */
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
