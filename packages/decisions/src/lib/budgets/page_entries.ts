/**
 * The entry of one process in a page, as the store has it or may have it: an
 * unanswered write may have taken effect, or may still do so.
 */
import {MAX_ENTRY_SILENCE, unusedTokens} from './budget_reading.js';
import {emptyPage} from './prepaid_page.js';
import {elapsedTime, usableTokens} from './share_release.js';
import {isNewer, UNKNOWN_POSITION} from '../fleet/store_position.js';
import {CeilingHistory} from './take_ceilings.js';
import type {MachineClock, MachineTime, Millis} from '../base/clock.js';
import type {StorePosition} from '../fleet/store_position.js';
import type {Witnesses} from './witnesses.js';
import type {
  ClosedHolder,
  PageChange,
  PageHolder,
  PrepaidPage,
} from './prepaid_page.js';
import {setTokens, tokensOf} from './token_counts.js';
import type {TokenCounts} from './token_counts.js';

/** A conditional write of a page to the store. */
export interface PageWrite {
  /** The page is written only if this is still its revision in the store. */
  expectedRevision: number;
  /** Era of the page on which the write is based. */
  era: number;
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

/**
 * Maximum age of a page on which a write is based. After the store has gone back
 * the expected revision may be given out again, so that a write may replace a
 * newer page; what that one states must then be covered by the ceilings of this
 * one. So this and the delay of a write stay below `MAX_HISTORY_LOSS`.
 */
const MAX_BASE_AGE: Millis = 2_000;

/** When this process first saw the present entry of another one. */
interface EntryChange {
  /** Monotonic time of the writer, which changes with each of its writes. */
  writtenAt: Millis | undefined;
  seenAt: Millis;
}

/** The known page, and the entries of one process that the store may have. */
export class PageEntries {
  private knownPage: PrepaidPage = emptyPage();
  private knownPosition = UNKNOWN_POSITION;
  /** When the store last had the known page; undefined if it was not read. */
  private knownAt: MachineTime | undefined;
  /** Whether the store has lost the newest entry that it had confirmed. */
  private isEntryLost = false;
  /** What earlier processes can have used that this one has closed. */
  private readonly closedHolders = new Map<string, TokenCounts>();
  private readonly ceilings = new CeilingHistory();
  /** The newest changes of the entries in the page, by the process. */
  private entryChanges = new Map<string, EntryChange>();
  /** Writes that may still take effect. */
  private pendingWrites: PageWrite[] = [];

  constructor(
    private readonly holder: string,
    private readonly clock: MachineClock,
    private readonly witnesses: Witnesses,
  ) {}

  /** Returns the newest known page. */
  page(): PrepaidPage {
    return this.knownPage;
  }

  /** Returns the position of the known page. */
  position(): StorePosition {
    return this.knownPosition;
  }

  /**
   * Records a page that was read or written. Older pages are ignored. If the
   * page is from a copy, the store may have lost the newest entry that it had
   * confirmed; that one stays the known one.
   */
  recordPage(position: StorePosition, page: PrepaidPage): void {
    if (isNewer(this.knownPosition, position)) {
      return;
    }
    this.knownAt = this.clock.machineTime();
    if (!isNewer(position, this.knownPosition)) {
      return;
    }
    const wasKnown = this.knownPosition !== UNKNOWN_POSITION;
    const knownEntry = this.entryOf(this.knownPage);
    const storedEntry = this.entryOf(page);
    this.isEntryLost =
      knownEntry !== undefined && storedEntry?.era !== position.era;
    const now = this.clock.machineTime().monotonic;
    this.ceilings.recordConfirmed(storedEntry?.ceilings ?? {}, now);
    const holders = {...page.holders};
    if (this.isEntryLost && knownEntry !== undefined) {
      holders[this.holder] = knownEntry;
    }
    const isYoung = page.isYoung && (!wasKnown || this.knownPage.isYoung);
    this.knownPosition = position;
    this.knownPage = {...page, holders, isYoung};
    this.recordClosed(page);
    this.recordEntryChanges(now);
    // Writes that expect an older revision can no longer take effect.
    this.pendingWrites = this.pendingWrites.filter(
      write => write.expectedRevision >= position.revision,
    );
  }

