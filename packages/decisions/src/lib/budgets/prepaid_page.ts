/**
 * A page: one value in the platform's store that holds the prepaid budgets of
 * some accounts. It states how many tokens of each account's grant each process
 * has taken. Taken tokens count as spent until the process gives them back.
 */
import {elapsedTime, usableTokens} from './share_release.js';
import type {MachineTime, Millis} from '../base/clock.js';
import {setTokens, tokensOf} from './token_counts.js';
import type {TokenCounts} from './token_counts.js';

/** What one process of an instance has taken. */
export interface PageHolder {
  /**
   * Machine on which the process runs. The next process on that machine moves
   * the tokens that this one may have used to `closed`.
   */
  instance: string;
  /** Tokens taken, by account. */
  taken: TokenCounts;
  /**
   * Tokens that were spent, reserved, or given to peers less those received
   * from them, at the last write of the process, by account. For diagnosis: a
   * process may use more until its next write.
   */
  used: TokenCounts;
  /**
   * Tokens that the process may use, counted as `used`, while its last write is
   * recent, by account; see `usableTokens`. All taken ones if it is missing.
   */
  limits: TokenCounts;
  /**
   * Time from which the age of the entry counts, as the clocks of the machine
   * show it; undefined if unknown.
   */
  confirmedAt: MachineTime | undefined;
  /**
   * Identities of the peers' processes that bear witness of the age of the
   * entry; see `Witnesses`. None in entries of earlier versions.
   */
  witnesses: readonly string[];
  /**
   * The most tokens that the process will have taken when the store may have
   * lost later entries; see `CeilingHistory`.
   */
  ceilings: TokenCounts;
  /**
   * Tokens that the process may take at once, in all; the next process on its
   * machine may take what is left of them.
   */
  durableCeilings: TokenCounts;
  /** Era of the store in which the entry was written; see `StorePosition`. */
  era: number;
}

/** Budgets of some accounts, as stored in one value of the store. */
export interface PrepaidPage {
  /** Tokens taken by processes that have ended, by account. */
  closed: TokenCounts;
  /** What each process has taken, by the identity of the process. */
  holders: Record<string, PageHolder>;
  /**
   * Whether the page is so new that no ceiling has been in it for long. Until
   * then processes take what their ceilings in the store allow, however new.
   */
  isYoung: boolean;
}

/**
 * Tokens that one process takes (positive) or gives back (negative), by
 * account.
 */
export type PageChange = ReadonlyMap<string, number>;

/** What a process writes to a page. */
export interface HolderUpdate {
  /** Identity of the process. */
  holder: string;
  /** Its new entry; `change` is added to the taken tokens. */
  entry: Omit<PageHolder, 'taken'>;
  change: PageChange;
  /** Entries of earlier processes of the instance, which the update closes. */
  closed: readonly ClosedHolder[];
}

/** Returns a page from which nothing has been taken. */
export function emptyPage(): PrepaidPage {
  return {closed: {}, holders: {}, isYoung: true};
}

/**
 * Returns the most tokens that all processes, ended or not, can have taken from
 * an account.
 * @param era era of the store from which the page is.
 */
export function totalTaken(
  page: PrepaidPage,
  account: string,
  era: number,
): number {
  let sum = tokensOf(page.closed, account) ?? 0;
  for (const entry of Object.values(page.holders)) {
    sum += maxTaken(entry, account, era);
  }
  return sum;
}

/** Returns the tokens that the entries of a page have taken from an account. */
export function knownTaken(page: PrepaidPage, account: string): number {
  const taken = Object.values(page.holders).map(
    entry => tokensOf(entry.taken, account) ?? 0,
  );
  return taken.reduce(
    (sum, tokens) => sum + tokens,
    tokensOf(page.closed, account) ?? 0,
  );
}

/**
 * Returns the most tokens that a process can have taken from an account. If its
 * entry is from an earlier era, the store may have lost a newer one.
 */
export function maxTaken(
  entry: PageHolder,
  account: string,
  era: number,
): number {
  const taken = tokensOf(entry.taken, account) ?? 0;
  const ceiling = tokensOf(entry.ceilings, account) ?? 0;
  return entry.era === era ? taken : Math.max(taken, ceiling);
}

