/**
 * Connects the wallet, which decides on reservations and charges, with timers,
 * the key-value service and the peers.
 */
import {
  Wallet,
  WalletEffectKind,
  WalletEventKind,
} from '@citrontrestle/decisions';
import {KeyValueOutcome, ledgerKey} from '@citrontrestle/platform';
import {MessageKind} from '@citrontrestle/fleet';
import type {
  BudgetRefusal,
  Clock,
  Ledger,
  Millis,
  WalletEffect,
  WalletEvent,
  WalletSettings,
} from '@citrontrestle/decisions';
import type {KeyValueClient, KeyValueResult} from '@citrontrestle/platform';
import type {Message} from '@citrontrestle/fleet';

/** Interval between tick events, on which the wallet does what is due. */
const TICK_INTERVAL: Millis = 25;

/** What a wallet task needs from the rest of the entry. */
export interface WalletTaskDependencies {
  keyValue: KeyValueClient;
  clock: Clock;
  /** Sends a message to the entry with a holder id; it may be lost. */
  send(holder: string, message: Message): void;
  /** Called when an operator has closed this holder; it must stop. */
  onFenced(): void;
}

/** A charge that a request waits for. */
interface PendingCharge {
  digest: string;
  resolve(secured: boolean): void;
}

type EffectOf<K extends WalletEffectKind> = Extract<WalletEffect, {kind: K}>;

