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
import {PlantedBug} from './planted_bug.js';
import {AttemptState} from './request_attempt.js';
import {Store} from './store.js';
import {Timeline} from './timeline.js';
import type {Ledger, Millis, WalletEvent} from '@citrontrestle/decisions';
import type {RequestAttempt} from './request_attempt.js';

/** Size and kind of a model. */
export interface ModelSettings {
  entryCount: number;
  budgets: string[];
  /** First grant of each budget, in tokens. */
  initialGrant: number;
  partitionCount: number;
  /** Most that one holder keeps ahead of need, as a part of the grant. */
  cap: number;
  policy: BudgetPolicy;
  plantedBug: PlantedBug;
}

/** Settings of the fuzzer's models. */
export const MODEL_DEFAULTS: ModelSettings = {
  entryCount: 4,
  budgets: ['clubs', 'players'],
  initialGrant: 20_000,
  partitionCount: 2,
  cap: 0.25,
  policy: BudgetPolicy.Shares,
  plantedBug: PlantedBug.None,
};

/** One-way time between two entries. */
const LINK_LATENCY: Millis = 1;

/** Interval in which entries learn who is there. */
const MEMBERSHIP_INTERVAL: Millis = 500;

/** A planted lease: a silent holder's shares are taken after this time. */
const LEASE_DURATION: Millis = 5_000;

/** Wait of an operator whose call failed. */
const OPERATOR_RETRY_DELAY: Millis = 500;

/** Model of a fleet. */
export class FleetModel {
  readonly timeline = new Timeline();
  readonly store: Store;
  readonly entries: ModelEntry[] = [];
  readonly attempts: RequestAttempt[] = [];
  /** Tokens that operators meant to grant, by budget. */
  readonly intendedGrants = new Map<string, number>();
  /** How often each digest was billed. */
  readonly billCounts = new Map<string, number>();
  killCount = 0;
  private readonly cutLinks = new Set<string>();
  private readonly knownDigests = new Map<string, ReadonlySet<string>>();
  private incarnationCount = 0;
  private topUpCount = 0;

  constructor(readonly settings: ModelSettings = MODEL_DEFAULTS) {
    this.store = new Store(this.timeline, (key, value) => {
      this.countNewBills(key, value as Ledger);
    });
    for (let partition = 0; partition < settings.partitionCount; partition++) {
      this.store.writeNow(`ledger/${partition}`, 0, emptyLedger());
    }
    for (const budget of settings.budgets) {
      this.topUp(budget, settings.initialGrant);
    }
    for (let index = 0; index < settings.entryCount; index++) {
      this.startEntry(index);
    }
    this.announcePeers();
    this.advance(2 * MEMBERSHIP_INTERVAL);
  }

  /** Lets time pass. */
  advance(span: Millis): void {
    this.timeline.advance(span);
  }

  /** Sends a request to an entry; a known `key` is a retry. */
  request(
    entryIndex: number,
    budget: string,
    tokens: number,
    idempotencyKey?: string,
  ): void {
    const target = this.entries[entryIndex];
    if (target?.state !== ProcessState.Live) {
      return;
    }
    const id = `r${this.attempts.length}`;
    const firstAttempt = this.attempts.find(
      earlier => earlier.idempotencyKey === idempotencyKey,
    );
    const attempt: RequestAttempt = {
      id,
      idempotencyKey: idempotencyKey ?? id,
      entryIndex,
      holder: target.holder,
      budget: firstAttempt?.budget ?? budget,
      reservedTokens: firstAttempt?.reservedTokens ?? tokens,
      usedTokens: firstAttempt?.usedTokens ?? Math.ceil(tokens * 0.7),
      startedAt: this.timeline.now(),
      state: AttemptState.Waiting,
      isSecured: false,
    };
    this.attempts.push(attempt);
    target.startAttempt(attempt);
  }

  /** Kills an entry's process. */
  kill(entryIndex: number): void {
    if (this.entries[entryIndex]?.exists()) {
      this.entries[entryIndex].kill();
      this.killCount += 1;
    }
  }

  /** Starts a new process in place of one that is gone. */
  restart(entryIndex: number): void {
    if (this.entries[entryIndex]?.exists() === false) {
      this.startEntry(entryIndex);
    }
  }

  /** Freezes a process. */
  freeze(entryIndex: number): void {
    this.entries[entryIndex]?.freeze();
    if (this.settings.plantedBug === PlantedBug.LeaseReclaim) {
      const holder = this.entries[entryIndex]?.holder ?? '';
      this.timeline.after(LEASE_DURATION, () =>
        this.reclaimLease(entryIndex, holder),
      );
    }
  }

  /** Wakes a process. */
  wake(entryIndex: number): void {
    this.entries[entryIndex]?.wake();
  }

  /** Starts a planned stop. */
  drain(entryIndex: number): void {
    this.entries[entryIndex]?.drain();
  }

  /** Cuts or heals the link between two entries. */
  setLinkCut(first: number, second: number, isCut: boolean): void {
    for (const link of [`${first}-${second}`, `${second}-${first}`]) {
      if (isCut) {
        this.cutLinks.add(link);
      } else {
        this.cutLinks.delete(link);
      }
    }
  }

  /** An operator raises a budget, and goes on until it stands. */
  topUp(budget: string, tokens: number): void {
    this.topUpCount += 1;
    const id = `top-up-${this.topUpCount}`;
    this.intendedGrants.set(
      budget,
      (this.intendedGrants.get(budget) ?? 0) + tokens,
    );
    this.tryTopUp(budget, tokens, id);
  }

