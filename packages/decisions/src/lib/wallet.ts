/**
 * The wallet of one entry: reserves tokens from its shares, settles them, asks
 * peers and the ledger for more, and keeps copies of its peers' charges.
 */
import {Batches} from './batches.js';
import {Books} from './books.js';
import {SECOND} from './clock.js';
import {Supply} from './supply.js';
import {Upkeep} from './upkeep.js';
import {WaiterKind} from './waiting_line.js';
import {
  BudgetRefusal,
  WalletEffectKind,
  WalletEventKind,
} from './wallet_messages.js';
import type {EventOf, WalletEffect, WalletEvent} from './wallet_messages.js';
import type {Millis} from './clock.js';
import type {Settlement} from './ledger.js';
import type {WalletSettings} from './wallet_settings.js';

/** Interval between samples of the spending rate. */
const SAMPLE_INTERVAL: Millis = SECOND;

/** Counts of one budget at one entry, in tokens. */
export interface ShareStatus {
  budget: string;
  available: number;
  held: number;
  unsettled: number;
}

/** The wallet of one entry. */
export class Wallet {
  private readonly books: Books;
  private readonly supply: Supply;
  private readonly upkeep: Upkeep;
  private sampledAt: Millis = 0;

  constructor(settings: WalletSettings) {
    this.books = new Books(settings, books => new Batches(books));
    this.supply = new Supply(this.books);
    this.upkeep = new Upkeep(this.books, this.supply);
  }

  /** Takes one event and returns what is to be done. */
  handle(event: WalletEvent, now: Millis): WalletEffect[] {
    this.books.out = [];
    const take = this.handlers[event.kind] as (
      event: WalletEvent,
      now: Millis,
    ) => void;
    take(event, now);
    this.books.out.push(...this.books.table.step(now));
    for (const budget of this.books.line.budgets()) {
      this.supply.serve(budget, now);
    }
    if (this.books.draining) {
      this.drain(now);
    }
    return this.books.out;
  }

  /** Tokens available now from the local share of a budget. */
  available(budget: string): number {
    return this.books.available(budget);
  }

  /** Whether every partition knows this holder. */
  joined(): boolean {
    return this.books.table.joined();
  }

  /** Whether the last call to the ledger failed. */
  failing(): boolean {
    return this.books.table.failing();
  }

