import {createRequire} from 'node:module';
import {defineConfig} from 'eslint/config';

const require = createRequire(import.meta.url);
const gts = require('gts');

const IO_MODULES = [
  'fs',
  'http',
  'http2',
  'https',
  'net',
  'dgram',
  'dns',
  'tls',
  'child_process',
  'worker_threads',
  'cluster',
  'timers',
];

const TIMER_GLOBALS = ['setTimeout', 'setInterval', 'setImmediate', 'fetch'];

export default defineConfig([
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/gen/**',
      'reports/**',
      'node_modules/**',
    ],
  },
  ...gts,
  {
    files: ['**/*.mjs'],
    languageOptions: {
      sourceType: 'module',
      ecmaVersion: 2023,
      globals: {
        process: 'readonly',
        console: 'readonly',
        setImmediate: 'readonly',
      },
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      sourceType: 'module',
      parserOptions: {
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              package: 'node:test',
              name: ['test', 'it', 'describe', 'suite'],
            },
          ],
        },
      ],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports only.',
        },
        {
          selector: 'PropertyDefinition[key.type="PrivateIdentifier"]',
          message: 'Use the private modifier instead of #names.',
        },
      ],
    },
  },
  {
    files: ['packages/core/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: [
            ...IO_MODULES.flatMap(name => [name, `node:${name}`]),
            'undici',
            'node:fs/promises',
            'node:timers/promises',
          ],
          patterns: ['@connectrpc/*', 'bunyan'],
        },
      ],
      'no-restricted-globals': ['error', ...TIMER_GLOBALS],
    },
  },
]);
