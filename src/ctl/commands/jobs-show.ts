import { AdminQuery, newestWorkItems } from '../../admin-api/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { renderJson, reportMissing } from '../output.js';
import { renderWorkTable } from './work-table.js';
import { askDaemons } from '../session.js';

/** `oriolectl jobs show`: one job or call. */
export const jobsShowCommand = ctlCommand({
  name: 'jobs show',
  description: 'Show one accepted job or non-repeatable call.',
  examples: ['oriolectl jobs show 7d3c2f7e-0b1a-4c57-9c55-2f2f9a3c1d11 --json'],
  args: {
    id: { type: 'positional', description: 'id of the job or call', required: true },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const gathered = await askDaemons(context, args, AdminQuery.Jobs, { id: args.id, limit: 10 });
    const items = newestWorkItems(gathered);
    const code = reportMissing(context, gathered.missing);
    if (items.length === 0) {
      context.err(`no daemon that answered knows "${args.id}" in the scope of this key\n`);
      return code === ExitCode.Success ? ExitCode.NotFound : code;
    }
    if (args.json) context.out(renderJson({ items, missing: gathered.missing }));
    else context.out(renderWorkTable(items));
    return code;
  },
});
