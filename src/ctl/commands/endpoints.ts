import { AdminQuery } from '../../admin-api/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { formatAge, formatTime, renderJson, renderTable, reportMissing } from '../output.js';
import { askDaemons } from '../session.js';

/** `oriolectl endpoints`: what each daemon believes about each endpoint. */
export const endpointsCommand = ctlCommand({
  name: 'endpoints',
  description: 'Show what each daemon believes about each endpoint.',
  examples: ['oriolectl endpoints', 'oriolectl endpoints prod/tejidos/endpoints/worker-3 --json'],
  args: {
    path: {
      type: 'positional',
      description: 'settings path to start from',
      required: false,
      default: '',
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const gathered = await askDaemons(context, args, AdminQuery.Endpoints, { path: args.path });
    if (args.json) context.out(renderJson(gathered));
    else {
      const rows = gathered.answers.flatMap(({ daemon, answer }) =>
        answer.map((endpoint) => ({ daemon, ...endpoint })),
      );
      rows.sort((a, b) => (a.path < b.path ? -1 : a.path > b.path ? 1 : 0));
      context.out(
        renderTable(
          [
            'endpoint',
            'seen by',
            'identity',
            'state',
            'failure domain',
            'leaves by',
            'in flight',
            'report age',
            'token gap ms',
            'slowdown',
          ],
          rows.map((row) => [
            row.path,
            row.daemon,
            row.id,
            row.state,
            row.failureDomain,
            formatTime(row.leavingAtMs),
            String(row.inFlightRequests),
            formatAge(row.reportAgeMs),
            row.tokenGapMs === null ? '-' : row.tokenGapMs.toFixed(1),
            row.slowdownRatio.toFixed(2),
          ]),
        ),
      );
    }
    return reportMissing(context, gathered.missing);
  },
});
