/** The true state of the requests of a fleet model, for the oracle. */
import type {Millis} from '@citrontrestle/decisions';

/** State of one attempt of a request. */
export enum AttemptState {
  /** Waiting for tokens. */
  Waiting = 'waiting',
  /** Running at an upstream. */
  Running = 'running',
  /** The upstream has finished; the charge is known. */
  Done = 'done',
  /** The caller has the whole answer. */
  Answered = 'answered',
  /** Its tokens were not available. */
  Refused = 'refused',
  /** The entry was killed before the caller got the answer. */
  EntryKilled = 'dead',
}

/** One attempt to execute a request at one entry. */
export interface RequestAttempt {
  id: string;
  /** The same for all attempts of a request; also the digest in its bill. */
  idempotencyKey: string;
  /** Index of the entry in the model. */
  entryIndex: number;
  /** Identity of the entry's incarnation. */
  holder: string;
  budget: string;
  /** Maximum that the request may use. */
  reservedTokens: number;
  /** What the upstream charges when it has finished. */
  usedTokens: number;
  startedAt: Millis;
  state: AttemptState;
  /**
   * Whether the charge was in the ledger or copied to another entry when the
   * caller got its answer.
   */
  isSecured: boolean;
}