  private tryTopUp(budget: string, tokens: number, id: string): void {
    const {faults} = this.store;
    const applied = this.changeLedger(budget, ledger =>
      topUp(ledger, budget, id, tokens),
    );
    const answerLost = applied && faults.answersToLose > 0;
    if (answerLost) {
      faults.answersToLose -= 1;
    }
    if (!applied || answerLost) {
      const usesNewId =
        answerLost && this.settings.plantedBug === PlantedBug.TopUpWithNewId;
      const nextId = usesNewId ? `${id}-again` : id;
      this.timeline.after(OPERATOR_RETRY_DELAY, () => {
        this.tryTopUp(budget, tokens, nextId);
      });
    }
  }

  /** An operator states that a killed instance is gone. */
  release(entryIndex: number): void {
    const target = this.entries[entryIndex];
    if (target?.state !== ProcessState.Killed) {
      return;
    }
    for (const budget of this.settings.budgets) {
      this.changeLedger(budget, ledger => {
        if (this.settings.plantedBug === PlantedBug.PrematureRelease) {
          acknowledgeNextClose(ledger);
        }
        return closeHolder(ledger, target.holder);
      });
    }
  }

  /** Puts every fault right and waits until all has settled. */
  quiesce(): void {
    Object.assign(this.store.faults, {
      isDown: false,
      addedLatency: 0,
      answersToLose: 0,
    });
    this.cutLinks.clear();
    this.entries.forEach(entry => entry.wake());
    this.advance(60_000);
  }

  /** The ledger behind a budget. */
  ledgerOf(budget: string): Ledger {
    return this.store.currentValue(this.ledgerKey(budget)) as Ledger;
  }

  private ledgerKey(budget: string): string {
    return `ledger/${partitionIndex(budget, this.settings.partitionCount)}`;
  }

  /** Changes a ledger in one step; false when the service can't be reached. */
  private changeLedger(
    budget: string,
    change: (ledger: Ledger) => boolean,
  ): boolean {
    if (this.store.faults.isDown) {
      return false;
    }
    const key = this.ledgerKey(budget);
    const ledger = structuredClone(this.store.currentValue(key)) as Ledger;
    if (change(ledger)) {
      this.store.writeNow(key, this.store.currentVersion(key), ledger);
    }
    return true;
  }

  /** The planted lease runs out. */
  private reclaimLease(entryIndex: number, holder: string): void {
    const target = this.entries[entryIndex];
    if (target?.holder !== holder || target.state !== ProcessState.Frozen) {
      return;
    }
    for (const budget of this.settings.budgets) {
      this.changeLedger(budget, ledger => closeHolder(ledger, holder));
    }
  }

  private startEntry(index: number): void {
    this.incarnationCount += 1;
    const {policy, partitionCount, entryCount, plantedBug, cap} = this.settings;
    const {timeline, store} = this;
    this.entries[index] = new ModelEntry(index, this.incarnationCount, {
      timeline,
      store,
      plantedBug,
      policy,
      partitionCount,
      entryCount,
      cap,
      sendToPeer: (from, to, event) => this.sendToPeer(index, from, to, event),
    });
  }

  /** Tells live entries who else can be reached. */
  private announcePeers(): void {
    for (const entry of this.entries) {
      const peers = this.entries
        .filter(
          other =>
            other !== entry &&
            other.state === ProcessState.Live &&
            !this.cutLinks.has(`${entry.index}-${other.index}`),
        )
        .map(({holder, zone}) => ({holder, zone}));
      entry.handleEvent({kind: WalletEventKind.Peers, peers});
    }
    this.timeline.after(MEMBERSHIP_INTERVAL, () => this.announcePeers());
  }

  private sendToPeer(
    senderIndex: number,
    _from: string,
    to: string,
    event: WalletEvent,
  ): void {
    const deliver = () => {
      const target = this.entries.find(entry => entry.holder === to);
      const link = `${senderIndex}-${target?.index}`;
      if (target !== undefined && !this.cutLinks.has(link)) {
        target.handleEvent(event);
      }
    };
    this.timeline.after(LINK_LATENCY, deliver);
    const creditsTwice =
      this.settings.plantedBug === PlantedBug.DoubleCreditedTransfer;
    if (creditsTwice && event.kind === WalletEventKind.PeerGive) {
      const total = 2 * event.total;
      this.timeline.after(LINK_LATENCY, () => {
        const target = this.entries.find(entry => entry.holder === to);
        target?.handleEvent({...event, total});
      });
    }
  }

  /** Counts each digest that a write of a ledger adds. */
  private countNewBills(key: string, ledger: Ledger): void {
    const previousDigests = this.knownDigests.get(key) ?? new Set<string>();
    const currentDigests = new Set(Object.keys(ledger.bills));
    for (const digest of currentDigests) {
      if (!previousDigests.has(digest)) {
        this.billCounts.set(digest, (this.billCounts.get(digest) ?? 0) + 1);
      }
    }
    this.knownDigests.set(key, currentDigests);
    if (this.settings.plantedBug === PlantedBug.ForgottenDigests) {
      ledger.bills = {};
      this.knownDigests.set(key, new Set());
    }
  }
}

/** Planted: counts every open holder as having acted upon the close. */
function acknowledgeNextClose(ledger: Ledger): void {
  for (const holder of Object.values(ledger.holders)) {
    if (holder.status === HolderStatus.Open) {
      holder.seenCloses = ledger.closes + 1;
    }
  }
}
