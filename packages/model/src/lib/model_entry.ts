/** Model of one entry around the real wallet. */
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

/** State of the process. */
export enum ProcessState {
  Live = 'live',
  Frozen = 'frozen',
  Killed = 'killed',
  Draining = 'draining',
  /** Drained and ended, or fenced. */
  Ended = 'ended',
}

/** A message between entries, as an event of the receiver. */
export type SendToPeer = (from: string, to: string, event: WalletEvent) => void;

/** What an entry of the model needs. */
export interface ModelEntryContext {
  timeline: Timeline;
  store: Store;
  sendToPeer: SendToPeer;
  plantedBug: PlantedBug;
  policy: BudgetPolicy;
  partitionCount: number;
  entryCount: number;
  /** Most that one holder keeps ahead of need, as a part of the grant. */
  cap: number;
}

const TICK_INTERVAL: Millis = 25;

/** Availability zones of the model. */
const ZONE_COUNT = 3;

/** Time for an effect to leave the process; a freeze may fall into it. */
const EFFECT_DELAY: Millis = 1;

/** Model of one entry. */
export class ModelEntry {
  readonly holder: string;
  readonly zone: string;
  state = ProcessState.Live;
  readonly wallet: Wallet;
  private readonly attempts = new Map<string, RequestAttempt>();
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
      shareLimits: {...WALLET_DEFAULTS.shareLimits, cap: context.cap},
    });
    this.tick();
  }

  /** Whether the process may still act, now or after waking. */
  exists(): boolean {
    const {Killed, Ended} = ProcessState;
    return this.state !== Killed && this.state !== Ended;
  }

  /** Starts a run of a request. */
  startAttempt(attempt: RequestAttempt): void {
    this.attempts.set(attempt.id, attempt);
    this.handleEvent({
      kind: WalletEventKind.Reserve,
      request: attempt.id,
      budget: attempt.budget,
      tokens: attempt.reservedTokens,
    });
  }

  /** Ends the process without a trace. */
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

  /** Stops the process for a while. */
  freeze(): void {
    if (this.state === ProcessState.Live) {
      this.state = ProcessState.Frozen;
    }
  }

  /** Lets a frozen process go on, believing that no time has passed. */
  wake(): void {
    if (this.state !== ProcessState.Frozen) {
      return;
    }
    this.state = ProcessState.Live;
    for (const action of this.deferredActions.splice(0)) {
      this.runOrDefer(action);
    }
  }

  /** Starts a planned stop. */
  drain(): void {
    if (this.state === ProcessState.Live) {
      this.state = ProcessState.Draining;
      this.handleEvent({kind: WalletEventKind.Drain});
    }
  }

  /** Passes an event to the wallet, or keeps it until the process wakes. */
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

  private runOrDefer(action: () => void): void {
    if (this.state === ProcessState.Frozen) {
      this.deferredActions.push(action);
    } else if (this.exists()) {
      action();
    }
  }

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

  private runAtUpstream(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) {
      return;
    }
    attempt.state = AttemptState.Running;
    // The upstream goes on while the entry is frozen.
    const duration = 50 + (attempt.usedTokens % 400);
    this.context.timeline.after(duration, () =>
      this.runOrDefer(() => this.settle(attempt)),
    );
  }

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

function toReadEvent(partition: number, answer: StoreAnswer): WalletEvent {
  if (answer.outcome !== StoreOutcome.Read) {
    return {kind: WalletEventKind.LedgerUnavailable, partition};
  }
  const {version} = answer;
  const ledger = answer.value as Ledger | undefined;
  return {kind: WalletEventKind.LedgerRead, partition, version, ledger};
}

function toWriteEvent(partition: number, answer: StoreAnswer): WalletEvent {
  const {version} = answer;
  switch (answer.outcome) {
    case StoreOutcome.WriteListener:
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
