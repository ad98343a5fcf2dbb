/** What really happened to the model's requests. */
import type {Millis} from '@citrontrestle/decisions';

/** State of one run of a request at one entry. */
export enum RunState {
  Waiting = 'waiting',
  Running = 'running',
  /** The upstream is done; the charge is known. */
  Done = 'done',
  /** The caller has the whole answer. */
  Answered = 'answered',
  Refused = 'refused',
  /** Its entry was killed before the answer. */
  Dead = 'dead',
}

/** One run of a request at one entry. */
export interface ModelRun {
  id: string;
  /** Idempotency key: the same for all runs of a request. */
  key: string;
  /** Index of the entry. */
  entry: number;
  /** Incarnation of the entry. */
  holder: string;
  budget: string;
  reserved: number;
  used: number;
  begun: Millis;
  state: RunState;
  /** Whether the charge was safe when the caller got its answer. */
  secured: boolean;
}
