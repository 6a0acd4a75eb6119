import { scaleLinear, scaleTime } from 'd3-scale';
import { line } from 'd3-shape';
import { burnRate, slowBurnThreshold, type BurnReport, type BurnRow } from './burn-report.js';
import {
  describeCoverage,
  describeLimit,
  formatBurn,
  formatExhaustion,
  formatShare,
} from './render-text.js';
import { sloRetentionMs, sloSlotMs, type SloSlot } from './slo-window.js';

const plot = { width: 640, height: 160, left: 48, right: 12, top: 12, bottom: 24 };

const style = `
body { font: 14px/1.5 sans-serif; margin: 2rem; color: #222; }
table { border-collapse: collapse; margin-bottom: 2rem; }
th, td { border: 1px solid #ccc; padding: 0.25rem 0.5rem; text-align: left; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
tr.fast { background: #fbd5d0; } tr.slow { background: #fdeec4; }
.missing { border: 2px solid #a3230f; padding: 0.5rem; }
svg text { font-size: 11px; fill: #555; }
`;

/**
 * Renders the report as one self-contained HTML page without scripts and with inline styles and
 * plots. Names come from settings and are escaped.
 *
 * @example
 * ```ts
 * await writeFile('burn.html', renderHtml(report));
 * ```
 */
export function renderHtml(report: BurnReport): string {
  const createdAt = new Date(report.createdAtMs).toISOString();
  const coverage = escapeHtml(describeCoverage(report));
  const missing = report.missing.length > 0;
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn rates ${createdAt}</title>
<style>${style}</style>
</head>
<body>
<h1>Burn rates</h1>
<p>Created ${createdAt}. Budgets refer to the trailing six hours.</p>
<p${missing ? ' class="missing"' : ''}>${coverage}</p>
${renderTable(report)}
${report.rows.map((row) => renderPlot(row, report.createdAtMs)).join('\n')}
</body>
</html>
`;
}

function renderTable(report: BurnReport): string {
  if (report.rows.length === 0) return '<p>No requests in the last six hours.</p>';
  const names = [
    'workspace',
    'service',
    'objective',
    'limit',
    'burn 5 min',
    'burn 1 h',
    'burn 30 min',
    'burn 6 h',
    'budget left',
    'exhausted',
    'p50 ms',
    'p95 ms',
    'p99 ms',
    'alert',
  ];
  const head = names.map((name) => `<th scope="col">${name}</th>`).join('');
  const rows = report.rows.map((row) => {
    const texts = [row.workspaceId, row.serviceId, row.objective, describeLimit(row)];
    const numbers = [
      formatBurn(row.burn.fastShort),
      formatBurn(row.burn.fastLong),
      formatBurn(row.burn.slowShort),
      formatBurn(row.burn.slowLong),
      formatShare(row.budgetLeftRatio),
      formatExhaustion(row, report.createdAtMs),
      ...[row.p50Ms, row.p95Ms, row.p99Ms].map((value) => String(value ?? '-')),
    ];
    const cells = [
      ...texts.map((text) => `<td>${escapeHtml(text)}</td>`),
      ...numbers.map((text) => `<td class="number">${text}</td>`),
      `<td>${row.alert}</td>`,
    ];
    return `<tr class="${row.alert}">${cells.join('')}</tr>`;
  });
  return `<table>\n<thead><tr>${head}</tr></thead>\n<tbody>\n${rows.join('\n')}\n</tbody>\n</table>`;
}

interface PlotPoint {
  readonly slot: SloSlot;
  readonly rate: number;
}

/**
 * Plots the burn rate of each ten-minute slot over six hours, with a line at rate 1, which spends
 * exactly the budget.
 */
function renderPlot(row: BurnRow, nowMs: number): string {
  const title = escapeHtml(`${row.workspaceId} at ${row.serviceId}: ${row.objective}`);
  const points = row.slots.map((slot) => ({ slot, rate: plottedRate(slot, row.allowedRatio) }));
  const top = Math.max(slowBurnThreshold, ...points.map(({ rate }) => rate));
  const { width, height, left, right, bottom } = plot;
  const x = scaleTime()
    .domain([new Date(nowMs - sloRetentionMs), new Date(nowMs)])
    .range([left, width - right]);
  const y = scaleLinear()
    .domain([0, top])
    .nice()
    .range([height - bottom, plot.top]);
  const xOf = ({ slot }: PlotPoint): number =>
    x(Math.min(nowMs, Math.max(nowMs - sloRetentionMs, slot.startAtMs + sloSlotMs / 2)));
  const yOf = ({ rate }: PlotPoint): number => y(rate);
  const path = line<PlotPoint>().x(xOf).y(yOf);
  // A slot without requests has no burn rate, so the curve is interrupted there.
  const segments = splitAtGaps(points).map((part) => {
    const [only, ...others] = part;
    if (only && others.length === 0) {
      return `<circle cx="${xOf(only).toFixed(1)}" cy="${yOf(only).toFixed(1)}" r="2.5" fill="#1f5fa8"/>`;
    }
    return `<path d="${path(part) ?? ''}" fill="none" stroke="#1f5fa8" stroke-width="1.5"/>`;
  });
  const yAxis = y.ticks(4).map((tick) => {
    const at = y(tick).toFixed(1);
    return `<line x1="${left}" x2="${width - right}" y1="${at}" y2="${at}" stroke="#e3e3e3"/><text x="${left - 6}" y="${at}" text-anchor="end" dy="0.32em">${tick}</text>`;
  });
  const xAxis = hourTicks(nowMs).map((tickMs) => {
    const label = new Date(tickMs).toISOString().slice(11, 16);
    return `<text x="${x(tickMs).toFixed(1)}" y="${height - 6}" text-anchor="middle">${label}</text>`;
  });
  const thresholdY = y(1).toFixed(1);
  return `<h2>${title}</h2>
<svg role="img" aria-label="Burn rate over six hours, ${title}" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}">
${yAxis.join('')}${xAxis.join('')}
<line x1="${left}" x2="${width - right}" y1="${thresholdY}" y2="${thresholdY}" stroke="#a3230f" stroke-dasharray="4 3"/>
${segments.join('\n')}
</svg>`;
}

/** Full hours (UTC) within the plot; d3's default ticks follow the local time zone. */
function hourTicks(nowMs: number): number[] {
  const hourMs = 3_600_000;
  const first = Math.ceil((nowMs - sloRetentionMs) / hourMs) * hourMs;
  const ticks: number[] = [];
  for (let tick = first; tick <= nowMs; tick += hourMs) ticks.push(tick);
  return ticks;
}

function splitAtGaps(points: readonly PlotPoint[]): PlotPoint[][] {
  const parts: PlotPoint[][] = [];
  let previousAtMs = Number.NEGATIVE_INFINITY;
  for (const point of points) {
    const part = parts.at(-1);
    if (part && point.slot.startAtMs - previousAtMs === sloSlotMs) part.push(point);
    else parts.push([point]);
    previousAtMs = point.slot.startAtMs;
  }
  return parts;
}

/** Rates in a plot are capped at this value; higher ones would flatten the rest of the curve. */
const maxPlottedRate = 100;

function plottedRate(slot: SloSlot, allowedRatio: number): number {
  return Math.min(maxPlottedRate, burnRate(slot, allowedRatio) ?? 0);
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;')
    .replaceAll("'", '&#39;');
}
