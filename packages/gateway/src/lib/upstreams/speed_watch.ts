/**
 * Exchanges with the other instances what is known of the speed of upstreams, and
 * logs which of them become slow. Statements are part of load messages, at most
 * once a second, and cover a bounded number of upstreams.
 */
import type {
  Clock,
  Millis,
  SpeedEvidence,
  SpeedSources,
  UpstreamRegistry,
  UpstreamSpeeds,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** An upstream with the fields of its `SpeedEvidence`, as messages hold them. */
export type StatedSpeed = [string, number, number, number, number];

/** Minimum time between two statements to a peer. */
const STATEMENT_INTERVAL: Millis = 1_000;

/** Maximum number of log lines of changed speeds in each interval. */
const MAX_LOGGED_CHANGES = 4;

/** Number of steps in 1 to which sums and weights are rounded in messages. */
const STEPS_PER_UNIT = 1_000;

/** The speeds of upstreams, as this instance learns and passes them on. */
export class SpeedWatch {
  /** Peers that have been told of all uneven upstreams. */
  private readonly introduced = new Set<string>();
  /** Upstreams of which there is news in this round. */
  private news: string[] = [];
  private lastStatementAt: Millis = -Infinity;

  constructor(
    private readonly speeds: UpstreamSpeeds,
    private readonly registry: UpstreamRegistry,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Begins a round of statements; collects news once in each interval. */
  beginRound(): void {
    const now = this.clock.now();
    this.news = [];
    if (now - this.lastStatementAt >= STATEMENT_INTERVAL) {
      this.lastStatementAt = now;
      this.news = this.speeds.takeNews(now);
      this.logChanges(now);
    }
  }

  /**
   * Returns what a peer is to be told; undefined if there is nothing. The first
   * statement to a peer is about the upstreams that differ most from the others.
   * @param sources whose evidence is passed on to it.
   */
  statementFor(peer: string, sources: SpeedSources): StatedSpeed[] | undefined {
    const now = this.clock.now();
    const isNew = !this.introduced.has(peer);
    this.introduced.add(peer);
    const upstreams = isNew ? this.speeds.mostUneven(now) : this.news;
    const stated: StatedSpeed[] = [];
    for (const [id, evidence] of this.speeds.evidence(
      upstreams,
      sources,
      now,
      !isNew,
    )) {
      if (evidence.usualWeight > 0) {
        stated.push([
          id,
          rounded(evidence.recentSum),
          rounded(evidence.recentWeight),
          rounded(evidence.usualSum),
          rounded(evidence.usualWeight),
        ]);
      }
    }
    return stated.length > 0 ? stated : undefined;
  }

  /** Records what a peer has stated; upstreams that are not listed are ignored. */
  recordStatement(peer: string, stated: readonly StatedSpeed[]): void {
    const evidence = new Map<string, SpeedEvidence>();
    for (const [id, ...sums] of stated) {
      if (this.registry.isListed(id)) {
        const [recentSum, recentWeight, usualSum, usualWeight] = sums;
        evidence.set(id, {recentSum, recentWeight, usualSum, usualWeight});
      }
    }
    this.speeds.recordPeerEvidence(peer, evidence, this.clock.now());
  }

  /** Forgets a peer that is no longer a partner. */
  forgetPeer(peer: string): void {
    this.introduced.delete(peer);
    this.speeds.forgetPeer(peer, this.clock.now());
  }

  private logChanges(now: Millis): void {
    const changes = this.speeds.takeClassChanges(now);
    const others = Math.max(0, changes.length - MAX_LOGGED_CHANGES);
    for (const {id, speed, slowness} of changes.slice(0, MAX_LOGGED_CHANGES)) {
      this.log.info('upstream.speed', {
        upstream: id,
        speed,
        slowness: Math.round(slowness * 100) / 100,
        others,
      });
    }
  }
}

function rounded(value: number): number {
  return Math.round(value * STEPS_PER_UNIT) / STEPS_PER_UNIT;
}
