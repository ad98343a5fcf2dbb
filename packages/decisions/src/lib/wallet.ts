/**
 * The wallet of one entry: reserves tokens from its shares, settles them, asks
 * peers and the ledger for more, and keeps copies of its peers' charges.
 */
import {Account} from './account.js';
import {BUDGET_RULES} from './budget_policy.js';
import {Charges} from './charges.js';
import {CopyStore} from './copy_store.js';
import {HolderStatus, openHolders, unallocated} from './ledger.js';
import {PartitionTable} from './partition_table.js';
import {PeerTable} from './peer_table.js';
import {GiveState, Search, SEARCH_LIFETIME, SearchStage} from './search.js';
import {SECOND} from './clock.js';
import {WaiterKind, WaitingLine} from './waiting_line.js';
import {
  BudgetRefusal,
  WalletEffectKind,
  WalletEventKind,
} from './wallet_messages.js';
import type {Batch, Want} from './ledger_batch.js';
import type {Ledger, Settlement, Share} from './ledger.js';
import type {BudgetRule} from './budget_policy.js';
import type {Millis} from './clock.js';
import type {PartitionOwner} from './partition.js';
import type {Waiter} from './waiting_line.js';
import type {WalletEffect, WalletEvent} from './wallet_messages.js';
import type {WalletSettings} from './wallet_settings.js';

/** Span of spending to ask of peers beyond the need. */
const PEER_AHEAD: Millis = 2 * SECOND;

/** How long a budget counts as nearly used up after its home said so. */
const SCARCE_TIME: Millis = 2 * SECOND;

/** Pause of refills after the home entry had too little. */
const REFILL_PAUSE: Millis = 2 * SECOND;

/** Interval between samples of the spending rate. */
const SAMPLE_INTERVAL: Millis = SECOND;

/** Wait before a refill that nobody needs yet. */
const REFILL_DELAY: Millis = 500;

/** A budget with less than this part left takes back idle shares. */
const SCARCE_PART = 0.25;

/** Shares above this multiple of the target are idle. */
const IDLE_MULTIPLE = 3;

type EventOf<K extends WalletEventKind> = Extract<WalletEvent, {kind: K}>;

/** Counts of one budget at one entry, in tokens. */
export interface ShareStatus {
  budget: string;
  available: number;
  held: number;
  unsettled: number;
}

/** The wallet of one entry. */
export class Wallet implements PartitionOwner {
  private readonly rule: BudgetRule;
  private readonly table: PartitionTable;
  private readonly accounts = new Map<string, Account>();
  private readonly line = new WaitingLine();
  private readonly peers: PeerTable;
  private readonly searches = new Map<string, Search>();
  /** Until when the home entry is not asked for more than is needed. */
  private readonly noRefill = new Map<string, Millis>();
  /** Until when a budget is known to be nearly used up. */
  private readonly scarce = new Map<string, Millis>();
  private readonly charges = new Charges();
  private readonly copies = new CopyStore();
  /** Budgets whose position or charges changed since the last batch. */
  private readonly dirty = new Set<string>();
  private readonly seenCloses = new Map<number, number>();
  private sampledAt: Millis = 0;
  private draining = false;
  private out: WalletEffect[] = [];

  constructor(private readonly settings: WalletSettings) {
    this.rule = BUDGET_RULES[settings.policy];
    const {partitions, spacing, holder, zone} = settings;
    this.peers = new PeerTable({holder, zone}, settings.askedPeers);
    this.table = new PartitionTable(partitions, this, spacing);
  }

  /** Takes one event and returns what is to be done. */
  handle(event: WalletEvent, now: Millis): WalletEffect[] {
    this.out = [];
    const take = this.handlers[event.kind] as (
      event: WalletEvent,
      now: Millis,
    ) => void;
    take(event, now);
    this.out.push(...this.table.step(now));
    for (const budget of this.line.budgets()) {
      this.serve(budget, now);
    }
    if (this.draining) {
      this.drain(now);
    }
    return this.out;
  }

  /** Tokens available now from the local share of a budget. */
  available(budget: string): number {
    return this.accounts.get(budget)?.available() ?? 0;
  }

