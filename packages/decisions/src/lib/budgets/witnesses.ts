/**
 * Peers as witnesses of how long a process has run. A process tells its peers
 * the monotonic time of its machine in each heartbeat, and they tell it which
 * time they have heard last. It lets only so much time count as passed as its
 * witnesses have heard. After it has ended, they tell the next process on its
 * machine, which so knows a bound on that time although the machine may have
 * been off, and its clocks may have started anew.
 *
 * One witness may be out of reach: a process needs all but one of them, and its
 * successor the statements of two.
 */
import {affinityRank} from '../placement/routing.js';
import type {Millis} from '../base/clock.js';

/** The newest monotonic time of a process that was heard. */
export interface HeardTime {
  /** Identity of the process. */
  holder: string;
  time: Millis;
}

/** A process of a peer. */
export interface WitnessPeer {
  /** Identity of the process. */
  holder: string;
  zone: string;
}

/** Number of statements that bound the time of an ended process. */
const MIN_WITNESSES = 2;

/** Maximum number of witnesses of one process. */
const MAX_WITNESSES = 8;

/** Age of a peer's last statement up to which it is chosen as a witness. */
const MAX_STATEMENT_AGE: Millis = 1_000;

/** Number of peers' processes that are remembered. */
const MAX_PEERS = 1_000;

/** Number of machines, and of processes of each, that are remembered. */
const MAX_MACHINES = 4_000;
const MAX_PROCESSES_PER_MACHINE = 8;

/** What one process has heard of the processes of other machines. */
export class HeardTimes {
  /** Times by the address of the machine and the identity of the process. */
  private readonly timesByAddress = new Map<string, Map<string, Millis>>();

  /** Records a heartbeat of a process. */
  record(address: string, {holder, time}: HeardTime): void {
    const times = this.timesByAddress.get(address) ?? new Map<string, Millis>();
    times.set(holder, Math.max(time, times.get(holder) ?? -Infinity));
    removeOldest(times, MAX_PROCESSES_PER_MACHINE);
    this.timesByAddress.set(address, times);
    removeOldest(this.timesByAddress, MAX_MACHINES);
  }

  /** Returns what was heard of the processes of a machine. */
  of(address: string): HeardTime[] {
    const times = this.timesByAddress.get(address) ?? [];
    return [...times].map(([holder, time]) => ({holder, time}));
  }
}

/** What a peer has stated about the processes of this machine. */
interface Statement {
  zone: string;
  /** Newest heard times by the identity of the process. */
  times: Map<string, Millis>;
  /** When the peer last stated a time of this process. */
  statedAt: Millis;
}

/** The witnesses of one process, and of earlier ones on its machine. */
export class Witnesses {
  private readonly statements = new Map<string, Statement>();

  /** @param self the process whose witnesses they are. */
  constructor(private readonly self: WitnessPeer) {}

  /**
   * Records what a peer has heard of the processes of this machine. It must have
   * sent this to the running process itself.
   */
  recordStatement(
    {holder, zone}: WitnessPeer,
    heard: readonly HeardTime[],
    now: Millis,
  ): void {
    const known = this.statements.get(holder);
    const times = known?.times ?? new Map<string, Millis>();
    for (const {holder: process, time} of heard) {
      times.set(process, Math.max(time, times.get(process) ?? -Infinity));
    }
    const isOwn = heard.some(({holder: process}) => this.isSelf(process));
    const statedAt = isOwn ? now : (known?.statedAt ?? -Infinity);
    this.statements.set(holder, {zone, times, statedAt});
    removeOldest(this.statements, MAX_PEERS);
  }

  /**
   * Returns the identities of the witnesses for the next entry of the process:
   * peers that answer, in other zones first. Returns none if they are too few.
   */
  choose(now: Millis): string[] {
    const candidates = [...this.statements]
      .filter(([, {statedAt}]) => now - statedAt <= MAX_STATEMENT_AGE)
      .map(([holder, {zone}]) => ({
        holder,
        isNear: zone === this.self.zone,
        rank: affinityRank(this.self.holder, holder),
      }));
    candidates.sort(
      (first, second) =>
        Number(first.isNear) - Number(second.isNear) ||
        second.rank - first.rank,
    );
    const chosen = candidates.slice(0, MAX_WITNESSES);
    return chosen.length < MIN_WITNESSES
      ? []
      : chosen.map(({holder}) => holder);
  }

  /**
   * Returns the monotonic time that all of the witnesses but one have heard from
   * this process; Infinity if there are too few witnesses to need them.
   */
  witnessedTime(witnesses: readonly string[]): Millis {
    if (witnesses.length < MIN_WITNESSES) {
      return Infinity;
    }
    const times = witnesses.map(
      witness => this.statedTime(witness, this.self.holder) ?? -Infinity,
    );
    return secondLowest(times);
  }

  /**
   * Returns the highest monotonic time that an ended process of this machine can
   * have let count as passed; undefined if too few of its witnesses have told.
   */
  maxWitnessedTime(
    witnesses: readonly string[],
    process: string,
  ): Millis | undefined {
    const times = witnesses
      .map(witness => this.statedTime(witness, process))
      .filter(time => time !== undefined);
    return times.length < MIN_WITNESSES ? undefined : secondLowest(times);
  }

  private isSelf(process: string): boolean {
    return process === this.self.holder;
  }

  private statedTime(witness: string, process: string): Millis | undefined {
    return this.statements.get(witness)?.times.get(process);
  }
}

/** Returns the second lowest of two or more numbers. */
function secondLowest(numbers: readonly number[]): number {
  const [, second] = [...numbers].sort((first, other) => first - other);
  return second as number;
}

/** Removes the entries that were added first until `maxSize` are left. */
function removeOldest(map: Map<string, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) {
      return;
    }
    map.delete(key);
  }
}
