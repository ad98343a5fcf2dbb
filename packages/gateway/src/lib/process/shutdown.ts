/** The planned stop of a gateway process. */
import {PlannedStop, SECOND} from '@citrontrestle/decisions';
import {sleep, waitAtMost} from '@citrontrestle/runtime';
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Maximum time to return the shares of prepaid tokens after the deadline. */
const MAX_RETURN_TIME: Millis = 150;

/** Time for the last messages and responses to be sent before the process exits. */
const FLUSH_TIME: Millis = 20;

/** Interval at which a planned stop checks whether requests are running. */
const IDLE_CHECK_INTERVAL: Millis = 50;

/** What a planned stop needs of its gateway. */
export interface ShutdownContext {
  clock: Clock;
  log: Log;
  /** Time from the signal until the process is killed, in seconds. */
  graceSeconds: number;
  /** Returns the number of requests of callers and peers that are running. */
  activeRequests(): number;
  /** Tells peers that this instance stops. */
  announce(): void;
  /** Accepts no more connections and closes the idle ones. */
  closeConnections(): void;
  /** Gives the running requests of callers their final responses. */
  endRequests(): void;
  /** Returns the unspent prepaid tokens. */
  returnShares(): Promise<void>;
}

/** Finishes running requests and returns prepaid tokens before the exit. */
export class Shutdown {
  private plannedStop: PlannedStop | undefined;
  private completion: Promise<void> | undefined;

  constructor(private readonly context: ShutdownContext) {}

  /** Whether the planned stop has begun. */
  hasBegun(): boolean {
    return this.plannedStop !== undefined;
  }

  /**
   * Whether a request may be taken that has its final response by `deadline`;
   * see `PlannedStop.admits`.
   */
  admits(deadline: Millis): boolean {
    const now = this.context.clock.now();
    return this.plannedStop?.admits(deadline, now) ?? true;
  }

  /**
   * Performs the planned stop. Resolves when the process may exit; a second call
   * waits for the same stop.
   */
  run(): Promise<void> {
    this.completion ??= this.runOnce();
    return this.completion;
  }

  private async runOnce(): Promise<void> {
    const {context} = this;
    const {clock, log, graceSeconds} = context;
    const plannedStop = new PlannedStop(clock.now(), graceSeconds * SECOND);
    this.plannedStop = plannedStop;
    log.info('gateway.stopping', {active: context.activeRequests()});
    context.announce();
    const deadline = plannedStop.deadline();
    await this.waitUntilIdle(plannedStop.earliestExit(), deadline);
    context.closeConnections();
    await this.waitUntilIdle(clock.now(), deadline);
    plannedStop.close();
    const active = context.activeRequests();
    context.endRequests();
    const returnTime = deadline + MAX_RETURN_TIME - clock.now();
    await waitAtMost(context.returnShares(), Math.max(0, returnTime));
    await sleep(FLUSH_TIME);
    log.info('gateway.stopped', {active});
  }

  /**
   * Waits until no request is running at a time after `earliest`, but no longer
   * than until `deadline`.
   */
  private waitUntilIdle(earliest: Millis, deadline: Millis): Promise<void> {
    const {clock, activeRequests} = this.context;
    return new Promise(resolve => {
      const timer = setInterval(() => {
        const now = clock.now();
        const isIdle = now > earliest && activeRequests() === 0;
        if (isIdle || now > deadline) {
          clearInterval(timer);
          resolve();
        }
      }, IDLE_CHECK_INTERVAL);
    });
  }
}
