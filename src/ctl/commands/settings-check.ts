import { checkSettings, formatProblem, ProblemSeverity } from '../../settings/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { renderJson } from '../output.js';
import { readSettingsFile } from '../settings-file.js';
import { readSettings } from '../session.js';

/** `oriolectl settings check`: finds mistakes in files; needs no connection. */
export const settingsCheckCommand = ctlCommand({
  name: 'settings check',
  description: 'Check settings files and name each problem with its line.',
  examples: [
    'oriolectl settings check tejidos.ini',
    'oriolectl settings check services.ini workspaces.ini --in-force',
  ],
  takesMore: true,
  args: {
    file: {
      type: 'positional',
      description: 'settings file, or - for standard input',
      required: true,
    },
    'in-force': {
      type: 'boolean',
      description: 'let references lead to settings in force; reads the log service',
      default: false,
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const files = await Promise.all(args._.map((file) => readSettingsFile(context, file)));
    const documents = files.map(({ document }) => document);
    let problems = checkSettings(documents);
    if (args['in-force']) {
      const session = await readSettings(context, args);
      problems = checkSettings(documents, session.sections());
      await session.close();
    }
    const sections = documents.reduce((sum, document) => sum + document.sections.size, 0);
    if (args.json) context.out(renderJson({ sections, problems }));
    else {
      for (const problem of problems) context.out(`${formatProblem(problem)}\n`);
      context.out(`${sections} sections, ${problems.length} problems\n`);
    }
    return problems.some(({ severity }) => severity === ProblemSeverity.Error)
      ? ExitCode.InvalidSettings
      : ExitCode.Success;
  },
});
