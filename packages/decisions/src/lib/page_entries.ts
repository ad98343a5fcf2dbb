/**
 * The entry of one process in a page, as the store has it or may have it: an
 * unanswered write may have taken effect, or may still do so.
 */
import {emptyPage} from './prepaid_page.js';
import {usableTokens} from './share_release.js';
import type {MachineClock, MachineTime, Millis} from './clock.js';
import type {
  ClosedHolder,
  PageChange,
  PageHolder,
  PrepaidPage,
} from './prepaid_page.js';

/** A conditional write of a page to the store. */
export interface PageWrite {
  /** The page is written only if this is still its revision in the store. */
  expectedRevision: number;
  page: PrepaidPage;
  /** Tokens that the write takes (positive) or returns (negative). */
  change: PageChange;
  /** Entries of earlier processes of the instance that the write closes. */
  closed: ClosedHolder[];
}

/**
 * Number of writes with unknown outcomes from which on the last one is repeated
 * instead of creating others.
 */
const MAX_PENDING_WRITES = 4;

/** The known page, and the entries of one process that the store may have. */
export class PageEntries {
  private knownPage: PrepaidPage = emptyPage();
  private knownRevision = -1;
  /** Writes that may still take effect. */
  private pendingWrites: PageWrite[] = [];

  constructor(
    private readonly holder: string,
    private readonly clock: MachineClock,
  ) {}

  /** Returns the newest known page. */
  page(): PrepaidPage {
    return this.knownPage;
  }

  /** Returns the revision of the known page; -1 before the first read. */
  revision(): number {
    return this.knownRevision;
  }

  /** Records a page that was read or written. Older pages are ignored. */
  recordPage(revision: number, page: PrepaidPage): void {
    if (revision <= this.knownRevision) {
      return;
    }
    this.knownRevision = revision;
    this.knownPage = page;
    // Writes that expect an older revision can no longer take effect.
    this.pendingWrites = this.pendingWrites.filter(
      write => write.expectedRevision >= revision,
    );
  }

  /** Records a write that is sent to the store. */
  recordWrite(write: PageWrite): void {
    this.pendingWrites.push(write);
  }

  /** Forgets a write that is known to have had no effect. */
  discardWrite(write: PageWrite): void {
    this.pendingWrites = this.pendingWrites.filter(other => other !== write);
  }

  /**
   * Returns the write to repeat if too many have unknown outcomes. It is a copy:
   * to discard it does not discard the first one, which may still take effect.
   */
  writeToRepeat(): PageWrite | undefined {
    const last = this.pendingWrites.at(-1);
    const isFull = this.pendingWrites.length >= MAX_PENDING_WRITES;
    return last !== undefined && isFull ? {...last} : undefined;
  }

  /** Returns the tokens of an account that the process may use now, in all. */
  usableTokens(account: string): number {
    const age = this.age();
    return this.minimum(entry => {
      const taken = entry.taken[account] ?? 0;
      return usableTokens(taken, entry.limits[account] ?? taken, age);
    });
  }

  /** Returns the tokens of an account that the process has taken for certain. */
  takenTokens(account: string): number {
    return this.minimum(entry => entry.taken[account] ?? 0);
  }

  /**
   * Returns the time from which the age of the next written entry counts. While
   * the outcome of earlier writes is unknown, it is theirs: the process may have
   * used tokens according to their age.
   */
  nextConfirmedAt(): MachineTime {
    const pending = this.pendingWrites.at(-1);
    const entry = pending && this.entryOf(pending.page);
    return entry?.confirmedAt ?? this.clock.machineTime();
  }

  /**
   * Whether the entry must be written again in time, since it has tokens that
   * may be used only while it gets no newer one.
   */
  mustConfirm(): boolean {
    const entry = this.entryOf(this.knownPage);
    return Object.entries(entry?.taken ?? {}).some(
      ([account, taken]) => taken > (entry?.limits[account] ?? taken),
    );
  }

  /** Age of the newest entry that the store may have. */
  private age(): Millis {
    const times = this.entries().map(
      ({confirmedAt}) => confirmedAt?.monotonic ?? -Infinity,
    );
    return this.clock.machineTime().monotonic - Math.max(...times);
  }

  /** Returns the minimum over all entries that the store may have; 0 for none. */
  private minimum(tokensOf: (entry: PageHolder) => number): number {
    const minimum = Math.min(...this.entries().map(tokensOf));
    const isWritten = this.entryOf(this.knownPage) !== undefined;
    return isWritten ? minimum : Math.min(0, minimum);
  }

  /** Entries of the process that the store has or may have. */
  private entries(): PageHolder[] {
    const pages = [this.knownPage, ...this.pendingWrites.map(({page}) => page)];
    return pages
      .map(page => this.entryOf(page))
      .filter(entry => entry !== undefined);
  }

  private entryOf(page: PrepaidPage): PageHolder | undefined {
    return page.holders[this.holder];
  }
}
