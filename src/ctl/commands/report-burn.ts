import { AdminQuery } from '../../admin-api/index.js';
import { BurnAlert, BurnReport, renderHtml, renderText } from '../../report/index.js';
import { connectionArgs } from '../connection.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { ExitCode } from '../exit-code.js';
import { renderJson, reportMissing } from '../output.js';
import { askDaemons } from '../session.js';

/** `oriolectl report burn`: burn rates of all objectives. */
export const reportBurnCommand = ctlCommand({
  name: 'report burn',
  description: 'Show burn rates and budgets of the service-level objectives.',
  examples: [
    'oriolectl report burn',
    'oriolectl report burn --workspace tejidos/tenders --html burn.html',
    'oriolectl report burn --fail-on-alert --json',
  ],
  args: {
    workspace: { type: 'string', description: 'only this workspace', valueHint: 'team/name' },
    service: { type: 'string', description: 'only this service', valueHint: 'team/name' },
    html: { type: 'string', description: 'also write a page with plots', valueHint: 'file' },
    'fail-on-alert': {
      type: 'boolean',
      description: 'exit with 9 when a rule is raised',
      default: false,
    },
    ...jsonArg,
    ...connectionArgs,
  },
  async run(context, args) {
    const gathered = await askDaemons(context, args, AdminQuery.Burn, {
      workspaceId: args.workspace,
      serviceId: args.service,
    });
    const report = BurnReport.merge(
      gathered.answers.map(({ daemon, answer }) => ({ daemon, snapshot: answer })),
      gathered.missing,
      context.clock.nowMs(),
    );
    context.out(args.json ? renderJson(report) : renderText(report));
    if (args.html !== undefined) await context.writeFile(args.html, renderHtml(report), false);
    const code = reportMissing(context, gathered.missing);
    const raised = report.alert !== BurnAlert.None && args['fail-on-alert'];
    return raised ? ExitCode.Finding : code;
  },
});
