import { SettingsTree } from '../../settings/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { renderJson } from '../output.js';
import { formatWithRevisions } from '../settings-file.js';
import { readSettings } from '../session.js';

/** `oriolectl settings get`: settings from the log, ready to be edited and applied. */
export const settingsGetCommand = ctlCommand({
  name: 'settings get',
  description: 'Print settings with their revisions, ready to edit and apply.',
  examples: [
    'oriolectl settings get prod/tejidos > tejidos.ini',
    'oriolectl settings get prod/tejidos/limits/tenders --json',
  ],
  args: {
    path: { type: 'positional', description: 'path or prefix', required: false, default: '' },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const session = await readSettings(context, args);
    await session.close();
    const sections = new SettingsTree(session.sections()).subtree(args.path);
    if (sections.size === 0) {
      context.err(`there are no settings at "${args.path}"\n`);
      return ExitCode.NotFound;
    }
    const revisionOf = (path: string): number => session.revisionOf(path);
    context.out(
      args.json
        ? renderJson(
            [...sections].map(([path, values]) => ({ path, revision: revisionOf(path), values })),
          )
        : formatWithRevisions(sections, revisionOf),
    );
    return ExitCode.Success;
  },
});
