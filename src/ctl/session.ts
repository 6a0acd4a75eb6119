import type { AdminQuery, Gathered, QueryAnswer, QueryParams } from '../admin-api/index.js';
import type { AdminClient } from './admin-client.js';
import type { CommandContext } from './command-context.js';
import { connectionOf } from './connection.js';
import { withProgress } from './output.js';
import type { SettingsSession } from './settings-session.js';

type ParsedOptions = Readonly<Record<string, unknown>>;

/** Client of the administration API that the options or variables name. */
export function openAdmin(context: CommandContext, args: ParsedOptions): Promise<AdminClient> {
  return context.openAdmin(connectionOf(args, context.env));
}

/** Asks all daemons, with progress on standard error. */
export async function askDaemons<Q extends AdminQuery>(
  context: CommandContext,
  args: ParsedOptions,
  query: Q,
  params: QueryParams<Q>,
): Promise<Gathered<QueryAnswer<Q>>> {
  const admin = await openAdmin(context, args);
  return withProgress(context, 'waiting for the daemons', admin.query(query, params));
}

/** Reads the settings from the log, with progress on standard error. Close the session. */
export function readSettings(
  context: CommandContext,
  args: ParsedOptions,
): Promise<SettingsSession> {
  return withProgress(
    context,
    'reading the settings in force',
    context.openSettings(connectionOf(args, context.env)),
  );
}
