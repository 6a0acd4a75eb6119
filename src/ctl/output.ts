import Table from 'cli-table3';
import type { MissingDaemon } from '../admin-api/index.js';
import type { CommandContext } from './command-context.js';
import { ExitCode } from './exit-code.js';

/** A table without colours, so that it reads the same in a file and for a screen reader. */
export function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const table = new Table({ head: [...head], style: { head: [], border: [] } });
  for (const row of rows) table.push([...row]);
  return `${table.toString()}\n`;
}

/** JSON for scripts: two spaces of indentation and a final line break. */
export function renderJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`;
}

/** UTC time in ISO 8601 without milliseconds; `-` for none. */
export function formatTime(atMs: number | null): string {
  return atMs === null ? '-' : new Date(atMs).toISOString().replace(/\.\d+Z$/, 'Z');
}

/** Rounded age such as `12 s`; `-` for none. */
export function formatAge(ageMs: number | null): string {
  return ageMs === null ? '-' : `${Math.max(0, Math.round(ageMs / 1_000))} s`;
}

/** Names the daemons that did not answer on standard error. @returns the exit code for that. */
export function reportMissing(
  context: CommandContext,
  missing: readonly MissingDaemon[],
): ExitCode {
  for (const { daemon, reason } of missing) {
    context.err(`daemon ${daemon} is missing from this answer: ${reason}\n`);
  }
  return missing.length > 0 ? ExitCode.Partial : ExitCode.Success;
}

/** Shows `label` on standard error while `work` takes more than a second, then every 5 s. */
export async function withProgress<T>(
  context: CommandContext,
  label: string,
  work: Promise<T>,
): Promise<T> {
  const { clock } = context;
  const startedAtMs = clock.nowMs();
  const show = (): void => {
    context.err(`${label} (${formatAge(clock.nowMs() - startedAtMs)})\n`);
    cancel = clock.schedule(clock.nowMs() + 5_000, show);
  };
  let cancel = clock.schedule(startedAtMs + 1_000, show);
  try {
    return await work;
  } finally {
    cancel();
  }
}
