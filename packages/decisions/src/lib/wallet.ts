/**
 * The wallet of one entry: reserves tokens from its shares, settles them, asks
 * peers and the ledger for more, and keeps copies of its peers' charges.
 */
import {Account} from './account.js';
import {BUDGET_RULES, BudgetPolicy} from './budget_policy.js';
import {CopyStore} from './copy_store.js';
import {HolderStatus, openHolders, unallocated} from './ledger.js';
import {Partition} from './partition.js';
import {SECOND} from './clock.js';
import {
  BudgetRefusal,
  WalletEffectKind,
  WalletEventKind,
} from './wallet_messages.js';
import type {Batch, Ledger, Settlement, Want} from './ledger.js';
import type {BudgetRule, ShareLimits} from './budget_policy.js';
import type {Millis} from './clock.js';
import type {PartitionOwner} from './partition.js';
import type {WalletEffect, WalletEvent} from './wallet_messages.js';

/** Settings of a wallet. */
export interface WalletSettings {
  policy: BudgetPolicy;
  /** Identity of this incarnation, unique for ever. */
  holder: string;
  instance: string;
  /** Number of ledger partitions. */
  partitions: number;
  /** Entries that the deployment is declared to have. */
  entries: number;
  limits: ShareLimits;
  /** Longest time that a charge waits to be written. */
  settleInterval: Millis;
  /** Shortest time between two writes of a partition. */
  spacing: Millis;
  /** Longest time that a reservation waits. */
  patience: Millis;
  /** Longest time that a charge waits for a copy or the ledger. */
  securePatience: Millis;
  /** How long bills are kept against duplicates. */
  window: Millis;
  /** Most peers asked for tokens at once. */
  askedPeers: number;
}

/** Settings that suit most deployments. */
export const WALLET_DEFAULTS: Omit<
  WalletSettings,
  'holder' | 'instance' | 'partitions' | 'entries'
> = {
  policy: BudgetPolicy.Shares,
  limits: {horizon: 180 * SECOND, cap: 0.008},
  settleInterval: 5 * SECOND,
  spacing: 50,
  patience: 400,
  securePatience: 100,
  window: 600 * SECOND,
  askedPeers: 8,
};

/** How long a "no" of the ledger or of the peers stays good. */
const REFUSAL_LIFETIME: Millis = 250;

/** How long peers have to answer. */
const PEER_PATIENCE: Millis = 150;

/** Span of spending to ask of peers beyond the need. */
const PEER_AHEAD: Millis = 2 * SECOND;

/** Interval between samples of the spending rate. */
const SAMPLE_INTERVAL: Millis = SECOND;

/** Wait before a refill that nobody needs yet. */
const REFILL_DELAY: Millis = 500;

/** A charge's copy is settled for its owner after so many settle intervals. */
const COPY_INTERVALS = 3;

/** A budget with less than this part left takes back idle shares. */
const SCARCE_PART = 0.25;

/** Shares above this multiple of the target are idle. */
const IDLE_MULTIPLE = 3;

interface Waiter {
  tokens: number;
  began: Millis;
  /** The request to grant, or else the peer to send to. */
  request?: string;
  peer?: string;
}

interface Ask {
  at: Millis;
  awaited: Set<string>;
}

interface Hold {
  budget: string;
  tokens: number;
}

interface Unsecured {
  request: string;
  until: Millis;
}

/** Assigns a budget to a ledger partition. */
export function partitionOf(budget: string, partitions: number): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < budget.length; i++) {
    hash = Math.imul(hash ^ budget.charCodeAt(i), 0x01000193) >>> 0;
  }
  return hash % partitions;
}

