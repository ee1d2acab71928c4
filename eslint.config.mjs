/**
 * Airbnb's style guide, with the departures that docs/decisions/ records: ES modules with explicit
 * extensions, `for await` and generators for streams, awaits in loops where order matters.
 */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

const runtimeRules = {
  // Node's ES modules need the file extension; the rule cannot see that `.js` stands for `.ts`.
  'import-x/extensions': 'off',
  'import-x/no-unresolved': 'off',
  'import-x/prefer-default-export': 'off',
  'import-x/no-cycle': 'off',
  'import-x/no-rename-default': 'off',
  // The sources order imports by package, then by path.
  'import-x/order': 'off',
  '@stylistic/max-len': [
    'error',
    {
      code: 110,
      ignoreUrls: true,
      ignoreStrings: true,
      ignoreTemplateLiterals: true,
      ignoreRegExpLiterals: true,
    },
  ],
  // Streams are read by `for await`; steps that must keep their order await in loops.
  'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
  'no-await-in-loop': 'off',
  'no-void': ['error', { allowAsStatement: true }],
  'no-continue': 'off',
  'no-plusplus': 'off',
  'no-underscore-dangle': 'off',
  'max-classes-per-file': 'off',
  'class-methods-use-this': 'off',
  'no-console': 'off',
};

const typescriptRules = {
  '@typescript-eslint/no-use-before-define': [
    'error',
    { functions: false, classes: false, variables: false },
  ],
  '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
};

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', '.tmp/**', '**/*.d.ts'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts', '**/*.mjs'],
    rules: runtimeRules,
  },
  { files: ['**/*.ts'], rules: typescriptRules },
  {
    // Files are read before the daemon serves anyone; a second signal must end it whatever is open.
    files: [
      'packages/daemon/src/settings/**',
      'packages/daemon/src/listeners.ts',
      'packages/forwarding/src/daemon/runForwardDaemon.ts',
      'platform/src/{settings,main}.ts',
      'packages/*/src/{snipehavend,snipectl,main}.ts',
      'packages/{bench,demo,proofs}/**',
      'tools/**',
    ],
    rules: { 'n/no-sync': 'off', 'n/no-process-exit': 'off' },
  },
  {
    files: [
      '**/*.test.ts',
      '**/testSupport/**',
      'tools/**',
      'packages/{bench,demo,standins,proofs}/**',
    ],
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
];