  /**
   * Returns the tokens of an account that other processes held unused at their
   * last writes, apart for those that have been silent since for longer than
   * `MAX_ENTRY_SILENCE`.
   */
  unusedByOthers(account: string): {inTouch: number; silent: number} {
    const now = this.clock.machineTime().monotonic;
    const sums = {inTouch: 0, silent: 0};
    for (const [id, entry] of Object.entries(this.knownPage.holders)) {
      if (id === this.holder) {
        continue;
      }
      const seenAt = this.entryChanges.get(id)?.seenAt ?? -Infinity;
      if (now - seenAt > MAX_ENTRY_SILENCE) {
        sums.silent += unusedTokens(entry, account);
      } else {
        sums.inTouch += unusedTokens(entry, account);
      }
    }
    return sums;
  }

  /**
   * Whether the entry states unused tokens and was written `interval` ago, so that
   * others must be told again.
   */
  mustState(interval: Millis): boolean {
    const entry = this.entryOf(this.knownPage);
    const seenAt = this.entryChanges.get(this.holder)?.seenAt ?? -Infinity;
    const now = this.clock.machineTime().monotonic;
    return (
      entry !== undefined &&
      now - seenAt >= interval &&
      Object.keys(entry.taken).some(
        account => unusedTokens(entry, account) >= 1,
      )
    );
  }

  /** Whether the known page is too old to base a write on it. */
  isStale(): boolean {
    const age =
      this.knownAt && elapsedTime(this.knownAt, this.clock.machineTime());
    return age === undefined || age > MAX_BASE_AGE;
  }

  /** Whether the store has lost the newest entry that it had confirmed. */
  hasLostEntry(): boolean {
    return this.isEntryLost;
  }

  /** Whether the process has an entry. */
  hasEntry(): boolean {
    return this.entryOf(this.knownPage) !== undefined;
  }

  /**
   * Returns the most tokens that the process may have taken in all, according to
   * the ceilings in the store; undefined if these are too new.
   */
  takeCeiling(account: string): number | undefined {
    const now = this.clock.machineTime().monotonic;
    return this.knownPage.isYoung
      ? this.ceilings.latest(account)
      : this.ceilings.durable(account, now);
  }

  /** Whether the store has a ceiling of the process for an account. */
  hasCeiling(account: string): boolean {
    return this.ceilings.latest(account) !== undefined;
  }

  /** Returns what ended processes can have used that this one has closed. */
  closedBefore(): ReadonlyMap<string, TokenCounts> {
    return this.closedHolders;
  }

  /** Records a write that is sent to the store. */
  recordWrite(write: PageWrite): void {
    this.pendingWrites.push(write);
    this.recordSentCeilings(write);
  }

  /** Forgets a write that is known to have had no effect. */
  discardWrite(write: PageWrite): void {
    this.pendingWrites = this.pendingWrites.filter(other => other !== write);
    const ceilings = this.entryOf(write.page)?.ceilings;
    if (ceilings !== undefined) {
      this.ceilings.discardSent(ceilings);
    }
  }

  /**
   * Returns the write to repeat if too many have unknown outcomes. It is a copy:
   * to discard it does not discard the first one, which may still take effect.
   */
  writeToRepeat(): PageWrite | undefined {
    const {era} = this.knownPosition;
    const pending = this.pendingWrites.filter(write => write.era === era);
    const last = pending.at(-1);
    const isFull = pending.length >= MAX_PENDING_WRITES;
    if (last === undefined || !isFull) {
      return undefined;
    }
    this.recordSentCeilings(last);
    return {...last};
  }

