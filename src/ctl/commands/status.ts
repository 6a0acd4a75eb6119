import { AdminQuery, type CapacityStatus } from '../../admin-api/index.js';
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
      const rows = gathered.answers.flatMap(({ daemon, answer }) =>
        controlRows(daemon, answer.capacity, nowMs),
      );
      if (rows.length > 0) {
        context.out(
          renderTable(['daemon', 'controls', 'region', 'fence', 'roll-out', 'degraded'], rows),
        );
      }
    }
    return reportMissing(context, gathered.missing);
  },
});

/** One row for each controller that the daemon holds, or one if it only lacks information. */
function controlRows(daemon: string, capacity: CapacityStatus | null, nowMs: number): string[][] {
  if (!capacity) return [];
  const stale = capacity.staleSources.map((source) => `${source} is stale`);
  if (capacity.controllers.length === 0) {
    return stale.length === 0 ? [] : [[daemon, '', '', '', '', stale.join('; ')]];
  }
  return capacity.controllers.map(({ serviceId, region, fence, refusedStarts, rollout }) => {
    const refused = refusedStarts.map(
      ({ failureDomain, vmClass, reclaimable, untilMs }) =>
        `starts of ${vmClass} (${reclaimable ? 'reclaimable' : 'on-demand'}) in ${failureDomain} ` +
        `are refused, tried again in ${formatAge(untilMs - nowMs)}`,
    );
    const degraded = [...stale, ...refused, ...failureOf(rollout)].join('; ');
    return [daemon, serviceId, region, String(fence), progressOf(rollout), degraded];
  });
}

type Rollout = CapacityStatus['controllers'][number]['rollout'];

function progressOf(rollout: Rollout): string {
  if (!rollout) return '';
  const { phase, version, endpointsOnVersion, endpoints } = rollout;
  return `${phase} ${version}: ${endpointsOnVersion}/${endpoints}`;
}

function failureOf(rollout: Rollout): string[] {
  if (rollout?.failedVersion == null) return [];
  return [`version ${rollout.failedVersion} ${rollout.reason}`];
}
