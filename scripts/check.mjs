// Runs every check of `npm test` in a fixed order and stops at the first that fails.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';

const knownRedPath = 'KNOWN-RED.txt';
const knownRed = existsSync(knownRedPath) ? readFileSync(knownRedPath, 'utf8') : '';

/** Vitest options that leave out just the tests that KNOWN-RED.txt names by their full names. */
function withoutKnownRed() {
  const names = [...knownRed.matchAll(/^Test: (.+)$/gm)].map(([, name]) => name);
  if (names.length === 0) return [];
  const escaped = names.map((name) => name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'));
  return ['--testNamePattern', `^(?!(${escaped.join('|')})$)`];
}

const checks = [
  ['format', 'node_modules/.bin/prettier', ['--check', '--log-level=warn', '.']],
  [
    'lint',
    'node_modules/.bin/eslint',
    ['.', '--max-warnings=0', '--cache', '--cache-location', 'node_modules/.cache/eslint/'],
  ],
  ['circular imports', 'node_modules/.bin/madge', ['--circular', '--no-spinner', 'dist']],
  ['tests', 'node_modules/.bin/vitest', ['run', ...withoutKnownRed()]],
  [
    'tests with a lenient parser',
    'node_modules/.bin/vitest',
    ['run', '--config', 'vitest.lenient.config.ts', ...withoutKnownRed()],
  ],
  [
    'isolated tests',
    'node_modules/.bin/vitest',
    ['run', '--config', 'vitest.isolated.config.ts', ...withoutKnownRed()],
  ],
];

for (const [name, command, args] of checks) {
  const startedAtMs = Date.now();
  const result = spawnSync(command, args, { stdio: 'inherit' });
  const seconds = ((Date.now() - startedAtMs) / 1000).toFixed(1);
  console.log(`check ${name}: ${result.status === 0 ? 'ok' : 'FAILED'} in ${seconds} s`);
  if (result.status !== 0) process.exit(1);
}

if (knownRed !== '') console.log(`known to fail, not part of these checks:\n${knownRed}`);
