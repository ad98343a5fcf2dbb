/**
 * A budget of the own interface that is called like a property of all objects.
 * Guards against the fault of review case 7 there: it could not be granted tokens.
 */
import {expect} from 'chai';
import {budgetOf, emptyLedger, topUp} from '../../lib/budgets/ledger.js';
import {applyBatch} from '../../lib/budgets/ledger_batch.js';

const NAMES = ['club', 'constructor', 'toString', 'hasOwnProperty'];

describe('the ledger of a budget', () => {
  for (const name of NAMES) {
    it(`counts its tokens: ${name}`, () => {
      const ledger = emptyLedger();
      expect(budgetOf(ledger, name)).to.equal(undefined);
      expect(topUp(ledger, name, 'first', 1_000)).to.equal(true);
      expect(topUp(ledger, name, 'first', 1_000)).to.equal(false);
      applyBatch(ledger, {
        instance: 'e1',
        holder: 'e1.1',
        sequence: 1,
        seenCloses: 0,
        now: 0,
        billRetention: 1_000,
        settlements: [],
        reportedCounts: {},
        allocationRequests: {
          [name]: {desiredTokens: 5_000, minTokens: 1, maxFraction: 0.5},
        },
        isLeaving: false,
      });
      const record = budgetOf(ledger, name);
      expect(record?.shares['e1.1']?.taken).to.equal(500);
    });
  }
});