/** The wallet of one entry. */
export class Wallet implements PartitionOwner {
  private readonly rule: BudgetRule;
  private readonly partitions: Partition[] = [];
  private readonly accounts = new Map<string, Account>();
  private readonly members: Set<string>[] = [];
  private readonly dirty = new Set<string>();
  private readonly waiters = new Map<string, Waiter[]>();
  private readonly asks = new Map<string, Ask>();
  private readonly holds = new Map<string, Hold>();
  private readonly unsecured = new Map<string, Unsecured>();
  private readonly sentCopies = new Map<string, string>();
  private readonly closed = new Set<string>();
  private readonly seenCloses: number[] = [];
  private readonly copies = new CopyStore();
  private peers: string[] = [];
  private askTurn = 0;
  private sampledAt: Millis = 0;
  private draining = false;
  private left = new Set<number>();
  private out: WalletEffect[] = [];

  constructor(private readonly settings: WalletSettings) {
    this.rule = BUDGET_RULES[settings.policy];
    for (let i = 0; i < settings.partitions; i++) {
      const partition = new Partition(i, this, settings.spacing);
      partition.due(0);
      this.partitions.push(partition);
      this.members.push(new Set());
      this.seenCloses.push(0);
    }
  }

  /** Takes one event and returns what is to be done. */
  handle(event: WalletEvent, now: Millis): WalletEffect[] {
    this.out = [];
    this.dispatch(event, now);
    this.stepPartitions(now);
    return this.out;
  }

  /** Tokens available now from the local share of a budget. */
  available(budget: string): number {
    return this.accounts.get(budget)?.available() ?? 0;
  }

  /** The last known ledger record behind a budget; never change it. */
  ledgerOf(budget: string): Ledger | undefined {
    return this.partitionFor(budget).view();
  }

  /** Whether every partition knows this holder. */
  joined(): boolean {
    return this.partitions.every(partition => partition.joined());
  }

  /** Whether any partition's last call failed. */
  failing(): boolean {
    return this.partitions.some(partition => partition.failing());
  }

  /** Counts per budget, for status pages, in tokens. */
  shares(): {
    budget: string;
    available: number;
    held: number;
    unsettled: number;
  }[] {
    return [...this.accounts].map(([budget, account]) => ({
      budget,
      available: account.available(),
      held: account.heldTokens(),
      unsettled: account.unsettledTokens(),
    }));
  }

  private dispatch(event: WalletEvent, now: Millis): void {
    switch (event.kind) {
      case WalletEventKind.Reserve:
        return this.reserve(event.request, event.budget, event.tokens, now);
      case WalletEventKind.Free:
        return this.release(event.request, now);
      case WalletEventKind.Withhold:
        this.holds.delete(event.request);
        return;
      case WalletEventKind.Settle:
        return this.settle(event, now);
      case WalletEventKind.LedgerRead:
      case WalletEventKind.LedgerConflict:
        return this.pass(
          this.partitions[event.partition]?.seen(
            event.version,
            event.ledger,
            now,
          ) ?? [],
        );
      case WalletEventKind.LedgerWritten:
        return this.partitions[event.partition]?.written(event.version);
      case WalletEventKind.LedgerLost:
        return this.fail(event.partition, true, now);
      case WalletEventKind.LedgerUnavailable:
        return this.fail(event.partition, false, now);
      case WalletEventKind.PeerAsk:
        return this.peerAsk(event.from, event.budget, event.tokens, now);
      case WalletEventKind.PeerGive:
        return this.peerGive(event.from, event.budget, event.total, now);
      case WalletEventKind.PeerCopy:
        return this.peerCopy(event.from, event.settlement, now);
      case WalletEventKind.PeerCopied:
        return this.secure(event.digest, true);
      case WalletEventKind.PeerDrop:
        return this.copies.drop(event.from, event.digests);
      case WalletEventKind.Peers:
        this.peers = event.peers;
        return;
      case WalletEventKind.Tick:
        return this.tick(now);
      case WalletEventKind.Drain:
        this.draining = true;
        return;
    }
  }

  private pass(effects: WalletEffect[]): void {
    this.out.push(...effects);
  }

