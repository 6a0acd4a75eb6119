import { diffSettings, formatDifferences } from '../../settings/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { renderJson } from '../output.js';
import { readSettingsFile } from '../settings-file.js';
import { readSettings } from '../session.js';

/** `oriolectl settings diff`: what a file would change. */
export const settingsDiffCommand = ctlCommand({
  name: 'settings diff',
  description: 'Show what applying a file would change.',
  examples: ['oriolectl settings diff tejidos.ini', 'oriolectl settings diff tejidos.ini --json'],
  args: {
    file: {
      type: 'positional',
      description: 'settings file, or - for standard input',
      required: true,
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const { document } = await readSettingsFile(context, args.file);
    const session = await readSettings(context, args);
    // Sections that the file does not name stay as they are, so they are no difference.
    const inForce = new Map(
      [...session.sections()].filter(([path]) => document.sections.has(path)),
    );
    await session.close();
    const differences = diffSettings(inForce, document.sections);
    context.out(args.json ? renderJson(differences) : formatDifferences(differences));
    return differences.length > 0 ? ExitCode.Finding : ExitCode.Success;
  },
});
