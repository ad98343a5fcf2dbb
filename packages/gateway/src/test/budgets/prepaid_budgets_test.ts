/**
 * Requests that wait for tokens at the same time must ask for all that they lack
 * together, not each as if the others did not wait.
 */
import {expect} from 'chai';
import {
  ManualClock,
  ManualMachineClock,
  Witnesses,
} from '@citrontrestle/decisions';
import {createLog} from '@citrontrestle/runtime';
import {
  PrepaidBudgets,
  ReservationOutcome,
} from '../../lib/budgets/prepaid_budgets.js';
import type {BudgetContext} from '../../lib/budgets/prepaid_budgets.js';
import type {Store} from '../../lib/process/ports.js';

const ACCOUNT = 'club';

/** Tokens of each request. */
const REQUEST_TOKENS = 130;

const CASES = [
  {name: 'nothing is held', held: 0, requests: 3},
  {name: 'less than one request needs is held', held: 93, requests: 12},
  {name: 'one of the requests is covered', held: 200, requests: 4},
];

/** The budgets of an instance, and the tokens for which others are asked. */
class BudgetScene {
  readonly askedOfRelay: number[] = [];
  readonly askedOfPeers: number[] = [];
  readonly budgets: PrepaidBudgets;
  private readonly clock = new ManualClock(100_000);
  private readonly callbacks: Array<() => void> = [];

  constructor(hasRelay: boolean) {
    const holder = 'g1.1';
    const context: BudgetContext = {
      storeEra: () => 0,
      grantedTokens: () => 1_000_000,
      budgetedAccounts: () => [ACCOUNT],
      drawingInstanceCount: () => 1,
      supplierCount: () => 1,
      hasResponsiveRelay: () => hasRelay,
      requestFromRelay: (_account, tokens) => {
        this.askedOfRelay.push(tokens);
        return hasRelay;
      },
      returnToRelay: () => false,
      requestFromPeers: (_account, tokens) => this.askedOfPeers.push(tokens),
      giveToRandomPeer: () => false,
      callAfter: (_delay, callback) => this.callbacks.push(callback),
    };
    this.budgets = new PrepaidBudgets(
      {
        holder,
        instance: 'g1',
        store: {} as Store,
        clock: this.clock,
        machineClock: new ManualMachineClock(this.clock),
        witnesses: new Witnesses({holder, zone: 'north'}),
        log: createLog('error', {instance: 'g1', zone: 'north'}),
      },
      context,
    );
  }

  /** Lets time pass, and then all timers that were set until now end. */
  advance(duration: number): void {
    this.clock.advance(duration);
    this.callbacks.splice(0).forEach(callback => callback());
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

describe('requests that wait for tokens together', () => {
  for (const {name, held, requests} of CASES) {
    const lacking = requests * REQUEST_TOKENS - held;

    it(`ask the relay for all that they lack: ${name}`, async () => {
      const {budgets, askedOfRelay} = new BudgetScene(true);
      budgets.receiveFromPeer(ACCOUNT, held);
      const outcomes = Array.from({length: requests}, () =>
        budgets.reserve(ACCOUNT, REQUEST_TOKENS),
      );
      expect(sum(askedOfRelay)).to.equal(lacking);
      budgets.receiveFromPeer(ACCOUNT, lacking);
      const {Reserved} = ReservationOutcome;
      expect(new Set(await Promise.all(outcomes))).to.deep.equal(
        new Set([Reserved]),
      );
    });

    it(`ask the peers for all that they lack: ${name}`, () => {
      const scene = new BudgetScene(true);
      scene.budgets.receiveFromPeer(ACCOUNT, held);
      for (let count = 0; count < requests; count++) {
        void scene.budgets.reserve(ACCOUNT, REQUEST_TOKENS);
      }
      scene.advance(70);
      expect(sum(scene.askedOfPeers)).to.equal(lacking);
    });
  }
});
