/**
 * Model of one entry: a process that can be frozen, killed and drained, and that
 * carries out the effects of a real wallet.
 */
import {
  Wallet,
  WALLET_DEFAULTS,
  WalletEffectKind,
  WalletEventKind,
} from '@citrontrestle/decisions';
import {PlantedBug} from './planted_bug.js';
import {AttemptState} from './request_attempt.js';
import {StoreOutcome} from './store.js';
import type {
  BudgetPolicy,
  Ledger,
  Millis,
  WalletEffect,
  WalletEvent,
} from '@citrontrestle/decisions';
import type {RequestAttempt} from './request_attempt.js';
import type {Store, StoreAnswer} from './store.js';
import type {Timeline} from './timeline.js';

/** State of an entry's process. */
export enum ProcessState {
  Live = 'live',
  /** Suspended; it continues when it wakes. */
  Frozen = 'frozen',
  Killed = 'killed',
  /** In a planned stop: it settles its charges and returns its tokens. */
  Draining = 'draining',
  /** The planned stop is complete, or the ledger has closed the holder. */
  Ended = 'ended',
}

/** Sends a message from one holder to another, as an event of the receiver. */
export type SendToPeer = (from: string, to: string, event: WalletEvent) => void;

/** The fleet that an entry is part of, and its settings. */
export interface ModelEntryContext {
  timeline: Timeline;
  store: Store;
  sendToPeer: SendToPeer;
  plantedBug: PlantedBug;
  policy: BudgetPolicy;
  partitionCount: number;
  entryCount: number;
  /** Maximum that one holder keeps ahead of need, as a fraction of the grant. */
  cap: number;
}

/** Interval of the wallet's tick events. */
const TICK_INTERVAL: Millis = 25;

/** Number of availability zones among which the entries are divided. */
const ZONE_COUNT = 3;

/** Delay before an effect is carried out; the process may freeze meanwhile. */
const EFFECT_DELAY: Millis = 1;

/** One incarnation of an entry. */
export class ModelEntry {
  readonly holder: string;
  readonly zone: string;
  state = ProcessState.Live;
  readonly wallet: Wallet;
  /** Attempts at this entry, by identifier. */
  private readonly attempts = new Map<string, RequestAttempt>();
  /** Actions that became due while the process was frozen. */
  private readonly deferredActions: (() => void)[] = [];

  constructor(
    readonly index: number,
    incarnation: number,
    private readonly context: ModelEntryContext,
  ) {
    this.holder = `e${index}.${incarnation}`;
    this.zone = `z${index % ZONE_COUNT}`;
    this.wallet = new Wallet({
      ...WALLET_DEFAULTS,
      policy: context.policy,
      holder: this.holder,
      instance: this.holder,
      zone: this.zone,
      partitionCount: context.partitionCount,
      declaredEntries: context.entryCount,
      shareLimits: {
        ...WALLET_DEFAULTS.shareLimits,
        maxGrantFraction: context.cap,
      },
    });
    this.tick();
  }

  /** Whether the process may still act, now or after waking. */
  exists(): boolean {
    const {Killed, Ended} = ProcessState;
    return this.state !== Killed && this.state !== Ended;
  }

  /** Reserves the tokens of a request; it runs once they are granted. */
  startAttempt(attempt: RequestAttempt): void {
    this.attempts.set(attempt.id, attempt);
    this.handleEvent({
      kind: WalletEventKind.Reserve,
      request: attempt.id,
      budget: attempt.budget,
      tokens: attempt.reservedTokens,
    });
  }

  /** Ends the process abruptly; its callers get no answer. */
  kill(): void {
    this.state = ProcessState.Killed;
    for (const attempt of this.attempts.values()) {
      if (
        attempt.state !== AttemptState.Answered &&
        attempt.state !== AttemptState.Refused
      ) {
        attempt.state = AttemptState.EntryKilled;
      }
    }
  }

  /** Suspends the process until it is woken; does nothing unless it is live. */
  freeze(): void {
    if (this.state === ProcessState.Live) {
      this.state = ProcessState.Frozen;
    }
  }

  /**
   * Resumes a frozen process. It first runs what became due meanwhile, without
   * noticing that time has passed.
   */
  wake(): void {
    if (this.state !== ProcessState.Frozen) {
      return;
    }
    this.state = ProcessState.Live;
    for (const action of this.deferredActions.splice(0)) {
      this.runOrDefer(action);
    }
  }

  /** Starts a planned stop; does nothing unless the process is live. */
  drain(): void {
    if (this.state === ProcessState.Live) {
      this.state = ProcessState.Draining;
      this.handleEvent({kind: WalletEventKind.Drain});
    }
  }

  /**
   * Passes an event to the wallet and carries out the effects; a frozen process
   * does so when it wakes.
   */
  handleEvent(event: WalletEvent): void {
    this.runOrDefer(() => {
      const now = this.context.timeline.now();
      for (const effect of this.wallet.handle(event, now)) {
        this.context.timeline.after(EFFECT_DELAY, () => {
          this.runOrDefer(() => this.carryOut(effect));
        });
      }
    });
  }

