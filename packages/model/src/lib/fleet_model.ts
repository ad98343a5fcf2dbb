/** Model of a fleet: real wallets, one key-value service, links and faults. */
import {
  BudgetPolicy,
  closeHolder,
  emptyLedger,
  HolderStatus,
  partitionIndex,
  topUp,
  WalletEventKind,
} from '@citrontrestle/decisions';
import {ModelEntry, ProcessState} from './model_entry.js';
import {Plant} from './plant.js';
import {RunState} from './run_record.js';
import {Store} from './store.js';
import {Timeline} from './timeline.js';
import type {Ledger, Millis, WalletEvent} from '@citrontrestle/decisions';
import type {ModelRun} from './run_record.js';

/** Size and kind of a model. */
export interface ModelSettings {
  entries: number;
  budgets: string[];
  /** First grant of each budget, in tokens. */
  grant: number;
  partitions: number;
  /** Most that one holder keeps ahead of need, as a part of the grant. */
  cap: number;
  policy: BudgetPolicy;
  plant: Plant;
}

/** Settings of the fuzzer's models. */
export const MODEL_DEFAULTS: ModelSettings = {
  entries: 4,
  budgets: ['clubs', 'players'],
  grant: 20_000,
  partitions: 2,
  cap: 0.25,
  policy: BudgetPolicy.Shares,
  plant: Plant.None,
};

/** One-way time between two entries. */
const LINK: Millis = 1;

/** Interval in which entries learn who is there. */
const MEMBERSHIP: Millis = 500;

/** A planted lease: a silent holder's shares are taken after this time. */
const LEASE: Millis = 5_000;

/** Wait of an operator whose call failed. */
const OPERATOR_RETRY: Millis = 500;

/** Model of a fleet. */
export class FleetModel {
  readonly timeline = new Timeline();
  readonly store: Store;
  readonly entries: ModelEntry[] = [];
  readonly runs: ModelRun[] = [];
  /** Tokens that operators meant to grant, by budget. */
  readonly intended = new Map<string, number>();
  /** How often each digest was billed. */
  readonly bills = new Map<string, number>();
  kills = 0;
  private readonly cuts = new Set<string>();
  private readonly known = new Map<string, ReadonlySet<string>>();
  private incarnations = 0;
  private topUps = 0;

  constructor(readonly settings: ModelSettings = MODEL_DEFAULTS) {
    this.store = new Store(this.timeline, (key, value) => {
      this.watchBills(key, value as Ledger);
    });
    for (let number = 0; number < settings.partitions; number++) {
      this.store.put(`ledger/${number}`, 0, emptyLedger());
    }
    for (const budget of settings.budgets) {
      this.topUp(budget, settings.grant);
    }
    for (let index = 0; index < settings.entries; index++) {
      this.addEntry(index);
    }
    this.meet();
    this.advance(2 * MEMBERSHIP);
  }

  /** Lets time pass. */
  advance(span: Millis): void {
    this.timeline.advance(span);
  }

  /** Sends a request to an entry; a known `key` is a retry. */
  request(entry: number, budget: string, tokens: number, key?: string): void {
    const target = this.entries[entry];
    if (target?.state !== ProcessState.Live) {
      return;
    }
    const id = `r${this.runs.length}`;
    const before = this.runs.find(run => run.key === key);
    const run: ModelRun = {
      id,
      key: key ?? id,
      entry,
      holder: target.holder,
      budget: before?.budget ?? budget,
      reserved: before?.reserved ?? tokens,
      used: before?.used ?? Math.ceil(tokens * 0.7),
      begun: this.timeline.now(),
      state: RunState.Waiting,
      secured: false,
    };
    this.runs.push(run);
    target.start(run);
  }

  /** Kills an entry's process. */
  kill(entry: number): void {
    if (this.entries[entry]?.exists()) {
      this.entries[entry].kill();
      this.kills += 1;
    }
  }

  /** Starts a new process in place of one that is gone. */
  restart(entry: number): void {
    if (this.entries[entry]?.exists() === false) {
      this.addEntry(entry);
    }
  }

  /** Freezes a process. */
  freeze(entry: number): void {
    this.entries[entry]?.freeze();
    if (this.settings.plant === Plant.LeaseReclaim) {
      const holder = this.entries[entry]?.holder ?? '';
      this.timeline.after(LEASE, () => this.reclaim(entry, holder));
    }
  }

  /** Wakes a process. */
  wake(entry: number): void {
    this.entries[entry]?.wake();
  }

  /** Starts a planned stop. */
  drain(entry: number): void {
    this.entries[entry]?.drain();
  }

  /** Cuts or heals the link between two entries. */
  setCut(one: number, two: number, cut: boolean): void {
    for (const pair of [`${one}-${two}`, `${two}-${one}`]) {
      if (cut) {
        this.cuts.add(pair);
      } else {
        this.cuts.delete(pair);
      }
    }
  }

