/**
 * Where tokens come from and go to: grants what waits, searches for what is
 * missing, and deals with other entries.
 */
import {GiveState, Search, SEARCH_LIFETIME, SearchStage} from './search.js';
import {SECOND} from './clock.js';
import {unallocated} from './ledger.js';
import {WaiterKind} from './waiting_line.js';
import {BudgetRefusal, WalletEffectKind} from './wallet_messages.js';
import type {Books} from './books.js';
import type {EventOf, WalletEventKind} from './wallet_messages.js';
import type {Millis} from './clock.js';
import type {Waiter} from './waiting_line.js';

/** Span of spending to ask of peers beyond the need. */
const PEER_AHEAD: Millis = 2 * SECOND;

/** How long a budget counts as nearly used up after its home said so. */
const SCARCE_TIME: Millis = 2 * SECOND;

/** Pause of refills after the home entry had too little. */
const REFILL_PAUSE: Millis = 2 * SECOND;

/** The supply of tokens of one wallet; internal to it. */
export class Supply {
  private readonly searches = new Map<string, Search>();

  constructor(private readonly books: Books) {}

  /** Reserves tokens for a request. */
  grant(request: string, budget: string, tokens: number): void {
    this.books.account(budget).hold(tokens);
    this.books.charges.hold(request, {budget, tokens});
    this.books.out.push({kind: WalletEffectKind.Granted, request});
  }

  /** Lets a request or a peer wait for tokens. */
  wait(budget: string, waiter: Waiter, now: Millis): void {
    this.books.account(budget);
    this.books.line.add(budget, waiter);
    const atLedger = this.searches.get(budget)?.at() === SearchStage.Ledger;
    if (waiter.kind === WaiterKind.Peer || atLedger) {
      this.askLedger(budget, now);
    }
  }

  /** Asks the ledger, unless its last answer is recent and says no. */
  private askLedger(budget: string, now: Millis): void {
    const {answeredAt} = this.books.table.of(budget).state();
    if (answeredAt < now - SEARCH_LIFETIME || this.books.room(budget)) {
      this.books.table.dueFor(budget, now);
    }
  }

  /** Takes the search for a budget as far as it gets now. */
  private search(budget: string, now: Millis): void {
    if (!this.books.line.hasRequest(budget)) {
      return;
    }
    const need = this.books.line.first(budget)?.tokens ?? 0;
    let search = this.searches.get(budget);
    if (search === undefined || search.useless(need, now)) {
      search = this.beginSearch(budget, need, now);
    }
    let before: SearchStage;
    do {
      before = search.at();
      this.stages[before](budget, search, now);
    } while (search.at() !== before);
  }

  private beginSearch(budget: string, need: number, now: Millis): Search {
    const home = this.books.homeOf(budget);
    const search = new Search(now, need, home);
    this.searches.set(budget, search);
    if (home === undefined) {
      this.askLedger(budget, now);
    } else {
      this.ask(home, budget);
    }
    return search;
  }

  private ask(to: string, budget: string): void {
    const ahead = this.books.isScarce(budget) ? 0 : this.aheadOf(budget);
    const tokens = Math.ceil(this.books.shortfall(budget) + ahead);
    this.books.out.push({kind: WalletEffectKind.SendAsk, to, budget, tokens});
  }

  /** Tokens to ask of peers beyond the need; never more than may be kept. */
  private aheadOf(budget: string): number {
    const record = this.books.table.view(budget)?.budgets[budget];
    const most = (record?.granted ?? 0) * this.books.settings.limits.cap;
    const ahead = this.books.account(budget).spendingRate() * PEER_AHEAD;
    return Math.min(ahead, most / 2);
  }

  private readonly stages: Record<
    SearchStage,
    (budget: string, search: Search, now: Millis) => void
  > = {
    [SearchStage.Home]: (budget, search, now) => {
      if (search.waitedEnough(now)) {
        search.toLedger(now);
        this.askLedger(budget, now);
      }
    },
    [SearchStage.Ledger]: (budget, search, now) => {
      const no = this.ledgerNo(budget, search.need, search.begun);
      if (no || this.books.table.failing()) {
        search.exhausted = no;
        this.askOthers(budget, search, now);
      }
    },
    [SearchStage.Others]: (_budget, search, now) => {
      if (search.waitedEnough(now)) {
        search.end(now);
      }
    },
    [SearchStage.Over]: () => undefined,
  };

  private askOthers(budget: string, search: Search, now: Millis): void {
    const {joined} = this.books.table.of(budget).state();
    const asked =
      joined && this.books.rule.asksPeers
        ? this.books.peers.pick(this.books.homeOf(budget) ?? '')
        : [];
    search.toOthers(asked, now);
    for (const to of asked) {
      this.ask(to, budget);
    }
  }

  /** Grants or refuses what waits for a budget. */
  serve(budget: string, now: Millis): void {
    this.search(budget, now);
    let waiter = this.books.line.first(budget);
    while (waiter !== undefined) {
      const fits = this.books.available(budget) >= waiter.tokens;
      if (!fits && !this.final(budget, waiter, now)) {
        return;
      }
      this.books.line.shift(budget);
      this.answer(budget, waiter, fits);
      waiter = this.books.line.first(budget);
    }
    this.endSearch(budget);
    this.pushSurplus(budget, now);
  }

  /** Forgets a search that nobody waits for; a "no" is kept for a while. */
  private endSearch(budget: string): void {
    if (this.searches.get(budget)?.at() !== SearchStage.Over) {
      this.searches.delete(budget);
    }
  }