  private stepPartitions(now: Millis): void {
    for (const partition of this.partitions) {
      this.pass(partition.step(now));
    }
    for (const budget of [...this.waiters.keys()]) {
      this.serve(budget, now);
    }
    if (this.draining) {
      this.drain(now);
    }
  }

  private partitionFor(budget: string): Partition {
    const number = partitionOf(budget, this.settings.partitions);
    return this.partitions[number] as Partition;
  }

  private account(budget: string): Account {
    let account = this.accounts.get(budget);
    if (account === undefined) {
      account = new Account();
      this.accounts.set(budget, account);
      const number = partitionOf(budget, this.settings.partitions);
      this.members[number]?.add(budget);
    }
    return account;
  }

  private reserve(
    request: string,
    budget: string,
    tokens: number,
    now: Millis,
  ): void {
    if (this.draining) {
      const reason = BudgetRefusal.Unavailable;
      this.out.push({kind: WalletEffectKind.Refused, request, reason});
      return;
    }
    const account = this.account(budget);
    const queue = this.waiters.get(budget);
    if (queue === undefined && account.available() >= tokens) {
      this.grant(request, budget, tokens);
      return;
    }
    this.enqueue(budget, {request, tokens, began: now}, now);
  }

  private grant(request: string, budget: string, tokens: number): void {
    this.account(budget).hold(tokens);
    this.holds.set(request, {budget, tokens});
    this.out.push({kind: WalletEffectKind.Granted, request});
  }

  private enqueue(budget: string, waiter: Waiter, now: Millis): void {
    const queue = this.waiters.get(budget) ?? [];
    queue.push(waiter);
    // Own requests go before peers; within each, the older first.
    queue.sort((a, b) => rank(a) - rank(b));
    this.waiters.set(budget, queue);
    const partition = this.partitionFor(budget);
    if (partition.answeredAt() < now - REFUSAL_LIFETIME || this.room(budget)) {
      partition.due(now);
    }
    this.askPeers(budget, now);
  }

  /** Whether the last known ledger has tokens left for a budget. */
  private room(budget: string): boolean {
    const record = this.partitionFor(budget).view()?.budgets[budget];
    return record !== undefined && unallocated(record) > 0;
  }

  private shortfall(budget: string): number {
    let total = -this.available(budget);
    for (const waiter of this.waiters.get(budget) ?? []) {
      total += waiter.tokens;
    }
    return Math.max(0, total);
  }

  private askPeers(budget: string, now: Millis): void {
    const own = this.waiters.get(budget)?.some(w => w.request !== undefined);
    const asked = this.asks.get(budget);
    const fresh = asked !== undefined && now - asked.at < REFUSAL_LIFETIME;
    const joined = this.partitionFor(budget).joined();
    if (!own || fresh || !joined || !this.rule.asksPeers) {
      return;
    }
    const awaited = new Set(this.pickPeers());
    this.asks.set(budget, {at: now, awaited});
    const ahead = this.account(budget).spendingRate() * PEER_AHEAD;
    const tokens = Math.ceil(this.shortfall(budget) + ahead);
    for (const to of awaited) {
      this.out.push({kind: WalletEffectKind.SendAsk, to, budget, tokens});
    }
  }

  private pickPeers(): string[] {
    const open = this.peers.filter(peer => !this.closed.has(peer));
    const count = Math.min(this.settings.askedPeers, open.length);
    const picked: string[] = [];
    for (let i = 0; i < count; i++) {
      picked.push(open[(this.askTurn + i) % open.length] as string);
    }
    this.askTurn += count;
    return picked;
  }

  private peersDone(budget: string, waiter: Waiter, now: Millis): boolean {
    if (waiter.peer !== undefined || !this.rule.asksPeers) {
      return true;
    }
    const ask = this.asks.get(budget);
    if (ask === undefined || ask.at < waiter.began - REFUSAL_LIFETIME) {
      return !this.partitionFor(budget).joined();
    }
    return ask.awaited.size === 0 || now - ask.at >= PEER_PATIENCE;
  }

