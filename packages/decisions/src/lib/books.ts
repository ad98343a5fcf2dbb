/** What the parts of a wallet share: accounts, partitions, peers, who waits. */
import {Account} from './account.js';
import {BUDGET_RULES} from './budget_policy.js';
import {Charges} from './charges.js';
import {CopyStore} from './copy_store.js';
import {openHolders, unallocated} from './ledger.js';
import {PartitionTable} from './partition_table.js';
import {PeerTable} from './peer_table.js';
import {WaitingLine} from './waiting_line.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {BudgetRule} from './budget_policy.js';
import type {Millis} from './clock.js';
import type {PartitionOwner} from './partition.js';
import type {Want} from './ledger_batch.js';
import type {WalletEffect} from './wallet_messages.js';
import type {WalletSettings} from './wallet_settings.js';

/** The state of one wallet; internal to it. */
export class Books {
  readonly rule: BudgetRule;
  readonly accounts = new Map<string, Account>();
  readonly line = new WaitingLine();
  readonly peers: PeerTable;
  readonly charges = new Charges();
  readonly copies = new CopyStore();
  /** Budgets whose position or charges changed since the last batch. */
  readonly dirty = new Set<string>();
  /** Until when the home entry is not asked for more than is needed. */
  readonly noRefill = new Map<string, Millis>();
  /** Until when a budget is known to be nearly used up. */
  readonly scarce = new Map<string, Millis>();
  readonly table: PartitionTable;
  draining = false;
  /** Effects of the event that is being handled. */
  out: WalletEffect[] = [];

  constructor(
    readonly settings: WalletSettings,
    owner: (books: Books) => PartitionOwner,
  ) {
    this.rule = BUDGET_RULES[settings.policy];
    const {partitions, spacing, holder, zone} = settings;
    this.peers = new PeerTable({holder, zone}, settings.askedPeers);
    this.table = new PartitionTable(partitions, owner(this), spacing);
  }

  /** The account of a budget, made when there is none. */
  account(budget: string): Account {
    let account = this.accounts.get(budget);
    if (account === undefined) {
      account = new Account();
      this.accounts.set(budget, account);
      this.table.use(budget);
    }
    return account;
  }

  /** Whether the last known ledger has tokens left for a budget. */
  room(budget: string): boolean {
    const record = this.table.view(budget)?.budgets[budget];
    return record !== undefined && unallocated(record) > 0;
  }

  /** Tokens that those who wait need beyond what is available. */
  shortfall(budget: string): number {
    return Math.max(0, this.line.tokens(budget) - this.available(budget));
  }

  /** The other entry to ask first, if there is one. */
  homeOf(budget: string): string | undefined {
    const home = this.peers.home(this.table.numberOf(budget));
    const own = home === this.settings.holder;
    const {joined} = this.table.of(budget).state();
    return own || !joined || !this.rule.asksPeers ? undefined : home;
  }

  /** Whether a budget is known to be nearly used up. */
  isScarce(budget: string): boolean {
    return this.scarce.has(budget);
  }

  /** Lets the caller of a charge go on. */
  secure(digest: string, secured: boolean): void {
    const request = this.charges.secure(digest);
    if (request !== undefined) {
      this.out.push({kind: WalletEffectKind.Secured, request, secured});
    }
  }

  /** What to ask the ledger for, if anything. */
  wantOf(budget: string): Want | undefined {
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

  /** Whether no request runs or waits. */
  nothingRuns(): boolean {
    return this.charges.empty() && this.line.empty();
  }

  /** Tokens available now from the local share of a budget. */
  available(budget: string): number {
    return this.accounts.get(budget)?.available() ?? 0;
  }
}
