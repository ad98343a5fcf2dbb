/**
 * Prepaid budgets as one value of the platform's store: what each incarnation
 * of an instance has taken of each account's grant. What is taken counts as
 * spent until its holder gives it back.
 */

/** What one incarnation has taken. */
export interface PageHolder {
  /** Machine on which the incarnation runs; a successor folds its entry. */
  instance: string;
  /** Tokens taken, by account. */
  taken: Record<string, number>;
}

/** Budgets of some accounts in one value of the store. */
export interface PrepaidPage {
  /** Tokens taken by incarnations that have ended, by account. */
  closed: Record<string, number>;
  /** Incarnations by their identity. */
  holders: Record<string, PageHolder>;
}

/** A change of what one incarnation has taken, by account; negative: back. */
export type PageChange = ReadonlyMap<string, number>;

/** An empty page. */
export function emptyPage(): PrepaidPage {
  return {closed: {}, holders: {}};
}

/** Tokens of an account that are taken, by ended incarnations too. */
export function takenOf(page: PrepaidPage, account: string): number {
  let sum = page.closed[account] ?? 0;
  for (const holder of Object.values(page.holders)) {
    sum += holder.taken[account] ?? 0;
  }
  return sum;
}

/** Tokens of an account that one incarnation has taken. */
export function takenBy(
  page: PrepaidPage,
  holder: string,
  account: string,
): number {
  return page.holders[holder]?.taken[account] ?? 0;
}

/** The page after a change by one incarnation, with predecessors folded. */
export function changePage(
  page: PrepaidPage,
  holder: string,
  instance: string,
  change: PageChange,
): PrepaidPage {
  const next: PrepaidPage = {closed: {...page.closed}, holders: {}};
  for (const [id, one] of Object.entries(page.holders)) {
    const ended = one.instance === instance && id !== holder;
    if (ended) {
      addAll(next.closed, one.taken);
    } else {
      next.holders[id] = one;
    }
  }
  const taken = {...page.holders[holder]?.taken};
  for (const [account, tokens] of change) {
    taken[account] = (taken[account] ?? 0) + tokens;
  }
  next.holders[holder] = {instance, taken};
  return next;
}

function addAll(
  sums: Record<string, number>,
  added: Record<string, number>,
): void {
  for (const [account, tokens] of Object.entries(added)) {
    sums[account] = (sums[account] ?? 0) + tokens;
  }
}
