/**
 * Finds what upstreams crash under. Each request has traits, by which it can be
 * told from others: its fingerprint and the shared parts of its prompt. A crash
 * is evidence against the traits of the requests that were lost in it before
 * anything of their answers came back, and an answer clears its traits. Traits
 * that are convicted are refused by all instances.
 */
import {MINUTE} from '../base/clock.js';
import {crashesUnder, findCauses, keyOf} from './crash_causes.js';
import type {Millis} from '../base/clock.js';
import type {Crash} from './crash_causes.js';

/** Crashes, not cleared by an answer since, after which a trait is convicted. */
const CRASHES_TO_CONVICT = 3;

/**
 * The same for a trait that was once answered. Many requests have such traits,
 * so they are often lost beside the cause of a crash.
 */
const CRASHES_TO_CONVICT_ANSWERED = 4;

/** Maximum number of traits that are remembered as answered. */
const MAX_ANSWERED = 10_000;

/** Time for which a crash is evidence. */
const EVIDENCE_LIFETIME: Millis = 10 * MINUTE;

/** Maximum number of remembered crashes; the oldest are dropped first. */
const MAX_CRASHES = 200;

/** Maximum number of requests that are remembered of one crash. */
const MAX_REQUESTS_PER_CRASH = 200;

/** Maximum number of verdicts; the oldest are dropped first. */
const MAX_VERDICTS = 100;

/**
 * Time after which one request may try whether upstreams still crash, by the
 * number of trials before; after the last one there are no more trials.
 */
const TRIAL_DELAYS: readonly Millis[] = [2 * MINUTE, 20 * MINUTE];

/** A verdict as all instances share it. */
export interface Verdict {
  /**
   * Traits that a request must all have to be refused: those that occurred only
   * together so far. Sorted.
   */
  traits: string[];
  /** Requests that were sent although they were convicted. */
  trials: number;
}

/** A verdict as one instance knows it. */
interface KnownVerdict extends Verdict {
  /** When this instance learned of the verdict or of its last trial. */
  since: Millis;
  /** Whether it follows from the evidence that this instance has. */
  isDerived: boolean;
}

/** What one instance knows of crashes and of their causes. */
export class CrashVerdicts {
  /** By upstream process, the oldest first. */
  private readonly crashes = new Map<string, Crash>();
  /** By the traits, joined. */
  private readonly verdicts = new Map<string, KnownVerdict>();
  /** Verdicts that all instances shared when they were last adopted. */
  private sharedKeys = new Set<string>();
  /** Shared verdicts that this instance has withdrawn. */
  private readonly withdrawnKeys = new Set<string>();
  /** Traits against which there is a crash or a verdict. */
  private suspects = new Set<string>();
  /** Traits that were answered, the last ones. */
  private readonly answered = new Map<string, undefined>();

  /**
   * Records that an upstream process crashed while it ran a request of which
   * nothing had come back. Returns whether this led to a verdict.
   * @param traits the request's fingerprint, which identifies it, and others.
   */
  recordCrash(
    upstream: string,
    traits: readonly string[],
    now: Millis,
  ): boolean {
    this.dropOldEvidence(now);
    const crash = this.crashes.get(upstream) ?? {at: now, requests: new Map()};
    this.crashes.set(upstream, crash);
    const [request = ''] = traits;
    if (crash.requests.size < MAX_REQUESTS_PER_CRASH) {
      // Equal fingerprints may come with different other traits.
      const key = `${request} ${traits.join(' ')}`;
      crash.requests.set(key, new Set(traits));
      traits.forEach(trait => this.suspects.add(trait));
    }
    return this.hasManyCrashes(traits) && this.convict(now);
  }

  /**
   * Records that an upstream has answered a request: none of its traits crashes
   * upstreams. Returns whether there was anything against one of them.
   */
  recordAnswer(traits: readonly string[], now: Millis): boolean {
    for (const trait of traits) {
      this.answered.delete(trait);
      this.answered.set(trait, undefined);
    }
    dropOldest(this.answered, MAX_ANSWERED);
    const suspects = traits.filter(trait => this.suspects.has(trait));
    if (suspects.length === 0) {
      return false;
    }
    const mayChangeVerdicts =
      this.verdicts.size > 0 || this.hasManyCrashes(suspects);
    suspects.forEach(trait => this.suspects.delete(trait));
    for (const crash of this.crashes.values()) {
      for (const [request, lost] of crash.requests) {
        const remaining = [...lost].filter(trait => !suspects.includes(trait));
        crash.requests.set(request, new Set(remaining));
      }
    }
    for (const [key, verdict] of this.verdicts) {
      const remaining = verdict.traits.filter(
        trait => !suspects.includes(trait),
      );
      if (remaining.length < verdict.traits.length) {
        this.withdraw(key);
        this.addVerdict({...verdict, traits: remaining});
      }
    }
    if (mayChangeVerdicts) {
      this.convict(now);
    }
    return true;
  }

  /** Whether there is anything against one of the traits of a request. */
  isSuspect(traits: readonly string[]): boolean {
    return traits.some(trait => this.suspects.has(trait));
  }

  /** Returns the verdict by which a request is refused; undefined if none. */
  findVerdict(traits: readonly string[]): Verdict | undefined {
    for (const verdict of this.verdicts.values()) {
      if (verdict.traits.every(trait => traits.includes(trait))) {
        return verdict;
      }
    }
    return undefined;
  }

