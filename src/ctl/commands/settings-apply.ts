import { AdminQuery } from '../../admin-api/index.js';
import {
  checkSettings,
  formatProblem,
  ProblemSeverity,
  type SectionValues,
} from '../../settings/index.js';
import type { ProposedEdit } from '../../settings-publisher/index.js';
import { RejectionReason, type ConfigVerdict } from '../../state/index.js';
import type { AdminClient } from '../admin-client.js';
import type { CommandContext } from '../command-context.js';
import { connectionArgs, connectionOf, required } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { CtlError } from '../ctl-error.js';
import { ExitCode } from '../exit-code.js';
import { renderJson, renderTable, withProgress } from '../output.js';
import { readSettingsFile, type SettingsFile } from '../settings-file.js';
import type { SettingsSession } from '../settings-session.js';
import { readSettings } from '../session.js';

/** How often the daemons are asked whether the change is in force. */
const pollMs = 500;

/** Result of a command for a script. */
interface ApplyResult {
  readonly verdict: ConfigVerdict | null;
  readonly paths: readonly string[];
  readonly inForce: readonly string[];
  readonly notInForce: readonly string[];
}

/** `oriolectl settings apply`: publishes a file as one atomic change. */
export const settingsApplyCommand = ctlCommand({
  name: 'settings apply',
  description: 'Publish a file to the log and wait until it is in force on every daemon.',
  examples: [
    'oriolectl settings apply tejidos.ini',
    'oriolectl settings apply tejidos.ini --remove prod/tejidos/limits/old@4097',
    'oriolectl settings apply first.ini --no-wait --json',
  ],
  args: {
    file: {
      type: 'positional',
      description: 'settings file, or - for standard input',
      required: true,
    },
    remove: {
      type: 'string',
      description: 'sections to remove, separated by commas',
      default: '',
      valueHint: 'path@revision',
    },
    wait: {
      type: 'boolean',
      description: 'wait until every daemon has the change in force',
      negativeDescription: 'end when the change is accepted; needs no daemon',
      default: true,
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const connection = connectionOf(args, context.env);
    if (args.wait) required(connection.adminUrl, 'admin-url');
    const file = await readSettingsFile(context, args.file);
    const removals = parseRemovals(args.remove);
    const deadlineAtMs = context.clock.nowMs() + connection.timeoutMs;
    const session = await readSettings(context, args);
    try {
      if (!isValid(context, file, session.sections())) return ExitCode.InvalidSettings;
      const edits = [...editsOf(file, session), ...removals];
      const paths = edits.map(({ path }) => path);
      if (edits.length === 0) {
        context.err('nothing to change: the settings in force are those of the file\n');
        if (args.json)
          context.out(renderResult({ verdict: null, paths, inForce: [], notInForce: [] }));
        return ExitCode.Success;
      }
      const verdict = await withProgress(
        context,
        'waiting for the decision on the change',
        session.publish(edits, deadlineAtMs),
      );
      if (!verdict.isAccepted) {
        if (args.json) context.out(renderResult({ verdict, paths, inForce: [], notInForce: [] }));
        return rejected(context, verdict);
      }
      context.err(`change ${verdict.changeId} accepted as revision ${verdict.revision}\n`);
      const spread = args.wait
        ? await withProgress(
            context,
            'waiting until the change is in force on every daemon',
            waitInForce(
              context,
              await context.openAdmin(connection),
              verdict.revision,
              deadlineAtMs,
            ),
          )
        : { inForce: [], notInForce: [] };
      context.out(
        args.json
          ? renderResult({ verdict, paths, ...spread })
          : paths.map((path) => `${path} is at revision ${verdict.revision}\n`).join(''),
      );
      for (const daemon of spread.notInForce) {
        context.err(`not in force on ${daemon} yet; run \`oriolectl settings in-force\` later\n`);
      }
      return spread.notInForce.length > 0 ? ExitCode.Partial : ExitCode.Success;
    } finally {
      await session.close();
    }
  },
});

function renderResult(result: ApplyResult): string {
  return renderJson(result);
}

/** Writes the problems to standard error. @returns false when one of them is an error. */
function isValid(
  context: CommandContext,
  { document }: SettingsFile,
  inForce: ReadonlyMap<string, SectionValues>,
): boolean {
  const problems = checkSettings([document], inForce);
  for (const problem of problems) context.err(`${formatProblem(problem)}\n`);
  return problems.every(({ severity }) => severity !== ProblemSeverity.Error);
}

/** Sections of the file that differ from those in force, with the revision they were edited from. */
function editsOf({ document, revisions }: SettingsFile, session: SettingsSession): ProposedEdit[] {
  const inForce = session.sections();
  return [...document.sections]
    .filter(([path, values]) => !sameValues(values, inForce.get(path)))
    .map(([path, values]) => ({ path, values, expectedRevision: revisions.get(path) ?? 0 }));
}

function sameValues(left: SectionValues, right: SectionValues | undefined): boolean {
  if (!right) return false;
  const names = Object.keys(left);
  return (
    names.length === Object.keys(right).length && names.every((name) => left[name] === right[name])
  );
}

function parseRemovals(text: string): ProposedEdit[] {
  return text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '')
    .map((item) => {
      const [, path, revision] = /^(.+)@(\d{1,16})$/.exec(item) ?? [];
      if (path && revision) return { path, values: null, expectedRevision: Number(revision) };
      throw new CtlError(
        ExitCode.Usage,
        `--remove "${item}" is not path@revision; see the revision with \`oriolectl settings get\``,
      );
    });
}

