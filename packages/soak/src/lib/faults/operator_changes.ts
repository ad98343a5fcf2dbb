/** Changes that the operator makes during a run. */
import {pause} from '@citrontrestle/stand_ins';
import {CHANGE_PROPAGATION_LIMIT} from '../checks/changes.js';
import {FaultKind} from '../plan.js';
import {pickItem} from './context.js';
import {ZONES} from './upstream_faults.js';
import type {Fault} from '../plan.js';
import type {FaultContext, FaultHandlers} from './context.js';

/** Prefix of the keys that order the evacuation of a zone. */
const EVACUATION_PREFIX = 'op/evacuate/';

/** Factor by which a top-up multiplies an account's granted tokens. */
const TOP_UP_FACTOR = 1.5;

/** Limits of requests, which allow long uploads. */
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_000_000,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 10_000,
};

/** Changes that the operator makes during a run. */
export class OperatorChanges {
  private configurationVersion = 10;
  readonly handlers: FaultHandlers<
    | FaultKind.Compaction
    | FaultKind.TopUp
    | FaultKind.Evacuation
    | FaultKind.RotateKey
  > = {
    [FaultKind.Compaction]: () => this.context.fleet.store.compact(),
    [FaultKind.TopUp]: fault => this.topUpAccount(fault),
    [FaultKind.Evacuation]: fault => this.evacuateZone(fault),
    [FaultKind.RotateKey]: fault => this.rotateKey(fault),
  };

  constructor(private readonly context: FaultContext) {}

  /** Writes the accounts' current keys and grants to the configuration. */
  configure(): void {
    this.configurationVersion += 1;
    const tenants = this.context.accounts.map(
      ({name, apiKeys, grantedTokens}) => ({
        name,
        apiKeys,
        prepaid: grantedTokens,
      }),
    );
    this.context.fleet.configure(this.configurationVersion, {
      tenants,
      limits: LIMITS,
    });
  }

  /** Evacuates a zone for a time after the order is in force everywhere. */
  private async evacuateZone(fault: Fault): Promise<void> {
    const zone = pickItem(ZONES, fault.targetFraction);
    const key = `${EVACUATION_PREFIX}${zone}`;
    this.context.fleet.store.put(key, {});
    const evacuation = {zone, orderedAt: Date.now(), takenBackAt: Infinity};
    this.context.record.evacuations.push(evacuation);
    await pause(CHANGE_PROPAGATION_LIMIT + fault.duration);
    evacuation.takenBackAt = Date.now();
    this.context.fleet.store.remove(key);
  }

  private topUpAccount({targetFraction}: Fault): void {
    const account = pickItem(this.context.accounts, targetFraction);
    account.grantedTokens = Math.round(account.grantedTokens * TOP_UP_FACTOR);
    this.configure();
  }

  private rotateKey({targetFraction}: Fault): void {
    const account = pickItem(this.context.accounts, targetFraction);
    const [oldest] = account.apiKeys.splice(0, 1);
    account.apiKeys.push(`${account.name}-${this.configurationVersion}`);
    this.configure();
    if (oldest !== undefined) {
      this.context.record.revocations.push({
        apiKey: oldest,
        revokedAt: Date.now(),
      });
    }
  }
}
