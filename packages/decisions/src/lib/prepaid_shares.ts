/**
 * The shares of prepaid budgets that one instance holds, and what it writes to
 * the store to keep them at their size. Load patterns: one account sends many
 * times its usual; the store is away for many seconds; a budget ends.
 */
import {changePage, emptyPage, takenBy, takenOf} from './prepaid_page.js';
import type {Millis} from './clock.js';
import type {PageChange, PrepaidPage} from './prepaid_page.js';

/** A write of a page that is to be made under a condition. */
export interface PageWrite {
  /** The page is written only if its revision is still this one. */
  expectedRevision: number;
  page: PrepaidPage;
  /** How the page differs from the one before. */
  change: PageChange;
}

/** Settings of the shares. */
export interface ShareSettings {
  /** Identity of this incarnation. */
  holder: string;
  /** Name of the machine, the same for each incarnation on it. */
  instance: string;
  /** Time that a share lasts at the present rate of spending. */
  horizon: Millis;
  /**
   * Most that all instances hold together, as a part of what nobody holds. An
   * instance's own part of that follows what it took so far.
   */
  heldPart: number;
  /**
   * Time to the end of a budget from which on all hold less than `heldPart`, in
   * proportion. What an outage of the store keeps from being spent then is spent
   * after it; what ended instances held is lost.
   */
  scarceSpan: Millis;
  /**
   * Part of a full budget that all instances hold without any demand. It falls
   * with the square of what is left, as a killed instance loses its share.
   */
  idlePart: number;
}

/** What the shares need to know of the moment. */
export interface ShareView {
  now: Millis;
  /** Instances that may be running, at least 1. */
  instances: number;
  /** Tokens granted to an account. */
  granted(account: string): number;
}

/** Shares below this part of their size are filled up. */
const REFILL_PART = 0.8;

/** Shares above this multiple of their size are given back in part. */
const SURPLUS_MULTIPLE = 1.4;

/** Shares of a follower below this part of their size are filled up. */
const FOLLOWER_REFILL_PART = 0.5;

/** A follower gives back what exceeds this multiple of its share's size. */
const FOLLOWER_SURPLUS_MULTIPLE = 2;

/** Weight of one second's spending in the running average. */
const RATE_WEIGHT = 0.25;

/** Weight of one second's spending in the average over a longer time. */
const LONG_RATE_WEIGHT = 0.05;

/** Interval in which spending rates are sampled. */
const RATE_INTERVAL: Millis = 1_000;

interface Share {
  /** Tokens spent by requests that have ended. */
  spent: number;
  /** Tokens held for running requests at their most. */
  reserved: number;
  /** Tokens given to peers, less those received. */
  given: number;
  /** Tokens that requests wait for now. */
  wanted: number;
  /** Largest reservation lately. */
  largest: number;
  /** Average spending in tokens a millisecond. */
  rate: number;
  /** Average spending over a longer time, in tokens a millisecond. */
  longRate: number;
  /** Samples taken of the rate. */
  samples: number;
  /** Tokens reserved since the last sample. */
  sinceSample: number;
}

/** The shares of the accounts of one page. */
export class PrepaidShares {
  private readonly shares = new Map<string, Share>();
  private page: PrepaidPage = emptyPage();
  private revision = -1;
  private pending: PageWrite[] = [];
  private sampledAt: Millis = 0;

  constructor(private readonly settings: ShareSettings) {}

  /** Revision of the page that is known; -1 before the first read. */
  knownRevision(): number {
    return this.revision;
  }

  /** Takes a page as read or written. Older pages are ignored. */
  observe(revision: number, page: PrepaidPage): void {
    if (revision <= this.revision) {
      return;
    }
    this.revision = revision;
    this.page = page;
    // The revision moved on: conditions on older ones can't hold any more.
    this.pending = this.pending.filter(one => one.expectedRevision >= revision);
  }

  /** Tokens of an account that may be reserved. */
  available(account: string): number {
    const {spent, reserved, given} = this.of(account);
    const taken = takenBy(this.page, this.settings.holder, account);
    return taken - this.returning(account) - spent - reserved - given;
  }

  /** Reserves tokens of the local share; false if it holds too few. */
  reserve(account: string, tokens: number): boolean {
    const share = this.of(account);
    share.largest = Math.max(share.largest, tokens);
    if (this.available(account) < tokens) {
      return false;
    }
    share.reserved += tokens;
    share.sinceSample += tokens;
    return true;
  }

  /** Ends a reservation; `used` is what was consumed of it. */
  settle(account: string, reserved: number, used: number): void {
    const share = this.of(account);
    share.reserved -= reserved;
    share.spent += Math.min(reserved, Math.max(0, used));
  }

  /** Turns a reservation into a gift to the instance that it was made for. */
  transfer(account: string, tokens: number): void {
    const share = this.of(account);
    share.reserved -= tokens;
    share.given += tokens;
  }

  /** Notes that a request waits for tokens, or no longer does. */
  want(account: string, tokens: number): void {
    this.of(account).wanted += tokens;
  }

  /** Gives up to `tokens` to a peer; returns how many. */
  give(account: string, tokens: number): number {
    const share = this.of(account);
    const spare = Math.floor(this.available(account) - share.wanted);
    const given = Math.max(0, Math.min(tokens, spare));
    share.given += given;
    return given;
  }

  /** Takes tokens that a peer gave. */
  receive(account: string, tokens: number): void {
    this.of(account).given -= tokens;
  }