  /** Whether every partition knows this holder. */
  joined(): boolean {
    return this.table.joined();
  }

  /** Whether the last call to the ledger failed. */
  failing(): boolean {
    return this.table.failing();
  }

  /** Counts of each budget, for status pages. */
  shares(): ShareStatus[] {
    return [...this.accounts].map(([budget, account]) => ({
      budget,
      available: account.available(),
      held: account.heldTokens(),
      unsettled: account.unsettledTokens(),
    }));
  }

  private readonly handlers: {
    [K in WalletEventKind]: (event: EventOf<K>, now: Millis) => void;
  } = {
    [WalletEventKind.Reserve]: (event, now) => this.reserve(event, now),
    [WalletEventKind.Free]: ({request}, now) => this.free(request, now),
    [WalletEventKind.Withhold]: ({request}) => {
      this.charges.take(request);
    },
    [WalletEventKind.Settle]: (event, now) => this.settle(event, now),
    [WalletEventKind.LedgerRead]: (event, now) => this.seen(event, now),
    [WalletEventKind.LedgerConflict]: (event, now) => this.seen(event, now),
    [WalletEventKind.LedgerWritten]: ({partition, version}) => {
      this.table.answered();
      this.table.at(partition).written(version);
    },
    [WalletEventKind.LedgerLost]: ({partition}, now) =>
      this.table.failed(partition, true, now),
    [WalletEventKind.LedgerUnavailable]: ({partition}, now) =>
      this.table.failed(partition, false, now),
    [WalletEventKind.PeerAsk]: (event, now) => this.peerAsk(event, now),
    [WalletEventKind.PeerGive]: (event, now) => this.peerGive(event, now),
    [WalletEventKind.PeerCopy]: (event, now) => this.peerCopy(event, now),
    [WalletEventKind.PeerCopied]: ({digest}) => this.secure(digest, true),
    [WalletEventKind.PeerDrop]: ({from, digests}) =>
      this.copies.drop(from, digests),
    [WalletEventKind.Peers]: ({peers}) => this.peers.setPeers(peers),
    [WalletEventKind.Tick]: (_event, now) => this.tick(now),
    [WalletEventKind.Drain]: () => {
      this.draining = true;
    },
  };

  private seen(
    event: EventOf<WalletEventKind.LedgerRead | WalletEventKind.LedgerConflict>,
    now: Millis,
  ): void {
    const {partition, version, ledger} = event;
    this.table.answered();
    this.out.push(...this.table.at(partition).seen(version, ledger, now));
  }

  private account(budget: string): Account {
    let account = this.accounts.get(budget);
    if (account === undefined) {
      account = new Account();
      this.accounts.set(budget, account);
      this.table.use(budget);
    }
    return account;
  }

  private reserve(
    {request, budget, tokens}: EventOf<WalletEventKind.Reserve>,
    now: Millis,
  ): void {
    if (this.draining) {
      const reason = BudgetRefusal.Unavailable;
      this.out.push({kind: WalletEffectKind.Refused, request, reason});
      return;
    }
    const waits = this.line.has(budget);
    if (!waits && this.account(budget).available() >= tokens) {
      this.grant(request, budget, tokens);
      return;
    }
    const kind = WaiterKind.Request;
    this.wait(budget, {kind, id: request, tokens, began: now}, now);
  }

  private grant(request: string, budget: string, tokens: number): void {
    this.account(budget).hold(tokens);
    this.charges.hold(request, {budget, tokens});
    this.out.push({kind: WalletEffectKind.Granted, request});
  }

  private wait(budget: string, waiter: Waiter, now: Millis): void {
    this.account(budget);
    this.line.add(budget, waiter);
    const atLedger = this.searches.get(budget)?.at() === SearchStage.Ledger;
    if (waiter.kind === WaiterKind.Peer || atLedger) {
      this.askLedger(budget, now);
    }
  }

  /** Asks the ledger, unless its last answer is recent and says no. */
  private askLedger(budget: string, now: Millis): void {
    const {answeredAt} = this.table.of(budget).state();
    if (answeredAt < now - SEARCH_LIFETIME || this.room(budget)) {
      this.table.dueFor(budget, now);
    }
  }

