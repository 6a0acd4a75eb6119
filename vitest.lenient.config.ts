import { defineConfig } from 'vitest/config';

/**
 * Tests in processes whose parser of HTTP takes what those of other releases of Node.js take: blanks
 * in the names of fields, lines that end without CR LF.
 */
export default defineConfig({
  test: {
    include: ['test/lenient/**/*_test.ts'],
    pool: 'forks',
    execArgv: ['--insecure-http-parser'],
    testTimeout: 30_000,
    maxWorkers: 6,
  },
});