/** Passes events to the wallet of one entry and carries out its effects. */
export class WalletTask {
  readonly wallet: Wallet;
  /** Callbacks of reservations in progress, by request id. */
  private readonly pendingReservations = new Map<
    string,
    (refusal: BudgetRefusal | undefined) => void
  >();
  /** Charges that aren't secured yet, by request id. */
  private readonly pendingCharges = new Map<string, PendingCharge>();
  private resolveDrain: () => void = () => undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    settings: WalletSettings,
    private readonly dependencies: WalletTaskDependencies,
  ) {
    this.wallet = new Wallet(settings);
  }

  /** Sends a tick event at once, then at regular intervals. */
  start(): void {
    this.handle({kind: WalletEventKind.Tick});
    this.timer = setInterval(() => {
      this.handle({kind: WalletEventKind.Tick});
    }, TICK_INTERVAL);
  }

  /** Stops the tick events. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Reserves tokens for a request. Resolves to undefined, or to the reason why
   * the reservation was refused.
   */
  reserve(
    request: string,
    budget: string,
    tokens: number,
  ): Promise<BudgetRefusal | undefined> {
    return new Promise(resolve => {
      this.pendingReservations.set(request, resolve);
      this.handle({kind: WalletEventKind.Reserve, request, budget, tokens});
    });
  }

  /** Releases the reservation of a request that used no tokens. */
  release(request: string): void {
    this.handle({kind: WalletEventKind.Release, request});
  }

  /** Keeps the tokens of a request reserved, as its outcome is unknown. */
  withhold(request: string): void {
    this.handle({kind: WalletEventKind.Withhold, request});
  }

  /**
   * Charges a request. Resolves to true once the charge is in the ledger or
   * copied to a peer, so that it survives a crash of this process. Resolves to
   * false if that takes too long, or if the request has no reservation.
   * @param digest requests with the same digest are charged once.
   */
  charge(
    request: string,
    digest: string,
    tokens: number,
    startedAt: Millis,
  ): Promise<boolean> {
    return new Promise(resolve => {
      this.pendingCharges.set(request, {digest, resolve});
      const kind = WalletEventKind.Settle;
      this.handle({kind, request, digest, tokens, begun: startedAt});
    });
  }

  /** Settles all charges and returns all tokens; resolves when that is done. */
  drain(): Promise<void> {
    return new Promise(resolve => {
      this.resolveDrain = resolve;
      this.handle({kind: WalletEventKind.Drain});
    });
  }

  /** Passes an event to the wallet and carries out its effects. */
  handle(event: WalletEvent): void {
    const now = this.dependencies.clock.now();
    for (const effect of this.wallet.handle(event, now)) {
      this.applyEffect(effect);
    }
  }

  private applyEffect(effect: WalletEffect): void {
    const handler = this.effectHandlers[effect.kind] as (
      effect: WalletEffect,
    ) => void;
    handler(effect);
  }

  private readonly effectHandlers: {
    [K in WalletEffectKind]: (effect: EffectOf<K>) => void;
  } = {
    [WalletEffectKind.Granted]: ({request}) => {
      this.pendingReservations.get(request)?.(undefined);
      this.pendingReservations.delete(request);
    },
    [WalletEffectKind.Refused]: ({request, reason}) => {
      this.pendingReservations.get(request)?.(reason);
      this.pendingReservations.delete(request);
    },
    [WalletEffectKind.Secured]: ({request, secured}) =>
      this.endCharge(request, secured),
    [WalletEffectKind.ReadLedger]: ({partition}) => {
      void this.readLedger(partition);
    },
    [WalletEffectKind.WriteLedger]: ({partition, version, ledger}) => {
      void this.writeLedger(partition, version, ledger);
    },
    [WalletEffectKind.SendAsk]: ({to, budget, tokens}) => {
      this.dependencies.send(to, {
        kind: MessageKind.TokenRequest,
        budget,
        tokens,
      });
    },
    [WalletEffectKind.SendGive]: ({to, budget, total, state}) => {
      this.dependencies.send(to, {
        kind: MessageKind.TokenGrant,
        budget,
        total,
        state,
      });
    },
    [WalletEffectKind.SendCopy]: ({to, settlement}) => {
      this.dependencies.send(to, {
        kind: MessageKind.SettlementCopy,
        settlement,
      });
    },
    [WalletEffectKind.SendCopied]: ({to, digest}) => {
      this.dependencies.send(to, {kind: MessageKind.SettlementCopied, digest});
    },
    [WalletEffectKind.SendDrop]: ({to, digests}) => {
      this.dependencies.send(to, {kind: MessageKind.SettlementDrop, digests});
    },
    [WalletEffectKind.Fenced]: () => this.dependencies.onFenced(),
    [WalletEffectKind.Left]: () => this.resolveDrain(),
  };

  /**
   * Ends the wait for a charge. The wallet names the last of the requests with
   * the same digest only; they are charged once, so all of them are secured.
   */
  private endCharge(request: string, secured: boolean): void {
    const digest = this.pendingCharges.get(request)?.digest;
    for (const [id, charge] of this.pendingCharges) {
      if (charge.digest === digest) {
        this.pendingCharges.delete(id);
        charge.resolve(secured);
      }
    }
  }

  private async readLedger(partition: number): Promise<void> {
    const result = await this.dependencies.keyValue.read(ledgerKey(partition));
    this.handle(readEvent(partition, result));
  }

  private async writeLedger(
    partition: number,
    version: number,
    ledger: Ledger,
  ): Promise<void> {
    const key = ledgerKey(partition);
    const result = await this.dependencies.keyValue.write(key, version, ledger);
    this.handle(writeEvent(partition, result));
  }
}

function readEvent(partition: number, result: KeyValueResult): WalletEvent {
  const kind = WalletEventKind.LedgerRead;
  switch (result.outcome) {
    case KeyValueOutcome.Found: {
      const ledger = result.value as Ledger;
      return {kind, partition, version: result.version, ledger};
    }
    case KeyValueOutcome.Absent:
      return {kind, partition, version: 0, ledger: undefined};
    default:
      return {kind: WalletEventKind.LedgerUnavailable, partition};
  }
}

function writeEvent(partition: number, result: KeyValueResult): WalletEvent {
  switch (result.outcome) {
    case KeyValueOutcome.Written: {
      const kind = WalletEventKind.LedgerWritten;
      return {kind, partition, version: result.version};
    }
    case KeyValueOutcome.Conflict: {
      const kind = WalletEventKind.LedgerConflict;
      const ledger = result.value as Ledger | undefined;
      return {kind, partition, version: result.version, ledger};
    }
    case KeyValueOutcome.Unavailable:
      return {kind: WalletEventKind.LedgerUnavailable, partition};
    default:
      return {kind: WalletEventKind.LedgerOutcomeUnknown, partition};
  }
}