  /** Counts of each budget, for status pages. */
  shares(): ShareStatus[] {
    return [...this.books.accounts].map(([budget, account]) => ({
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
      this.books.charges.take(request);
    },
    [WalletEventKind.Settle]: (event, now) => this.settle(event, now),
    [WalletEventKind.LedgerRead]: (event, now) => this.seen(event, now),
    [WalletEventKind.LedgerConflict]: (event, now) => this.seen(event, now),
    [WalletEventKind.LedgerWritten]: ({partition, version}) => {
      this.books.table.answered();
      this.books.table.at(partition).written(version);
    },
    [WalletEventKind.LedgerLost]: ({partition}, now) =>
      this.books.table.failed(partition, true, now),
    [WalletEventKind.LedgerUnavailable]: ({partition}, now) =>
      this.books.table.failed(partition, false, now),
    [WalletEventKind.PeerAsk]: (event, now) => this.supply.peerAsk(event, now),
    [WalletEventKind.PeerGive]: (event, now) =>
      this.supply.peerGive(event, now),
    [WalletEventKind.PeerCopy]: (event, now) => this.peerCopy(event, now),
    [WalletEventKind.PeerCopied]: ({digest}) => this.books.secure(digest, true),
    [WalletEventKind.PeerDrop]: ({from, digests}) =>
      this.books.copies.drop(from, digests),
    [WalletEventKind.Peers]: ({peers}) => this.books.peers.setPeers(peers),
    [WalletEventKind.Tick]: (_event, now) => this.tick(now),
    [WalletEventKind.Drain]: () => {
      this.books.draining = true;
    },
  };

  private seen(
    event: EventOf<WalletEventKind.LedgerRead | WalletEventKind.LedgerConflict>,
    now: Millis,
  ): void {
    const {partition, version, ledger} = event;
    this.books.table.answered();
    this.books.out.push(
      ...this.books.table.at(partition).seen(version, ledger, now),
    );
  }

  private reserve(
    {request, budget, tokens}: EventOf<WalletEventKind.Reserve>,
    now: Millis,
  ): void {
    if (this.books.draining) {
      const reason = BudgetRefusal.Unavailable;
      this.books.out.push({kind: WalletEffectKind.Refused, request, reason});
      return;
    }
    const waits = this.books.line.has(budget);
    if (!waits && this.books.account(budget).available() >= tokens) {
      this.supply.grant(request, budget, tokens);
      return;
    }
    const kind = WaiterKind.Request;
    this.supply.wait(budget, {kind, id: request, tokens, began: now}, now);
  }

  private free(request: string, now: Millis): void {
    const hold = this.books.charges.take(request);
    if (hold !== undefined) {
      this.books.account(hold.budget).free(hold.tokens);
      this.returnRest(hold.budget, now);
    }
  }

  private settle(
    {request, digest, tokens, begun}: EventOf<WalletEventKind.Settle>,
    now: Millis,
  ): void {
    const hold = this.books.charges.take(request);
    if (hold === undefined) {
      const kind = WalletEffectKind.Secured;
      this.books.out.push({kind, request, secured: false});
      return;
    }
    const {budget} = hold;
    const {holder} = this.books.settings;
    // More than was reserved is never charged: the rest is the fleet's.
    const charged = Math.min(tokens, hold.tokens);
    const settlement = {digest, holder, budget, tokens: charged, begun};
    this.books.account(budget).charge(hold.tokens, settlement);
    this.books.dirty.add(budget);
    this.returnRest(budget, now);
    const until = now + this.books.settings.securePatience;
    this.books.charges.await(digest, {request, budget, until});
    this.sendCopy(settlement, now);
  }

  private sendCopy(settlement: Settlement, now: Millis): void {
    const {budget, digest} = settlement;
    const to = this.books.peers.keeper(this.books.table.numberOf(budget));
    if (to === undefined) {
      this.books.table.dueFor(budget, now);
      return;
    }
    this.books.charges.kept(digest, to);
    this.books.out.push({kind: WalletEffectKind.SendCopy, to, settlement});
    // The keeper writes first, for many; this write only makes sure.
    this.books.table.dueFor(budget, now + this.books.settings.ownInterval);
  }

  private returnRest(budget: string, now: Millis): void {
    this.supply.pushSurplus(budget, now);
    const rest = this.books.available(budget);
    if (
      !this.books.rule.returnsAtOnce ||
      rest <= 0 ||
      this.books.line.has(budget)
    ) {
      return;
    }
    this.books.account(budget).giveBack(rest);
    this.books.dirty.add(budget);
    this.books.table.dueFor(budget, now);
  }

  private peerCopy(
    {from, settlement}: EventOf<WalletEventKind.PeerCopy>,
    now: Millis,
  ): void {
    if (this.books.peers.isClosed(from) || this.books.draining) {
      return;
    }
    const dueAt = now + this.books.settings.settleInterval;
    this.books.copies.add(settlement);
    this.books.table.dueFor(settlement.budget, dueAt);
    const {digest} = settlement;
    this.books.out.push({kind: WalletEffectKind.SendCopied, to: from, digest});
  }

  private tick(now: Millis): void {
    for (const {digest, budget} of this.books.charges.late(now)) {
      this.books.secure(digest, false);
      this.books.table.dueFor(budget, now);
    }
    if (now - this.sampledAt >= SAMPLE_INTERVAL) {
      this.sampledAt = now;
      this.upkeep.sample(now);
    }
  }

  private drain(now: Millis): void {
    if (this.books.nothingRuns() && !this.books.table.leaveRest(now)) {
      this.books.out.push({kind: WalletEffectKind.Left});
      this.books.draining = false;
    }
  }
}