  /** An operator raises a budget, and goes on until it stands. */
  topUp(budget: string, tokens: number): void {
    this.topUps += 1;
    const id = `top-up-${this.topUps}`;
    this.intended.set(budget, (this.intended.get(budget) ?? 0) + tokens);
    this.tryTopUp(budget, tokens, id);
  }

  private tryTopUp(budget: string, tokens: number, id: string): void {
    const {faults} = this.store;
    const done = this.operate(budget, ledger =>
      topUp(ledger, budget, id, tokens),
    );
    const lost = done && faults.lost > 0;
    if (lost) {
      faults.lost -= 1;
    }
    if (!done || lost) {
      const blind = lost && this.settings.plant === Plant.BlindTopUp;
      const next = blind ? `${id}-again` : id;
      this.timeline.after(OPERATOR_RETRY, () => {
        this.tryTopUp(budget, tokens, next);
      });
    }
  }

  /** An operator states that a killed instance is gone. */
  release(entry: number): void {
    const target = this.entries[entry];
    if (target?.state !== ProcessState.Killed) {
      return;
    }
    for (const budget of this.settings.budgets) {
      this.operate(budget, ledger => {
        if (this.settings.plant === Plant.HastyRelease) {
          pretendSeen(ledger);
        }
        return closeHolder(ledger, target.holder);
      });
    }
  }

  /** Puts every fault right and waits until all has settled. */
  quiesce(): void {
    Object.assign(this.store.faults, {down: false, slow: 0, lost: 0});
    this.cuts.clear();
    this.entries.forEach(entry => entry.wake());
    this.advance(60_000);
  }

  /** The ledger behind a budget. */
  ledger(budget: string): Ledger {
    return this.store.peek(this.keyOf(budget)) as Ledger;
  }

  private keyOf(budget: string): string {
    return `ledger/${partitionIndex(budget, this.settings.partitions)}`;
  }

  /** Changes a ledger in one step; false when the service can't be reached. */
  private operate(
    budget: string,
    change: (ledger: Ledger) => boolean,
  ): boolean {
    if (this.store.faults.down) {
      return false;
    }
    const key = this.keyOf(budget);
    const ledger = structuredClone(this.store.peek(key)) as Ledger;
    if (change(ledger)) {
      this.store.put(key, this.store.version(key), ledger);
    }
    return true;
  }

  /** The planted lease runs out. */
  private reclaim(entry: number, holder: string): void {
    const target = this.entries[entry];
    if (target?.holder !== holder || target.state !== ProcessState.Frozen) {
      return;
    }
    for (const budget of this.settings.budgets) {
      this.operate(budget, ledger => closeHolder(ledger, holder));
    }
  }

  private addEntry(index: number): void {
    this.incarnations += 1;
    const {policy, partitions, entries, plant, cap} = this.settings;
    const {timeline, store} = this;
    this.entries[index] = new ModelEntry(index, this.incarnations, {
      timeline,
      store,
      plant,
      policy,
      partitions,
      entries,
      cap,
      post: (from, to, event) => this.post(index, from, to, event),
    });
  }

  /** Tells live entries who else can be reached. */
  private meet(): void {
    for (const entry of this.entries) {
      const peers = this.entries
        .filter(
          other =>
            other !== entry &&
            other.state === ProcessState.Live &&
            !this.cuts.has(`${entry.index}-${other.index}`),
        )
        .map(({holder, zone}) => ({holder, zone}));
      entry.take({kind: WalletEventKind.Peers, peers});
    }
    this.timeline.after(MEMBERSHIP, () => this.meet());
  }

  private post(
    index: number,
    _from: string,
    to: string,
    event: WalletEvent,
  ): void {
    const deliver = () => {
      const target = this.entries.find(entry => entry.holder === to);
      const pair = `${index}-${target?.index}`;
      if (target !== undefined && !this.cuts.has(pair)) {
        target.take(event);
      }
    };
    this.timeline.after(LINK, deliver);
    const repeated = this.settings.plant === Plant.RepeatedGive;
    if (repeated && event.kind === WalletEventKind.PeerGive) {
      const total = 2 * event.total;
      this.timeline.after(LINK, () => {
        const target = this.entries.find(entry => entry.holder === to);
        target?.take({...event, total});
      });
    }
  }

  /** Counts each digest that a write of a ledger adds. */
  private watchBills(key: string, ledger: Ledger): void {
    const before = this.known.get(key) ?? new Set<string>();
    const now = new Set(Object.keys(ledger.bills));
    for (const digest of now) {
      if (!before.has(digest)) {
        this.bills.set(digest, (this.bills.get(digest) ?? 0) + 1);
      }
    }
    this.known.set(key, now);
    if (this.settings.plant === Plant.NoDigests) {
      ledger.bills = {};
      this.known.set(key, new Set());
    }
  }
}

/** Planted: counts every open holder as having acted upon the close. */
function pretendSeen(ledger: Ledger): void {
  for (const holder of Object.values(ledger.holders)) {
    if (holder.status === HolderStatus.Open) {
      holder.seenCloses = ledger.closes + 1;
    }
  }
}
