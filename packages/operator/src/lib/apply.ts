/**
 * Puts declarations into force. They are stored under their digest first; then
 * the configuration head, which refers to them, is replaced by compare-and-swap.
 */
import {
  declarationsKey,
  CONFIGURATION_HEAD_KEY,
  KeyValueOutcome,
  ledgerKey,
} from '@citrontrestle/platform';
import {emptyLedger, partitionIndex, topUp} from '@citrontrestle/decisions';
import {randomId} from '@citrontrestle/runtime';
import {declarationsDigest} from './declarations.js';
import {planChanges} from './plan.js';
import {updateKey, UpdateOutcome} from './update.js';
import type {Change} from './plan.js';
import type {
  Budget,
  Configuration,
  ConfigurationHead,
  Declarations,
  Ledger,
} from '@citrontrestle/decisions';
import type {KeyValueClient} from '@citrontrestle/platform';

/** Outcome of an apply operation. */
export enum ApplyOutcome {
  /** The declarations were put into force as a new generation. */
  Accepted = 'accepted',
  /** The same declarations were already in force. */
  InForce = 'in-force',
  /**
   * Other declarations are in force, and their generation isn't the one that
   * the operator planned on. The head was not changed.
   */
  Conflict = 'conflict',
  /**
   * The key-value service was unavailable. The declarations may be in force,
   * and the initial tokens may not be granted yet; the operation can be repeated.
   */
  Unavailable = 'unavailable',
}

/** Result of an apply operation. */
export interface ApplyResult {
  outcome: ApplyOutcome;
  /** Generation in force as far as known, else 0. */
  generation: number;
  /**
   * On a conflict, the changes from the declarations in force to the rejected
   * ones, or from none if those in force can't be read; otherwise empty.
   */
  changes: Change[];
}

/** Declarations in force before the first apply operation. */
export const EMPTY_DECLARATIONS: Declarations = {
  accounts: [],
  budgets: [],
  classes: [],
};

/**
 * Reads the configuration in force; generation 0 without declarations if none
 * has been applied. Returns undefined if it can't be read.
 */
export async function readConfiguration(
  keyValue: KeyValueClient,
): Promise<Configuration | undefined> {
  const headResult = await keyValue.read(CONFIGURATION_HEAD_KEY);
  if (headResult.outcome === KeyValueOutcome.Absent) {
    const emptyHead = {generation: 0, applyId: '', digest: '', recent: []};
    return {head: emptyHead, declarations: EMPTY_DECLARATIONS};
  }
  if (headResult.outcome !== KeyValueOutcome.Found) {
    return undefined;
  }
  return readConfigurationForHead(
    keyValue,
    headResult.value as ConfigurationHead,
  );
}

/**
 * Reads the declarations that a head refers to. Returns undefined if they can't
 * be read.
 */
export async function readConfigurationForHead(
  keyValue: KeyValueClient,
  head: ConfigurationHead,
): Promise<Configuration | undefined> {
  const result = await keyValue.read(declarationsKey(head.digest));
  if (result.outcome !== KeyValueOutcome.Found) {
    return undefined;
  }
  return {head, declarations: result.value as Declarations};
}

/**
 * Puts declarations into force if `baseGeneration` is the generation in force,
 * and grants the initial tokens of budgets declared for the first time.
 * @param baseGeneration generation that the operator planned on.
 * @param partitionCount number of ledger partitions of the deployment.
 */
export async function applyDeclarations(
  keyValue: KeyValueClient,
  declarations: Declarations,
  baseGeneration: number,
  partitionCount: number,
): Promise<ApplyResult> {
  const digest = declarationsDigest(declarations);
  const storeOutcome = await updateKey<Declarations>(
    keyValue,
    declarationsKey(digest),
    current => (current === undefined ? declarations : undefined),
  );
  if (storeOutcome === UpdateOutcome.Unavailable) {
    return {outcome: ApplyOutcome.Unavailable, generation: 0, changes: []};
  }
  const result = await replaceHead(
    keyValue,
    digest,
    baseGeneration,
    declarations,
  );
  const {Accepted, InForce} = ApplyOutcome;
  if (result.outcome === Accepted || result.outcome === InForce) {
    const isGranted = await grantInitialTokens(
      keyValue,
      declarations.budgets,
      partitionCount,
    );
    return isGranted ? result : {...result, outcome: ApplyOutcome.Unavailable};
  }
  return result;
}

/** Maximum number of apply operations that the head lists. */
const MAX_RECENT_APPLIES = 16;

/**
 * Replaces the head, unless it refers to the same declarations already or its
 * generation isn't `baseGeneration`.
 */
async function replaceHead(
  keyValue: KeyValueClient,
  digest: string,
  baseGeneration: number,
  declarations: Declarations,
): Promise<ApplyResult> {
  const applyId = randomId();
  let latestHead: ConfigurationHead | undefined;
  const outcome = await updateKey<ConfigurationHead>(
    keyValue,
    CONFIGURATION_HEAD_KEY,
    current => {
      latestHead = current;
      const generation = current?.generation ?? 0;
      const recent = current?.recent ?? [];
      const isInForce = current?.digest === digest;
      if (
        recent.includes(applyId) ||
        isInForce ||
        generation !== baseGeneration
      ) {
        return undefined;
      }
      latestHead = {
        generation: generation + 1,
        applyId,
        digest,
        recent: [...recent, applyId].slice(-MAX_RECENT_APPLIES),
      };
      return latestHead;
    },
  );
  const generation = latestHead?.generation ?? 0;
  if (outcome === UpdateOutcome.Unavailable) {
    return {outcome: ApplyOutcome.Unavailable, generation, changes: []};
  }
  // If the response to the write was lost, another operator may have replaced
  // the head since; the list then shows that this operation took effect.
  if (latestHead?.recent.includes(applyId)) {
    return {outcome: ApplyOutcome.Accepted, generation, changes: []};
  }
  if (latestHead?.digest === digest) {
    return {outcome: ApplyOutcome.InForce, generation, changes: []};
  }
  const configuration = await readConfiguration(keyValue);
  const currentDeclarations = configuration?.declarations ?? EMPTY_DECLARATIONS;
  const changes = planChanges(currentDeclarations, declarations);
  return {outcome: ApplyOutcome.Conflict, generation, changes};
}

/**
 * Identifier of the top-up that grants a budget's initial tokens. It is always
 * the same, so that they are granted only once.
 */
const INITIAL_TOP_UP_ID = 'initial';

/** Returns whether all budgets have their initial tokens. */
async function grantInitialTokens(
  keyValue: KeyValueClient,
  budgets: Budget[],
  partitionCount: number,
): Promise<boolean> {
  for (let partition = 0; partition < partitionCount; partition++) {
    const partitionBudgets = budgets.filter(
      budget => partitionIndex(budget.name, partitionCount) === partition,
    );
    if (
      partitionBudgets.length > 0 &&
      !(await grantTokensInPartition(keyValue, partition, partitionBudgets))
    ) {
      return false;
    }
  }
  return true;
}

async function grantTokensInPartition(
  keyValue: KeyValueClient,
  partition: number,
  budgets: Budget[],
): Promise<boolean> {
  const outcome = await updateKey<Ledger>(
    keyValue,
    ledgerKey(partition),
    current => {
      const ledger = current ?? emptyLedger();
      const newlyGranted = budgets.filter(budget =>
        topUp(ledger, budget.name, INITIAL_TOP_UP_ID, budget.initialTokens),
      );
      return newlyGranted.length > 0 ? ledger : undefined;
    },
  );
  return outcome !== UpdateOutcome.Unavailable;
}
