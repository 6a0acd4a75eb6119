import eslint from '@eslint/js';
import regexp from 'eslint-plugin-regexp';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'node_modules/**',
      'bench/out/**',
      'target/**',
      'deploy/**',
      'scripts/**',
      'eslint.config.mjs',
      'vitest.config.ts',
      'vitest.isolated.config.ts',
      'vitest.lenient.config.ts',
    ],
  },
  eslint.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    plugins: { regexp },
    rules: {
      // Work on text from outside is linear in its length.
      'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
      'regexp/no-super-linear-move': ['error', { report: 'potential' }],
    },
  },
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
    },
  },
  {
    // A response is believed only once its head was checked.
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: ['src/core/send-request.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: [
            {
              name: 'undici',
              importNames: ['request', 'fetch', 'stream', 'pipeline'],
              message: 'Use sendRequest of src/core/send-request.ts.',
            },
          ],
        },
      ],
    },
  },
  {
    // Fakes and abstract-class doubles implement async interfaces without awaiting.
    files: ['test/**/*.ts', 'src/standins/**/*.ts', 'bench/**/*.ts'],
    rules: {
      '@typescript-eslint/require-await': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
);
