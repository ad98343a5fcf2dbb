/** Declarations: faults are named with file, line and column. */
import {expect} from 'chai';
import {formatSettingsError} from '@citrontrestle/runtime';
import {parseDeclarations} from '../lib/declarations.js';

const GOOD = `budgets:
  - {name: players, initialTokens: 10}
classes:
  - {name: order, kind: service, idempotent: false, path: /o, priceTokens: 1, wholeMs: 9, importance: 1}
accounts:
  - name: desk
    budget: players
    keyDigests: []
    classes: [order]
`;

describe('declarations', () => {
  it('accepts what is complete', () => {
    expect(parseDeclarations(GOOD, 'f').ok).to.equal(true);
  });

  const cases = [
    {
      name: 'unknown field',
      text: GOOD.replace('budget: players', 'budgets: players'),
      fault: 'f:7:5: accounts.0.budgets',
    },
    {
      name: 'wrong type',
      text: GOOD.replace('initialTokens: 10', 'initialTokens: ten'),
      fault: 'f:2:21: budgets.0.initialTokens',
    },
    {
      name: 'weights are not for operators',
      text: GOOD.replace('importance: 1', 'importance: 1, weight: 3'),
      fault: 'f:4:',
    },
    {
      name: 'no such budget',
      text: GOOD.replace('budget: players', 'budget: clubs'),
      fault: 'f:7:5: accounts.0.budget: no budget clubs',
    },
    {
      name: 'no such class',
      text: GOOD.replace('[order]', '[ordr]'),
      fault: 'f:9:5: accounts.0.classes: no class ordr',
    },
    {
      name: 'key instead of its digest',
      text: GOOD.replace('keyDigests: []', 'keyDigests: [secret]'),
      fault: 'f:8:18: accounts.0.keyDigests.0',
    },
    {
      name: 'name twice',
      text: GOOD.replace(
        'classes:\n',
        '  - {name: players, initialTokens: 1}\nclasses:\n',
      ),
      fault: 'f:3:6: budgets.1.name: players stands twice',
    },
    {name: 'broken YAML', text: 'budgets: [', fault: 'f:1:'},
  ];
  for (const {name, text, fault} of cases) {
    it(name, () => {
      const outcome = parseDeclarations(text, 'f');
      const lines = outcome.ok ? [] : outcome.errors.map(formatSettingsError);
      expect(lines.join('\n')).to.include(fault);
    });
  }
});