/** Explains a rejection, with both values of each conflict. */
function rejected(context: CommandContext, verdict: ConfigVerdict): ExitCode {
  context.err(`change ${verdict.changeId} rejected: ${verdict.message}\n`);
  for (const { path, expectedRevision, actualRevision, proposed, inForce } of verdict.conflicts) {
    const names = [...new Set([...Object.keys(proposed ?? {}), ...Object.keys(inForce ?? {})])];
    context.err(
      `[${path}]\n` +
        renderTable(
          ['setting', `yours, edited from ${expectedRevision}`, `in force, ${actualRevision}`],
          names.sort().map((name) => [name, show(proposed, name), show(inForce, name)]),
        ),
    );
  }
  if (verdict.reason === RejectionReason.Conflict) {
    context.err('get the settings again, repeat your edit and apply it\n');
  }
  switch (verdict.reason) {
    case RejectionReason.Conflict:
      return ExitCode.Conflict;
    case RejectionReason.InvalidSettings:
      return ExitCode.InvalidSettings;
    case RejectionReason.UnknownKey:
    case RejectionReason.BadSignature:
    case RejectionReason.OutOfScope:
      return ExitCode.Denied;
    case undefined:
      return ExitCode.Failed;
  }
}

function show(values: SectionValues | null, name: string): string {
  if (values === null) return '(removed)';
  return values[name] ?? '(default)';
}

/** Asks until every daemon has applied the revision, or the time is over. */
async function waitInForce(
  context: CommandContext,
  admin: AdminClient,
  revision: number,
  deadlineAtMs: number,
): Promise<{ inForce: string[]; notInForce: string[] }> {
  const { clock } = context;
  for (;;) {
    const { answers, missing } = await admin.query(AdminQuery.SettingsInForce, {
      path: '',
      sections: false,
    });
    const inForce = answers.filter(({ answer }) => answer.revision >= revision);
    const behind = answers.filter(({ answer }) => answer.revision < revision);
    const notInForce = [...behind, ...missing].map(({ daemon }) => daemon).sort();
    // A lost daemon is named but not waited for: it may not come back.
    const isLost = missing.every(({ lostAtMs }) => lostAtMs !== undefined);
    if ((behind.length === 0 && isLost) || clock.nowMs() >= deadlineAtMs) {
      return { inForce: inForce.map(({ daemon }) => daemon), notInForce };
    }
    await clock.sleepUntil(Math.min(deadlineAtMs, clock.nowMs() + pollMs));
  }
}
