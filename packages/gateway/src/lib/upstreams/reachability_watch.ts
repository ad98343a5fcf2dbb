/**
 * Detects whether this instance is partitioned from the upstreams, by its calls
 * to them and by probes.
 */
import {randomSample} from '@citrontrestle/decisions';
import {checkConnection, ConnectionCheck} from './connection_check.js';
import type {UpstreamAddress} from '../crashes/crash_watch.js';
import type {ConnectionObserver} from './upstream_call.js';
import type {UpstreamAgent} from './upstream_agent.js';
import type {
  Clock,
  LinkLoad,
  Millis,
  Reachability,
  UpstreamListing,
  UpstreamRegistry,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Interval at which it is checked whether probes are due. */
const CHECK_INTERVAL: Millis = 100;

/**
 * Time without anything from the upstreams after which connections that take long
 * count as failed also while the own link is crowded.
 */
const MAX_CROWDED_SILENCE: Millis = 2_000;

/** Number of other upstreams with which one that may be down is compared. */
const COMPARED_UPSTREAMS = 3;

/** Watches the ways from one instance to the upstreams. */
export class ReachabilityWatch {
  private wasPartitioned = false;

  constructor(
    private readonly reachability: Reachability,
    private readonly registry: UpstreamRegistry,
    private readonly agent: UpstreamAgent,
    private readonly linkLoad: LinkLoad,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Called when the instance has become partitioned, or no longer is. */
    private readonly onChanged: () => void,
    /** Whether this process stood still just before. */
    private readonly hasStoodStill: () => boolean = () => false,
  ) {}

  /** Starts to probe upstreams when there is a doubt. */
  start(): void {
    setInterval(() => this.probeIfDue(), CHECK_INTERVAL);
  }

  /** Whether new connections to upstreams fail. */
  isPartitioned(): boolean {
    // Asked for each request, so the list is built only in doubt.
    return (
      this.reachability.hasFailures() &&
      this.reachability.isPartitioned(this.registry.listedUpstreams().length)
    );
  }

  /** Whether a request can reach an upstream without a peer. */
  reachesDirectly({address}: UpstreamListing, requestId: string): boolean {
    if (!this.isPartitioned()) {
      return true;
    }
    const now = this.clock.now();
    return (
      this.reachability.trustsOpenConnections(now) &&
      this.agent.hasConnectionFor(address, requestId)
    );
  }

  /**
   * Determines whether an upstream is down: it refuses connections, and another
   * one accepts them, or there is no other. Without that, this instance may be
   * partitioned; silence proves nothing either.
   */
  async isDown({id, address}: UpstreamAddress): Promise<boolean> {
    const {Accepted, Refused} = ConnectionCheck;
    if ((await checkConnection(address)) !== Refused) {
      return false;
    }
    const others = this.registry
      .listedUpstreams()
      .filter(other => other.id !== id);
    const compared = randomSample(others, COMPARED_UPSTREAMS, Math.random);
    const results = await Promise.all(
      compared.map(other => checkConnection(other.address)),
    );
    return results.length === 0 || results.includes(Accepted);
  }

  /**
   * Whether the process that has just closed a connection still accepts others at
   * its address (`ip:port`). Tries twice unless one is refused: the network may lose
   * one. After a standstill of this process the connection may have been closed long
   * before, and another process may accept them now.
   */
  async isProcessThere(address: string): Promise<boolean> {
    if (this.hasStoodStill()) {
      return false;
    }
    const {Accepted, Refused} = ConnectionCheck;
    const timeout = this.linkLoad.connectTimeout(this.clock.now());
    const first = await checkConnection(address, timeout);
    const isConclusive = first === Accepted || first === Refused;
    const result = isConclusive
      ? first
      : await checkConnection(address, timeout);
    return result === Accepted;
  }

  /** Returns the time since any upstream was heard; undefined if none was. */
  silence(): Millis | undefined {
    return this.reachability.silence(this.clock.now());
  }

  /** Returns the observer of the calls to one upstream. */
  observerOf(upstream: string): ConnectionObserver {
    return {
      onSent: () => this.reachability.recordSent(this.clock.now()),
      onHeard: () => this.reachability.recordHeard(this.clock.now()),
      onConnected: () => this.recordConnected(),
      onConnectFailed: timedOut =>
        this.recordConnectFailure(upstream, timedOut),
      onEnded: () => undefined,
    };
  }

  private recordConnected(): void {
    this.reachability.recordConnected();
    this.handleChange();
  }

  /**
   * While the own link is crowded and upstreams are heard, a connection that takes
   * long proves nothing: its packets may wait behind others.
   */
  private recordConnectFailure(upstream: string, timedOut: boolean): void {
    const isHeard = (this.silence() ?? Infinity) < MAX_CROWDED_SILENCE;
    if (timedOut && isHeard && this.linkLoad.isCrowded(this.clock.now())) {
      return;
    }
    this.reachability.recordConnectFailure(upstream);
    this.handleChange();
    this.probeIfDue();
  }

  private handleChange(): void {
    const isPartitioned = this.isPartitioned();
    if (isPartitioned === this.wasPartitioned) {
      return;
    }
    this.wasPartitioned = isPartitioned;
    const silence = this.silence();
    const silentMs = silence && Math.round(silence);
    if (isPartitioned) {
      this.log.warn('upstreams.unreachable', {silentMs});
    } else {
      this.log.info('upstreams.reachable', {silentMs});
      this.closeUntrustedConnections();
    }
    this.onChanged();
  }

  /** Closes connections that may not have survived the partition. */
  private closeUntrustedConnections(): void {
    if (!this.reachability.trustsOpenConnections(this.clock.now())) {
      this.agent.closeIdleConnections();
    }
  }

  private probeIfDue(): void {
    const now = this.clock.now();
    if (!this.reachability.isProbeDue(now)) {
      return;
    }
    const listed = this.registry.listedUpstreams();
    const probed = this.reachability.startProbes(
      listed.map(({id}) => id),
      now,
      Math.random,
    );
    for (const {id, address} of listed) {
      if (probed.includes(id)) {
        void this.probe(id, address);
      }
    }
  }

  private async probe(upstream: string, address: string): Promise<void> {
    const result = await checkConnection(address);
    if (result === ConnectionCheck.Accepted) {
      this.recordConnected();
    } else {
      const timedOut = result === ConnectionCheck.TimedOut;
      this.recordConnectFailure(upstream, timedOut);
    }
  }
}
