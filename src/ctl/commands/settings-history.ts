import { diffSettings, formatDifferences, type SectionValues } from '../../settings/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { formatTime, renderJson } from '../output.js';
import { readSettings } from '../session.js';

/** `oriolectl settings history`: who set a section to what. */
export const settingsHistoryCommand = ctlCommand({
  name: 'settings history',
  description: 'Show the last versions of a section and who set them.',
  examples: [
    'oriolectl settings history prod/tejidos/limits/tenders',
    'oriolectl settings history prod/tejidos/limits/tenders --json',
  ],
  args: {
    path: { type: 'positional', description: 'path of one section', required: true },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const session = await readSettings(context, args);
    await session.close();
    const versions = session.history(args.path);
    if (versions.length === 0) {
      context.err(`"${args.path}" was never set, or is not the path of a section\n`);
      return ExitCode.NotFound;
    }
    if (args.json) {
      context.out(renderJson(versions));
      return ExitCode.Success;
    }
    const asMap = (values: SectionValues | null | undefined): Map<string, SectionValues> =>
      new Map(values ? [[args.path, values] as const] : []);
    versions.forEach((version, index) => {
      const { revision, at, keyId, changeId, values } = version;
      context.out(`revision ${revision} at ${formatTime(at)} by ${keyId} (change ${changeId})\n`);
      const before = versions[index + 1];
      // The oldest version kept may have had predecessors, so it is shown whole.
      context.out(formatDifferences(diffSettings(asMap(before?.values), asMap(values))));
    });
    return ExitCode.Success;
  },
});
