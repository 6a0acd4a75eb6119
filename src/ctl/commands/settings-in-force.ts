import { AdminQuery, type Gathered, type SettingsInForce } from '../../admin-api/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { formatAge, renderJson, renderTable, reportMissing } from '../output.js';
import { askDaemons } from '../session.js';

/** `oriolectl settings in-force`: what each daemon has applied. */
export const settingsInForceCommand = ctlCommand({
  name: 'settings in-force',
  description: 'Show which settings each daemon has in force.',
  examples: [
    'oriolectl settings in-force',
    'oriolectl settings in-force prod/tejidos/limits/tenders',
  ],
  args: {
    path: {
      type: 'positional',
      description: 'show the values at this path or prefix',
      required: false,
      default: '',
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const gathered = await askDaemons(context, args, AdminQuery.SettingsInForce, {
      path: args.path,
      sections: args.path !== '',
    });
    const nowMs = context.clock.nowMs();
    if (args.json) context.out(renderJson(gathered));
    else {
      context.out(
        renderTable(
          ['daemon', 'revision', 'read to the end'],
          gathered.answers.map(({ daemon, answer }) => [
            daemon,
            String(answer.revision),
            `${formatAge(nowMs - answer.caughtUpAtMs)} ago`,
          ]),
        ),
      );
      if (args.path !== '') context.out(renderSections(gathered));
    }
    const code = reportMissing(context, gathered.missing);
    const differ = sectionVersions(gathered).some(({ versions }) => versions.size > 1);
    if (differ) context.err('the daemons differ: a change is not in force everywhere yet\n');
    return differ ? ExitCode.Partial : code;
  },
});

interface SectionVersions {
  readonly path: string;
  /** Daemons by what they have in force. */
  readonly versions: ReadonlyMap<string, readonly string[]>;
}

function sectionVersions({ answers }: Gathered<SettingsInForce>): SectionVersions[] {
  const paths = new Set(answers.flatMap(({ answer }) => answer.sections.map(({ path }) => path)));
  return [...paths].sort().map((path) => {
    const versions = new Map<string, string[]>();
    for (const { daemon, answer } of answers) {
      const section = answer.sections.find((one) => one.path === path);
      const text = section ? describeSection(section) : '(not set)';
      versions.set(text, [...(versions.get(text) ?? []), daemon]);
    }
    return { path, versions };
  });
}

function describeSection({ revision, values }: SettingsInForce['sections'][number]): string {
  const lines = Object.entries(values)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, value]) => `${name} = ${value}`);
  return [`; revision = ${revision}`, ...lines].join('\n');
}

function renderSections(gathered: Gathered<SettingsInForce>): string {
  const rows = sectionVersions(gathered).flatMap(({ path, versions }) =>
    [...versions].map(([text, daemons]) => [path, text, daemons.join(', ')]),
  );
  return renderTable(['path', 'in force', 'daemons'], rows);
}
