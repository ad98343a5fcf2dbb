/**
 * Orders the work for requests after the reading of sockets. A process that was
 * held up finds requests, answers and the ends of connections together, and its
 * timers run first: whoever acts then does not know yet that a caller has left
 * or an upstream has answered.
 */
import type {Clock, Millis} from '@citrontrestle/decisions';

/**
 * Time for which steps run before the sockets are read again, so that a caller
 * that leaves during a long queue of steps is noticed.
 */
const MAX_RUN_TIME: Millis = 50;

/**
 * Turns of the event loop until a step runs. The first one may end before the
 * sockets are read; all of them are read between the first and the second.
 */
const TURNS_TO_WAIT = 2;

interface WaitingStep {
  run: () => void;
  /** Turn in which it may run. */
  turn: number;
}

/**
 * Runs steps when all that lay in the sockets has been read. Takes constant time
 * for each step, and an idle process runs it at once.
 */
export class SocketReads {
  private readonly waiting: WaitingStep[] = [];
  private turn = 0;
  private isScheduled = false;

  constructor(private readonly clock: Clock) {}

  /** Runs a step after the sockets have been read. */
  runAfter(run: () => void): void {
    this.waiting.push({run, turn: this.turn + TURNS_TO_WAIT});
    this.scheduleTurn();
  }

  /** Resolves after the sockets have been read. */
  completed(): Promise<void> {
    return new Promise(resolve => this.runAfter(resolve));
  }

  private scheduleTurn(): void {
    if (!this.isScheduled) {
      this.isScheduled = true;
      setImmediate(() => this.runTurn());
    }
  }

  private runTurn(): void {
    this.isScheduled = false;
    this.turn += 1;
    const endsAt = this.clock.now() + MAX_RUN_TIME;
    try {
      while (this.isFirstDue() && this.clock.now() < endsAt) {
        this.waiting.shift()?.run();
      }
    } finally {
      if (this.waiting.length > 0) {
        this.scheduleTurn();
      }
    }
  }

  private isFirstDue(): boolean {
    const [first] = this.waiting;
    return first !== undefined && first.turn <= this.turn;
  }
}
