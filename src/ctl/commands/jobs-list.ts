import { AdminQuery, newestWorkItems, WorkState } from '../../admin-api/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { CtlError } from '../ctl-error.js';
import { ExitCode } from '../exit-code.js';
import { renderJson, reportMissing } from '../output.js';
import { renderWorkTable } from './work-table.js';
import { askDaemons } from '../session.js';

/** `oriolectl jobs list`: accepted jobs and non-repeatable calls. */
export const jobsListCommand = ctlCommand({
  name: 'jobs list',
  description: 'List accepted jobs and non-repeatable calls.',
  examples: [
    'oriolectl jobs list --state unknown',
    'oriolectl jobs list --workspace tejidos/tenders --limit 50 --json',
  ],
  args: {
    state: {
      type: 'enum',
      description: 'only work in this state',
      options: Object.values(WorkState),
    },
    workspace: { type: 'string', description: 'only work of team/name', valueHint: 'team/name' },
    limit: {
      type: 'string',
      description: 'at most so many from each daemon',
      default: '200',
      valueHint: 'count',
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    if (!/^[1-9]\d{0,3}$/.test(args.limit)) {
      throw new CtlError(ExitCode.Usage, `--limit "${args.limit}" is not from 1 to 9999`);
    }
    const state = Object.values(WorkState).find((one) => one === args.state);
    const gathered = await askDaemons(context, args, AdminQuery.Jobs, {
      state,
      workspaceId: args.workspace,
      limit: Number(args.limit),
    });
    const items = newestWorkItems(gathered);
    if (args.json) context.out(renderJson({ items, missing: gathered.missing }));
    else context.out(renderWorkTable(items));
    return reportMissing(context, gathered.missing);
  },
});