  private ledgerNo(budget: string, waiter: Waiter): boolean {
    const partition = this.partitionFor(budget);
    const fresh = partition.answeredAt() >= waiter.began - REFUSAL_LIFETIME;
    const record = partition.view()?.budgets[budget];
    const free = record === undefined ? 0 : unallocated(record);
    const enough =
      this.rule.asksPeers || this.settings.policy === BudgetPolicy.Central
        ? free + this.available(budget) >= waiter.tokens
        : false;
    return fresh && !enough;
  }

  /** Grants or refuses what waits for a budget. */
  private serve(budget: string, now: Millis): void {
    const queue = this.waiters.get(budget) ?? [];
    while (queue.length > 0) {
      const waiter = queue[0] as Waiter;
      const fits = this.available(budget) >= waiter.tokens;
      if (!fits && !this.final(budget, waiter, now)) {
        break;
      }
      queue.shift();
      this.answer(budget, waiter, fits);
    }
    if (queue.length === 0) {
      this.waiters.delete(budget);
    }
  }

  private final(budget: string, waiter: Waiter, now: Millis): boolean {
    if (now - waiter.began >= this.settings.patience) {
      return true;
    }
    const no = this.ledgerNo(budget, waiter);
    const failing = this.partitionFor(budget).failing();
    return (no || failing) && this.peersDone(budget, waiter, now);
  }

  private answer(budget: string, waiter: Waiter, fits: boolean): void {
    const {request, peer, tokens} = waiter;
    if (peer !== undefined) {
      this.give(peer, budget, tokens);
      return;
    }
    if (request === undefined) {
      return;
    }
    if (fits) {
      this.grant(request, budget, tokens);
      return;
    }
    const reason = this.ledgerNo(budget, waiter)
      ? BudgetRefusal.Exhausted
      : BudgetRefusal.Unavailable;
    this.out.push({kind: WalletEffectKind.Refused, request, reason});
  }

  private give(to: string, budget: string, tokens: number): void {
    const account = this.account(budget);
    const partition = this.partitionFor(budget);
    // Without a record in the partition a transfer could not be released.
    const allowed = partition.joined() && !this.closed.has(to);
    const amount = Math.min(Math.max(0, account.available()), tokens);
    if (allowed && amount > 0) {
      account.send(to, amount);
      this.touch(budget);
    }
    const total = account.sentTo(to);
    this.out.push({kind: WalletEffectKind.SendGive, to, budget, total});
  }

  private touch(budget: string): void {
    this.dirty.add(budget);
  }

  private peerAsk(
    from: string,
    budget: string,
    tokens: number,
    now: Millis,
  ): void {
    const open = !this.closed.has(from) && this.rule.asksPeers;
    const busy = this.waiters.has(budget);
    if (!open || busy || this.available(budget) >= tokens || this.draining) {
      this.give(from, budget, busy || !open ? 0 : tokens);
      return;
    }
    this.enqueue(budget, {peer: from, tokens, began: now}, now);
  }

  private peerGive(
    from: string,
    budget: string,
    total: number,
    now: Millis,
  ): void {
    const partition = this.partitionFor(budget);
    if (this.closed.has(from) || !partition.joined()) {
      return;
    }
    if (this.account(budget).receive(from, total)) {
      this.touch(budget);
      partition.due(now + this.settings.settleInterval);
    }
    this.asks.get(budget)?.awaited.delete(from);
  }

  private release(request: string, now: Millis): void {
    const hold = this.holds.get(request);
    if (hold === undefined) {
      return;
    }
    this.holds.delete(request);
    this.account(hold.budget).free(hold.tokens);
    this.returnRest(hold.budget, now);
  }

