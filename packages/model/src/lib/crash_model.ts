/**
 * Model of a fleet whose upstreams crash under parts of prompts. Each instance
 * has its own `CrashVerdicts`; messages between them are late or lost, and a
 * store keeps the verdicts. Counts what the crashes cost.
 */
import {CrashVerdicts, ManualClock, SECOND} from '@citrontrestle/decisions';
import {seededRandom} from '@citrontrestle/runtime';
import type {Millis, Verdict} from '@citrontrestle/decisions';

/** What happens on one day of the model. */
export interface CrashScenario {
  /** Parts that crash each upstream, with the times between which they do. */
  badParts: {part: string; from: Millis; until: Millis; share: number}[];
  /** Share of the reports between instances that is lost. */
  lostReports?: number;
  /** Mean number of crashes in a minute that no request has caused. */
  unrelatedCrashes?: number;
  /** When the upstreams are all ended, one after the other, without warning. */
  releaseAt?: Millis;
  /** When an instance starts again that has just convicted; the others follow. */
  restartAt?: Millis;
  /** Times between which the store gives no answer. */
  storeSilentBetween?: [Millis, Millis];
  /** When the store forgets what it was told in the 5 s before. */
  storeGoesBackAt?: Millis;
  duration: Millis;
}

/** What a day of the model has shown. */
export interface CrashCount {
  /**
   * By part: requests that reached upstreams later than the contact time after
   * the fifth crash.
   */
  lateArrivals: Map<string, number>;
  soundRequests: number;
  refusedSoundRequests: number;
  /** Requests with parts that no longer crash, refused in the last minute. */
  refusedAtEnd: number;
}

/** A request at an upstream. */
interface RunningRequest {
  traits: string[];
  instance: number;
  startedAt: Millis;
}

/** Something that happens later. */
interface Event {
  at: Millis;
  run: () => void;
}

const INSTANCES = 4;
const UPSTREAMS = 16;

/** Time between two requests of the fleet. */
const REQUEST_INTERVAL: Millis = 20;

/** Time from the arrival at an upstream to the beginning of the answer. */
const BEGIN_TIME: Millis = 150;

/** Time within which a crash is found; the actual one is random. */
const MAX_DETECTION_TIME: Millis = 300;

/** Time within which a report reaches another instance. */
const MAX_REPORT_TIME: Millis = 400;

/** Interval at which instances read and write the verdicts of the store. */
const SHARING_INTERVAL: Millis = 600;

/** Time until a crashed upstream is replaced. */
const REPLACEMENT_TIME: Millis = 3 * SECOND;

/** Time after the fifth crash from which arrivals are counted. */
const CONTACT_TIME: Millis = 3 * SECOND;

const FREE_CRASHES = 5;

/** Numbers of different sound parts: few that are common, many that are rare. */
const FIRST_PARTS = 4;
const SECOND_PARTS = 400;

/** One day of the model. */
export class CrashModel {
  private readonly clock = new ManualClock();
  private readonly random: () => number;
  private readonly instances = Array.from(
    {length: INSTANCES},
    () => new CrashVerdicts(),
  );
  private readonly upstreams: {
    process: string;
    upAgainAt: Millis;
    running: RunningRequest[];
  }[] = [];
  private readonly events: Event[] = [];
  private readonly crashTimes = new Map<string, Millis[]>();
  private stored: Verdict[] = [];
  private storedBefore: {at: Millis; verdicts: Verdict[]}[] = [];
  private processCount = 0;
  private requestCount = 0;
  private readonly count: CrashCount = {
    lateArrivals: new Map(),
    soundRequests: 0,
    refusedSoundRequests: 0,
    refusedAtEnd: 0,
  };

  constructor(
    private readonly scenario: CrashScenario,
    seed: number,
  ) {
    this.random = seededRandom(seed);
    for (let index = 0; index < UPSTREAMS; index++) {
      const process = this.nextProcess();
      this.upstreams.push({process, upAgainAt: 0, running: []});
    }
  }

