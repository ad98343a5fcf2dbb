/**
 * A model of instances that share prepaid budgets through a store that loses
 * answers, executes writes late and serves some instances only.
 */
import fc from 'fast-check';
import {
  applyChange,
  emptyPage,
  ManualClock,
  PrepaidShares,
  totalTaken,
} from '@citrontrestle/decisions';
import type {PageWrite, PrepaidPage, ShareView} from '@citrontrestle/decisions';

/** Faults planted into the model, to see that the oracle finds them. */
export enum PrepaidPlant {
  None = 'none',
  /** A return counts as not made when its answer is lost. */
  ForgottenReturn = 'forgotten-return',
  /** What a silent instance holds is taken back, and the instance wakes. */
  HastyReclaim = 'hasty-reclaim',
  /** A take counts before its answer. */
  EarlyTake = 'early-take',
  /** Tokens that are given stay with the giver. */
  KeptGift = 'kept-gift',
  /** A relay frees what it reserved for a follower and sends it all the same. */
  FreedSupply = 'freed-supply',
}

/** What can happen. */
enum StepKind {
  Request = 'request',
  Settle = 'settle',
  Write = 'write',
  Return = 'return',
  Read = 'read',
  Gift = 'gift',
  /** A relay reserves for a follower and sends what it reserved. */
  Supply = 'supply',
  Kill = 'kill',
  TopUp = 'top-up',
  ExecuteLate = 'execute-late',
  Wait = 'wait',
}

/** What becomes of a call to the store. */
enum CallFate {
  Served = 'served',
  AnswerLost = 'answer-lost',
  Late = 'late',
  Refused = 'refused',
}

interface Step {
  kind: StepKind;
  instance: number;
  tokens: number;
  fate: CallFate;
  pick: number;
}

interface LateWrite {
  instance: number;
  life: number;
  write: PageWrite;
}

interface Running {
  instance: number;
  life: number;
  tokens: number;
}

const ACCOUNT = 'account';
const INSTANCES = 3;
const MOST_TOKENS = 40;
const FIRST_GRANT = 60;
const MOST_TOP_UP = 20;
const LEAST_STEPS = 60;
const MOST_STEPS = 150;

/** Requests and writes come more often than all else. */
const STEP_KINDS = [
  ...Object.values(StepKind),
  ...Array<StepKind>(6).fill(StepKind.Request),
  ...Array<StepKind>(5).fill(StepKind.Write),
  ...Array<StepKind>(2).fill(StepKind.Return),
  ...Array<StepKind>(2).fill(StepKind.Read),
  ...Array<StepKind>(2).fill(StepKind.Supply),
];

const STEP: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...STEP_KINDS),
  instance: fc.nat(INSTANCES - 1),
  tokens: fc.integer({min: 1, max: MOST_TOKENS}),
  fate: fc.constantFrom(...Object.values(CallFate)),
  pick: fc.nat(),
});

/** The store with one page, the instances, and what callers consumed. */
class PrepaidModel {
  private readonly clock = new ManualClock();
  private revision = 0;
  private page: PrepaidPage = emptyPage();
  private granted = FIRST_GRANT;
  /** Each instance may know an older grant. */
  private readonly knownGrants = Array<number>(INSTANCES).fill(FIRST_GRANT);
  private readonly lives = Array<number>(INSTANCES).fill(0);
  private readonly shares: PrepaidShares[] = [];
  private late: LateWrite[] = [];
  private running: Running[] = [];
  private consumed = 0;
  private readonly handlers: Record<StepKind, (step: Step) => void> = {
    [StepKind.Request]: step => this.request(step),
    [StepKind.Settle]: step => this.settle(step),
    [StepKind.Write]: step => this.write(step, false),
    [StepKind.Return]: step => this.write(step, true),
    [StepKind.Read]: step => this.read(step.instance),
    [StepKind.Gift]: step => this.gift(step),
    [StepKind.Supply]: step => this.supply(step),
    [StepKind.Kill]: step => this.kill(step.instance),
    [StepKind.TopUp]: step => this.topUp(step),
    [StepKind.ExecuteLate]: step => this.executeLate(step),
    [StepKind.Wait]: step => this.clock.advance(step.tokens * 100),
  };

  constructor(private readonly plant: PrepaidPlant) {
    for (let instance = 0; instance < INSTANCES; instance++) {
      this.shares.push(this.born(instance));
      this.read(instance);
    }
  }

  /** Makes one step; returns what is wrong then, if anything. */
  step(step: Step): string | undefined {
    this.handlers[step.kind](step);
    const taken = totalTaken(this.page, ACCOUNT);
    if (taken > this.granted) {
      return `taken ${taken} of ${this.granted}`;
    }
    const held = this.running.reduce((sum, one) => sum + one.tokens, 0);
    return this.consumed + held > this.granted
      ? `consumed ${this.consumed}, running ${held} of ${this.granted}`
      : undefined;
  }

  private share(instance: number): PrepaidShares {
    return this.shares[instance] as PrepaidShares;
  }

  private born(instance: number): PrepaidShares {
    return new PrepaidShares({
      holder: `i${instance}.${this.lives[instance]}`,
      instance: `i${instance}`,
      horizon: 1_000,
      maxHeldFraction: 0.7,
      lowBudgetTime: 30_000,
      idleFraction: 0.35,
    });
  }

  private view(instance: number): ShareView {
    return {
      now: this.clock.now(),
      instances: INSTANCES,
      granted: () => this.knownGrants[instance] ?? 0,
    };
  }

