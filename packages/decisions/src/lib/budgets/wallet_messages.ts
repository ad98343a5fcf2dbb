/**
 * Events that a wallet handles, and effects that it returns. All amounts are in
 * tokens.
 */
import type {Ledger, Settlement} from './ledger.js';
import type {GiveState} from './token_search.js';
import type {Millis} from '../base/clock.js';

/** Kinds of events that a wallet handles. */
export enum WalletEventKind {
  /** Reserve tokens for a request. */
  Reserve = 'reserve',
  /** Release the reservation of a request that used nothing. */
  Release = 'free',
  /** Charge a finished request. */
  Settle = 'settle',
  /** The outcome of a request is unknown: its tokens stay reserved for good. */
  Withhold = 'withhold',
  /** A ledger partition was read. */
  LedgerRead = 'ledger-read',
  /** A ledger partition was written. */
  LedgerWritten = 'ledger-written',
  /** A write failed because another holder had changed the partition. */
  LedgerConflict = 'ledger-conflict',
  /** A call failed; it may or may not have taken effect. */
  LedgerOutcomeUnknown = 'ledger-lost',
  /** A call failed and took no effect. */
  LedgerUnavailable = 'ledger-unavailable',
  /** Another entry requests tokens. */
  PeerAsk = 'peer-ask',
  /** Another entry sends tokens, or answers that it has too few. */
  PeerGive = 'peer-give',
  /** Another entry sends a charge of its own to keep a copy of. */
  PeerCopy = 'peer-copy',
  /** Another entry confirms that it keeps a copy of a charge. */
  PeerCopied = 'peer-copied',
  /** Another entry reports that copies of its charges can be removed. */
  PeerDrop = 'peer-drop',
  /** The set of live peers has changed. */
  Peers = 'peers',
  /** Time has passed; sent at regular intervals. */
  Tick = 'tick',
  /** Settle all charges and return all tokens before the process stops. */
  Drain = 'drain',
}

/** One incarnation of an entry, and where it runs. */
export interface PeerHolder {
  holder: string;
  /** Availability zone of the entry. */
  zone: string;
}

/** An event that a wallet handles. */
export type WalletEvent =
  | {
      kind: WalletEventKind.Reserve;
      request: string;
      budget: string;
      tokens: number;
    }
  | {
      kind: WalletEventKind.Release | WalletEventKind.Withhold;
      request: string;
    }
  | {
      kind: WalletEventKind.Settle;
      request: string;
      /** Digest of account, idempotency key and body. */
      digest: string;
      tokens: number;
      /** When the run of the request began. */
      begun: Millis;
    }
  | {
      kind: WalletEventKind.LedgerRead | WalletEventKind.LedgerConflict;
      partition: number;
      /** Version of the key; 0 if it does not exist. */
      version: number;
      /** Undefined when the key does not exist. */
      ledger: Ledger | undefined;
    }
  | {kind: WalletEventKind.LedgerWritten; partition: number; version: number}
  | {
      kind:
        | WalletEventKind.LedgerOutcomeUnknown
        | WalletEventKind.LedgerUnavailable;
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

/** The event type of one kind. */
export type EventOf<K extends WalletEventKind> = Extract<
  WalletEvent,
  {kind: K}
>;

/** Why a reservation was refused. */
export enum BudgetRefusal {
  /** Local share, peers and ledger have too few tokens. */
  Exhausted = 'budget-exhausted',
  /**
   * Local share and peers have too few tokens and the ledger could not be
   * reached, or the entry is draining.
   */
  Unavailable = 'budget-unavailable',
}

/** Kinds of effects that a wallet returns. */
export enum WalletEffectKind {
  /** The tokens for a request are reserved. */
  Granted = 'granted',
  /** The tokens for a request are not available. */
  Refused = 'refused',
  /**
   * The wait for a charge is over. `secured` tells whether the charge is in the
   * ledger or copied to another entry.
   */
  Secured = 'secured',
  /** Read a ledger partition. */
  ReadLedger = 'read-ledger',
  /** Write a ledger partition by compare-and-swap. */
  WriteLedger = 'write-ledger',
  /** Request tokens from another entry. */
  SendAsk = 'send-ask',
  /** Send tokens to another entry, or answer that there are too few. */
  SendGive = 'send-give',
  /** Send a charge to another entry, which keeps a copy. */
  SendCopy = 'send-copy',
  /** Confirm to another entry that a copy of its charge is kept. */
  SendCopied = 'send-copied',
  /** Tell another entry that it can remove its copies of charges. */
  SendDrop = 'send-drop',
  /** An operator closed this holder in the ledger; the process must stop. */
  Fenced = 'fenced',
  /** The drain is complete: charges are settled and tokens returned. */
  Left = 'left',
}

/** An effect that a wallet returns, for the caller to carry out. */
export type WalletEffect =
  | {kind: WalletEffectKind.Granted; request: string}
  | {kind: WalletEffectKind.Refused; request: string; reason: BudgetRefusal}
  | {kind: WalletEffectKind.Secured; request: string; secured: boolean}
  | {kind: WalletEffectKind.ReadLedger; partition: number}
  | {
      kind: WalletEffectKind.WriteLedger;
      partition: number;
      /** Write only if the key still has this version; 0 creates the key. */
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
      /** Total ever sent by this holder to `to`. */
      total: number;
      state: GiveState;
    }
  | {kind: WalletEffectKind.SendCopy; to: string; settlement: Settlement}
  | {kind: WalletEffectKind.SendCopied; to: string; digest: string}
  | {kind: WalletEffectKind.SendDrop; to: string; digests: string[]}
  | {kind: WalletEffectKind.Fenced}
  | {kind: WalletEffectKind.Left};
