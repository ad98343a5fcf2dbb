/** Messages into and out of the wallet. All amounts are in tokens. */
import type {Ledger, Settlement} from './ledger.js';
import type {GiveState} from './search.js';
import type {Millis} from './clock.js';

/** Kinds of events that a wallet takes. */
export enum WalletEventKind {
  Reserve = 'reserve',
  Free = 'free',
  Settle = 'settle',
  /** The outcome is unknown: the tokens stay out of use for good. */
  Withhold = 'withhold',
  LedgerRead = 'ledger-read',
  LedgerWritten = 'ledger-written',
  LedgerConflict = 'ledger-conflict',
  /** The call may or may not have taken effect. */
  LedgerLost = 'ledger-lost',
  /** The call certainly took no effect. */
  LedgerUnavailable = 'ledger-unavailable',
  PeerAsk = 'peer-ask',
  PeerGive = 'peer-give',
  PeerCopy = 'peer-copy',
  PeerCopied = 'peer-copied',
  PeerDrop = 'peer-drop',
  Peers = 'peers',
  Tick = 'tick',
  Drain = 'drain',
}

/** Another live entry. */
export interface PeerHolder {
  holder: string;
  zone: string;
}

/** An event that a wallet takes. */
export type WalletEvent =
  | {
      kind: WalletEventKind.Reserve;
      request: string;
      budget: string;
      tokens: number;
    }
  | {
      kind: WalletEventKind.Free | WalletEventKind.Withhold;
      request: string;
    }
  | {
      kind: WalletEventKind.Settle;
      request: string;
      digest: string;
      tokens: number;
      begun: Millis;
    }
  | {
      kind: WalletEventKind.LedgerRead | WalletEventKind.LedgerConflict;
      partition: number;
      version: number;
      /** Undefined when the key does not exist. */
      ledger: Ledger | undefined;
    }
  | {kind: WalletEventKind.LedgerWritten; partition: number; version: number}
  | {
      kind: WalletEventKind.LedgerLost | WalletEventKind.LedgerUnavailable;
      partition: number;
    }
  | {
      kind: WalletEventKind.PeerAsk;
      from: string;
      budget: string;
      tokens: number;
    }
  | {
      kind: WalletEventKind.PeerGive;
      from: string;
      budget: string;
      /** Total ever sent by `from` to this holder. */
      total: number;
      state: GiveState;
    }
  | {kind: WalletEventKind.PeerCopy; from: string; settlement: Settlement}
  | {kind: WalletEventKind.PeerCopied; from: string; digest: string}
  | {kind: WalletEventKind.PeerDrop; from: string; digests: string[]}
  | {kind: WalletEventKind.Peers; peers: PeerHolder[]}
  | {kind: WalletEventKind.Tick}
  | {kind: WalletEventKind.Drain};

/** The event of a kind. */
export type EventOf<K extends WalletEventKind> = Extract<
  WalletEvent,
  {kind: K}
>;

/** Why a reservation was refused. */
export enum BudgetRefusal {
  /** Local share, peers and ledger all said no. */
  Exhausted = 'budget-exhausted',
  /** Local share and peers said no and the ledger could not be asked. */
  Unavailable = 'budget-unavailable',
}

/** Kinds of effects that a wallet asks for. */
export enum WalletEffectKind {
  Granted = 'granted',
  Refused = 'refused',
  /** The charge stands in the ledger or with another entry, or neither. */
  Secured = 'secured',
  ReadLedger = 'read-ledger',
  WriteLedger = 'write-ledger',
  SendAsk = 'send-ask',
  SendGive = 'send-give',
  SendCopy = 'send-copy',
  SendCopied = 'send-copied',
  SendDrop = 'send-drop',
  /** An operator closed this holder; the process must stop. */
  Fenced = 'fenced',
  /** All is settled and returned after a drain. */
  Left = 'left',
}

/** An effect that a wallet asks for. */
export type WalletEffect =
  | {kind: WalletEffectKind.Granted; request: string}
  | {kind: WalletEffectKind.Refused; request: string; reason: BudgetRefusal}
  | {kind: WalletEffectKind.Secured; request: string; secured: boolean}
  | {kind: WalletEffectKind.ReadLedger; partition: number}
  | {
      kind: WalletEffectKind.WriteLedger;
      partition: number;
      /** Version to replace; 0 creates the key. */
      version: number;
      ledger: Ledger;
    }
  | {
      kind: WalletEffectKind.SendAsk;
      to: string;
      budget: string;
      tokens: number;
    }
  | {
      kind: WalletEffectKind.SendGive;
      to: string;
      budget: string;
      total: number;
      state: GiveState;
    }
  | {kind: WalletEffectKind.SendCopy; to: string; settlement: Settlement}
  | {kind: WalletEffectKind.SendCopied; to: string; digest: string}
  | {kind: WalletEffectKind.SendDrop; to: string; digests: string[]}
  | {kind: WalletEffectKind.Fenced}
  | {kind: WalletEffectKind.Left};
