/** Validation of declaration files: errors have file, line and column. */
import {expect} from 'chai';
import {formatSettingsError} from '@citrontrestle/runtime';
import {parseDeclarations} from '../lib/declarations.js';

const VALID_DECLARATIONS = `budgets:
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
  it('accepts valid declarations', () => {
    expect(parseDeclarations(VALID_DECLARATIONS, 'f').ok).to.equal(true);
  });

  const cases = [
    {
      name: 'rejects an unknown field',
      text: VALID_DECLARATIONS.replace('budget: players', 'budgets: players'),
      expectedError: 'f:7:5: accounts.0.budgets',
    },
    {
      name: 'rejects a value of the wrong type',
      text: VALID_DECLARATIONS.replace(
        'initialTokens: 10',
        'initialTokens: ten',
      ),
      expectedError: 'f:2:21: budgets.0.initialTokens',
    },
    {
      name: 'rejects a weight, which operators can not set',
      text: VALID_DECLARATIONS.replace(
        'importance: 1',
        'importance: 1, weight: 3',
      ),
      expectedError: 'f:4:',
    },
    {
      name: 'rejects an account whose budget is not declared',
      text: VALID_DECLARATIONS.replace('budget: players', 'budget: clubs'),
      expectedError: 'f:7:5: accounts.0.budget: no budget clubs',
    },
    {
      name: 'rejects an account whose class is not declared',
      text: VALID_DECLARATIONS.replace('[order]', '[ordr]'),
      expectedError: 'f:9:5: accounts.0.classes: no class ordr',
    },
    {
      name: 'rejects an API key in place of its digest',
      text: VALID_DECLARATIONS.replace(
        'keyDigests: []',
        'keyDigests: [secret]',
      ),
      expectedError: 'f:8:18: accounts.0.keyDigests.0',
    },
    {
      name: 'rejects a duplicate name',
      text: VALID_DECLARATIONS.replace(
        'classes:\n',
        '  - {name: players, initialTokens: 1}\nclasses:\n',
      ),
      expectedError: 'f:3:6: budgets.1.name: players stands twice',
    },
    {name: 'rejects malformed YAML', text: 'budgets: [', expectedError: 'f:1:'},
  ];
  for (const {name, text, expectedError} of cases) {
    it(name, () => {
      const result = parseDeclarations(text, 'f');
      const lines = result.ok ? [] : result.errors.map(formatSettingsError);
      expect(lines.join('\n')).to.include(expectedError);
    });
  }
});
