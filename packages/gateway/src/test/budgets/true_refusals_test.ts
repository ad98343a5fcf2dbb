/**
 * A request is refused for good only when a new reading proves that the balance
 * does not cover it; else it waits as long as it may, and is told to come back.
 */
import {expect} from 'chai';
import {
  emptyPage,
  ManualClock,
  ManualMachineClock,
  Witnesses,
} from '@citrontrestle/decisions';
import {createLog} from '@citrontrestle/runtime';
import {PAGE_CODEC} from '../../lib/budgets/page_codec.js';
import {
  PrepaidBudgets,
  ReservationOutcome,
} from '../../lib/budgets/prepaid_budgets.js';
import {StoreOutcome} from '../../lib/process/ports.js';
import type {PageHolder} from '@citrontrestle/decisions';
import type {BudgetContext} from '../../lib/budgets/prepaid_budgets.js';
import type {Store, StoreItem} from '../../lib/process/ports.js';

const {Reserved, Exhausted, Unavailable, Withheld} = ReservationOutcome;

const ACCOUNT = 'club';
const GRANTED = 10_000;
const STEP = 10;

/** One instance; the page of its account is full of entries of another one. */
class Scene {
  readonly asked: string[] = [];
  /** Identifiers of the questions to the relay. */
  readonly asks: number[] = [];
  readonly budgets: PrepaidBudgets;
  hasRelay = false;
  isStoreAway = false;
  granted = GRANTED;
  /** Tokens that the other process has taken, and used at its last write. */
  others = {taken: 0, used: 0};
  /** Whether it writes its entry all the time, as if it were running. */
  othersWrite = true;
  private readonly clock = new ManualClock(100_000);
  private timers: Array<{at: number; callback: () => void}> = [];

  constructor() {
    const holder = 'g1.1';
    const context: BudgetContext = {
      storeEra: () => 0,
      grantedTokens: () => this.granted,
      budgetedAccounts: () => [ACCOUNT],
      drawingInstanceCount: () => 2,
      supplierCount: () => 2,
      hasResponsiveRelay: () => this.hasRelay,
      requestFromRelay: (_account, tokens, {ask}) => {
        this.asks.push(ask);
        this.asked.push(`relay ${tokens}`);
        return this.hasRelay;
      },
      returnToRelay: (_account, tokens) => {
        this.asked.push(`returned ${tokens}`);
        return this.hasRelay;
      },
      requestFromPeers: (_account, tokens) =>
        this.asked.push(`peers ${tokens}`),
      giveToRandomPeer: () => false,
      callAfter: (delay, callback) =>
        this.timers.push({at: this.clock.now() + delay, callback}),
    };
    this.budgets = new PrepaidBudgets(
      {
        holder,
        instance: 'g1',
        store: this.store(),
        clock: this.clock,
        machineClock: new ManualMachineClock(this.clock),
        witnesses: new Witnesses({holder, zone: 'north'}),
        log: createLog('error', {instance: 'g1', zone: 'north'}),
      },
      context,
    );
  }

  /** Lets time pass in steps, with the store's answers in between. */
  async advance(duration: number): Promise<void> {
    for (let passed = 0; passed < duration; passed += STEP) {
      this.clock.advance(STEP);
      const due = this.timers.filter(({at}) => at <= this.clock.now());
      this.timers = this.timers.filter(timer => !due.includes(timer));
      due.forEach(({callback}) => callback());
      await settled();
    }
  }

  /** Returns the outcome of a request, and how long it waited at most. */
  async refusalOf(
    tokens: number,
    patience?: number,
  ): Promise<{outcome: ReservationOutcome | undefined; waited: number}> {
    let outcome: ReservationOutcome | undefined;
    const options = patience === undefined ? {} : {patience};
    void this.budgets.reserve(ACCOUNT, tokens, options).then(result => {
      outcome = result;
    });
    await settled();
    let waited = 0;
    while (outcome === undefined && waited < 5_000) {
      await this.advance(STEP);
      waited += STEP;
    }
    return {outcome, waited};
  }

