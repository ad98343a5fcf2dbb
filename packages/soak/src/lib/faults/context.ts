/** What the faults of a run have in common. */
import type {
  CrashingPart,
  Disruption,
  Evacuation,
  Revocation,
  UpstreamDrain,
} from '../observations.js';
import type {Fault, FaultKind} from '../plan.js';
import type {GatewayProcess, HostedFleet} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';

/** A client account of the callers. */
export interface Account {
  name: string;
  /** Valid keys, oldest first. */
  apiKeys: string[];
  /** Tokens granted so far. */
  grantedTokens: number;
}

/** The injected faults, as far as the checks take them into account. */
export interface FaultRecord {
  disruptions: Disruption[];
  plannedStops: {gateway: string; signalledAt: number}[];
  revocations: Revocation[];
  upstreamDrains: UpstreamDrain[];
  crashingParts: CrashingPart[];
  evacuations: Evacuation[];
}

/** Injects a fault; resolves when it is over. */
export type FaultHandler = (fault: Fault) => Promise<void> | void;

/** The handlers of some kinds of faults. */
export type FaultHandlers<Kinds extends FaultKind> = Readonly<
  Record<Kinds, FaultHandler>
>;

/** The fleet of a run, its client accounts and the record of its faults. */
export class FaultContext {
  readonly record: FaultRecord = {
    disruptions: [],
    plannedStops: [],
    revocations: [],
    upstreamDrains: [],
    crashingParts: [],
    evacuations: [],
  };

  constructor(
    readonly fleet: HostedFleet,
    readonly accounts: Account[],
    readonly random: () => number,
  ) {}

  pickGateway({targetFraction}: Fault): GatewayProcess {
    return pickItem(this.fleet.gateways, targetFraction);
  }

  /**
   * Records a disruption from now on; `gateway` undefined means all instances.
   */
  recordDisruption(
    gateway: string | undefined,
    duration: Millis,
    {holdsBytes = false, isOfStore = false} = {},
  ): void {
    const startedAt = Date.now();
    this.record.disruptions.push({
      gateway,
      from: startedAt,
      until: startedAt + duration,
      holdsBytes,
      isOfStore,
    });
  }
}

/**
 * Returns the item at a relative position in [0, 1); `items` must not be empty.
 */
export function pickItem<T>(items: readonly T[], fraction: number): T {
  return items[Math.floor(fraction * items.length)] as T;
}
