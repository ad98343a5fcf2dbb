/** Model of one entry around the real wallet. */
import {
  Wallet,
  WALLET_DEFAULTS,
  WalletEffectKind,
  WalletEventKind,
} from '@citrontrestle/decisions';
import {Plant} from './plant.js';
import {RunState} from './run_record.js';
import {StoreOutcome} from './store.js';
import type {
  BudgetPolicy,
  Ledger,
  Millis,
  WalletEffect,
  WalletEvent,
} from '@citrontrestle/decisions';
import type {ModelRun} from './run_record.js';
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
export type Post = (from: string, to: string, event: WalletEvent) => void;

/** What an entry of the model needs. */
export interface ModelSurroundings {
  timeline: Timeline;
  store: Store;
  post: Post;
  plant: Plant;
  policy: BudgetPolicy;
  partitions: number;
  entries: number;
  /** Most that one holder keeps ahead of need, as a part of the grant. */
  cap: number;
}

const TICK: Millis = 25;

/** Availability zones of the model. */
const ZONES = 3;

/** Time for an effect to leave the process; a freeze may fall into it. */
const STEP: Millis = 1;

/** Model of one entry. */
export class ModelEntry {
  readonly holder: string;
  readonly zone: string;
  state = ProcessState.Live;
  readonly wallet: Wallet;
  private readonly runs = new Map<string, ModelRun>();
  private readonly backlog: (() => void)[] = [];

  constructor(
    readonly index: number,
    incarnation: number,
    private readonly around: ModelSurroundings,
  ) {
    this.holder = `e${index}.${incarnation}`;
    this.zone = `z${index % ZONES}`;
    this.wallet = new Wallet({
      ...WALLET_DEFAULTS,
      policy: around.policy,
      holder: this.holder,
      instance: this.holder,
      zone: this.zone,
      partitionCount: around.partitions,
      declaredEntries: around.entries,
      shareLimits: {...WALLET_DEFAULTS.shareLimits, cap: around.cap},
    });
    this.tick();
  }

  /** Whether the process may still act, now or after waking. */
  exists(): boolean {
    const {Killed, Ended} = ProcessState;
    return this.state !== Killed && this.state !== Ended;
  }

  /** Starts a run of a request. */
  start(run: ModelRun): void {
    this.runs.set(run.id, run);
    this.take({
      kind: WalletEventKind.Reserve,
      request: run.id,
      budget: run.budget,
      tokens: run.reserved,
    });
  }

  /** Ends the process without a trace. */
  kill(): void {
    this.state = ProcessState.Killed;
    for (const run of this.runs.values()) {
      if (run.state !== RunState.Answered && run.state !== RunState.Refused) {
        run.state = RunState.Dead;
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
    for (const act of this.backlog.splice(0)) {
      this.act(act);
    }
  }

  /** Starts a planned stop. */
  drain(): void {
    if (this.state === ProcessState.Live) {
      this.state = ProcessState.Draining;
      this.take({kind: WalletEventKind.Drain});
    }
  }

  /** Passes an event to the wallet, or keeps it until the process wakes. */
  take(event: WalletEvent): void {
    this.act(() => {
      const now = this.around.timeline.now();
      for (const effect of this.wallet.handle(event, now)) {
        this.around.timeline.after(STEP, () => {
          this.act(() => this.carryOut(effect));
        });
      }
    });
  }

  private act(act: () => void): void {
    if (this.state === ProcessState.Frozen) {
      this.backlog.push(act);
    } else if (this.exists()) {
      act();
    }
  }

  private tick(): void {
    if (!this.exists()) {
      return;
    }
    if (this.state !== ProcessState.Frozen) {
      this.take({kind: WalletEventKind.Tick});
    }
    this.around.timeline.after(TICK, () => this.tick());
  }

  private carryOut(effect: WalletEffect): void {
    const {post, store} = this.around;
    const send = (to: string, event: WalletEvent) =>
      post(this.holder, to, event);
    const from = this.holder;
    switch (effect.kind) {
      case WalletEffectKind.Granted:
        return this.granted(effect.request);
      case WalletEffectKind.Refused:
        return this.end(effect.request, RunState.Refused);
      case WalletEffectKind.Secured:
        return this.secured(effect.request, effect.secured);
      case WalletEffectKind.ReadLedger:
        return store.read(`ledger/${effect.partition}`, answer =>
          this.take(readEvent(effect.partition, answer)),
        );
      case WalletEffectKind.WriteLedger:
        return store.write(
          `ledger/${effect.partition}`,
          effect.version,
          effect.ledger,
          answer => this.take(writeEvent(effect.partition, answer)),
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

  private granted(request: string): void {
    const run = this.runs.get(request);
    if (run === undefined) {
      return;
    }
    run.state = RunState.Running;
    // The upstream goes on while the entry is frozen.
    const span = 50 + (run.used % 400);
    this.around.timeline.after(span, () => this.act(() => this.done(run)));
  }

  private done(run: ModelRun): void {
    run.state = RunState.Done;
    this.take({
      kind: WalletEventKind.Settle,
      request: run.id,
      digest: run.key,
      tokens: run.used,
      begun: run.begun,
    });
    if (this.around.plant === Plant.UnsecuredAnswer) {
      this.secured(run.id, true);
    }
  }

  private secured(request: string, secured: boolean): void {
    const run = this.runs.get(request);
    if (run?.state === RunState.Done) {
      run.state = RunState.Answered;
      run.secured = secured;
    }
  }

  private end(request: string, state: RunState): void {
    const run = this.runs.get(request);
    if (run !== undefined) {
      run.state = state;
    }
  }
}

function readEvent(partition: number, answer: StoreAnswer): WalletEvent {
  if (answer.outcome !== StoreOutcome.Seen) {
    return {kind: WalletEventKind.LedgerUnavailable, partition};
  }
  const {version} = answer;
  const ledger = answer.value as Ledger | undefined;
  return {kind: WalletEventKind.LedgerRead, partition, version, ledger};
}

function writeEvent(partition: number, answer: StoreAnswer): WalletEvent {
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
