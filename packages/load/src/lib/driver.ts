/** Sends the requests of a run, open-loop, and keeps what callers saw. */
import {Client, Seen} from './client.js';
import type {Millis} from '@citrontrestle/decisions';
import type {Planned} from './plan.js';
import type {Sight} from './client.js';

/** One request and what its caller saw in the end. */
export interface Finished {
  planned: Planned;
  sight: Sight;
  /** From the intended start. */
  firstTokenMs: Millis | undefined;
  wholeMs: Millis;
  /** Times that the caller sent it. */
  sent: number;
  /** Whether the budget had room when it was refused. */
  hadRoom: boolean;
  /** Tokens of the budget used or possibly in use when it ended. */
  usedThen: number;
}

/** Where requests may be sent. */
export interface Targets {
  /** Addresses of live entries. */
  live(): string[];
}

/** Most times that a caller sends one request. */
const MOST_SENT = 4;

/** Wait before a caller sends a failed request again. */
const AGAIN_AFTER: Millis = 100;

const BUDGET_CODES = new Set(['budget-exhausted', 'budget-unavailable']);

/** Sends the requests of a run. */
export class Driver {
  readonly finished: Finished[] = [];
  private readonly client = new Client();
  private readonly spent = new Map<string, number>();
  private readonly inFlight = new Map<string, number>();
  private turn = 0;

  constructor(
    private readonly targets: Targets,
    /** Tokens granted to a budget so far. */
    private readonly granted: (budget: string) => number,
    private readonly progress: (done: number, of: number) => void,
  ) {}

  /** Sends all requests at their times; resolves when all ended. */
  async run(planned: Planned[]): Promise<void> {
    const start = Date.now();
    const running: Promise<void>[] = [];
    for (const one of planned) {
      const wait = start + one.at - Date.now();
      if (wait > 0) {
        await pause(wait);
      }
      running.push(this.one(one, start + one.at));
      this.progress(this.finished.length, planned.length);
    }
    await Promise.all(running);
    this.progress(this.finished.length, planned.length);
    this.client.close();
  }

  private async one(planned: Planned, intended: Millis): Promise<void> {
    const {budget, worstCase} = planned;
    this.add(this.inFlight, budget, worstCase);
    let sight: Sight;
    let sent = 0;
    do {
      if (sent > 0) {
        await pause(AGAIN_AFTER);
      }
      sent += 1;
      sight = await this.client.send(this.pick(), planned.call);
    } while (sight.seen === Seen.Failed && sent < MOST_SENT);
    this.add(this.inFlight, budget, -worstCase);
    const hadRoom = this.room(budget) >= worstCase;
    if (sight.seen === Seen.Answered) {
      const tokens = sight.tokens || planned.workClass.priceTokens;
      this.add(this.spent, budget, tokens);
    }
    const {firstAt} = sight;
    this.finished.push({
      planned,
      sight,
      firstTokenMs: firstAt === undefined ? undefined : firstAt - intended,
      wholeMs: Date.now() - intended,
      sent,
      hadRoom: hadRoom && BUDGET_CODES.has(sight.code),
      usedThen: this.granted(budget) - this.room(budget),
    });
  }

  private pick(): string {
    const live = this.targets.live();
    this.turn += 1;
    return live[this.turn % live.length] ?? '';
  }

  /** Tokens granted and neither used nor possibly still to be used. */
  private room(budget: string): number {
    const used = this.spent.get(budget) ?? 0;
    return this.granted(budget) - used - (this.inFlight.get(budget) ?? 0);
  }

  private add(map: Map<string, number>, name: string, count: number): void {
    map.set(name, (map.get(name) ?? 0) + count);
  }
}

function pause(span: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span));
}
