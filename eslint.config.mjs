import {defineConfig, globalIgnores} from 'eslint/config';
import gtsConfig from 'gts';

export default defineConfig([
  globalIgnores(['**/dist/', 'target/', '**/node_modules/', '**/*.mjs']),
  ...gtsConfig,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: [
          './packages/*/tsconfig.json',
          './apps/*/tsconfig.json',
          './platform/tsconfig.json',
        ],
      },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', package: 'node:test', name: ['test']},
          ],
        },
      ],
    },
  },
]);