  /** Whether all who could give have said no, or the wait was too long. */
  private final(budget: string, waiter: Waiter, now: Millis): boolean {
    if (now - waiter.began >= this.books.settings.patience) {
      return true;
    }
    if (waiter.kind === WaiterKind.Peer) {
      const {tokens, began} = waiter;
      return this.books.table.failing() || this.ledgerNo(budget, tokens, began);
    }
    const search = this.searches.get(budget);
    const over = search?.at() === SearchStage.Over;
    const fresh = over && search.begun >= waiter.began - SEARCH_LIFETIME;
    return fresh && waiter.tokens >= search.need;
  }

  /** Whether the ledger, asked lately, can't make up so many tokens. */
  private ledgerNo(budget: string, tokens: number, since: Millis): boolean {
    const {answeredAt} = this.books.table.of(budget).state();
    const record = this.books.table.view(budget)?.budgets[budget];
    const free =
      record === undefined || !this.books.rule.takesMore
        ? 0
        : unallocated(record);
    const short = free + this.books.available(budget) < tokens;
    return short && answeredAt >= since - SEARCH_LIFETIME;
  }

  private answer(budget: string, waiter: Waiter, fits: boolean): void {
    if (waiter.kind === WaiterKind.Peer) {
      const no = this.ledgerNo(budget, waiter.tokens, waiter.began);
      const {Exhausted, Short} = GiveState;
      this.give(waiter.id, budget, waiter.tokens, no ? Exhausted : Short);
    } else if (fits) {
      this.grant(waiter.id, budget, waiter.tokens);
    } else {
      const no = this.searches.get(budget)?.exhausted ?? false;
      const {Exhausted, Unavailable} = BudgetRefusal;
      const reason = no ? Exhausted : Unavailable;
      const kind = WalletEffectKind.Refused;
      this.books.out.push({kind, request: waiter.id, reason});
    }
  }

  /** Sends up to `tokens`; `short` says why it may be less. */
  give(to: string, budget: string, tokens: number, short: GiveState): void {
    const account = this.books.account(budget);
    // Without a record in the partition a transfer could not be released.
    const {joined} = this.books.table.of(budget).state();
    const allowed = joined && !this.books.peers.isClosed(to);
    const most = allowed ? Math.max(0, account.available()) : 0;
    const amount = Math.min(most, tokens);
    if (amount > 0) {
      account.send(to, amount);
      this.books.dirty.add(budget);
    }
    const total = account.sentTo(to);
    const state = amount < tokens ? short : GiveState.Enough;
    const kind = WalletEffectKind.SendGive;
    this.books.out.push({kind, to, budget, total, state});
  }

  /** Answers another entry that asks for tokens. */
  peerAsk(
    {from, budget, tokens}: EventOf<WalletEventKind.PeerAsk>,
    now: Millis,
  ): void {
    if (this.books.peers.isClosed(from) || !this.books.rule.asksPeers) {
      return;
    }
    const enough = this.books.available(budget) >= tokens;
    const waits = this.books.line.has(budget);
    const source =
      this.books.homeOf(budget) === undefined && !this.books.draining;
    if (source && (waits || !enough)) {
      const kind = WaiterKind.Peer;
      this.wait(budget, {kind, id: from, tokens, began: now}, now);
      return;
    }
    // Of two that look for what the other has left, one must give way.
    const yields = !waits || from < this.books.settings.holder;
    this.give(from, budget, yields ? tokens : 0, GiveState.Short);
  }

  /** Takes tokens from another entry. */
  peerGive(
    {from, budget, total, state}: EventOf<WalletEventKind.PeerGive>,
    now: Millis,
  ): void {
    const {joined} = this.books.table.of(budget).state();
    if (this.books.peers.isClosed(from) || !joined) {
      return;
    }
    if (this.books.account(budget).receive(from, total)) {
      this.books.dirty.add(budget);
      this.books.table.dueFor(budget, now + this.books.settings.ownInterval);
    }
    if (state !== GiveState.Enough && from === this.books.homeOf(budget)) {
      this.books.noRefill.set(budget, now + REFILL_PAUSE);
    }
    if (state === GiveState.Exhausted) {
      this.books.scarce.set(budget, now + SCARCE_TIME);
    }
    this.noteAnswer(budget, from, state, now);
  }

  /** Takes the search on after an answer. */
  private noteAnswer(
    budget: string,
    from: string,
    state: GiveState,
    now: Millis,
  ): void {
    const search = this.searches.get(budget);
    if (!search?.answered(from) || search.at() !== SearchStage.Home) {
      return;
    }
    if (state === GiveState.Enough) {
      this.searches.delete(budget);
    } else if (state === GiveState.Exhausted) {
      search.exhausted = true;
      this.askOthers(budget, search, now);
    }
  }

  /**
   * Sends what is left to the home entry once the ledger is empty, so that
   * the rest of a budget is in one place and no request is refused for what
   * lies elsewhere in pieces.
   */
  pushSurplus(budget: string, now: Millis): void {
    const until = this.books.scarce.get(budget);
    if (until === undefined) {
      return;
    }
    if (now >= until) {
      this.books.scarce.delete(budget);
      return;
    }
    const home = this.books.homeOf(budget);
    const rest = this.books.available(budget);
    if (home !== undefined && rest > 0 && !this.books.line.has(budget)) {
      this.give(home, budget, rest, GiveState.Short);
    }
  }
}
