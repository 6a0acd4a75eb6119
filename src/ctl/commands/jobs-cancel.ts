import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { renderJson, withProgress } from '../output.js';
import { renderWorkTable } from './work-table.js';
import { openAdmin } from '../session.js';

/** `oriolectl jobs cancel`: withdraws an accepted job. */
export const jobsCancelCommand = ctlCommand({
  name: 'jobs cancel',
  description: 'Withdraw an accepted job; what it recorded stays readable.',
  examples: ['oriolectl jobs cancel 7d3c --note "asked for by the tenders desk"'],
  args: {
    id: { type: 'positional', description: 'id of the job', required: true },
    note: { type: 'string', description: 'why', default: 'no reason given', valueHint: 'text' },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const admin = await openAdmin(context, args);
    const item = await withProgress(
      context,
      'waiting for the cancellation to be recorded',
      admin.cancel(args.id, args.note),
    );
    context.out(args.json ? renderJson(item) : renderWorkTable([item]));
    return ExitCode.Success;
  },
});
