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
export enum PrepaidPlantedBug {
  None = 'none',
  /** A return counts as not made when its answer is lost. */
  DiscardedReturn = 'forgotten-return',
  /** What a silent instance holds is taken back, and the instance wakes. */
  PrematureReclaim = 'hasty-reclaim',
  /** A take counts before its answer. */
  UnconfirmedTake = 'early-take',
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
enum CallOutcome {
  Served = 'served',
  AnswerLost = 'answer-lost',
  Late = 'late',
  Refused = 'refused',
}

interface Step {
  kind: StepKind;
  instance: number;
  tokens: number;
  fate: CallOutcome;
  pick: number;
}

interface LateWrite {
  instance: number;
  incarnation: number;
  write: PageWrite;
}

interface RunningRequest {
  instance: number;
  incarnation: number;
  tokens: number;
}

const ACCOUNT = 'account';
const INSTANCE_COUNT = 3;
const MAX_TOKENS = 40;
const INITIAL_GRANT = 60;
const MAX_TOP_UP = 20;
const MIN_STEPS = 60;
const MAX_STEPS = 150;

/** Requests and writes come more often than all else. */
const STEP_KINDS = [
  ...Object.values(StepKind),
  ...Array<StepKind>(6).fill(StepKind.Request),
  ...Array<StepKind>(5).fill(StepKind.Write),
  ...Array<StepKind>(2).fill(StepKind.Return),
  ...Array<StepKind>(2).fill(StepKind.Read),
  ...Array<StepKind>(2).fill(StepKind.Supply),
];

const STEP_ARBITRARY: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...STEP_KINDS),
  instance: fc.nat(INSTANCE_COUNT - 1),
  tokens: fc.integer({min: 1, max: MAX_TOKENS}),
  fate: fc.constantFrom(...Object.values(CallOutcome)),
  pick: fc.nat(),
});

/** The store with one page, the instances, and what callers consumed. */
class PrepaidModel {
  private readonly clock = new ManualClock();
  private revision = 0;
  private page: PrepaidPage = emptyPage();
  private grantedTokens = INITIAL_GRANT;
  /** Each instance may know an older grant. */
  private readonly knownGrants =
    Array<number>(INSTANCE_COUNT).fill(INITIAL_GRANT);
  private readonly incarnations = Array<number>(INSTANCE_COUNT).fill(0);
  private readonly shares: PrepaidShares[] = [];
  private lateWrites: LateWrite[] = [];
  private runningRequests: RunningRequest[] = [];
  private consumedTokens = 0;
  private readonly stepHandlers: Record<StepKind, (step: Step) => void> = {
    [StepKind.Request]: step => this.request(step),
    [StepKind.Settle]: step => this.settle(step),
    [StepKind.Write]: step => this.writePage(step, false),
    [StepKind.Return]: step => this.writePage(step, true),
    [StepKind.Read]: step => this.readPage(step.instance),
    [StepKind.Gift]: step => this.giveToPeer(step),
    [StepKind.Supply]: step => this.supplyFollower(step),
    [StepKind.Kill]: step => this.kill(step.instance),
    [StepKind.TopUp]: step => this.topUp(step),
    [StepKind.ExecuteLate]: step => this.executeLate(step),
    [StepKind.Wait]: step => this.clock.advance(step.tokens * 100),
  };

  constructor(private readonly plantedBug: PrepaidPlantedBug) {
    for (let instance = 0; instance < INSTANCE_COUNT; instance++) {
      this.shares.push(this.createShares(instance));
      this.readPage(instance);
    }
  }

  /** Makes one step; returns what is wrong then, if anything. */
  applyStep(step: Step): string | undefined {
    this.stepHandlers[step.kind](step);
    const takenTokens = totalTaken(this.page, ACCOUNT);
    if (takenTokens > this.grantedTokens) {
      return `taken ${takenTokens} of ${this.grantedTokens}`;
    }
    const reservedTokens = this.runningRequests.reduce(
      (sum, request) => sum + request.tokens,
      0,
    );
    return this.consumedTokens + reservedTokens > this.grantedTokens
      ? `consumed ${this.consumedTokens}, running ${reservedTokens} of ${this.grantedTokens}`
      : undefined;
  }

  private sharesOf(instance: number): PrepaidShares {
    return this.shares[instance] as PrepaidShares;
  }

  private createShares(instance: number): PrepaidShares {
    return new PrepaidShares({
      holder: `i${instance}.${this.incarnations[instance]}`,
      instance: `i${instance}`,
      horizon: 1_000,
      maxHeldFraction: 0.7,
      lowBudgetTime: 30_000,
      idleFraction: 0.35,
    });
  }

  private shareView(instance: number): ShareView {
    return {
      now: this.clock.now(),
      instances: INSTANCE_COUNT,
      granted: () => this.knownGrants[instance] ?? 0,
    };
  }

  private request({instance, tokens}: Step): void {
    if (this.sharesOf(instance).reserve(ACCOUNT, tokens)) {
      const incarnation = this.incarnations[instance] ?? 0;
      this.runningRequests.push({instance, incarnation, tokens});
    }
  }

  private settle({pick, tokens}: Step): void {
    const request =
      this.runningRequests[pick % Math.max(1, this.runningRequests.length)];
    if (request === undefined) {
      return;
    }
    this.runningRequests = this.runningRequests.filter(
      other => other !== request,
    );
    const used = Math.min(tokens, request.tokens);
    this.consumedTokens += used;
    if (request.incarnation === this.incarnations[request.instance]) {
      this.sharesOf(request.instance).settle(ACCOUNT, request.tokens, used);
    }
  }