  /** A store in which each write loses against one of the other process. */
  private store(): Store {
    const answer = async (outcome: StoreOutcome) => {
      await settled();
      return this.isStoreAway
        ? {outcome: StoreOutcome.Unknown, reason: 'no answer'}
        : {outcome, item: this.page(), era: 0};
    };
    return {
      read: () => answer(StoreOutcome.Done),
      write: () => answer(StoreOutcome.Conflict),
    } as unknown as Store;
  }

  private page(): StoreItem {
    const entry: PageHolder = {
      instance: 'g2',
      taken: {[ACCOUNT]: this.others.taken},
      used: {[ACCOUNT]: this.others.used},
      limits: {},
      confirmedAt: {
        monotonic: this.othersWrite ? this.clock.now() : 0,
        wall: 0,
      },
      witnesses: [],
      ceilings: {},
      durableCeilings: {},
      era: 0,
    };
    const page = {...emptyPage(), isYoung: false, holders: {'g2.1': entry}};
    const revision = Math.round(this.clock.now());
    return {key: '', value: PAGE_CODEC.encode(page), revision};
  }
}

/** Lets the promises that are due be handled. */
function settled(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('a refusal for lack of tokens', () => {
  let scene: Scene;

  beforeEach(() => {
    scene = new Scene();
  });

  afterEach(() => scene.budgets.stop());

  const cases = [
    {
      name: 'all is used',
      others: {taken: GRANTED, used: GRANTED},
      expected: Exhausted,
    },
    {
      name: 'less is untaken than it needs',
      others: {taken: 9_500, used: 9_500},
      expected: Exhausted,
    },
    {
      name: 'more is wanted than was ever granted',
      others: {taken: 0, used: 0},
      tokens: GRANTED + 1,
      expected: Exhausted,
    },
    {
      name: 'another instance holds enough unused',
      others: {taken: GRANTED, used: 9_000},
      expected: Unavailable,
    },
    {
      name: 'untaken and held tokens cover it together',
      others: {taken: 9_500, used: 9_400},
      expected: Unavailable,
    },
    {
      name: 'enough is untaken, which it may not take yet',
      others: {taken: 3_000, used: 3_000},
      tokens: 6_000,
      expected: Unavailable,
    },
    {
      name: 'the store is away',
      others: {taken: GRANTED, used: GRANTED},
      isStoreAway: true,
      expected: Unavailable,
    },
  ];
  for (const {name, others, tokens, isStoreAway, expected} of cases) {
    it(`is "${expected}" if ${name}`, async () => {
      scene.others = others;
      scene.isStoreAway = isStoreAway === true;
      scene.budgets.start();
      const {outcome} = await scene.refusalOf(tokens ?? 600);
      expect(outcome).to.equal(expected);
    });
  }

  // Guards against a 402 that takes silence for a proof (review, case 11).
  it('is not for good if a silent process may have left tokens unused', async () => {
    scene.others = {taken: GRANTED, used: 9_000};
    scene.othersWrite = false;
    scene.budgets.start();
    await scene.refusalOf(600);
    await scene.advance(9_000);
    expect((await scene.refusalOf(600)).outcome).to.equal(Withheld);
    const next = await scene.refusalOf(600);
    expect(next).to.include({outcome: Withheld, waited: 0});
    expect((await scene.refusalOf(1_001)).outcome).to.equal(Exhausted);
  });

  it('comes at once after another one has proved it, and not after a top-up', async () => {
    scene.others = {taken: GRANTED, used: GRANTED};
    scene.budgets.start();
    await scene.refusalOf(600);
    expect(await scene.refusalOf(600)).to.include({
      outcome: Exhausted,
      waited: 0,
    });
    scene.granted += 100_000;
    expect((await scene.refusalOf(600)).waited).to.be.above(0);
  });

  it('comes after the patience of the request', async () => {
    scene.others = {taken: 3_000, used: 3_000};
    scene.budgets.start();
    const {outcome, waited} = await scene.refusalOf(6_000, 400);
    expect(outcome).to.equal(Unavailable);
    expect(waited).to.be.within(390, 430);
  });

  it('comes sooner if others hold the tokens and give none', async () => {
    scene.others = {taken: GRANTED, used: 0};
    scene.budgets.start();
    const {outcome, waited} = await scene.refusalOf(600, 400);
    expect(outcome).to.equal(Unavailable);
    expect(waited).to.be.within(80, 150);
  });

  it('is at once for more requests than may wait', async () => {
    scene.isStoreAway = true;
    for (let count = 0; count < 1_000; count++) {
      void scene.budgets.reserve(ACCOUNT, 600);
    }
    expect(await scene.refusalOf(600)).to.include({
      outcome: Unavailable,
      waited: 0,
    });
  });
});

describe("a relay's refusal", () => {
  const proof = {
    exhausted: true,
    age: 20,
    granted: GRANTED,
    countsSilent: true,
  };
  let scene: Scene;

  beforeEach(() => {
    scene = new Scene();
    scene.hasRelay = true;
  });

  it('concerns only the request that asked for as many tokens', async () => {
    const small = scene.budgets.reserve(ACCOUNT, 100);
    const large = scene.budgets.reserve(ACCOUNT, 900);
    scene.budgets.recordRelayRefusal(ACCOUNT, 100, proof);
    expect(await small).to.equal(Exhausted);
    scene.budgets.receiveFromPeer(ACCOUNT, 900);
    expect(await large).to.equal(Reserved);
  });

  it('concerns no later request for as many tokens', async () => {
    await scene.refusalOf(600, 50);
    const second = scene.budgets.reserve(ACCOUNT, 600);
    const third = scene.budgets.reserve(ACCOUNT, 600);
    const [firstAsk, , thirdAsk] = scene.asks;
    scene.budgets.recordRelayRefusal(ACCOUNT, 600, {...proof, ask: firstAsk});
    scene.budgets.recordRelayRefusal(ACCOUNT, 600, {...proof, ask: thirdAsk});
    expect(await third).to.equal(Exhausted);
    scene.budgets.receiveFromPeer(ACCOUNT, 600);
    expect(await second).to.equal(Reserved);
  });

  it('is no proof if it states no age, as from earlier versions', async () => {
    const refused = scene.refusalOf(600);
    scene.budgets.recordRelayRefusal(ACCOUNT, 600, {
      exhausted: true,
      age: undefined,
      granted: undefined,
    });
    expect((await refused).outcome).to.equal(Unavailable);
  });

  const UNPROVED = [
    {name: 'knows no grant', refusal: {...proof, granted: 0}},
    {name: 'knows an older grant', refusal: {...proof, granted: GRANTED - 1}},
    {name: 'read the budget long ago', refusal: {...proof, age: 3_600_000}},
    {
      name: 'does not count silent processes, as one of the last version',
      refusal: {...proof, countsSilent: undefined},
    },
  ];
  for (const {name, refusal} of UNPROVED) {
    it(`is no proof if the relay ${name}`, async () => {
      const refused = scene.refusalOf(600);
      scene.budgets.recordRelayRefusal(ACCOUNT, 600, refusal);
      expect((await refused).outcome).to.equal(Unavailable);
    });
  }

  it('is no proof of tokens that the instance holds or has sent', async () => {
    scene.budgets.receiveFromPeer(ACCOUNT, 500);
    const first = scene.budgets.reserve(ACCOUNT, 700);
    const second = scene.budgets.reserve(ACCOUNT, 600);
    scene.budgets.recordRelayRefusal(ACCOUNT, 200, proof);
    scene.budgets.recordRelayRefusal(ACCOUNT, 600, proof);
    expect(scene.asked.at(-1)).to.equal('relay 600');
    scene.budgets.receiveFromPeer(ACCOUNT, 600);
    expect(await second).to.equal(Reserved);
    scene.budgets.recordRelayRefusal(ACCOUNT, 700, proof);
    expect(await first).to.equal(Exhausted);
  });

  it('lets an instance return its piece and ask for all that it needs', async () => {
    scene.budgets.receiveFromPeer(ACCOUNT, 400);
    const refused = scene.budgets.reserve(ACCOUNT, 600);
    scene.budgets.recordRelayRefusal(ACCOUNT, 200, proof);
    expect(scene.asked).to.deep.equal([
      'relay 200',
      'returned 400',
      'relay 600',
    ]);
    scene.budgets.recordRelayRefusal(ACCOUNT, 600, proof);
    expect(await refused).to.equal(Exhausted);
  });
});
