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
import {PeerAsks} from './peer_asks.js';
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

/** How long a "no" of the ledger or of the peers stays good. */
const REFUSAL_LIFETIME: Millis = 250;

/** Span of spending to ask of peers beyond the need. */
const PEER_AHEAD: Millis = 2 * SECOND;

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
  private readonly asks: PeerAsks;
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
    this.asks = new PeerAsks(settings.askedPeers, settings.zone);
    const {partitions, spacing} = settings;
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
    [WalletEventKind.Peers]: ({peers}) => this.asks.setPeers(peers),
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
    this.line.add(budget, waiter);
    const {answeredAt} = this.table.of(budget).state();
    if (answeredAt < now - REFUSAL_LIFETIME || this.room(budget)) {
      this.table.dueFor(budget, now);
    }
    this.askPeers(budget, now);
  }

  /** Whether the last known ledger has tokens left for a budget. */
  private room(budget: string): boolean {
    const record = this.table.view(budget)?.budgets[budget];
    return record !== undefined && unallocated(record) > 0;
  }

  private shortfall(budget: string): number {
    return Math.max(0, this.line.tokens(budget) - this.available(budget));
  }

  private askPeers(budget: string, now: Millis): void {
    const fresh = now - this.asks.askedAt(budget) < REFUSAL_LIFETIME;
    const {joined} = this.table.of(budget).state();
    const own = this.line.hasRequest(budget);
    if (!own || fresh || !joined || !this.rule.asksPeers) {
      return;
    }
    const ahead = this.account(budget).spendingRate() * PEER_AHEAD;
    const tokens = Math.ceil(this.shortfall(budget) + ahead);
    for (const to of this.asks.ask(budget, now)) {
      this.out.push({kind: WalletEffectKind.SendAsk, to, budget, tokens});
    }
  }

  /** Grants or refuses what waits for a budget. */
  private serve(budget: string, now: Millis): void {
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
  }

  /** Whether all who could give have said no, or the wait was too long. */
  private final(budget: string, waiter: Waiter, now: Millis): boolean {
    if (now - waiter.began >= this.settings.patience) {
      return true;
    }
    const no = this.table.failing() || this.ledgerNo(budget, waiter);
    return no && this.peersNo(budget, waiter, now);
  }

  private ledgerNo(budget: string, waiter: Waiter): boolean {
    const {answeredAt} = this.table.of(budget).state();
    const record = this.table.view(budget)?.budgets[budget];
    const free =
      record === undefined || !this.rule.takesMore ? 0 : unallocated(record);
    const short = free + this.available(budget) < waiter.tokens;
    return short && answeredAt >= waiter.began - REFUSAL_LIFETIME;
  }

  private peersNo(budget: string, waiter: Waiter, now: Millis): boolean {
    const {joined} = this.table.of(budget).state();
    const asked = waiter.kind === WaiterKind.Request && joined;
    if (!asked || !this.rule.asksPeers) {
      return true;
    }
    return this.asks.done(budget, waiter.began - REFUSAL_LIFETIME, now);
  }

  private answer(budget: string, waiter: Waiter, fits: boolean): void {
    if (waiter.kind === WaiterKind.Peer) {
      this.give(waiter.id, budget, waiter.tokens);
    } else if (fits) {
      this.grant(waiter.id, budget, waiter.tokens);
    } else {
      const no = this.ledgerNo(budget, waiter);
      const {Exhausted, Unavailable} = BudgetRefusal;
      const reason = no ? Exhausted : Unavailable;
      const kind = WalletEffectKind.Refused;
      this.out.push({kind, request: waiter.id, reason});
    }
  }

  private give(to: string, budget: string, tokens: number): void {
    const account = this.account(budget);
    // Without a record in the partition a transfer could not be released.
    const {joined} = this.table.of(budget).state();
    const amount = Math.min(Math.max(0, account.available()), tokens);
    if (joined && !this.asks.isClosed(to) && amount > 0) {
      account.send(to, amount);
      this.dirty.add(budget);
    }
    const total = account.sentTo(to);
    this.out.push({kind: WalletEffectKind.SendGive, to, budget, total});
  }

  private peerAsk(
    {from, budget, tokens}: EventOf<WalletEventKind.PeerAsk>,
    now: Millis,
  ): void {
    if (this.asks.isClosed(from) || !this.rule.asksPeers) {
      return;
    }
    if (this.line.has(budget)) {
      this.give(from, budget, 0);
    } else if (this.draining || this.available(budget) >= tokens) {
      this.give(from, budget, tokens);
    } else {
      const kind = WaiterKind.Peer;
      this.wait(budget, {kind, id: from, tokens, began: now}, now);
    }
  }

  private peerGive(
    {from, budget, total}: EventOf<WalletEventKind.PeerGive>,
    now: Millis,
  ): void {
    const {joined} = this.table.of(budget).state();
    if (this.asks.isClosed(from) || !joined) {
      return;
    }
    if (this.account(budget).receive(from, total)) {
      this.dirty.add(budget);
      this.table.dueFor(budget, now + this.settings.settleInterval);
    }
    this.asks.answered(budget, from);
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
    const to = this.asks.keeper(this.table.numberOf(budget));
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
    if (this.asks.isClosed(from) || this.draining) {
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
    for (const budget of this.line.budgets()) {
      this.askPeers(budget, now);
    }
    if (now - this.sampledAt >= SAMPLE_INTERVAL) {
      this.sampledAt = now;
      this.sample(now);
    }
  }

  private sample(now: Millis): void {
    for (const [budget, account] of this.accounts) {
      account.sample(now);
      if (this.wantOf(budget) !== undefined && this.room(budget)) {
        this.table.dueFor(budget, now + REFILL_DELAY);
      }
      this.returnIdle(budget, account, now);
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
    if (extra > 0 && !this.line.has(budget)) {
      account.giveBack(extra);
      this.dirty.add(budget);
      this.table.dueFor(budget, now + this.settings.settleInterval);
    }
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

  /** Stops dealing with holders that an operator closed. */
  private noteCloses(number: number): void {
    const ledger = this.table.at(number).view();
    if (ledger === undefined) {
      return;
    }
    this.seenCloses.set(number, ledger.closes);
    for (const [id, holder] of Object.entries(ledger.holders)) {
      if (holder.status === HolderStatus.Closing) {
        this.asks.close(id);
      }
    }
  }

  /** Takes over the ledger's counts. Called by the partition. */
  absorb(number: number, ledger: Ledger, batch: Batch): void {
    const settled = new Set(batch.settlements);
    for (const budget of this.table.used(number)) {
      const shares = ledger.budgets[budget]?.shares ?? {};
      const own = shares[this.settings.holder];
      if (own !== undefined) {
        this.account(budget).absorb(own, settled);
        this.collect(budget, shares);
      }
    }
    this.confirm(batch.settlements);
    if (batch.leave) {
      this.table.leave(number);
    } else if (ledger.closes > batch.seenCloses) {
      this.table.due(number, batch.now);
    }
  }

  /** Takes what others sent and what got lost on its way. */
  private collect(budget: string, shares: Record<string, Share>): void {
    const {holder} = this.settings;
    const account = this.account(budget);
    for (const [from, {sent}] of Object.entries(shares)) {
      const total = this.asks.isClosed(from) ? 0 : (sent[holder] ?? 0);
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
