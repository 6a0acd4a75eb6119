import { AdminQuery } from '../../admin-api/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { formatAge, renderJson, renderTable, reportMissing } from '../output.js';
import { askDaemons } from '../session.js';

/** `oriolectl status`: one line for each daemon. */
export const statusCommand = ctlCommand({
  name: 'status',
  description: 'Show the state of every daemon.',
  examples: ['oriolectl status', 'oriolectl status --json'],
  args: { ...jsonArg, ...connectionArgs },
  async run(context, args) {
    const gathered = await askDaemons(context, args, AdminQuery.Status, {});
    const nowMs = context.clock.nowMs();
    if (args.json) context.out(renderJson(gathered));
    else {
      context.out(
        renderTable(
          [
            'daemon',
            'version',
            'failure domain',
            'state',
            'settings revision',
            'settings age',
            'log',
            'live/suspect',
            'in flight',
            'queued',
            'up',
          ],
          gathered.answers.map(({ daemon, answer }) => [
            daemon,
            answer.version,
            `${answer.region}/${answer.failureDomain}`,
            answer.stopping ? 'stopping' : answer.ready ? 'ready' : 'starting',
            String(answer.settingsRevision),
            formatAge(nowMs - answer.settingsCaughtUpAtMs),
            answer.logReachable ? 'reachable' : 'unreachable',
            `${answer.liveMembers}/${answer.suspectMembers}`,
            String(answer.inFlightRequests),
            String(answer.queuedRequests),
            formatAge(nowMs - answer.startedAtMs),
          ]),
        ),
      );
    }
    return reportMissing(context, gathered.missing);
  },
});
