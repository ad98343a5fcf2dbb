/** What really happened to the model's requests. */
import type {Millis} from '@citrontrestle/decisions';

/** State of one run of a request at one entry. */
export enum AttemptState {
  Waiting = 'waiting',
  Running = 'running',
  /** The upstream is done; the charge is known. */
  Done = 'done',
  /** The caller has the whole answer. */
  Answered = 'answered',
  Refused = 'refused',
  /** Its entry was killed before the answer. */
  EntryKilled = 'dead',
}

/** One run of a request at one entry. */
export interface RequestAttempt {
  id: string;
  /** Idempotency key: the same for all runs of a request. */
  idempotencyKey: string;
  /** Index of the entry. */
  entryIndex: number;
  /** Incarnation of the entry. */
  holder: string;
  budget: string;
  reservedTokens: number;
  usedTokens: number;
  startedAt: Millis;
  state: AttemptState;
  /** Whether the charge was safe when the caller got its answer. */
  isSecured: boolean;
}
