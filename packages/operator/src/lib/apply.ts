/** Puts declarations in force: content by digest, then one head by CAS. */
import {
  declarationsKey,
  CONFIGURATION_HEAD_KEY,
  KeyValueOutcome,
  ledgerKey,
} from '@citrontrestle/platform';
import {emptyLedger, partitionIndex, topUp} from '@citrontrestle/decisions';
import {randomId} from '@citrontrestle/runtime';
import {digestOf} from './declarations.js';
import {planChanges} from './plan.js';
import {update, UpdateOutcome} from './update.js';
import type {Change} from './plan.js';
import type {
  Budget,
  Configuration,
  ConfigurationHead,
  Declarations,
  Ledger,
} from '@citrontrestle/decisions';
import type {KeyValueClient} from '@citrontrestle/platform';

/** What became of an apply. */
export enum ApplyOutcome {
  /** In force under a new generation. */
  Accepted = 'accepted',
  /** The same declarations were already in force. */
  InForce = 'in-force',
  /** Another operator was first. */
  Conflict = 'conflict',
  Unavailable = 'unavailable',
}

/** Result of an apply. */
export interface ApplyResult {
  outcome: ApplyOutcome;
  /** Generation that stands, if known. */
  generation: number;
  /** From what stands to what was to be applied, on a conflict. */
  changes: Change[];
}

/** Declarations before the first apply. */
export const NO_DECLARATIONS: Declarations = {
  accounts: [],
  budgets: [],
  classes: [],
};

/** Reads the configuration in force; undefined when it can't be read. */
export async function readConfiguration(
  keyValue: KeyValueClient,
): Promise<Configuration | undefined> {
  const head = await keyValue.read(CONFIGURATION_HEAD_KEY);
  if (head.outcome === KeyValueOutcome.Absent) {
    const none = {generation: 0, applyId: '', digest: '', recent: []};
    return {head: none, declarations: NO_DECLARATIONS};
  }
  if (head.outcome !== KeyValueOutcome.Found) {
    return undefined;
  }
  return readDeclarationsOf(keyValue, head.value as ConfigurationHead);
}

/** Reads the declarations that a head points to. */
export async function readDeclarationsOf(
  keyValue: KeyValueClient,
  head: ConfigurationHead,
): Promise<Configuration | undefined> {
  const stored = await keyValue.read(declarationsKey(head.digest));
  if (stored.outcome !== KeyValueOutcome.Found) {
    return undefined;
  }
  return {head, declarations: stored.value as Declarations};
}

/**
 * Puts declarations in force on top of generation `base`.
 * @param base generation that the operator planned on.
 */
export async function apply(
  keyValue: KeyValueClient,
  declarations: Declarations,
  base: number,
  partitions: number,
): Promise<ApplyResult> {
  const digest = digestOf(declarations);
  const stored = await update<Declarations>(
    keyValue,
    declarationsKey(digest),
    current => (current === undefined ? declarations : undefined),
  );
  if (stored === UpdateOutcome.Unavailable) {
    return {outcome: ApplyOutcome.Unavailable, generation: 0, changes: []};
  }
  const result = await moveHead(keyValue, digest, base, declarations);
  const {Accepted, InForce} = ApplyOutcome;
  if (result.outcome === Accepted || result.outcome === InForce) {
    const granted = await grant(keyValue, declarations.budgets, partitions);
    return granted ? result : {...result, outcome: ApplyOutcome.Unavailable};
  }
  return result;
}

/** Applies that the head remembers. */
const RECENT_APPLIES = 16;

async function moveHead(
  keyValue: KeyValueClient,
  digest: string,
  base: number,
  declarations: Declarations,
): Promise<ApplyResult> {
  const applyId = randomId();
  let standing: ConfigurationHead | undefined;
  const outcome = await update<ConfigurationHead>(
    keyValue,
    CONFIGURATION_HEAD_KEY,
    current => {
      standing = current;
      const generation = current?.generation ?? 0;
      const recent = current?.recent ?? [];
      const same = current?.digest === digest;
      if (recent.includes(applyId) || same || generation !== base) {
        return undefined;
      }
      standing = {
        generation: generation + 1,
        applyId,
        digest,
        recent: [...recent, applyId].slice(-RECENT_APPLIES),
      };
      return standing;
    },
  );
  const generation = standing?.generation ?? 0;
  if (outcome === UpdateOutcome.Unavailable) {
    return {outcome: ApplyOutcome.Unavailable, generation, changes: []};
  }
  // After a lost answer the head may have moved on, with ours before it.
  if (standing?.recent.includes(applyId)) {
    return {outcome: ApplyOutcome.Accepted, generation, changes: []};
  }
  if (standing?.digest === digest) {
    return {outcome: ApplyOutcome.InForce, generation, changes: []};
  }
  const now = await readConfiguration(keyValue);
  const from = now?.declarations ?? NO_DECLARATIONS;
  const changes = planChanges(from, declarations);
  return {outcome: ApplyOutcome.Conflict, generation, changes};
}

/** Identifier of the grant that comes with a budget's first declaration. */
const INITIAL = 'initial';

async function grant(
  keyValue: KeyValueClient,
  budgets: Budget[],
  partitions: number,
): Promise<boolean> {
  for (let number = 0; number < partitions; number++) {
    const own = budgets.filter(
      budget => partitionIndex(budget.name, partitions) === number,
    );
    if (own.length > 0 && !(await grantPartition(keyValue, number, own))) {
      return false;
    }
  }
  return true;
}

async function grantPartition(
  keyValue: KeyValueClient,
  number: number,
  budgets: Budget[],
): Promise<boolean> {
  const outcome = await update<Ledger>(keyValue, ledgerKey(number), current => {
    const ledger = current ?? emptyLedger();
    const fresh = budgets.filter(budget =>
      topUp(ledger, budget.name, INITIAL, budget.initialTokens),
    );
    return fresh.length > 0 ? ledger : undefined;
  });
  return outcome !== UpdateOutcome.Unavailable;
}
