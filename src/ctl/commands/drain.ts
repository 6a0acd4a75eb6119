import { AdminQuery } from '../../admin-api/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { CtlError } from '../ctl-error.js';
import { ExitCode } from '../exit-code.js';
import { renderJson, renderTable, reportMissing } from '../output.js';
import { askDaemons } from '../session.js';

/** `oriolectl drain`: makes every daemon treat an endpoint as leaving. */
export const drainCommand = ctlCommand({
  name: 'drain',
  description: 'Send no new work to an endpoint and move its work away.',
  examples: [
    'oriolectl drain prod/tejidos/endpoints/worker-3',
    'oriolectl drain prod/tejidos/endpoints/worker-3 --within-s 30',
  ],
  args: {
    path: { type: 'positional', description: 'settings path of the endpoint', required: true },
    'within-s': {
      type: 'string',
      description: 'seconds within which its work is to be moved',
      default: '120',
      valueHint: 'seconds',
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const seconds = args['within-s'];
    if (!/^\d{1,6}$/.test(seconds)) {
      throw new CtlError(
        ExitCode.Usage,
        `--within-s "${seconds}" is not a whole number of seconds`,
      );
    }
    const deadlineAtMs = context.clock.nowMs() + Number(seconds) * 1_000;
    const gathered = await askDaemons(context, args, AdminQuery.Drain, {
      path: args.path,
      deadlineAtMs,
    });
    if (args.json) context.out(renderJson(gathered));
    else {
      context.out(
        renderTable(
          ['daemon', 'identities leaving', 'in flight'],
          gathered.answers.map(({ daemon, answer }) => [
            daemon,
            answer.ids.join(', ') || 'none',
            String(answer.inFlightRequests),
          ]),
        ),
      );
    }
    const found = gathered.answers.some(({ answer }) => answer.ids.length > 0);
    const code = reportMissing(context, gathered.missing);
    if (found || code !== ExitCode.Success) return code;
    context.err(`no daemon knows an endpoint at ${args.path}\n`);
    return ExitCode.NotFound;
  },
});
