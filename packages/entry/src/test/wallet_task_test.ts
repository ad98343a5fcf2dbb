/**
 * A caller may repeat an idempotency key while the first request with it still
 * waits for its charge. Both waits must end.
 */
import {expect} from 'chai';
import {
  emptyBudget,
  emptyLedger,
  WALLET_DEFAULTS,
} from '@citrontrestle/decisions';
import {KeyValueOutcome} from '@citrontrestle/platform';
import {SystemClock} from '@citrontrestle/runtime';
import {WalletTask} from '../lib/wallet_task.js';
import type {Ledger} from '@citrontrestle/decisions';
import type {KeyValueClient} from '@citrontrestle/platform';

const {Found, Written} = KeyValueOutcome;

describe('charges of a wallet', () => {
  it('are secured for each of two requests with the same digest', async () => {
    const ledger: Ledger = {
      ...emptyLedger(),
      budgets: {budget: {...emptyBudget(), granted: 1_000_000}},
    };
    const keyValue = {
      read: () => Promise.resolve({outcome: Found, version: 1, value: ledger}),
      write: (_key: string, version: number) =>
        Promise.resolve({outcome: Written, version: version + 1}),
    } as unknown as KeyValueClient;
    const clock = new SystemClock();
    const settings = {
      ...WALLET_DEFAULTS,
      holder: 'entry.1',
      instance: 'entry',
      zone: 'z',
      partitionCount: 1,
      declaredEntries: 1,
    };
    const task = new WalletTask(settings, {
      keyValue,
      clock,
      send: () => undefined,
      onFenced: () => undefined,
    });
    task.start();
    const charge = async (request: string) => {
      expect(await task.reserve(request, 'budget', 10)).to.equal(undefined);
      return task.charge(request, 'digest', 10, clock.now());
    };
    const timeout = new Promise(resolve => setTimeout(resolve, 2_000));
    const charges = ['first', 'second'].map(async request =>
      Promise.race([charge(request), timeout]),
    );
    const results = await Promise.all(charges);
    task.stop();
    expect(results).to.deep.equal([true, true]);
  });
});