  /** Whether one request may now try whether upstreams still crash. */
  isTrialDue({traits}: Verdict, now: Millis): boolean {
    const verdict = this.verdicts.get(keyOf(traits));
    const delay = TRIAL_DELAYS[verdict?.trials ?? TRIAL_DELAYS.length];
    return (
      verdict !== undefined &&
      delay !== undefined &&
      now - verdict.since >= delay
    );
  }

  /** Counts a trial, before its request is sent. */
  recordTrial({traits}: Verdict, now: Millis): void {
    const verdict = this.verdicts.get(keyOf(traits));
    if (verdict !== undefined) {
      verdict.trials += 1;
      verdict.since = now;
    }
  }

  /** Returns all verdicts, for the instances to share. */
  list(): Verdict[] {
    return [...this.verdicts.values()].map(({traits, trials}) => ({
      traits,
      trials,
    }));
  }

  /**
   * Forgets which verdicts were shared, because the store has lost changes: one
   * that is missing then has not been cleared.
   */
  forgetShared(): void {
    this.sharedKeys.clear();
  }

  /**
   * Adopts the verdicts that the instances share. A verdict that was shared
   * before and no longer is has been cleared by an instance.
   */
  adopt(shared: readonly Verdict[], now: Millis): void {
    const keys = new Set(shared.map(({traits}) => keyOf(traits)));
    for (const key of this.sharedKeys) {
      const verdict = keys.has(key) ? undefined : this.verdicts.get(key);
      if (verdict !== undefined) {
        this.recordAnswer(verdict.traits, now);
      }
    }
    for (const verdict of shared) {
      const key = keyOf(verdict.traits);
      const known = this.verdicts.get(key);
      if (known === undefined && !this.withdrawnKeys.has(key)) {
        this.addVerdict({...verdict, since: now, isDerived: false});
      } else if (known !== undefined && verdict.trials > known.trials) {
        known.trials = verdict.trials;
        known.since = now;
      }
    }
    this.sharedKeys = keys;
    for (const key of this.withdrawnKeys) {
      if (!keys.has(key)) {
        this.withdrawnKeys.delete(key);
      }
    }
  }

  /** Whether one of the traits has enough crashes to be convicted. */
  private hasManyCrashes(traits: readonly string[]): boolean {
    return traits.some(
      trait => crashesUnder([trait], this.crashes).length >= CRASHES_TO_CONVICT,
    );
  }

  /**
   * Convicts traits from all the evidence, and withdraws verdicts that no longer
   * follow from it, as reports come in any order. Returns whether there is a new
   * verdict.
   */
  private convict(now: Millis): boolean {
    const unexplained = new Map(this.crashes);
    const isUnanswered = (trait: string) => !this.answered.has(trait);
    const groups = [
      ...findCauses(unexplained, CRASHES_TO_CONVICT, isUnanswered),
      ...findCauses(unexplained, CRASHES_TO_CONVICT_ANSWERED, () => true),
    ];
    const derivedKeys = new Set(groups.map(keyOf));
    for (const [key, {isDerived}] of this.verdicts) {
      if (isDerived && !derivedKeys.has(key)) {
        this.withdraw(key);
      }
    }
    let isNew = false;
    for (const traits of groups) {
      const verdict = {traits, trials: 0, since: now, isDerived: true};
      isNew = this.addVerdict(verdict) || isNew;
    }
    return isNew;
  }

  /**
   * Adds a verdict unless a known one covers it; replaces those that it covers.
   * Returns whether it was added.
   */
  private addVerdict(verdict: KnownVerdict): boolean {
    const {traits} = verdict;
    const known = [...this.verdicts];
    const isCovered = known.some(([, other]) =>
      other.traits.every(trait => traits.includes(trait)),
    );
    if (isCovered || traits.length === 0) {
      return false;
    }
    for (const [key, other] of known) {
      if (traits.every(trait => other.traits.includes(trait))) {
        this.withdraw(key);
      }
    }
    this.verdicts.set(keyOf(traits), {...verdict});
    this.withdrawnKeys.delete(keyOf(traits));
    traits.forEach(trait => this.suspects.add(trait));
    dropOldest(this.verdicts, MAX_VERDICTS);
    return true;
  }

  private withdraw(key: string): void {
    this.verdicts.delete(key);
    if (this.sharedKeys.has(key)) {
      this.withdrawnKeys.add(key);
    }
  }

  /** Drops old evidence; the verdicts that followed from it stay. */
  private dropOldEvidence(now: Millis): void {
    const sizeBefore = this.crashes.size;
    for (const [upstream, {at}] of this.crashes) {
      if (now - at > EVIDENCE_LIFETIME) {
        this.crashes.delete(upstream);
      }
    }
    dropOldest(this.crashes, MAX_CRASHES - 1);
    if (this.crashes.size < sizeBefore) {
      this.verdicts.forEach(verdict => (verdict.isDerived = false));
      const lost = [...this.crashes.values()].flatMap(({requests}) => [
        ...requests.values(),
      ]);
      const convicted = [...this.verdicts.values()].map(({traits}) => traits);
      this.suspects = new Set(
        [...lost, ...convicted].flatMap(traits => [...traits]),
      );
    }
  }
}

/** Drops the entries that were added first until at most `maxSize` are left. */
function dropOldest(entries: Map<string, unknown>, maxSize: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= maxSize) {
      return;
    }
    entries.delete(key);
  }
}