  /** Whether the last known ledger has tokens left for a budget. */
  private room(budget: string): boolean {
    const record = this.table.view(budget)?.budgets[budget];
    return record !== undefined && unallocated(record) > 0;
  }

  private shortfall(budget: string): number {
    return Math.max(0, this.line.tokens(budget) - this.available(budget));
  }

  /** The other entry to ask first, if there is one. */
  private homeOf(budget: string): string | undefined {
    const home = this.peers.home(this.table.numberOf(budget));
    const own = home === this.settings.holder;
    const {joined} = this.table.of(budget).state();
    return own || !joined || !this.rule.asksPeers ? undefined : home;
  }

  /** Takes the search for a budget as far as it gets now. */
  private search(budget: string, now: Millis): void {
    if (!this.line.hasRequest(budget)) {
      return;
    }
    const need = this.line.first(budget)?.tokens ?? 0;
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
    const home = this.homeOf(budget);
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
    const ahead = this.isScarce(budget) ? 0 : this.aheadOf(budget);
    const tokens = Math.ceil(this.shortfall(budget) + ahead);
    this.out.push({kind: WalletEffectKind.SendAsk, to, budget, tokens});
  }

  /** Tokens to ask of peers beyond the need; never more than may be kept. */
  private aheadOf(budget: string): number {
    const record = this.table.view(budget)?.budgets[budget];
    const most = (record?.granted ?? 0) * this.settings.limits.cap;
    const ahead = this.account(budget).spendingRate() * PEER_AHEAD;
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
      if (no || this.table.failing()) {
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
    const {joined} = this.table.of(budget).state();
    const asked =
      joined && this.rule.asksPeers
        ? this.peers.pick(this.homeOf(budget) ?? '')
        : [];
    search.toOthers(asked, now);
    for (const to of asked) {
      this.ask(to, budget);
    }
  }

  /** Grants or refuses what waits for a budget. */
  private serve(budget: string, now: Millis): void {
    this.search(budget, now);
    let waiter = this.line.first(budget);
    while (waiter !== undefined) {
      const fits = this.available(budget) >= waiter.tokens;
      if (!fits && !this.final(budget, waiter, now)) {
        return;
      }
      this.line.shift(budget);
      this.answer(budget, waiter, fits);
      waiter = this.line.first(budget);
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
    if (now - waiter.began >= this.settings.patience) {
      return true;
    }
    if (waiter.kind === WaiterKind.Peer) {
      const {tokens, began} = waiter;
      return this.table.failing() || this.ledgerNo(budget, tokens, began);
    }
    const search = this.searches.get(budget);
    const over = search?.at() === SearchStage.Over;
    const fresh = over && search.begun >= waiter.began - SEARCH_LIFETIME;
    return fresh && waiter.tokens >= search.need;
  }

  /** Whether the ledger, asked lately, can't make up so many tokens. */
  private ledgerNo(budget: string, tokens: number, since: Millis): boolean {
    const {answeredAt} = this.table.of(budget).state();
    const record = this.table.view(budget)?.budgets[budget];
    const free =
      record === undefined || !this.rule.takesMore ? 0 : unallocated(record);
    const short = free + this.available(budget) < tokens;
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
      this.out.push({kind, request: waiter.id, reason});
    }
  }

  /** Sends up to `tokens`; `short` says why it may be less. */
  private give(
    to: string,
    budget: string,
    tokens: number,
    short: GiveState,
  ): void {
    const account = this.account(budget);
    // Without a record in the partition a transfer could not be released.
    const {joined} = this.table.of(budget).state();
    const allowed = joined && !this.peers.isClosed(to);
    const most = allowed ? Math.max(0, account.available()) : 0;
    const amount = Math.min(most, tokens);
    if (amount > 0) {
      account.send(to, amount);
      this.dirty.add(budget);
    }
    const total = account.sentTo(to);
    const state = amount < tokens ? short : GiveState.Enough;
    const kind = WalletEffectKind.SendGive;
    this.out.push({kind, to, budget, total, state});
  }

  private peerAsk(
    {from, budget, tokens}: EventOf<WalletEventKind.PeerAsk>,
    now: Millis,
  ): void {
    if (this.peers.isClosed(from) || !this.rule.asksPeers) {
      return;
    }
    const enough = this.available(budget) >= tokens;
    const waits = this.line.has(budget);
    const source = this.homeOf(budget) === undefined && !this.draining;
    if (source && (waits || !enough)) {
      const kind = WaiterKind.Peer;
      this.wait(budget, {kind, id: from, tokens, began: now}, now);
      return;
    }
    // Of two that look for what the other has left, one must give way.
    const yields = !waits || from < this.settings.holder;
    this.give(from, budget, yields ? tokens : 0, GiveState.Short);
  }

  private peerGive(
    {from, budget, total, state}: EventOf<WalletEventKind.PeerGive>,
    now: Millis,
  ): void {
    const {joined} = this.table.of(budget).state();
    if (this.peers.isClosed(from) || !joined) {
      return;
    }
    if (this.account(budget).receive(from, total)) {
      this.dirty.add(budget);
      this.table.dueFor(budget, now + this.settings.ownInterval);
    }
    if (state !== GiveState.Enough && from === this.homeOf(budget)) {
      this.noRefill.set(budget, now + REFILL_PAUSE);
    }
    if (state === GiveState.Exhausted) {
      this.scarce.set(budget, now + SCARCE_TIME);
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

  private isScarce(budget: string): boolean {
    return this.scarce.has(budget);
  }

  /**
   * Sends what is left to the home entry once the ledger is empty, so that
   * the rest of a budget is in one place and no request is refused for what
   * lies elsewhere in pieces.
   */
  private pushSurplus(budget: string, now: Millis): void {
    const until = this.scarce.get(budget);
    if (until === undefined) {
      return;
    }
    if (now >= until) {
      this.scarce.delete(budget);
      return;
    }
    const home = this.homeOf(budget);
    const rest = this.available(budget);
    if (home !== undefined && rest > 0 && !this.line.has(budget)) {
      this.give(home, budget, rest, GiveState.Short);
    }
  }

  private free(request: string, now: Millis): void {
    const hold = this.charges.take(request);
    if (hold !== undefined) {
      this.account(hold.budget).free(hold.tokens);
      this.returnRest(hold.budget, now);
    }
  }

  private settle(
    {request, digest, tokens, begun}: EventOf<WalletEventKind.Settle>,
    now: Millis,
  ): void {
    const hold = this.charges.take(request);
    if (hold === undefined) {
      return;
    }
    const {budget} = hold;
    const {holder} = this.settings;
    // More than was reserved is never charged: the rest is the fleet's.
    const charged = Math.min(tokens, hold.tokens);
    const settlement = {digest, holder, budget, tokens: charged, begun};
    this.account(budget).charge(hold.tokens, settlement);
    this.dirty.add(budget);
    this.returnRest(budget, now);
    const until = now + this.settings.securePatience;
    this.charges.await(digest, {request, budget, until});
    this.sendCopy(settlement, now);
  }

  private sendCopy(settlement: Settlement, now: Millis): void {
    const {budget, digest} = settlement;
    const to = this.peers.keeper(this.table.numberOf(budget));
    if (to === undefined) {
      this.table.dueFor(budget, now);
      return;
    }
    this.charges.kept(digest, to);
    this.out.push({kind: WalletEffectKind.SendCopy, to, settlement});
    // The keeper writes first, for many; this write only makes sure.
    this.table.dueFor(budget, now + this.settings.ownInterval);
  }

  private returnRest(budget: string, now: Millis): void {
    this.pushSurplus(budget, now);
    const rest = this.available(budget);
    if (!this.rule.returnsAtOnce || rest <= 0 || this.line.has(budget)) {
      return;
    }
    this.account(budget).giveBack(rest);
    this.dirty.add(budget);
    this.table.dueFor(budget, now);
  }

  private secure(digest: string, secured: boolean): void {
    const request = this.charges.secure(digest);
    if (request !== undefined) {
      this.out.push({kind: WalletEffectKind.Secured, request, secured});
    }
  }

  private peerCopy(
    {from, settlement}: EventOf<WalletEventKind.PeerCopy>,
    now: Millis,
  ): void {
    if (this.peers.isClosed(from) || this.draining) {
      return;
    }
    const dueAt = now + this.settings.settleInterval;
    this.copies.add(settlement);
    this.table.dueFor(settlement.budget, dueAt);
    const {digest} = settlement;
    this.out.push({kind: WalletEffectKind.SendCopied, to: from, digest});
  }

  private tick(now: Millis): void {
    for (const {digest, budget} of this.charges.late(now)) {
      this.secure(digest, false);
      this.table.dueFor(budget, now);
    }
    if (now - this.sampledAt >= SAMPLE_INTERVAL) {
      this.sampledAt = now;
      this.sample(now);
    }
  }

  private sample(now: Millis): void {
    for (const [budget, account] of this.accounts) {
      account.sample(now);
      this.refill(budget, now);
      this.returnIdle(budget, account, now);
    }
  }

  /** Gets more before it is needed. */
  private refill(budget: string, now: Millis): void {
    const want = this.wantOf(budget);
    const paused = now < (this.noRefill.get(budget) ?? 0);
    const late = paused || this.isScarce(budget) || !this.room(budget);
    if (want === undefined || late) {
      return;
    }
    const to = this.homeOf(budget);
    if (to === undefined) {
      this.table.dueFor(budget, now + REFILL_DELAY);
    } else {
      const tokens = Math.ceil(want.desired);
      this.out.push({kind: WalletEffectKind.SendAsk, to, budget, tokens});
    }
  }

  private returnIdle(budget: string, account: Account, now: Millis): void {
    const record = this.table.view(budget)?.budgets[budget];
    if (record === undefined || !this.rule.asksPeers) {
      return;
    }
    const {cap, horizon} = this.settings.limits;
    const most = record.granted * cap;
    const scarce = unallocated(record) < record.granted * SCARCE_PART;
    const target = IDLE_MULTIPLE * account.spendingRate() * horizon;
    const keep = scarce ? Math.min(most, target) : most;
    const extra = Math.floor(account.available() - keep);
    if (extra <= 0 || this.line.has(budget)) {
      return;
    }
    const home = this.homeOf(budget);
    if (home !== undefined) {
      this.give(home, budget, extra, GiveState.Short);
      return;
    }
    account.giveBack(extra);
    this.dirty.add(budget);
    this.table.dueFor(budget, now + REFILL_DELAY);
  }

  private wantOf(budget: string): Want | undefined {
    const account = this.account(budget);
    const ledger = this.table.view(budget);
    const record = ledger?.budgets[budget];
    const leaving = this.draining && !this.line.has(budget);
    if (ledger === undefined || record === undefined || leaving) {
      return undefined;
    }
    const {holder, entries, limits} = this.settings;
    const view = {
      granted: record.granted,
      need: this.shortfall(budget),
      available: account.available(),
      taken: record.shares[holder]?.taken ?? 0,
      rate: account.spendingRate(),
      holders: openHolders(ledger),
      entries,
    };
    return this.rule.want(view, limits);
  }

  /** Forms the next batch of a partition. Called by the partition. */
  form(number: number, sequence: number, now: Millis): Batch {
    this.noteCloses(number);
    const {holder, instance, window} = this.settings;
    const batch: Batch = {
      holder,
      instance,
      sequence,
      seenCloses: this.seenCloses.get(number) ?? 0,
      settlements: this.copies.take(
        budget => this.table.numberOf(budget) === number,
      ),
      positions: {},
      wants: {},
      leave: this.mayLeave(number),
      now,
      window,
    };
    for (const budget of this.table.used(number)) {
      this.fill(batch, budget);
    }
    return batch;
  }

  /**
   * A holder leaves with a batch of its own after its last charges: what a
   * charge that proves a duplicate frees must still be returned.
   */
  private mayLeave(number: number): boolean {
    if (!this.draining || !this.nothingRuns()) {
      return false;
    }
    return [...this.table.used(number)].every(
      budget => this.account(budget).unsettled().length === 0,
    );
  }

  private fill(batch: Batch, budget: string): void {
    const account = this.account(budget);
    if (batch.leave) {
      account.giveBack(Math.max(0, account.available()));
      this.dirty.add(budget);
    }
    if (this.dirty.delete(budget) || account.unsettled().length > 0) {
      batch.settlements.push(...account.unsettled());
      batch.positions[budget] = account.position();
    }
    const want = this.wantOf(budget);
    if (want !== undefined) {
      batch.wants[budget] = want;
    }
  }

  /** Whether a batch would hold nothing but wants that can't be met. */
  hopeless(number: number): boolean {
    const ledger = this.table.at(number).view();
    const copies = this.copies.take(
      budget => this.table.numberOf(budget) === number,
    );
    const {joined} = this.table.at(number).state();
    if (!joined || copies.length > 0 || ledger === undefined) {
      return false;
    }
    if (this.draining || ledger.closes > (this.seenCloses.get(number) ?? 0)) {
      return false;
    }
    const used = [...this.table.used(number)];
    return used.every(budget => {
      const record = ledger.budgets[budget];
      const free = record === undefined ? 0 : unallocated(record);
      const unsettled = this.account(budget).unsettled().length > 0;
      return free <= 0 && !unsettled && !this.dirty.has(budget);
    });
  }

  /** Stops dealing with holders that an operator closed. */
  private noteCloses(number: number): void {
    const ledger = this.table.at(number).view();
    if (ledger === undefined) {
      return;
    }
    this.seenCloses.set(number, ledger.closes);
    for (const [id, holder] of Object.entries(ledger.holders)) {
      if (holder.status === HolderStatus.Closing) {
        this.peers.close(id);
      }
    }
  }

  /** Takes over the ledger's counts. Called by the partition. */
  absorb(number: number, ledger: Ledger, batch: Batch): void {
    const written = new Set(batch.settlements);
    this.takeOver(number, ledger, written);
    this.confirm(batch.settlements);
    if (batch.leave) {
      this.table.leave(number);
    } else if (ledger.closes > batch.seenCloses) {
      this.table.due(number, batch.now);
    }
  }

  /** Takes over a ledger that was only read. Called by the partition. */
  refreshed(number: number, ledger: Ledger): void {
    this.takeOver(number, ledger, new Set());
  }

  /**
   * Takes over the ledger's counts. A charge that the keeper has written, or
   * that somebody else was billed for, is dealt with although it was in none
   * of our own batches; counting it as well would withhold it twice.
   */
  private takeOver(
    number: number,
    ledger: Ledger,
    written: ReadonlySet<Settlement>,
  ): void {
    const isSettled = (settlement: Settlement) =>
      written.has(settlement) || ledger.bills[settlement.digest] !== undefined;
    for (const budget of this.table.used(number)) {
      const shares = ledger.budgets[budget]?.shares ?? {};
      const own = shares[this.settings.holder];
      if (own !== undefined) {
        this.confirm(this.account(budget).absorb(own, isSettled));
        this.collect(budget, shares);
      }
    }
  }

  /** Takes what others sent and what got lost on its way. */
  private collect(budget: string, shares: Record<string, Share>): void {
    const {holder} = this.settings;
    const account = this.account(budget);
    for (const [from, {sent}] of Object.entries(shares)) {
      const total = this.peers.isClosed(from) ? 0 : (sent[holder] ?? 0);
      if (account.receive(from, total)) {
        this.dirty.add(budget);
      }
    }
  }

  /** Lets go of copies and callers once charges stand in the ledger. */
  private confirm(settlements: Settlement[]): void {
    const drops = new Map<string, string[]>();
    for (const {digest, holder} of settlements) {
      if (holder !== this.settings.holder) {
        this.copies.drop(holder, [digest]);
        continue;
      }
      this.secure(digest, true);
      const keeper = this.charges.settled(digest);
      if (keeper !== undefined) {
        drops.set(keeper, [...(drops.get(keeper) ?? []), digest]);
      }
    }
    for (const [to, digests] of drops) {
      this.out.push({kind: WalletEffectKind.SendDrop, to, digests});
    }
  }

  private nothingRuns(): boolean {
    return this.charges.empty() && this.line.empty();
  }

  private drain(now: Millis): void {
    if (this.nothingRuns() && !this.table.leaveRest(now)) {
      this.out.push({kind: WalletEffectKind.Left});
      this.draining = false;
    }
  }
}
