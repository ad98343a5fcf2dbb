/** One page of budgets: the shares of this instance and its calls to the store. */
import {emptyPage, PrepaidShares} from '@citrontrestle/decisions';
import {PAGE_CODEC} from './page_codec.js';
import {StoreOutcome} from './ports.js';
import type {Store, StoreItem, StoreWriteResult} from './ports.js';
import type {
  Clock,
  Millis,
  PageWrite,
  ShareSettings,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** Pause after the store did not answer. */
const FAILURE_PAUSE: Millis = 400;

/** Attempts to give a page's shares back to the store. */
const MOST_RETURNS = 4;

/** A page as this instance knows it. One call to the store runs at a time. */
export class BudgetPage {
  readonly shares: PrepaidShares;
  /** When a write began last. */
  wroteAt: Millis = -Infinity;
  private busy = false;
  private failing = false;
  private closed = false;
  private pausedUntil: Millis = 0;
  private confirmedAt: Millis = -Infinity;

  constructor(
    private readonly key: string,
    settings: ShareSettings,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Called when a call to the store has ended. */
    private readonly changed: () => void,
  ) {
    this.shares = new PrepaidShares(settings);
  }

  /** Whether the store may be called now. */
  free(): boolean {
    return !this.busy && !this.closed && this.clock.now() >= this.pausedUntil;
  }

  /** Whether the last call was not served. */
  isFailing(): boolean {
    return this.failing;
  }

  /** Whether the page was as in the store at most `age` before a time. */
  confirmedSince(time: Millis, age: Millis): boolean {
    return time - this.confirmedAt < age;
  }

  /** Reads the page. */
  async read(): Promise<void> {
    this.busy = true;
    const reading = await this.store.read(this.key);
    this.busy = false;
    if (reading.outcome !== StoreOutcome.Done) {
      this.failed('budget.unread', reading.reason);
    } else if (reading.item === undefined) {
      this.shares.recordPage(0, emptyPage());
      this.confirmed();
    } else {
      this.observe(reading.item);
    }
    this.changed();
  }

  /** Writes the page. */
  async write(write: PageWrite): Promise<void> {
    this.busy = true;
    this.wroteAt = this.clock.now();
    const value = PAGE_CODEC.encode(write.page);
    const {expectedRevision} = write;
    const writing = await this.store.write(this.key, expectedRevision, value);
    this.busy = false;
    this.take(write, writing);
    this.changed();
  }

  /** Gives back all that is not in use, and calls the store no more. */
  async close(): Promise<void> {
    for (let attempt = 0; attempt < MOST_RETURNS; attempt++) {
      const write = this.free() ? this.shares.planReturn() : undefined;
      if (write === undefined) {
        break;
      }
      await this.write(write);
    }
    this.closed = true;
  }

  private take(write: PageWrite, writing: StoreWriteResult): void {
    switch (writing.outcome) {
      case StoreOutcome.Done:
        this.shares.recordPage(writing.revision, write.page);
        this.confirmed();
        this.log.info('budget.written', {
          key: this.key,
          revision: writing.revision,
          change: JSON.stringify([...write.change]),
        });
        break;
      case StoreOutcome.Conflict:
        if (writing.item === undefined) {
          void this.read();
        } else {
          this.observe(writing.item);
        }
        break;
      case StoreOutcome.Refused:
        this.shares.discardWrite(write);
        this.failed('budget.refused', writing.reason);
        break;
      case StoreOutcome.Unknown:
        // The write may be made later: only a newer revision tells.
        this.failed('budget.unanswered', writing.reason);
        void this.read();
        break;
    }
  }

  private observe(item: StoreItem): void {
    const decoded = PAGE_CODEC.decode(item.value);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.error('budget.unreadable', {key: this.key, reason});
      this.pausedUntil = this.clock.now() + FAILURE_PAUSE;
      return;
    }
    this.shares.recordPage(item.revision, decoded.value);
    this.confirmed();
  }

  private confirmed(): void {
    this.confirmedAt = this.clock.now();
    this.failing = false;
  }

  private failed(event: string, reason: string): void {
    this.pausedUntil = this.clock.now() + FAILURE_PAUSE;
    this.failing = true;
    this.log.warn(event, {key: this.key, reason});
  }
}
