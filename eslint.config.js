import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

const NO_IO = 'Decisions are pure: time and random numbers are handed in.';

export default tseslint.config(
  {ignores: ['**/dist/**', 'target/**', 'node_modules/**']},
  js.configs.recommended,
  ...tseslint.configs.strict,
  prettier,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: {jsdoc},
    rules: {
      eqeqeq: 'error',
      curly: 'error',
      'no-var': 'error',
      'prefer-const': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-extraneous-class': 'off',
      // Records of the ledger are plain objects with names as keys.
      '@typescript-eslint/no-dynamic-delete': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: false,
          },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'TSEnumDeclaration',
          ],
        },
      ],
    },
  },
  {
    files: ['packages/decisions/src/lib/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {patterns: ['node:*', '@citrontrestle/*']},
      ],
      'no-restricted-globals': [
        'error',
        ...[
          'setTimeout',
          'setInterval',
          'setImmediate',
          'process',
          'fetch',
        ].map(name => ({name, message: NO_IO})),
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now', message: NO_IO},
        {object: 'Math', property: 'random', message: NO_IO},
      ],
    },
  },
);
