/**
 * The earlier processes of one instance that still have entries in a page, and
 * what the running process knows about their ends.
 */
import {ageAtEnd, closePageHolder, predecessorsOf} from './prepaid_page.js';
import {RELEASE_START} from './share_release.js';
import type {MachineClock, MachineTime, Millis} from '../base/clock.js';
import type {PageEntries} from './page_entries.js';
import type {ClosedHolder, EndEvidence, PageHolder} from './prepaid_page.js';
import type {Witnesses} from './witnesses.js';

/** The running process. */
export interface PredecessorSettings {
  holder: string;
  instance: string;
  clock: MachineClock;
  witnesses: Witnesses;
}

/**
 * Time after which an entry is closed although its witnesses have not told what
 * they have heard. Waiting costs nothing but a larger page, since the tokens
 * count as taken all the while.
 */
const STATEMENT_WAIT: Millis = 10_000;

/** The earlier processes of one instance in one page. */
export class Predecessors {
  /** A time when they had all ended; undefined if unknown. */
  private endedAt: MachineTime | undefined;

  constructor(
    private readonly settings: PredecessorSettings,
    private readonly entries: PageEntries,
  ) {}

  /** Records that they have all ended. */
  recordEnded(): void {
    this.endedAt ??= this.settings.clock.machineTime();
  }

  /**
   * Returns the entries to close with the next write of the page. Entries whose
   * witnesses may still tell more are left for later.
   */
  closable(): ClosedHolder[] {
    const {holder, instance} = this.settings;
    const entries = [
      ...predecessorsOf(this.entries.page(), holder, instance),
    ].map(([id, entry]) => ({id, entry, evidence: this.evidence(id, entry)}));
    return entries
      .filter(({entry, evidence}) => this.isClosable(entry, evidence))
      .map(({id, entry, evidence}) => closePageHolder(id, entry, evidence));
  }

  private evidence(id: string, entry: PageHolder): EndEvidence {
    const {witnesses} = this.settings;
    return {
      era: this.entries.position().era,
      endedAt: this.endedAt,
      witnessedTime: witnesses.maxWitnessedTime(entry.witnesses, id),
      usedBefore: this.entries.closedBefore().get(id),
    };
  }

  private isClosable(entry: PageHolder, evidence: EndEvidence): boolean {
    const age = ageAtEnd(entry, evidence);
    return (
      evidence.usedBefore !== undefined ||
      evidence.witnessedTime !== undefined ||
      entry.witnesses.length === 0 ||
      entry.era !== evidence.era ||
      (age !== undefined && age <= RELEASE_START) ||
      this.timeSinceEnd() >= STATEMENT_WAIT
    );
  }

  private timeSinceEnd(): Millis {
    const now = this.settings.clock.machineTime().monotonic;
    return now - (this.endedAt?.monotonic ?? now);
  }
}
