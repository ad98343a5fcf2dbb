/** Owns the view of the fleet: reads the instance list and probes peers. */
import {Membership} from '@citrontrestle/decisions';
import {InstanceKind} from '@citrontrestle/platform';
import type {Clock, Millis, Peer} from '@citrontrestle/decisions';
import type {Instance, InstanceListClient} from '@citrontrestle/platform';

/** Interval of readings of the instance list. */
const LIST_INTERVAL: Millis = 1_000;

/** Interval of probes. */
const PROBE_INTERVAL: Millis = 500;

/** Peers probed at once. */
const PROBES = 4;

/** Settings of a membership task. */
export interface MembershipSettings {
  /** Own address for links. */
  address: string;
  seeds: string[];
}

/** What a membership task does through others. */
export interface MembershipSurroundings {
  instances: Pick<InstanceListClient, 'read'>;
  clock: Clock;
  probe(address: string): void;
  /** Called with each instance list read. */
  listed(instances: Instance[]): void;
  /** Called when the live peers may have changed. */
  changed(peers: Peer[]): void;
}

/** Owns the view of the fleet. */
export class MembershipTask {
  private readonly members: Membership;
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(
    private readonly settings: MembershipSettings,
    private readonly around: MembershipSurroundings,
  ) {
    this.members = new Membership(PROBES);
    const seeds = settings.seeds.map(address => ({address, zone: ''}));
    this.members.applyInstanceList(this.others(seeds), around.clock.now());
  }

  /** Starts to read the list and to probe. */
  start(): void {
    void this.readList();
    this.probe();
    this.timers.push(
      setInterval(() => {
        void this.readList();
      }, LIST_INTERVAL),
      setInterval(() => {
        this.probe();
      }, PROBE_INTERVAL),
    );
  }

  /** Stops both. */
  stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
  }

  /** Live peers. */
  live(): Peer[] {
    return this.members.livePeers(this.around.clock.now());
  }

  /** Whether an incarnation was heard lately. */
  isAlive(holder: string): boolean {
    return this.members.isAlive(holder, this.around.clock.now());
  }

  /** Notes a message from a peer. */
  heard(address: string, zone: string, holder: string): void {
    const now = this.around.clock.now();
    const known = this.members.isAlive(holder, now);
    this.members.recordMessage(address, zone, holder, now);
    if (!known) {
      this.around.changed(this.live());
    }
  }

  /** Notes that a peer is leaving. */
  leaves(holder: string): void {
    this.members.markLeaving(holder);
    this.around.changed(this.live());
  }

  private async readList(): Promise<void> {
    const instances = await this.around.instances.read();
    if (instances === undefined) {
      return;
    }
    const entries = instances.filter(one => one.kind === InstanceKind.Entry);
    const seeds = this.settings.seeds.map(address => ({address, zone: ''}));
    const listed = this.others([...entries, ...seeds]);
    this.members.applyInstanceList(listed, this.around.clock.now());
    this.around.listed(instances);
  }

  private others<T extends {address: string}>(entries: T[]): T[] {
    return entries.filter(one => one.address !== this.settings.address);
  }

  private probe(): void {
    for (const address of this.members.pickProbeTargets(Math.random)) {
      this.around.probe(address);
    }
    this.around.changed(this.live());
  }
}