  /** Returns the tokens of an account that the process may use now, in all. */
  usableTokens(account: string): number {
    const age = this.age();
    return this.minimum(entry => {
      const taken = tokensOf(entry.taken, account) ?? 0;
      return usableTokens(taken, tokensOf(entry.limits, account) ?? taken, age);
    });
  }

  /** Returns the tokens of an account that the process has taken for certain. */
  takenTokens(account: string): number {
    return this.minimum(entry => tokensOf(entry.taken, account) ?? 0);
  }

  /**
   * Returns the time from which the age of the next written entry counts. While
   * the outcome of earlier writes is unknown, it is theirs: the process may have
   * used tokens according to their age.
   */
  nextConfirmedAt(): MachineTime {
    return this.pendingEntry()?.confirmedAt ?? this.clock.machineTime();
  }

  /** Returns the witnesses of the next written entry; see `Witnesses`. */
  nextWitnesses(): readonly string[] {
    const now = this.clock.machineTime().monotonic;
    return this.pendingEntry()?.witnesses ?? this.witnesses.choose(now);
  }

  /**
   * Whether the entry must be written again in time, since it has tokens that
   * may be used only while it gets no newer one.
   */
  mustConfirm(): boolean {
    const entry = this.entryOf(this.knownPage);
    return Object.entries(entry?.taken ?? {}).some(
      ([account, taken]) =>
        taken > (entry ? (tokensOf(entry.limits, account) ?? taken) : taken),
    );
  }

  private recordSentCeilings(write: PageWrite): void {
    const now = this.clock.machineTime().monotonic;
    this.ceilings.recordSent(this.entryOf(write.page)?.ceilings ?? {}, now);
  }

  /** Notes which entries of the known page are new. */
  private recordEntryChanges(now: Millis): void {
    const changes = new Map<string, EntryChange>();
    for (const [id, {confirmedAt}] of Object.entries(this.knownPage.holders)) {
      const writtenAt = confirmedAt?.monotonic;
      const known = this.entryChanges.get(id);
      const isKnown = known !== undefined && known.writtenAt === writtenAt;
      changes.set(id, isKnown ? known : {writtenAt, seenAt: now});
    }
    this.entryChanges = changes;
  }

  /** Remembers the entries that writes of this process have closed. */
  private recordClosed(page: PrepaidPage): void {
    const closed = this.pendingWrites.flatMap(write => write.closed);
    for (const {holder, maxUsed} of closed) {
      if (page.holders[holder] === undefined) {
        const known = this.closedHolders.get(holder) ?? {};
        this.closedHolders.set(holder, maxTokens(known, maxUsed));
      }
    }
  }

  /**
   * Age of the newest entry that the store may have, as far as the witnesses of
   * all these entries have heard.
   */
  private age(): Millis {
    const entries = this.entries();
    const confirmedAt = Math.max(
      ...entries.map(entry => entry.confirmedAt?.monotonic ?? -Infinity),
    );
    const witnessedTime = Math.min(
      ...entries.map(entry => this.witnesses.witnessedTime(entry.witnesses)),
    );
    const now = this.clock.machineTime().monotonic;
    return witnessedTime === -Infinity
      ? 0
      : Math.min(now, witnessedTime) - confirmedAt;
  }

  /** The entry of the last write with an unknown outcome. */
  private pendingEntry(): PageHolder | undefined {
    const pending = this.pendingWrites.at(-1);
    return pending && this.entryOf(pending.page);
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

/** Returns the higher number of tokens for each account. */
function maxTokens(
  first: Readonly<TokenCounts>,
  second: Readonly<TokenCounts>,
): TokenCounts {
  const result = {...first};
  for (const [account, tokens] of Object.entries(second)) {
    const known = tokensOf(result, account) ?? 0;
    setTokens(result, account, Math.max(known, tokens));
  }
  return result;
}
