// Installs the locked packages and builds, but only when an input changed since the last run.
// All output goes to standard error, so that standard output stays free for the caller.
import { createHash } from 'node:crypto';
import { execFileSync } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';

const stampFile = 'node_modules/.setup-stamp';

function run(command, args) {
  execFileSync(command, args, { stdio: ['ignore', 2, 2] });
}

const lockHash = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex');
const installed = existsSync(stampFile) && readFileSync(stampFile, 'utf8') === lockHash;
if (!installed) {
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
  writeFileSync(stampFile, lockHash);
}
run('node', ['node_modules/typescript/bin/tsc', '-p', 'tsconfig.json']);