  private settle(
    event: {request: string; digest: string; tokens: number; begun: Millis},
    now: Millis,
  ): void {
    const hold = this.holds.get(event.request);
    if (hold === undefined) {
      return;
    }
    this.holds.delete(event.request);
    const settlement: Settlement = {
      digest: event.digest,
      holder: this.settings.holder,
      budget: hold.budget,
      // More than was reserved is never charged: the rest is the fleet's.
      tokens: Math.min(event.tokens, hold.tokens),
      begun: event.begun,
    };
    this.account(hold.budget).charge(hold.tokens, settlement);
    this.touch(hold.budget);
    this.returnRest(hold.budget, now);
    this.sendCopy(event.request, settlement, now);
  }

  private sendCopy(request: string, settlement: Settlement, now: Millis): void {
    const until = now + this.settings.securePatience;
    this.unsecured.set(settlement.digest, {request, until});
    const partition = this.partitionFor(settlement.budget);
    const to = this.peers.find(peer => !this.closed.has(peer));
    if (to === undefined) {
      partition.due(now);
      return;
    }
    this.sentCopies.set(settlement.digest, to);
    this.out.push({kind: WalletEffectKind.SendCopy, to, settlement});
    partition.due(now + this.settings.settleInterval);
  }

  private returnRest(budget: string, now: Millis): void {
    const rest = this.available(budget);
    if (!this.rule.returnsAtOnce || rest <= 0 || this.waiters.has(budget)) {
      return;
    }
    this.account(budget).giveBack(rest);
    this.touch(budget);
    this.partitionFor(budget).due(now);
  }

  private secure(digest: string, secured: boolean): void {
    const entry = this.unsecured.get(digest);
    if (entry === undefined) {
      return;
    }
    this.unsecured.delete(digest);
    const {request} = entry;
    this.out.push({kind: WalletEffectKind.Secured, request, secured});
  }

  private peerCopy(from: string, settlement: Settlement, now: Millis): void {
    if (this.closed.has(from) || this.draining) {
      return;
    }
    const wait = COPY_INTERVALS * this.settings.settleInterval;
    this.copies.add(settlement, now + wait);
    const {digest} = settlement;
    this.out.push({kind: WalletEffectKind.SendCopied, to: from, digest});
  }

  private fail(partition: number, lost: boolean, now: Millis): void {
    this.partitions[partition]?.failed(lost, now);
  }

  private tick(now: Millis): void {
    for (const [digest, entry] of this.unsecured) {
      if (now >= entry.until) {
        this.secure(digest, false);
      }
    }
    for (const budget of this.copies.dueBudgets(now)) {
      this.partitionFor(budget).due(now);
    }
    for (const budget of this.waiters.keys()) {
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
      const partition = this.partitionFor(budget);
      const wanted = this.wantOf(budget) !== undefined;
      if (wanted && this.room(budget)) {
        partition.due(now + REFILL_DELAY);
      }
      this.returnIdle(budget, account, now);
    }
  }

  private returnIdle(budget: string, account: Account, now: Millis): void {
    const record = this.partitionFor(budget).view()?.budgets[budget];
    if (record === undefined || !this.rule.asksPeers) {
      return;
    }
    const cap = record.granted * this.settings.limits.cap;
    const target = account.spendingRate() * this.settings.limits.horizon;
    const scarce = unallocated(record) < record.granted * SCARCE_PART;
    const keep = Math.min(cap, scarce ? IDLE_MULTIPLE * target : cap);
    const extra = Math.floor(account.available() - keep);
    if (extra > 0 && !this.waiters.has(budget)) {
      account.giveBack(extra);
      this.touch(budget);
      this.partitionFor(budget).due(now + this.settings.settleInterval);
    }
  }

  private wantOf(budget: string): Want | undefined {
    const account = this.account(budget);
    const ledger = this.partitionFor(budget).view();
    const record = ledger?.budgets[budget];
    const leaving = this.draining && !this.waiters.has(budget);
    if (ledger === undefined || record === undefined || leaving) {
      return undefined;
    }
    const taken = record.shares[this.settings.holder]?.taken ?? 0;
    return this.rule.want(
      {
        granted: record.granted,
        need: this.shortfall(budget),
        available: account.available(),
        taken,
        rate: account.spendingRate(),
        holders: openHolders(ledger),
        entries: this.settings.entries,
      },
      this.settings.limits,
    );
  }

