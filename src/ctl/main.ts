#!/usr/bin/env node
import { runCli } from './cli.js';
import { SystemCommandContext } from './system-context.js';

const context = new SystemCommandContext();
const exitCode = await runCli(process.argv.slice(2), context);
// A long poll of the log service may still be open; standard output must be written first.
process.stdout.write('', () => process.exit(exitCode));
