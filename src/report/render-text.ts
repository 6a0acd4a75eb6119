import Table from 'cli-table3';
import { BurnAlert, type BurnReport, type BurnRow } from './burn-report.js';

/** Table style without colours, so that the output is the same in a terminal and in a file. */
const plainStyle = { head: [], border: [] };

/**
 * Renders the report as a text table without colours. Times are UTC in ISO 8601.
 *
 * @example
 * ```ts
 * process.stdout.write(renderText(report));
 * ```
 */
export function renderText(report: BurnReport): string {
  const table = new Table({
    head: [
      'workspace',
      'service',
      'objective',
      'limit',
      '5 min',
      '1 h',
      '30 min',
      '6 h',
      'budget left',
      'exhausted',
      'p50/p95/p99 ms',
      'alert',
    ],
    style: plainStyle,
  });
  for (const row of report.rows) {
    table.push([
      row.workspaceId,
      row.serviceId,
      row.objective,
      describeLimit(row),
      formatBurn(row.burn.fastShort),
      formatBurn(row.burn.fastLong),
      formatBurn(row.burn.slowShort),
      formatBurn(row.burn.slowLong),
      formatShare(row.budgetLeftRatio),
      formatExhaustion(row, report.createdAtMs),
      [row.p50Ms, row.p95Ms, row.p99Ms].map((value) => value ?? '-').join(' / '),
      row.alert === BurnAlert.None ? '' : row.alert,
    ]);
  }
  const body = report.rows.length > 0 ? table.toString() : 'No requests in the last six hours.';
  return `${body}\n${describeCoverage(report)}\n`;
}

/**
 * Describes in one sentence which daemons the figures cover.
 *
 * @example
 * ```ts
 * describeCoverage(report); // 'Covers 6 of 7 daemons; missing: entry-3 (connection refused).'
 * ```
 */
export function describeCoverage(report: BurnReport): string {
  const { daemons, missing } = report;
  const covered = `Covers ${daemons.length} of ${daemons.length + missing.length} daemons`;
  if (missing.length === 0) return `${covered}.`;
  const names = missing.map(({ daemon, reason }) => `${daemon} (${reason})`).join(', ');
  return `${covered}; missing: ${names}.`;
}

/** Formats the limit of an objective, such as `1900 ms for 95%`. */
export function describeLimit(row: BurnRow): string {
  const note = row.limitsDiffer ? ' (differs between daemons)' : '';
  return row.limitMs === null
    ? `at most ${formatShare(row.allowedRatio)}${note}`
    : `${row.limitMs} ms for ${formatShare(1 - row.allowedRatio)}${note}`;
}

/** Formats a burn rate with two decimals; `-` without requests. */
export function formatBurn(burn: number | null): string {
  return burn === null ? '-' : burn.toFixed(2);
}

/** Formats a share in percent with at most two decimals. */
export function formatShare(ratio: number): string {
  return `${Number((ratio * 100).toFixed(2))}%`;
}

/** Formats the projected exhaustion as a UTC time; `now` once it is reached, `-` without one. */
export function formatExhaustion(row: BurnRow, nowMs: number): string {
  if (row.exhaustsAtMs === null) return '-';
  return row.exhaustsAtMs <= nowMs
    ? 'now'
    : new Date(row.exhaustsAtMs).toISOString().replace(/\.\d+Z$/, 'Z');
}
