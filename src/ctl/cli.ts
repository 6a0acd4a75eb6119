import { stripVTControlCharacters } from 'node:util';
import { parseArgs, renderUsage, type ArgsDef, type ParsedArgs } from 'citty';
import { LogUnavailableError } from '../log/index.js';
import { AppendFailedError } from '../state/index.js';
import type { CommandContext } from './command-context.js';
import { allCommands } from './commands/index.js';
import type { CtlCommand } from './ctl-command.js';
import { CtlError } from './ctl-error.js';
import { ExitCode } from './exit-code.js';

/**
 * Runs one command line.
 *
 * @param argv - arguments without the interpreter and the script.
 * @returns the exit code; errors have been written to standard error.
 * @example
 * ```ts
 * process.exitCode = await runCli(process.argv.slice(2), new SystemCommandContext());
 * ```
 */
export async function runCli(argv: readonly string[], context: CommandContext): Promise<ExitCode> {
  try {
    return await dispatch(argv, context);
  } catch (error) {
    context.err(`oriolectl: ${error instanceof Error ? error.message : String(error)}\n`);
    return exitCodeOf(error);
  }
}

async function dispatch(argv: readonly string[], context: CommandContext): Promise<ExitCode> {
  const wantsHelp = argv.includes('--help') || argv.includes('-h');
  const command = findCommand(argv);
  if (!command) {
    const words = argv.filter((word) => !word.startsWith('-'));
    const group = allCommands.filter(({ name }) => words[0] && name.startsWith(`${words[0]} `));
    const text = renderOverview(group.length > 0 ? group : allCommands);
    if (wantsHelp && (words.length === 0 || group.length > 0)) {
      context.out(text);
      return ExitCode.Success;
    }
    const problem = words.length > 0 ? `unknown command "${words.join(' ')}"` : 'no command given';
    context.err(`oriolectl: ${problem}\n\n${text}`);
    return ExitCode.Usage;
  }
  if (wantsHelp) {
    context.out(await renderHelp(command));
    return ExitCode.Success;
  }
  return command.run(context, parseCommandLine(command, argv));
}

/** The command whose words start the command line; the longest match wins. */
function findCommand(argv: readonly string[]): CtlCommand | undefined {
  return allCommands
    .filter(({ name }) => name.split(' ').every((word, index) => argv[index] === word))
    .sort((a, b) => b.name.length - a.name.length)[0];
}

/** citty ignores options it does not know; a mistyped option must not be taken for its absence. */
function parseCommandLine(command: CtlCommand, argv: readonly string[]): ParsedArgs {
  const definitions = command.definition.args as ArgsDef;
  let parsed: ParsedArgs;
  try {
    parsed = parseArgs(argv.slice(command.name.split(' ').length), definitions);
  } catch (error) {
    const reason = stripVTControlCharacters(error instanceof Error ? error.message : String(error));
    throw usageError(command, reason);
  }
  const known = new Set(['_', ...Object.keys(definitions)]);
  for (const name of Object.keys(definitions)) known.add(camelCase(name));
  const unknown = Object.keys(parsed).find((name) => !known.has(name));
  if (unknown !== undefined) throw usageError(command, `unknown option --${unknown}`);
  for (const [name, { type }] of Object.entries(definitions)) {
    const value: unknown = parsed[name];
    if (type === 'string' && value === '' && definitions[name]?.default !== '') {
      throw usageError(command, `option --${name} needs a value`);
    }
  }
  const positional = Object.values(definitions).filter(({ type }) => type === 'positional').length;
  const extra = parsed._[positional];
  if (extra !== undefined && !command.takesMore) {
    throw usageError(command, `unexpected argument "${extra}"`);
  }
  return parsed;
}

function usageError(command: CtlCommand, reason: string): CtlError {
  return new CtlError(ExitCode.Usage, `${reason}; see \`oriolectl ${command.name} --help\``);
}

function camelCase(name: string): string {
  return name.replace(/-(.)/g, (_, letter: string) => letter.toUpperCase());
}

function exitCodeOf(error: unknown): ExitCode {
  if (error instanceof CtlError) return error.exitCode;
  if (error instanceof AppendFailedError) {
    return error.mayBeStored ? ExitCode.OutcomeUnknown : ExitCode.Unreachable;
  }
  if (error instanceof LogUnavailableError) return ExitCode.Unreachable;
  return ExitCode.Failed;
}

async function renderHelp(command: CtlCommand): Promise<string> {
  const usage = stripVTControlCharacters(await renderUsage(command.definition));
  const examples = command.examples.map((example) => `  ${example}`).join('\n');
  return `${usage.trimEnd()}\n\nEXAMPLES\n\n${examples}\n\nEXIT CODES\n\n${renderExitCodes()}`;
}

function renderOverview(commands: readonly CtlCommand[]): string {
  const width = Math.max(...commands.map(({ name }) => name.length));
  const lines = commands.map(({ name, description }) => `  ${name.padEnd(width)}  ${description}`);
  return [
    'Operates an oriolestack deployment.',
    '',
    'COMMANDS',
    '',
    ...lines,
    '',
    'Use `oriolectl <command> --help` for options and examples.',
    '',
  ].join('\n');
}

/** Meaning of each exit code in a few words. */
export const exitCodeTexts: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Success]: 'success',
  [ExitCode.Failed]: 'failed for a reason that no other code names',
  [ExitCode.Usage]: 'wrong command, option or argument',
  [ExitCode.InvalidSettings]: 'settings are not valid; nothing was changed',
  [ExitCode.Conflict]: 'settings changed since they were read; nothing was changed',
  [ExitCode.Denied]: 'key unknown or out of its scope; nothing was changed',
  [ExitCode.NotFound]: 'not found',
  [ExitCode.Unreachable]: 'log service or daemon did not answer; nothing was changed',
  [ExitCode.Partial]: 'some daemons are missing or do not have the change in force yet',
  [ExitCode.Finding]: 'a difference or an alert was found',
  [ExitCode.OutcomeUnknown]: 'a change was sent, but its outcome is not known',
};

function renderExitCodes(): string {
  return Object.entries(exitCodeTexts)
    .map(([code, text]) => `  ${code.padStart(2)}  ${text}\n`)
    .join('');
}
