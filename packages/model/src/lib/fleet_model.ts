/**
 * Model of a fleet on virtual time. Its entries run the real wallets; the
 * key-value service, the links between entries and their faults are simulated.
 * An entry is a process that accepts requests of callers; a holder is one
 * incarnation of an entry.
 */
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

/** Settings of a fleet model. */
export interface ModelSettings {
  entryCount: number;
  budgets: string[];
  /** Tokens granted to each budget at the start. */
  initialGrant: number;
  /** Number of ledger partitions. */
  partitionCount: number;
  /** Maximum that one holder keeps ahead of need, as a fraction of the grant. */
  cap: number;
  policy: BudgetPolicy;
  plantedBug: PlantedBug;
}

/** Default settings; the fuzzer replaces the grant and the cap. */
export const MODEL_DEFAULTS: ModelSettings = {
  entryCount: 4,
  budgets: ['clubs', 'players'],
  initialGrant: 20_000,
  partitionCount: 2,
  cap: 0.25,
  policy: BudgetPolicy.Shares,
  plantedBug: PlantedBug.None,
};

/** One-way latency between two entries. */
const LINK_LATENCY: Millis = 1;

/** Interval at which entries are told which peers they can reach. */
const MEMBERSHIP_INTERVAL: Millis = 500;

/**
 * Time after which `PlantedBug.LeaseReclaim` closes a frozen holder as if a lease
 * had expired.
 */
const LEASE_DURATION: Millis = 5_000;

/** Time after which an operator repeats a failed call. */
const OPERATOR_RETRY_DELAY: Millis = 500;

/** A fleet of entries, the key-value service they share, and their faults. */
export class FleetModel {
  readonly timeline = new Timeline();
  readonly store: Store;
  readonly entries: ModelEntry[] = [];
  readonly attempts: RequestAttempt[] = [];
  /**
   * Tokens that operators intended to grant, by budget. A top-up counts once,
   * however often it is retried.
   */
  readonly intendedGrants = new Map<string, number>();
  /** How often each request was billed, by the digest in its bill. */
  readonly billCounts = new Map<string, number>();
  /** Number of processes killed so far. */
  killCount = 0;
  /** Links that lose all messages, as `from-to` with the indices of entries. */
  private readonly cutLinks = new Set<string>();
  /** Digests in the last written value of each ledger, by the ledger's key. */
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

  /** Lets `span` milliseconds pass and runs what is due in them. */
  advance(span: Millis): void {
    this.timeline.advance(span);
  }

  /**
   * Sends a request to an entry; does nothing if the entry does not accept any.
   * A request whose idempotency key was used before is a retry: it has the budget
   * and the tokens of the first attempt.
   */
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

  /** Kills an entry's process, frozen or not. */
  kill(entryIndex: number): void {
    if (this.entries[entryIndex]?.exists()) {
      this.entries[entryIndex].kill();
      this.killCount += 1;
    }
  }

  /** Starts a new process in place of one that was killed or has ended. */
  restart(entryIndex: number): void {
    if (this.entries[entryIndex]?.exists() === false) {
      this.startEntry(entryIndex);
    }
  }

  /** Suspends an entry's process; what is due for it waits. */
  freeze(entryIndex: number): void {
    this.entries[entryIndex]?.freeze();
    if (this.settings.plantedBug === PlantedBug.LeaseReclaim) {
      const holder = this.entries[entryIndex]?.holder ?? '';
      this.timeline.after(LEASE_DURATION, () =>
        this.reclaimLease(entryIndex, holder),
      );
    }
  }

  /** Resumes an entry's frozen process. */
  wake(entryIndex: number): void {
    this.entries[entryIndex]?.wake();
  }

  /** Starts the planned stop of an entry. */
  drain(entryIndex: number): void {
    this.entries[entryIndex]?.drain();
  }

  /** Cuts or restores the link between two entries, in both directions. */
  setLinkCut(first: number, second: number, isCut: boolean): void {
    for (const link of [`${first}-${second}`, `${second}-${first}`]) {
      if (isCut) {
        this.cutLinks.add(link);
      } else {
        this.cutLinks.delete(link);
      }
    }
  }

  /** Raises a budget as an operator does, who retries until it is confirmed. */
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

  /**
   * Closes the holder of a killed entry, as an operator does who declares an
   * instance gone; does nothing if the entry was not killed.
   */
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

  /** Ends all faults and lets enough time pass to settle every charge. */
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

  /** Returns the stored ledger that holds a budget. */
  ledgerOf(budget: string): Ledger {
    return this.store.currentValue(this.ledgerKey(budget)) as Ledger;
  }

  private ledgerKey(budget: string): string {
    return `ledger/${partitionIndex(budget, this.settings.partitionCount)}`;
  }

  /**
   * Applies a change to the ledger of a budget at once, and writes it if `change`
   * returns true. Returns false if the key-value service is down.
   */
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

  /** Closes a holder that is still frozen; see `LEASE_DURATION`. */
  private reclaimLease(entryIndex: number, holder: string): void {
    const target = this.entries[entryIndex];
    if (target?.holder !== holder || target.state !== ProcessState.Frozen) {
      return;
    }
    for (const budget of this.settings.budgets) {
      this.changeLedger(budget, ledger => closeHolder(ledger, holder));
    }
  }

  /** Starts a new incarnation of the entry with this index. */
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

  /** Tells each entry at regular intervals which live peers it can reach. */
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

  /**
   * Delivers a message from an entry to the holder `to`, unless the link between
   * them is cut or the holder was replaced when it arrives.
   */
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

  /** Counts a bill for each digest that a write adds to a ledger. */
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

/**
 * Used by `PlantedBug.PrematureRelease`: records that every open holder has
 * acknowledged the next close, so that the release does not wait for them.
 */
function acknowledgeNextClose(ledger: Ledger): void {
  for (const holder of Object.values(ledger.holders)) {
    if (holder.status === HolderStatus.Open) {
      holder.seenCloses = ledger.closes + 1;
    }
  }
}