  /** Forms the next batch of a partition. Called by the partition. */
  form(number: number, sequence: number, now: Millis): Batch | undefined {
    this.noteCloses(number);
    const copies = this.copies.take(budget => this.inPartition(budget, number));
    const batch: Batch = {
      holder: this.settings.holder,
      instance: this.settings.instance,
      sequence,
      seenCloses: this.seenCloses[number] ?? 0,
      settlements: copies.filter(copy => this.mayPay(copy, now)),
      positions: {},
      wants: {},
      leave: this.draining && this.nothingRuns(),
      now,
      window: this.settings.window,
    };
    for (const budget of this.members[number] ?? []) {
      this.fill(batch, budget);
    }
    return batch;
  }

  /** Copies are paid when they are due, when leaving, or at a close. */
  private mayPay(copy: Settlement, now: Millis): boolean {
    return (
      this.draining ||
      this.closed.has(copy.holder) ||
      this.copies.isDue(copy, now)
    );
  }

  private inPartition(budget: string, number: number): boolean {
    return partitionOf(budget, this.settings.partitions) === number;
  }

  private fill(batch: Batch, budget: string): void {
    const account = this.account(budget);
    if (batch.leave) {
      account.giveBack(Math.max(0, account.available()));
      this.touch(budget);
    }
    if (this.dirty.delete(budget)) {
      batch.settlements.push(...account.unsettled());
      batch.positions[budget] = account.position();
    }
    const want = this.wantOf(budget);
    if (want !== undefined) {
      batch.wants[budget] = want;
    }
  }

  /** Stops dealing with holders that were closed or have left. */
  private noteCloses(number: number): void {
    const ledger = this.partitions[number]?.view();
    if (ledger === undefined) {
      return;
    }
    this.seenCloses[number] = ledger.closes;
    for (const [id, holder] of Object.entries(ledger.holders)) {
      if (holder.status === HolderStatus.Closing) {
        this.closed.add(id);
      }
    }
  }

  /** Takes over the ledger's counts. Called by the partition. */
  absorb(number: number, ledger: Ledger, batch: Batch): void {
    const settled = new Set(batch.settlements);
    for (const budget of this.members[number] ?? []) {
      const share = ledger.budgets[budget]?.shares[this.settings.holder];
      if (share !== undefined) {
        this.accounts.get(budget)?.absorb(share, settled);
      }
    }
    this.confirm(batch.settlements);
    if (batch.leave) {
      this.left.add(number);
    }
    if (ledger.closes > (this.seenCloses[number] ?? 0)) {
      this.partitions[number]?.due(batch.now);
    }
  }

  /** Lets go of copies and callers once charges stand in the ledger. */
  private confirm(settlements: Settlement[]): void {
    const drops = new Map<string, string[]>();
    for (const {digest, holder} of settlements) {
      this.secure(digest, true);
      const keeper = this.sentCopies.get(digest);
      if (holder === this.settings.holder && keeper !== undefined) {
        this.sentCopies.delete(digest);
        drops.set(keeper, [...(drops.get(keeper) ?? []), digest]);
      } else {
        this.copies.drop(holder, [digest]);
      }
    }
    for (const [to, digests] of drops) {
      this.out.push({kind: WalletEffectKind.SendDrop, to, digests});
    }
  }

  private nothingRuns(): boolean {
    return this.holds.size === 0 && this.waiters.size === 0;
  }

  private drain(now: Millis): void {
    if (!this.nothingRuns()) {
      return;
    }
    if (this.left.size === this.partitions.length) {
      this.out.push({kind: WalletEffectKind.Left});
      this.draining = false;
      return;
    }
    this.partitions.forEach((partition, number) => {
      if (!this.left.has(number)) {
        partition.due(now);
      }
    });
  }
}

function rank(waiter: Waiter): number {
  return waiter.request === undefined ? 1 : 0;
}
