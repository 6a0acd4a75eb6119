import type { CtlCommand } from '../ctl-command.js';
import { drainCommand } from './drain.js';
import { endpointsCommand } from './endpoints.js';
import { explainCommand } from './explain.js';
import { jobsCancelCommand } from './jobs-cancel.js';
import { jobsListCommand } from './jobs-list.js';
import { jobsResolveCommand } from './jobs-resolve.js';
import { jobsShowCommand } from './jobs-show.js';
import { keysCreateCommand } from './keys-create.js';
import { reportBurnCommand } from './report-burn.js';
import { settingsApplyCommand } from './settings-apply.js';
import { settingsCheckCommand } from './settings-check.js';
import { settingsDiffCommand } from './settings-diff.js';
import { settingsGetCommand } from './settings-get.js';
import { settingsHistoryCommand } from './settings-history.js';
import { settingsInForceCommand } from './settings-in-force.js';
import { statusCommand } from './status.js';
import { traceCommand } from './trace.js';

/** All commands, in the order of the help. */
export const allCommands: readonly CtlCommand[] = [
  settingsCheckCommand,
  settingsDiffCommand,
  settingsApplyCommand,
  settingsGetCommand,
  settingsHistoryCommand,
  settingsInForceCommand,
  statusCommand,
  endpointsCommand,
  drainCommand,
  jobsListCommand,
  jobsShowCommand,
  jobsResolveCommand,
  jobsCancelCommand,
  explainCommand,
  traceCommand,
  reportBurnCommand,
  keysCreateCommand,
];
