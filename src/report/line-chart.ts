import { scaleLinear, scaleLog, type ScaleContinuousNumeric } from 'd3-scale';
import { line } from 'd3-shape';

/** One line of a {@link LineChart}. */
export interface ChartSeries {
  readonly name: string;
  /** Points as [x, y] in the units of the axes, in the order of x. */
  readonly points: readonly (readonly [number, number])[];
}

/** Data and labels of a chart for {@link renderLineChart}. */
export interface LineChart {
  readonly title: string;
  /** Axis labels with their unit, such as `time (s)`. */
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly ChartSeries[];
  /** Horizontal line with a label, such as a target. */
  readonly threshold?: { readonly label: string; readonly value: number };
  /** Default: linear scales; a logarithmic axis omits points at or below zero. */
  readonly isXLog?: boolean;
  readonly isYLog?: boolean;
  readonly widthPx?: number;
  readonly heightPx?: number;
}

/** Colours that remain distinguishable with common colour vision deficiencies. */
const colours = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#e69f00', '#56b4e9', '#000000'];

const margin = { top: 32, right: 170, bottom: 44, left: 64 };

/**
 * Renders a line chart as a self-contained SVG document.
 *
 * @returns the text of an `<svg>` element, which may also be embedded in HTML.
 * @example
 * ```ts
 * const svg = renderLineChart({
 *   title: 'First token', xLabel: 'time (s)', yLabel: 'p99 (ms)',
 *   series: [{ name: 'router', points: [[0, 120], [1, 130]] }],
 * });
 * ```
 */
export function renderLineChart(chart: LineChart): string {
  const widthPx = chart.widthPx ?? 760;
  const heightPx = chart.heightPx ?? 360;
  const series = chart.series.map(({ name, points }) => ({
    name,
    points: points.filter(
      ([x, y]) =>
        Number.isFinite(x) &&
        Number.isFinite(y) &&
        (!chart.isXLog || x > 0) &&
        (!chart.isYLog || y > 0),
    ),
  }));
  const xs = series.flatMap(({ points }) => points.map(([x]) => x));
  const ys = series.flatMap(({ points }) => points.map(([, y]) => y));
  if (chart.threshold) ys.push(chart.threshold.value);
  const x = newScale(chart.isXLog ?? false, xs, false, [margin.left, widthPx - margin.right]);
  const y = newScale(chart.isYLog ?? false, ys, true, [heightPx - margin.bottom, margin.top]);

  const parts: string[] = [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${widthPx} ${heightPx}" ` +
      `width="${widthPx}" height="${heightPx}" font-family="sans-serif" font-size="11">`,
    `<rect width="${widthPx}" height="${heightPx}" fill="#fff"/>`,
    textAt(margin.left, 18, chart.title, 'font-size="14"'),
  ];
  for (const tick of y.ticks(5)) {
    const atPx = formatCoordinate(y(tick));
    parts.push(
      `<line x1="${margin.left}" x2="${widthPx - margin.right}" y1="${atPx}" y2="${atPx}" stroke="#ddd"/>`,
      textAt(margin.left - 6, y(tick) + 4, formatTick(tick), 'text-anchor="end"'),
    );
  }
  for (const tick of x.ticks(6)) {
    parts.push(
      textAt(x(tick), heightPx - margin.bottom + 16, formatTick(tick), 'text-anchor="middle"'),
    );
  }
  const middlePx = (margin.left + widthPx - margin.right) / 2;
  parts.push(
    textAt(middlePx, heightPx - 8, chart.xLabel, 'text-anchor="middle"'),
    textAt(
      14,
      heightPx / 2,
      chart.yLabel,
      `text-anchor="middle" transform="rotate(-90 14 ${formatCoordinate(heightPx / 2)})"`,
    ),
  );
  if (chart.threshold) {
    const atPx = y(chart.threshold.value);
    parts.push(
      `<line x1="${margin.left}" x2="${widthPx - margin.right}" y1="${formatCoordinate(atPx)}" y2="${formatCoordinate(atPx)}" ` +
        'stroke="#c00" stroke-dasharray="5 4"/>',
      textAt(widthPx - margin.right + 8, atPx + 4, chart.threshold.label, 'fill="#c00"'),
    );
  }
  const path = line<readonly [number, number]>(
    ([pointX]) => x(pointX),
    ([, pointY]) => y(pointY),
  );
  for (const [index, { name, points }] of series.entries()) {
    const colour = colours[index % colours.length] ?? '#000000';
    const data = path(points);
    if (data) parts.push(`<path d="${data}" fill="none" stroke="${colour}" stroke-width="1.6"/>`);
    const legendPx = margin.top + 14 * index + 6;
    parts.push(
      textAt(widthPx - margin.right + 8, legendPx, name, `fill="${colour}" font-weight="bold"`),
    );
  }
  parts.push('</svg>');
  return `${parts.join('\n')}\n`;
}

function newScale(
  isLog: boolean,
  values: readonly number[],
  includesZero: boolean,
  range: readonly [number, number],
): ScaleContinuousNumeric<number, number> {
  const low = values.reduce((least, value) => Math.min(least, value), Infinity);
  const high = values.reduce((most, value) => Math.max(most, value), -Infinity);
  const domain =
    values.length === 0
      ? isLog
        ? [1, 10]
        : [0, 1]
      : [!isLog && includesZero ? Math.min(0, low) : low, high > low ? high : low + 1];
  return (isLog ? scaleLog() : scaleLinear()).domain(domain).range(range).nice();
}

function textAt(x: number, y: number, text: string, attributes: string): string {
  return `<text x="${formatCoordinate(x)}" y="${formatCoordinate(y)}" ${attributes}>${escapeXml(text)}</text>`;
}

function formatCoordinate(value: number): string {
  return value.toFixed(1);
}

function formatTick(value: number): string {
  return Math.abs(value) >= 10_000 ? value.toExponential(0) : String(Number(value.toPrecision(3)));
}

function escapeXml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
