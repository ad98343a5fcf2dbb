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
const MAX_RETURN_ATTEMPTS = 4;

/** A page as this instance knows it. One call to the store runs at a time. */
export class BudgetPage {
  readonly shares: PrepaidShares;
  /** When a write began last. */
  lastWriteStartedAt: Millis = -Infinity;
  private callInProgress = false;
  private lastCallFailed = false;
  private isClosed = false;
  private pausedUntil: Millis = 0;
  private confirmedAt: Millis = -Infinity;

  constructor(
    private readonly key: string,
    settings: ShareSettings,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Called when a call to the store has ended. */
    private readonly onCallEnded: () => void,
  ) {
    this.shares = new PrepaidShares(settings);
  }

  /** Whether the store may be called now. */
  canCallStore(): boolean {
    return (
      !this.callInProgress &&
      !this.isClosed &&
      this.clock.now() >= this.pausedUntil
    );
  }

  /** Whether the last call was not served. */
  isFailing(): boolean {
    return this.lastCallFailed;
  }

  /** Whether the page was as in the store at most `age` before a time. */
  isCurrentAt(time: Millis, maxAge: Millis): boolean {
    return time - this.confirmedAt < maxAge;
  }

  /** Reads the page. */
  async read(): Promise<void> {
    this.callInProgress = true;
    const result = await this.store.read(this.key);
    this.callInProgress = false;
    if (result.outcome !== StoreOutcome.Done) {
      this.recordFailure('budget.unread', result.reason);
    } else if (result.item === undefined) {
      this.shares.recordPage(0, emptyPage());
      this.markConfirmed();
    } else {
      this.recordItem(result.item);
    }
    this.onCallEnded();
  }

  /** Writes the page. */
  async write(write: PageWrite): Promise<void> {
    this.callInProgress = true;
    this.lastWriteStartedAt = this.clock.now();
    const value = PAGE_CODEC.encode(write.page);
    const {expectedRevision} = write;
    const result = await this.store.write(this.key, expectedRevision, value);
    this.callInProgress = false;
    this.handleWriteResult(write, result);
    this.onCallEnded();
  }

  /** Gives back all that is not in use, and calls the store no more. */
  async close(): Promise<void> {
    for (let attempt = 0; attempt < MAX_RETURN_ATTEMPTS; attempt++) {
      const write = this.canCallStore() ? this.shares.planReturn() : undefined;
      if (write === undefined) {
        break;
      }
      await this.write(write);
    }
    this.isClosed = true;
  }

  private handleWriteResult(write: PageWrite, result: StoreWriteResult): void {
    switch (result.outcome) {
      case StoreOutcome.Done:
        this.shares.recordPage(result.revision, write.page);
        this.markConfirmed();
        this.log.info('budget.written', {
          key: this.key,
          revision: result.revision,
          change: JSON.stringify([...write.change]),
        });
        break;
      case StoreOutcome.Conflict:
        if (result.item === undefined) {
          void this.read();
        } else {
          this.recordItem(result.item);
        }
        break;
      case StoreOutcome.Refused:
        this.shares.discardWrite(write);
        this.recordFailure('budget.refused', result.reason);
        break;
      case StoreOutcome.Unknown:
        // The write may be made later: only a newer revision tells.
        this.recordFailure('budget.unanswered', result.reason);
        void this.read();
        break;
    }
  }

  private recordItem(item: StoreItem): void {
    const decoded = PAGE_CODEC.decode(item.value);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.error('budget.unreadable', {key: this.key, reason});
      this.pausedUntil = this.clock.now() + FAILURE_PAUSE;
      return;
    }
    this.shares.recordPage(item.revision, decoded.value);
    this.markConfirmed();
  }

  private markConfirmed(): void {
    this.confirmedAt = this.clock.now();
    this.lastCallFailed = false;
  }

  private recordFailure(event: string, reason: string): void {
    this.pausedUntil = this.clock.now() + FAILURE_PAUSE;
    this.lastCallFailed = true;
    this.log.warn(event, {key: this.key, reason});
  }
}