  private request({instance, tokens}: Step): void {
    if (this.share(instance).reserve(ACCOUNT, tokens)) {
      const life = this.lives[instance] ?? 0;
      this.running.push({instance, life, tokens});
    }
  }

  private settle({pick, tokens}: Step): void {
    const one = this.running[pick % Math.max(1, this.running.length)];
    if (one === undefined) {
      return;
    }
    this.running = this.running.filter(other => other !== one);
    const used = Math.min(tokens, one.tokens);
    this.consumed += used;
    if (one.life === this.lives[one.instance]) {
      this.share(one.instance).settle(ACCOUNT, one.tokens, used);
    }
  }

  private write({instance, fate, tokens}: Step, back: boolean): void {
    const share = this.share(instance);
    share.sampleRates(this.clock.now());
    share.adjustAwaited(ACCOUNT, tokens);
    const write = back
      ? share.planReturn()
      : share.planWrite([ACCOUNT], this.view(instance));
    share.adjustAwaited(ACCOUNT, -tokens);
    if (write !== undefined) {
      this.call(instance, write, fate);
    }
  }

  private call(instance: number, write: PageWrite, fate: CallFate): void {
    const share = this.share(instance);
    const life = this.lives[instance] ?? 0;
    if (fate === CallFate.Refused) {
      share.discardWrite(write);
      return;
    }
    if (fate === CallFate.Late) {
      this.late.push({instance, life, write});
    }
    const done = fate !== CallFate.Late && this.execute(write);
    if (fate === CallFate.Served) {
      share.recordPage(this.revision, this.page);
    } else if (this.plant === PrepaidPlant.ForgottenReturn) {
      share.discardWrite(write);
    } else if (this.plant === PrepaidPlant.EarlyTake && !done) {
      share.recordPage(write.expectedRevision + 0.5, write.page);
    }
  }

  private execute(write: PageWrite): boolean {
    if (write.expectedRevision !== this.revision) {
      return false;
    }
    this.revision += 1;
    this.page = write.page;
    return true;
  }

  private executeLate({pick}: Step): void {
    const one = this.late[pick % Math.max(1, this.late.length)];
    if (one !== undefined) {
      this.late = this.late.filter(other => other !== one);
      this.execute(one.write);
    }
  }

  private read(instance: number): void {
    this.share(instance).recordPage(this.revision, this.page);
  }

  private gift({instance, tokens, pick, fate}: Step): void {
    const to = pick % INSTANCES;
    const given = this.share(instance).giveToPeer(ACCOUNT, tokens);
    if (this.plant === PrepaidPlant.KeptGift) {
      this.share(instance).receiveFromPeer(ACCOUNT, given);
    }
    if (fate === CallFate.Served && to !== instance) {
      this.share(to).receiveFromPeer(ACCOUNT, given);
    }
  }

  private supply({instance, tokens, pick, fate}: Step): void {
    const to = pick % INSTANCES;
    const relay = this.share(instance);
    if (!relay.reserve(ACCOUNT, tokens)) {
      return;
    }
    if (this.plant === PrepaidPlant.FreedSupply) {
      relay.settle(ACCOUNT, tokens, 0);
    } else {
      relay.transferReservation(ACCOUNT, tokens);
    }
    if (fate === CallFate.Served && to !== instance) {
      this.share(to).receiveFromPeer(ACCOUNT, tokens);
    }
  }

  private kill(instance: number): void {
    const life = this.lives[instance] ?? 0;
    if (this.plant === PrepaidPlant.HastyReclaim) {
      this.reclaim(instance);
      return;
    }
    // Its requests may go on at their upstreams: they stay in `running`.
    this.lives[instance] = life + 1;
    this.shares[instance] = this.born(instance);
    this.read(instance);
  }

  private reclaim(instance: number): void {
    const spare = this.share(instance).availableTokens(ACCOUNT);
    const holder = `i${instance}.${this.lives[instance]}`;
    const back = new Map([[ACCOUNT, -Math.max(0, spare)]]);
    this.page = applyChange(this.page, holder, `i${instance}`, back);
    this.revision += 1;
  }

  private topUp({instance, tokens}: Step): void {
    this.granted += Math.min(MOST_TOP_UP, tokens);
    this.knownGrants[instance] = this.granted;
  }
}

/** Result of a fuzzing run. */
export interface PrepaidFuzz {
  /** Empty if nothing was found. */
  counterexample: string;
  steps: number;
}

/** Runs random steps against the model. */
export function fuzzPrepaid(
  plant: PrepaidPlant,
  seed: number,
  runs: number,
): PrepaidFuzz {
  let steps = 0;
  const property = fc.property(
    fc.array(STEP, {minLength: LEAST_STEPS, maxLength: MOST_STEPS}),
    sequence => {
      const model = new PrepaidModel(plant);
      for (const step of sequence) {
        steps += 1;
        const fault = model.step(step);
        if (fault !== undefined) {
          throw new Error(fault);
        }
      }
    },
  );
  const details = fc.check(property, {seed, numRuns: runs});
  const {errorInstance} = details;
  const fault = errorInstance instanceof Error ? errorInstance.message : '';
  const path = `seed ${seed}, path ${details.counterexamplePath ?? ''}`;
  const steppings = JSON.stringify(details.counterexample);
  const counterexample = details.failed
    ? `${fault}\n${path}\n${steppings}`
    : '';
  return {counterexample, steps};
}