  /** Runs an action now, when the process wakes, or never if it has ended. */
  private runOrDefer(action: () => void): void {
    if (this.state === ProcessState.Frozen) {
      this.deferredActions.push(action);
    } else if (this.exists()) {
      action();
    }
  }

  /** Sends the wallet tick events as long as the process exists. */
  private tick(): void {
    if (!this.exists()) {
      return;
    }
    if (this.state !== ProcessState.Frozen) {
      this.handleEvent({kind: WalletEventKind.Tick});
    }
    this.context.timeline.after(TICK_INTERVAL, () => this.tick());
  }

  private carryOut(effect: WalletEffect): void {
    const {sendToPeer, store} = this.context;
    const send = (to: string, event: WalletEvent) =>
      sendToPeer(this.holder, to, event);
    const from = this.holder;
    switch (effect.kind) {
      case WalletEffectKind.Granted:
        return this.runAtUpstream(effect.request);
      case WalletEffectKind.Refused:
        return this.endAttempt(effect.request, AttemptState.Refused);
      case WalletEffectKind.Secured:
        return this.answerCaller(effect.request, effect.secured);
      case WalletEffectKind.ReadLedger:
        return store.read(`ledger/${effect.partition}`, answer =>
          this.handleEvent(toReadEvent(effect.partition, answer)),
        );
      case WalletEffectKind.WriteLedger:
        return store.write(
          `ledger/${effect.partition}`,
          effect.version,
          effect.ledger,
          answer => this.handleEvent(toWriteEvent(effect.partition, answer)),
        );
      case WalletEffectKind.SendAsk: {
        const {to, budget, tokens} = effect;
        return send(to, {kind: WalletEventKind.PeerAsk, from, budget, tokens});
      }
      case WalletEffectKind.SendGive: {
        const {to, budget, total, state} = effect;
        const kind = WalletEventKind.PeerGive;
        return send(to, {kind, from, budget, total, state});
      }
      case WalletEffectKind.SendCopy: {
        const {to, settlement} = effect;
        return send(to, {kind: WalletEventKind.PeerCopy, from, settlement});
      }
      case WalletEffectKind.SendCopied: {
        const {to, digest} = effect;
        return send(to, {kind: WalletEventKind.PeerCopied, from, digest});
      }
      case WalletEffectKind.SendDrop: {
        const {to, digests} = effect;
        return send(to, {kind: WalletEventKind.PeerDrop, from, digests});
      }
      case WalletEffectKind.Fenced:
      case WalletEffectKind.Left:
        this.state = ProcessState.Ended;
    }
  }

  /** Runs a request at an upstream, which takes 50 to 449 ms. */
  private runAtUpstream(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) {
      return;
    }
    attempt.state = AttemptState.Running;
    // The upstream continues while the entry is frozen.
    const duration = 50 + (attempt.usedTokens % 400);
    this.context.timeline.after(duration, () =>
      this.runOrDefer(() => this.settle(attempt)),
    );
  }

  /** Charges the tokens that an attempt has used. */
  private settle(attempt: RequestAttempt): void {
    attempt.state = AttemptState.Done;
    this.handleEvent({
      kind: WalletEventKind.Settle,
      request: attempt.id,
      digest: attempt.idempotencyKey,
      tokens: attempt.usedTokens,
      begun: attempt.startedAt,
    });
    if (this.context.plantedBug === PlantedBug.UnsecuredAnswer) {
      this.answerCaller(attempt.id, true);
    }
  }

  /** Answers the caller of a request that the upstream has finished. */
  private answerCaller(attemptId: string, isSecured: boolean): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt?.state === AttemptState.Done) {
      attempt.state = AttemptState.Answered;
      attempt.isSecured = isSecured;
    }
  }

  private endAttempt(attemptId: string, state: AttemptState): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt !== undefined) {
      attempt.state = state;
    }
  }
}

/** Converts the answer to a read of a ledger partition to a wallet event. */
function toReadEvent(partition: number, answer: StoreAnswer): WalletEvent {
  if (answer.outcome !== StoreOutcome.Read) {
    return {kind: WalletEventKind.LedgerUnavailable, partition};
  }
  const {version} = answer;
  const ledger = answer.value as Ledger | undefined;
  return {kind: WalletEventKind.LedgerRead, partition, version, ledger};
}

/** Converts the answer to a write of a ledger partition to a wallet event. */
function toWriteEvent(partition: number, answer: StoreAnswer): WalletEvent {
  const {version} = answer;
  switch (answer.outcome) {
    case StoreOutcome.Written:
      return {kind: WalletEventKind.LedgerWritten, partition, version};
    case StoreOutcome.Conflict: {
      const ledger = answer.value as Ledger | undefined;
      const kind = WalletEventKind.LedgerConflict;
      return {kind, partition, version, ledger};
    }
    case StoreOutcome.Unavailable:
      return {kind: WalletEventKind.LedgerUnavailable, partition};
    default:
      return {kind: WalletEventKind.LedgerOutcomeUnknown, partition};
  }
}
