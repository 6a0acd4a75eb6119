import { AdminQuery } from '../../admin-api/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { formatTime, renderJson, renderTable, reportMissing } from '../output.js';
import { askDaemons } from '../session.js';

/** `oriolectl explain`: why a request went where it went. */
export const explainCommand = ctlCommand({
  name: 'explain',
  description: 'Show why a request went to its endpoint.',
  examples: ['oriolectl explain 5b0e0a52', 'oriolectl explain 5b0e0a52 --json'],
  args: {
    request: { type: 'positional', description: 'id of the request', required: true },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const gathered = await askDaemons(context, args, AdminQuery.Explain, {
      requestId: args.request,
    });
    const found = gathered.answers.flatMap(({ daemon, answer }) =>
      answer ? [{ daemon, ...answer }] : [],
    );
    const code = reportMissing(context, gathered.missing);
    if (found.length === 0) {
      context.err(
        `no daemon that answered remembers request "${args.request}" in the scope of this key; ` +
          'decisions are kept for a limited number of requests\n',
      );
      return code === ExitCode.Success ? ExitCode.NotFound : code;
    }
    if (args.json) {
      context.out(renderJson({ explanations: found, missing: gathered.missing }));
      return code;
    }
    for (const one of found) {
      context.out(
        `request ${one.requestId} of ${one.workspaceId} at ${one.serviceId}, decided by ` +
          `${one.daemon} at ${formatTime(one.decidedAtMs)}: ` +
          `${one.chosen || 'no endpoint'} (${one.outcome})\n`,
      );
      context.out(
        renderTable(
          ['endpoint', 'excluded by', 'score USD', 'terms'],
          one.candidates.map((candidate) => [
            candidate.endpoint,
            candidate.excludedBy || '-',
            candidate.scoreUsd === null ? '-' : candidate.scoreUsd.toPrecision(4),
            Object.entries(candidate.terms)
              .map(([name, value]) => `${name}=${value.toPrecision(3)}`)
              .join(' '),
          ]),
        ),
      );
    }
    return code;
  },
});