  /**
   * Tokens that an instance without an own draw on the store lacks (positive)
   * or has to spare (negative), to last for a time at the present rate.
   */
  imbalance(account: string, horizon: Millis): number {
    const share = this.of(account);
    const size = share.rate * horizon;
    const available = this.available(account);
    if (available < size * FOLLOWER_REFILL_PART) {
      return Math.ceil(size - available);
    }
    const most = size * FOLLOWER_SURPLUS_MULTIPLE + share.largest;
    return available > most ? -Math.floor(available - most) : 0;
  }

  /** Accounts of which this instance has or had tokens, or spent some. */
  accounts(): string[] {
    return [...this.shares.keys()];
  }

  /** Tokens of an account that nobody has taken, as of the known page. */
  untaken(account: string, view: ShareView): number {
    return view.granted(account) - takenOf(this.page, account);
  }

  /** Samples the spending rates. */
  sample(now: Millis): void {
    const elapsed = now - this.sampledAt;
    if (elapsed < RATE_INTERVAL) {
      return;
    }
    this.sampledAt = now;
    for (const share of this.shares.values()) {
      const rate = share.sinceSample / elapsed;
      if (share.samples > 0 || rate > 0) {
        share.samples += 1;
      }
      // The first samples count alike, so that the average starts at once.
      const weight = Math.max(RATE_WEIGHT, 1 / Math.max(1, share.samples));
      share.rate += weight * (rate - share.rate);
      const longWeight = Math.max(
        LONG_RATE_WEIGHT,
        1 / Math.max(1, share.samples),
      );
      share.longRate += longWeight * (rate - share.longRate);
      share.sinceSample = 0;
    }
  }

  /** Whether requests wait for tokens that the store may have. */
  urgent(view: ShareView): boolean {
    for (const [account, share] of this.shares) {
      const missing = share.wanted - Math.max(0, this.available(account));
      const untaken = this.untaken(account, view);
      if (share.wanted > 0 && missing > 0 && untaken > 0) {
        return true;
      }
    }
    return false;
  }

  /** The write that brings all shares to their size, if one is due. */
  plan(accounts: Iterable<string>, view: ShareView): PageWrite | undefined {
    if (this.revision < 0) {
      return undefined;
    }
    const change = new Map<string, number>();
    for (const account of accounts) {
      const tokens = this.changeOf(account, view);
      if (tokens !== 0) {
        change.set(account, tokens);
      }
    }
    return change.size === 0 ? undefined : this.write(change);
  }

  /** The write that gives back all that is not in use. */
  planReturn(): PageWrite | undefined {
    const change = new Map<string, number>();
    for (const account of this.shares.keys()) {
      const spare = Math.floor(this.available(account));
      if (spare > 0) {
        change.set(account, -spare);
      }
    }
    return change.size === 0 ? undefined : this.write(change);
  }

  /** Notes that a write certainly took no effect. */
  rejected(write: PageWrite): void {
    this.pending = this.pending.filter(one => one !== write);
  }

  private write(change: PageChange): PageWrite {
    const {holder, instance} = this.settings;
    const write: PageWrite = {
      expectedRevision: this.revision,
      page: changePage(this.page, holder, instance, change),
      change,
    };
    this.pending.push(write);
    return write;
  }

  private changeOf(account: string, view: ShareView): number {
    const share = this.of(account);
    const available = this.available(account);
    const untaken = Math.max(0, this.untaken(account, view));
    const granted = view.granted(account);
    const part = this.partOf(account, view);
    const left = untaken + Math.max(0, available);
    const size = this.sizeOf(share, left, granted, part, view);
    const least = share.wanted - available;
    if (available < size * REFILL_PART || least > 0) {
      const tokens = Math.max(size - available, least);
      return Math.min(Math.ceil(tokens), untaken);
    }
    if (available > size * SURPLUS_MULTIPLE + share.largest) {
      return -Math.floor(available - size - share.largest);
    }
    return 0;
  }

  /** Tokens that the instance should hold. */
  private sizeOf(
    share: Share,
    left: number,
    granted: number,
    part: number,
    view: ShareView,
  ): number {
    const {horizon, heldPart, idlePart, scarceSpan} = this.settings;
    const plenty = granted > 0 ? Math.min(1, left / granted) : 0;
    const idle = (left * plenty * idlePart) / Math.max(1, view.instances);
    const needed = share.rate * horizon;
    const {longRate} = share;
    const lasts = longRate > 0 ? (left * part) / longRate : Infinity;
    const held = Math.min(heldPart, lasts / scarceSpan);
    const most = left * Math.min(1, held * part);
    return Math.floor(Math.min(Math.max(needed, idle), most));
  }

  /** The instance's part of what was taken; at least an equal one. */
  private partOf(account: string, view: ShareView): number {
    const own = takenBy(this.page, this.settings.holder, account);
    const all = takenOf(this.page, account);
    const equal = 1 / Math.max(1, view.instances);
    return all > 0 ? Math.max(equal, own / all) : equal;
  }

  private returning(account: string): number {
    let sum = 0;
    for (const {change} of this.pending) {
      sum += Math.max(0, -(change.get(account) ?? 0));
    }
    return sum;
  }

  private of(account: string): Share {
    let share = this.shares.get(account);
    if (share === undefined) {
      share = {
        spent: 0,
        reserved: 0,
        given: 0,
        wanted: 0,
        largest: 0,
        rate: 0,
        longRate: 0,
        samples: 0,
        sinceSample: 0,
      };
      this.shares.set(account, share);
    }
    return share;
  }
}
