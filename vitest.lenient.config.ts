import { defineConfig } from 'vitest/config';

/**
 * Tests in processes whose parser of HTTP takes much of what those of older releases of Node.js take:
 * lines that begin with a blank or end without CR LF, blanks before a colon.
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
