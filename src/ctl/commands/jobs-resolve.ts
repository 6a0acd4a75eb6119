import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { renderJson, withProgress } from '../output.js';
import { renderWorkTable } from './work-table.js';
import { openAdmin } from '../session.js';

/** `oriolectl jobs resolve`: records whether a call with an unknown outcome ran. */
export const jobsResolveCommand = ctlCommand({
  name: 'jobs resolve',
  description: 'Record whether a call with an unknown outcome ran.',
  examples: [
    'oriolectl jobs resolve 0c6f --outcome ran --note "truck 14 left at 09:10"',
    'oriolectl jobs resolve 0c6f --outcome not_run --note "no order in the stock application"',
  ],
  args: {
    id: { type: 'positional', description: 'id of the call', required: true },
    outcome: {
      type: 'enum',
      description: 'what happened',
      options: ['ran', 'not_run'],
      required: true,
    },
    note: {
      type: 'string',
      description: 'how you found out',
      required: true,
      valueHint: 'text',
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const admin = await openAdmin(context, args);
    const item = await withProgress(
      context,
      'waiting for the resolution to be recorded',
      admin.resolve(args.id, args.outcome === 'ran', args.note),
    );
    context.out(args.json ? renderJson(item) : renderWorkTable([item]));
    return ExitCode.Success;
  },
});
