import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['test/**/*_test.ts'],
    testTimeout: 30_000,
    hookTimeout: 60_000,
    maxWorkers: 6,
  },
});
