import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['test/**/*_test.ts'],
    // Run by vitest.isolated.config.ts and vitest.lenient.config.ts.
    exclude: ['test/isolated/**', 'test/lenient/**'],
    testTimeout: 30_000,
    hookTimeout: 60_000,
    maxWorkers: 6,
  },
});