  /** Plays the day. */
  run(): CrashCount {
    const {duration, releaseAt, restartAt, storeGoesBackAt} = this.scenario;
    this.scheduleIfSet(releaseAt, () => this.release());
    this.scheduleIfSet(restartAt, () => this.restartAll());
    this.scheduleIfSet(storeGoesBackAt, () => this.restoreOldCopy());
    let nextSharing = 0;
    while (this.clock.now() < duration) {
      this.clock.advance(REQUEST_INTERVAL);
      this.runDueEvents();
      this.crashByChance();
      this.send();
      if (this.clock.now() >= nextSharing) {
        nextSharing = this.clock.now() + SHARING_INTERVAL;
        this.instances.forEach((_, index) => this.share(index));
      }
    }
    return this.count;
  }

  private schedule(delay: Millis, run: () => void): void {
    this.events.push({at: this.clock.now() + delay, run});
  }

  private scheduleIfSet(at: Millis | undefined, run: () => void): void {
    if (at !== undefined) {
      this.events.push({at, run});
    }
  }

  private runDueEvents(): void {
    const now = this.clock.now();
    const due = this.events.filter(({at}) => at <= now);
    const later = this.events.filter(({at}) => at > now);
    this.events.splice(0, this.events.length, ...later);
    due.sort((a, b) => a.at - b.at).forEach(({run}) => run());
  }

  /** Sends one request through a random instance. */
  private send(): void {
    const now = this.clock.now();
    this.requestCount += 1;
    const bad = this.scenario.badParts.find(({share}) => this.random() < share);
    const first = `part:f${this.pick(FIRST_PARTS)}`;
    const second = bad?.part ?? `part:s${this.pick(SECOND_PARTS)}`;
    const traits = [`r${this.requestCount}`, first, second];
    const isCrashing = bad !== undefined && now >= bad.from && now < bad.until;
    const instance = this.pick(INSTANCES);
    const isRefused = this.isRefused(instance, traits);
    if (!isCrashing) {
      this.countSound(isRefused);
    }
    if (isRefused) {
      return;
    }
    const usable = this.upstreams.filter(({upAgainAt}) => upAgainAt <= now);
    const upstream = usable[this.pick(usable.length)];
    if (upstream === undefined) {
      return;
    }
    const request = {traits, instance, startedAt: now};
    upstream.running.push(request);
    if (isCrashing) {
      this.countArrival(bad.part);
    }
    const {process} = upstream;
    this.schedule(BEGIN_TIME, () => {
      if (upstream.process !== process) {
        return;
      }
      if (isCrashing) {
        this.crashTimesOf(bad.part).push(this.clock.now());
        this.crash(upstream);
        return;
      }
      upstream.running = upstream.running.filter(other => other !== request);
      this.recordAnswer(instance, traits);
    });
  }

  /** Whether an instance refuses a request; one that is due is a trial. */
  private isRefused(instance: number, traits: string[]): boolean {
    const verdicts = this.instances[instance];
    const verdict = verdicts?.findVerdict(traits);
    if (verdicts === undefined || verdict === undefined) {
      return false;
    }
    const now = this.clock.now();
    if (this.isStoreSilent() || !verdicts.isTrialDue(verdict, now)) {
      return true;
    }
    verdicts.recordTrial(verdict, now);
    this.save(instance);
    return false;
  }

  private countSound(isRefused: boolean): void {
    this.count.soundRequests += 1;
    this.count.refusedSoundRequests += isRefused ? 1 : 0;
    const isAtEnd = this.clock.now() > this.scenario.duration - 60 * SECOND;
    this.count.refusedAtEnd += isRefused && isAtEnd ? 1 : 0;
  }

