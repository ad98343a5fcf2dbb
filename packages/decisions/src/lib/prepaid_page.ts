/**
 * A page: one value in the platform's store that holds the prepaid budgets of
 * some accounts. It states how many tokens of each account's grant each process
 * has taken. Taken tokens count as spent until the process gives them back.
 */

/** What one process of an instance has taken. */
export interface PageHolder {
  /**
   * Machine on which the process runs. The next process on that machine moves
   * the tokens of this one to `closed`.
   */
  instance: string;
  /** Tokens taken, by account. */
  taken: Record<string, number>;
  /**
   * Tokens that were spent, reserved, or given to peers less those received
   * from them, at the last write of the process, by account. For diagnosis: a
   * process may use more until its next write.
   */
  used: Record<string, number>;
}

/** Budgets of some accounts, as stored in one value of the store. */
export interface PrepaidPage {
  /** Tokens taken by processes that have ended, by account. */
  closed: Record<string, number>;
  /** What each process has taken, by the identity of the process. */
  holders: Record<string, PageHolder>;
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
  /** Machine on which it runs. */
  instance: string;
  change: PageChange;
  /** As `PageHolder.used`. */
  used: Record<string, number>;
}

/** Returns a page from which nothing has been taken. */
export function emptyPage(): PrepaidPage {
  return {closed: {}, holders: {}};
}

/** Returns the tokens taken from an account by all processes, ended or not. */
export function totalTaken(page: PrepaidPage, account: string): number {
  let sum = page.closed[account] ?? 0;
  for (const holder of Object.values(page.holders)) {
    sum += holder.taken[account] ?? 0;
  }
  return sum;
}

/** Returns the tokens of an account that one process has taken. */
export function takenByHolder(
  page: PrepaidPage,
  holder: string,
  account: string,
): number {
  return page.holders[holder]?.taken[account] ?? 0;
}

/**
 * Returns the page after an update by a process. What earlier processes of the
 * same instance have taken is added to `closed`.
 */
export function applyUpdate(
  page: PrepaidPage,
  {holder, instance, change, used}: HolderUpdate,
): PrepaidPage {
  const next: PrepaidPage = {closed: {...page.closed}, holders: {}};
  for (const [id, pageHolder] of Object.entries(page.holders)) {
    if (isPredecessor(id, pageHolder, holder, instance)) {
      addTokens(next.closed, pageHolder.taken);
    } else {
      next.holders[id] = pageHolder;
    }
  }
  const taken = {...page.holders[holder]?.taken};
  for (const [account, tokens] of change) {
    taken[account] = (taken[account] ?? 0) + tokens;
  }
  next.holders[holder] = {instance, taken, used};
  return next;
}

/** Returns the entries of earlier processes of the same instance. */
export function predecessorsOf(
  page: PrepaidPage,
  holder: string,
  instance: string,
): Array<[id: string, entry: PageHolder]> {
  return Object.entries(page.holders).filter(([id, entry]) =>
    isPredecessor(id, entry, holder, instance),
  );
}

/** Whether an entry belongs to an earlier process of the same instance. */
function isPredecessor(
  id: string,
  entry: PageHolder,
  holder: string,
  instance: string,
): boolean {
  return entry.instance === instance && id !== holder;
}

function addTokens(
  sums: Record<string, number>,
  added: Record<string, number>,
): void {
  for (const [account, tokens] of Object.entries(added)) {
    sums[account] = (sums[account] ?? 0) + tokens;
  }
}
