import { defineConfig } from 'vitest/config';

/** Tests of whole processes under a crowd of clients, which run one at a time and beside no others. */
export default defineConfig({
  test: {
    include: ['test/isolated/**/*_test.ts'],
    testTimeout: 30_000,
    hookTimeout: 60_000,
    fileParallelism: false,
  },
});