  private countArrival(part: string): void {
    const fifthAt = this.crashTimesOf(part)[FREE_CRASHES - 1] ?? Infinity;
    if (this.clock.now() > fifthAt + CONTACT_TIME) {
      const {lateArrivals} = this.count;
      lateArrivals.set(part, (lateArrivals.get(part) ?? 0) + 1);
    }
  }

  private crashByChance(): void {
    const perMinute = this.scenario.unrelatedCrashes ?? 0;
    if (this.random() < (perMinute * REQUEST_INTERVAL) / (60 * SECOND)) {
      const upstream = this.upstreams[this.pick(UPSTREAMS)];
      if (upstream !== undefined && upstream.upAgainAt <= this.clock.now()) {
        this.crash(upstream);
      }
    }
  }

  private crash(upstream: (typeof this.upstreams)[number]): void {
    const {process, running} = upstream;
    upstream.process = this.nextProcess();
    upstream.running = [];
    upstream.upAgainAt = this.clock.now() + REPLACEMENT_TIME;
    for (const {instance, traits} of running) {
      this.schedule(this.random() * MAX_DETECTION_TIME, () => {
        const isNew = this.instances[instance]?.recordCrash(
          process,
          traits,
          this.clock.now(),
        );
        this.report(instance, verdicts =>
          verdicts.recordCrash(process, traits, this.clock.now()),
        );
        if (isNew === true) {
          this.share(instance);
          this.save(instance);
        }
      });
    }
  }

  private recordAnswer(instance: number, traits: string[]): void {
    const now = this.clock.now();
    if (this.instances[instance]?.recordAnswer(traits, now) === true) {
      this.report(instance, verdicts =>
        verdicts.recordAnswer(traits, this.clock.now()),
      );
    }
  }

  /** Delivers a report of one instance to the others, late or not at all. */
  private report(
    sender: number,
    deliver: (verdicts: CrashVerdicts) => void,
  ): void {
    for (let index = 0; index < INSTANCES; index++) {
      const isLost = this.random() < (this.scenario.lostReports ?? 0);
      if (index !== sender && !isLost) {
        this.schedule(this.random() * MAX_REPORT_TIME, () => {
          const verdicts = this.instances[index];
          if (verdicts !== undefined) {
            deliver(verdicts);
          }
        });
      }
    }
  }

  /** Lets an instance adopt the stored verdicts and store its own. */
  private share(index: number): void {
    if (!this.isStoreSilent()) {
      this.instances[index]?.adopt(this.stored, this.clock.now());
      this.save(index);
    }
  }

  private save(index: number): void {
    const verdicts = this.instances[index];
    if (verdicts === undefined || this.isStoreSilent()) {
      return;
    }
    this.stored = verdicts.list();
    this.storedBefore.push({at: this.clock.now(), verdicts: this.stored});
    verdicts.adopt(this.stored, this.clock.now());
  }

  private isStoreSilent(): boolean {
    const [from, until] = this.scenario.storeSilentBetween ?? [0, 0];
    return this.clock.now() >= from && this.clock.now() < until;
  }

  private restoreOldCopy(): void {
    const copyTime = this.clock.now() - 5 * SECOND;
    const copy = this.storedBefore.filter(({at}) => at <= copyTime).at(-1);
    this.stored = copy?.verdicts ?? [];
    this.instances.forEach(verdicts => verdicts.forgetShared());
  }

  private restartAll(): void {
    this.instances.forEach((_, index) => {
      this.instances[index] = new CrashVerdicts();
    });
  }

  private release(): void {
    this.upstreams.forEach((upstream, index) =>
      this.schedule(index * SECOND, () => this.crash(upstream)),
    );
  }

  private crashTimesOf(part: string): Millis[] {
    const times = this.crashTimes.get(part) ?? [];
    this.crashTimes.set(part, times);
    return times;
  }

  private nextProcess(): string {
    this.processCount += 1;
    return `u${this.processCount}`;
  }

  private pick(count: number): number {
    return Math.floor(this.random() * count);
  }
}