  private writePage({instance, fate, tokens}: Step, isReturn: boolean): void {
    const shares = this.sharesOf(instance);
    shares.sampleRates(this.clock.now());
    shares.adjustAwaited(ACCOUNT, tokens);
    const write = isReturn
      ? shares.planReturn()
      : shares.planWrite([ACCOUNT], this.shareView(instance));
    shares.adjustAwaited(ACCOUNT, -tokens);
    if (write !== undefined) {
      this.callStore(instance, write, fate);
    }
  }

  private callStore(
    instance: number,
    write: PageWrite,
    fate: CallOutcome,
  ): void {
    const shares = this.sharesOf(instance);
    const incarnation = this.incarnations[instance] ?? 0;
    if (fate === CallOutcome.Refused) {
      shares.discardWrite(write);
      return;
    }
    if (fate === CallOutcome.Late) {
      this.lateWrites.push({instance, incarnation, write});
    }
    const tookEffect = fate !== CallOutcome.Late && this.executeWrite(write);
    if (fate === CallOutcome.Served) {
      shares.recordPage(this.revision, this.page);
    } else if (this.plantedBug === PrepaidPlantedBug.DiscardedReturn) {
      shares.discardWrite(write);
    } else if (
      this.plantedBug === PrepaidPlantedBug.UnconfirmedTake &&
      !tookEffect
    ) {
      shares.recordPage(write.expectedRevision + 0.5, write.page);
    }
  }

  private executeWrite(write: PageWrite): boolean {
    if (write.expectedRevision !== this.revision) {
      return false;
    }
    this.revision += 1;
    this.page = write.page;
    return true;
  }

  private executeLate({pick}: Step): void {
    const late = this.lateWrites[pick % Math.max(1, this.lateWrites.length)];
    if (late !== undefined) {
      this.lateWrites = this.lateWrites.filter(other => other !== late);
      this.executeWrite(late.write);
    }
  }

  private readPage(instance: number): void {
    this.sharesOf(instance).recordPage(this.revision, this.page);
  }

  private giveToPeer({instance, tokens, pick, fate}: Step): void {
    const recipient = pick % INSTANCE_COUNT;
    const givenTokens = this.sharesOf(instance).giveToPeer(ACCOUNT, tokens);
    if (this.plantedBug === PrepaidPlantedBug.KeptGift) {
      this.sharesOf(instance).receiveFromPeer(ACCOUNT, givenTokens);
    }
    if (fate === CallOutcome.Served && recipient !== instance) {
      this.sharesOf(recipient).receiveFromPeer(ACCOUNT, givenTokens);
    }
  }

  private supplyFollower({instance, tokens, pick, fate}: Step): void {
    const recipient = pick % INSTANCE_COUNT;
    const relay = this.sharesOf(instance);
    if (!relay.reserve(ACCOUNT, tokens)) {
      return;
    }
    if (this.plantedBug === PrepaidPlantedBug.FreedSupply) {
      relay.settle(ACCOUNT, tokens, 0);
    } else {
      relay.transferReservation(ACCOUNT, tokens);
    }
    if (fate === CallOutcome.Served && recipient !== instance) {
      this.sharesOf(recipient).receiveFromPeer(ACCOUNT, tokens);
    }
  }

  private kill(instance: number): void {
    const incarnation = this.incarnations[instance] ?? 0;
    if (this.plantedBug === PrepaidPlantedBug.PrematureReclaim) {
      this.reclaim(instance);
      return;
    }
    // Its requests may go on at their upstreams: they stay in `running`.
    this.incarnations[instance] = incarnation + 1;
    this.shares[instance] = this.createShares(instance);
    this.readPage(instance);
  }

  private reclaim(instance: number): void {
    const availableTokens = this.sharesOf(instance).availableTokens(ACCOUNT);
    const holder = `i${instance}.${this.incarnations[instance]}`;
    const change = new Map([[ACCOUNT, -Math.max(0, availableTokens)]]);
    this.page = applyChange(this.page, holder, `i${instance}`, change);
    this.revision += 1;
  }

  private topUp({instance, tokens}: Step): void {
    this.grantedTokens += Math.min(MAX_TOP_UP, tokens);
    this.knownGrants[instance] = this.grantedTokens;
  }
}

/** Result of a fuzzing run. */
export interface PrepaidFuzzResult {
  /** Empty if nothing was found. */
  counterexample: string;
  steps: number;
}

/** Runs random steps against the model. */
export function fuzzPrepaid(
  plantedBug: PrepaidPlantedBug,
  seed: number,
  runs: number,
): PrepaidFuzzResult {
  let steps = 0;
  const property = fc.property(
    fc.array(STEP_ARBITRARY, {minLength: MIN_STEPS, maxLength: MAX_STEPS}),
    sequence => {
      const model = new PrepaidModel(plantedBug);
      for (const step of sequence) {
        steps += 1;
        const violation = model.applyStep(step);
        if (violation !== undefined) {
          throw new Error(violation);
        }
      }
    },
  );
  const details = fc.check(property, {seed, numRuns: runs});
  const {errorInstance} = details;
  const message = errorInstance instanceof Error ? errorInstance.message : '';
  const path = `seed ${seed}, path ${details.counterexamplePath ?? ''}`;
  const sequences = JSON.stringify(details.counterexample);
  const counterexample = details.failed
    ? `${message}\n${path}\n${sequences}`
    : '';
  return {counterexample, steps};
}
