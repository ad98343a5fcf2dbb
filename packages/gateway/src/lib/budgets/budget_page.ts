/**
 * One page of prepaid budgets in the store: reads and writes it, and keeps this
 * instance's shares of its accounts.
 */
import {emptyPage, PrepaidShares} from '@citrontrestle/decisions';
import {PAGE_CODEC} from './page_codec.js';
import {StoreOutcome} from '../process/ports.js';
import type {Store, StoreItem, StoreWriteResult} from '../process/ports.js';
import type {
  Clock,
  Millis,
  PageWrite,
  ShareSettings,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/**
 * Time after a failed call or an unreadable page during which callers start no
 * further call to the store.
 */
const FAILURE_PAUSE: Millis = 400;

/** Maximum number of attempts to return a page's shares to the store. */
const MAX_RETURN_ATTEMPTS = 4;

/**
 * A page as last read or written by this instance; each page holds the budgets
 * of some of the accounts. Callers check `canCallStore`
 * before `read` and `write`, so that only one call to the store runs at a time.
 */
export class BudgetPage {
  readonly shares: PrepaidShares;
  /**
   * Start time of the last write; -Infinity before the first one, and after one
   * that another instance's write preceded, so that it is repeated at once.
   */
  lastWriteStartedAt: Millis = -Infinity;
  private callInProgress = false;
  private lastCallFailed = false;
  private isClosed = false;
  /** No call to the store is started before this time. */
  private pausedUntil: Millis = 0;
  /** When the store last confirmed the known page. */
  private confirmedAt: Millis = -Infinity;

  constructor(
    private readonly key: string,
    settings: ShareSettings,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Called after each call to the store has ended. */
    private readonly onCallEnded: () => void,
  ) {
    this.shares = new PrepaidShares(settings);
  }

  /**
   * Whether the store may be called now: the page is not closed, no call is
   * running, and `FAILURE_PAUSE` has passed since the last failure.
   */
  canCallStore(): boolean {
    return (
      !this.callInProgress &&
      !this.isClosed &&
      this.clock.now() >= this.pausedUntil
    );
  }

  /** Whether the last call to the store failed. */
  isFailing(): boolean {
    return this.lastCallFailed;
  }

  /** Returns the time since the store confirmed the known page. */
  ageAt(time: Millis): Millis {
    return time - this.confirmedAt;
  }

  /** Reads the page from the store. Failures are logged. */
  async read(): Promise<void> {
    this.callInProgress = true;
    const result = await this.store.read(this.key);
    this.callInProgress = false;
    if (result.outcome !== StoreOutcome.Done) {
      this.recordFailure('budget.unread', result.reason);
    } else if (result.item === undefined) {
      this.shares.recordPage({era: result.era, revision: 0}, emptyPage());
      this.markConfirmed();
    } else {
      this.recordItem(result.item, result.era);
    }
    this.onCallEnded();
  }

  /**
   * Writes the page to the store unless another instance has changed it, in
   * which case that instance's page is recorded. Failures are logged.
   */
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

  /** Returns all unreserved tokens to the store, and stops calling it. */
  async close(): Promise<void> {
    if (this.shares.mustRead() && this.canCallStore()) {
      await this.read();
    }
    for (let attempt = 0; attempt < MAX_RETURN_ATTEMPTS; attempt++) {
      const write = this.canCallStore() ? this.shares.planReturn() : undefined;
      if (write === undefined) {
        break;
      }
      await this.write(write);
    }
    this.isClosed = true;
  }

  /**
   * Records the result of a write; reads the page if the result does not show
   * its current state.
   */
  private handleWriteResult(write: PageWrite, result: StoreWriteResult): void {
    switch (result.outcome) {
      case StoreOutcome.Done:
        this.shares.recordPage(
          {era: result.era, revision: result.revision},
          write.page,
        );
        this.markConfirmed();
        this.log.info('budget.written', {
          key: this.key,
          revision: result.revision,
          era: result.era,
          change: JSON.stringify([...write.change]),
        });
        this.logClosed(write);
        break;
      case StoreOutcome.Conflict:
        this.lastWriteStartedAt = -Infinity;
        this.shares.discardWrite(write);
        if (result.item === undefined) {
          void this.read();
        } else {
          this.recordItem(result.item, result.era);
        }
        break;
      case StoreOutcome.Refused:
        this.shares.discardWrite(write);
        this.recordFailure('budget.refused', result.reason);
        break;
      case StoreOutcome.Unknown:
        // The write may still take effect. It stays pending until a newer
        // revision of the page shows its outcome.
        this.recordFailure('budget.unanswered', result.reason);
        void this.read();
        break;
    }
  }

  /**
   * Logs what the closed processes had taken, what of it they had reported as
   * used at their last write, and what of it is kept, since they may have used
   * it afterwards; the rest is returned.
   */
  private logClosed({closed}: PageWrite): void {
    for (const {holder, entry, age, maxUsed} of closed) {
      this.log.info('budget.closed', {
        key: this.key,
        holder,
        ageMs: age === undefined ? undefined : Math.round(age),
        taken: JSON.stringify(entry.taken),
        used: JSON.stringify(entry.used),
        kept: JSON.stringify(maxUsed),
      });
    }
  }

  /** Decodes a page from the store and records it if it is valid. */
  private recordItem(item: StoreItem, era: number): void {
    const decoded = PAGE_CODEC.decode(item.value);
    if (!decoded.ok) {
      const {reason} = decoded;
      this.log.error('budget.unreadable', {key: this.key, reason});
      this.pausedUntil = this.clock.now() + FAILURE_PAUSE;
      return;
    }
    const {revision} = item;
    this.shares.recordPage({era, revision}, decoded.value);
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