/** Returns the tokens of an account that one process has taken. */
export function takenByHolder(
  page: PrepaidPage,
  holder: string,
  account: string,
): number {
  const entry = page.holders[holder];
  return (entry && tokensOf(entry.taken, account)) ?? 0;
}

/** An entry of an ended process that an update closes. */
export interface ClosedHolder {
  /** Identity of the ended process. */
  holder: string;
  entry: PageHolder;
  /** Age of its last write when it had ended; undefined if unknown. */
  age: Millis | undefined;
  /** The most tokens that it can have used, by account. */
  maxUsed: TokenCounts;
}

/** What is known of the end of a process, whose entry is to be closed. */
export interface EndEvidence {
  /** Era of the page in which the entry is closed. */
  era: number;
  /** A time at which the process ran no more; undefined if unknown. */
  endedAt: MachineTime | undefined;
  /**
   * The highest monotonic time that the process can have let count as passed,
   * according to its witnesses; undefined if too few have told.
   */
  witnessedTime: Millis | undefined;
  /**
   * The most tokens that it can have used, by account, if its entry was closed
   * before in a page that the store has lost.
   */
  usedBefore: TokenCounts | undefined;
}

/**
 * Returns the page after an update by a process. What earlier processes of the
 * same instance may have used is added to `closed` of the page; the rest is
 * returned.
 */
export function applyUpdate(
  page: PrepaidPage,
  {holder, entry, change, closed}: HolderUpdate,
): PrepaidPage {
  const sums = {...page.closed};
  const holders = {...page.holders};
  for (const {holder: closedHolder, maxUsed} of closed) {
    addTokens(sums, maxUsed);
    delete holders[closedHolder];
  }
  const taken = {...holders[holder]?.taken};
  for (const [account, tokens] of change) {
    setTokens(taken, account, (tokensOf(taken, account) ?? 0) + tokens);
  }
  holders[holder] = {...entry, taken};
  return {...page, closed: sums, holders};
}

/** Returns the entries of earlier processes of an instance, by identity. */
export function predecessorsOf(
  page: PrepaidPage,
  holder: string,
  instance: string,
): ReadonlyMap<string, PageHolder> {
  const entries = Object.entries(page.holders);
  return new Map(
    entries.filter(
      ([id, entry]) => entry.instance === instance && id !== holder,
    ),
  );
}

/**
 * Determines the most tokens that an ended process can have used: all that it
 * can have taken, unless the age of its last write is known.
 */
export function closePageHolder(
  holder: string,
  entry: PageHolder,
  evidence: EndEvidence,
): ClosedHolder {
  const {taken, limits} = entry;
  const {era, usedBefore} = evidence;
  const age = ageAtEnd(entry, evidence);
  if (usedBefore !== undefined) {
    return {holder, entry, age, maxUsed: usedBefore};
  }
  const maxUsed: TokenCounts = {};
  if (age === undefined) {
    for (const account of Object.keys({...taken, ...entry.ceilings})) {
      setTokens(maxUsed, account, maxTaken(entry, account, era));
    }
    return {holder, entry, age, maxUsed};
  }
  for (const [account, tokens] of Object.entries(taken)) {
    const limit = tokensOf(limits, account) ?? tokens;
    setTokens(maxUsed, account, Math.ceil(usableTokens(tokens, limit, age)));
  }
  return {holder, entry, age, maxUsed};
}

/**
 * Returns the maximum age of an entry when its process ended, as that process
 * let its time count, or undefined if that is unknown.
 */
export function ageAtEnd(
  {confirmedAt, era}: PageHolder,
  evidence: EndEvidence,
): Millis | undefined {
  const {endedAt, witnessedTime} = evidence;
  if (confirmedAt === undefined || era !== evidence.era) {
    return undefined;
  }
  const ownAge = endedAt && elapsedTime(confirmedAt, endedAt);
  const age = Math.min(
    ownAge ?? Infinity,
    (witnessedTime ?? Infinity) - confirmedAt.monotonic,
  );
  return age === Infinity ? undefined : Math.max(0, age);
}

function addTokens(sums: TokenCounts, added: TokenCounts): void {
  for (const [account, tokens] of Object.entries(added)) {
    setTokens(sums, account, (tokensOf(sums, account) ?? 0) + tokens);
  }
}
