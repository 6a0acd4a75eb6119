import { defineCommand, type ArgsDef, type CommandDef, type ParsedArgs } from 'citty';
import type { CommandContext } from './command-context.js';
import type { ExitCode } from './exit-code.js';

/** One command of `oriolectl`. */
export interface CtlCommand {
  /** Words that select it, such as `settings apply`. */
  readonly name: string;
  readonly description: string;
  /** Complete command lines for the help. */
  readonly examples: readonly string[];
  /** True when more positional arguments may follow the named ones. */
  readonly takesMore: boolean;
  /** Definition that citty parses arguments and renders usage from. */
  readonly definition: CommandDef;
  readonly run: (context: CommandContext, args: ParsedArgs) => Promise<ExitCode>;
}

/** Options of {@link ctlCommand}. */
export interface CtlCommandOptions<T extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  readonly examples: readonly string[];
  readonly takesMore?: boolean;
  readonly args: T;
  readonly run: (context: CommandContext, args: ParsedArgs<T>) => Promise<ExitCode>;
}

/** Option that every command takes. */
export const jsonArg = {
  json: { type: 'boolean', description: 'print JSON for a script', default: false },
} as const;

/**
 * Defines a command with typed arguments.
 *
 * @example
 * ```ts
 * export const statusCommand = ctlCommand({ name: 'status', args: {}, ... });
 * ```
 */
export function ctlCommand<const T extends ArgsDef>(options: CtlCommandOptions<T>): CtlCommand {
  const { name, description, examples, takesMore = false, run } = options;
  const args: ArgsDef = options.args;
  return {
    name,
    description,
    examples,
    takesMore,
    definition: defineCommand({ meta: { name: `oriolectl ${name}`, description }, args }),
    // The arguments were parsed from this command's own definition.
    run: (context, parsed) => run(context, parsed as ParsedArgs<T>),
  };
}
