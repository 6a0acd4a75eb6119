import type { Histogram } from 'hdr-histogram-js';
import {
  burnWindowsMs,
  type Objective,
  type BurnSeries,
  type BurnSnapshot,
  type BurnWindow,
} from './burn-recorder.js';
import {
  decodeHistogram,
  newHistogram,
  sloSlotMs,
  type SloCounts,
  type SloSlot,
} from './slo-window.js';

/**
 * Burn rate that both windows of the fast rule must exceed to raise the alert. With a budget for 30
 * days, a rate of 14.4 spends 2% of it in one hour, and a rate of 6 spends 5% in six hours.
 */
export const fastBurnThreshold = 14.4;
/** Same as {@link fastBurnThreshold}, for the slow rule. */
export const slowBurnThreshold = 6;

/** Alert raised for an objective. */
export enum BurnAlert {
  None = 'none',
  /** The burn rates over 30 min and 6 h exceed {@link slowBurnThreshold}: investigate today. */
  Slow = 'slow',
  /** The burn rates over 5 min and 1 h exceed {@link fastBurnThreshold}: investigate now. */
  Fast = 'fast',
}

/** Snapshot of one daemon, to be merged into a report. */
export interface DaemonSnapshot {
  readonly daemon: string;
  readonly snapshot: BurnSnapshot;
}

/** A daemon whose snapshot is missing from the report, and why. */
export interface MissingSnapshot {
  readonly daemon: string;
  readonly reason: string;
}

/** One objective of one workspace and service, merged over all daemons that answered. */
export interface BurnRow {
  readonly workspaceId: string;
  readonly serviceId: string;
  readonly objective: Objective;
  /** Limit in milliseconds; null for refusals. */
  readonly limitMs: number | null;
  /** Share that may miss the objective. */
  readonly allowedRatio: number;
  /** True when daemons report different limits, as while a settings change propagates. */
  readonly limitsDiffer: boolean;
  /** Sums over the daemons. */
  readonly counts: Readonly<Record<BurnWindow, SloCounts>>;
  /** Ratio of missed to allowed share; 1 spends exactly the budget, null without requests. */
  readonly burn: Readonly<Record<BurnWindow, number | null>>;
  readonly alert: BurnAlert;
  /** Unspent share of the budget of the last six hours; negative when overspent. */
  readonly budgetLeftRatio: number;
  /** When the budget runs out at the rate of the last hour; null if not within 30 days. */
  readonly exhaustsAtMs: number | null;
  /** Percentiles of the last hour in milliseconds; null without latencies. */
  readonly p50Ms: number | null;
  readonly p95Ms: number | null;
  readonly p99Ms: number | null;
  /** Ten-minute slots of the last six hours, oldest first; slots without requests are omitted. */
  readonly slots: readonly SloSlot[];
}

/** Longest projection of budget exhaustion; later times are reported as null. */
const maxProjectionMs = 30 * 24 * 60 * 60_000;

/**
 * Burn rates merged over daemons.
 *
 * Budgets refer to the last six hours, which daemons hold in memory. The counts of a daemon are
 * lost when it restarts and not included when it does not answer; `missing` names those without an
 * answer.
 *
 * @example
 * ```ts
 * const report = BurnReport.merge(snapshots, missing, clock.nowMs());
 * process.stdout.write(renderText(report));
 * ```
 */
export class BurnReport {
  readonly createdAtMs: number;
  readonly rows: readonly BurnRow[];
  /** Daemons whose counts are included. */
  readonly daemons: readonly string[];
  readonly missing: readonly MissingSnapshot[];

  private constructor(
    createdAtMs: number,
    rows: readonly BurnRow[],
    daemons: readonly string[],
    missing: readonly MissingSnapshot[],
  ) {
    this.createdAtMs = createdAtMs;
    this.rows = rows;
    this.daemons = daemons;
    this.missing = missing;
  }

  /** Merges snapshots. The result does not depend on their order. */
  static merge(
    snapshots: readonly DaemonSnapshot[],
    missing: readonly MissingSnapshot[],
    nowMs: number,
  ): BurnReport {
    const groups = new Map<string, BurnSeries[]>();
    const ordered = [...snapshots].sort((a, b) => (a.daemon < b.daemon ? -1 : 1));
    for (const { snapshot } of ordered) {
      for (const series of snapshot.series) {
        const key = JSON.stringify([series.workspaceId, series.serviceId, series.objective]);
        const group = groups.get(key);
        if (group) group.push(series);
        else groups.set(key, [series]);
      }
    }
    const rows = [...groups]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .flatMap(([, group]) => mergeSeries(group, nowMs));
    return new BurnReport(
      nowMs,
      rows,
      ordered.map(({ daemon }) => daemon),
      missing,
    );
  }

  /** Highest alert of all rows. */
  get alert(): BurnAlert {
    if (this.rows.some(({ alert }) => alert === BurnAlert.Fast)) return BurnAlert.Fast;
    return this.rows.some(({ alert }) => alert === BurnAlert.Slow)
      ? BurnAlert.Slow
      : BurnAlert.None;
  }
}

/**
 * Ratio of missed to allowed share. An allowed share of 0 counts as one in a million, so that the
 * rate stays finite.
 *
 * @returns null without requests.
 * @example
 * ```ts
 * burnRate({ total: 100, bad: 10 }, 0.05); // 2
 * ```
 */
export function burnRate({ total, bad }: SloCounts, allowedRatio: number): number | null {
  if (total === 0) return null;
  return bad / total / Math.max(allowedRatio, 1e-6);
}

function mergeSeries(group: readonly BurnSeries[], nowMs: number): BurnRow[] {
  const [first] = group;
  if (!first) return [];
  const { workspaceId, serviceId, objective, limitMs, allowedRatio } = first;
  const sum = (name: BurnWindow): SloCounts => addCounts(group.map(({ windows }) => windows[name]));
  const counts = {
    fastShort: sum('fastShort'),
    fastLong: sum('fastLong'),
    slowShort: sum('slowShort'),
    slowLong: sum('slowLong'),
  };
  const burn = {
    fastShort: burnRate(counts.fastShort, allowedRatio),
    fastLong: burnRate(counts.fastLong, allowedRatio),
    slowShort: burnRate(counts.slowShort, allowedRatio),
    slowLong: burnRate(counts.slowLong, allowedRatio),
  };
  const histogram = mergeHistograms(group);
  const percentile = (percent: number): number | null =>
    histogram ? histogram.getValueAtPercentile(percent) : null;
  return [
    {
      workspaceId,
      serviceId,
      objective,
      limitMs,
      allowedRatio,
      limitsDiffer: group.some(
        (series) => series.limitMs !== limitMs || series.allowedRatio !== allowedRatio,
      ),
      counts,
      burn,
      alert: alertOf(burn),
      budgetLeftRatio: 1 - (burn.slowLong ?? 0),
      exhaustsAtMs: projectExhaustion(counts, allowedRatio, nowMs),
      p50Ms: percentile(50),
      p95Ms: percentile(95),
      p99Ms: percentile(99),
      slots: mergeSlots(group),
    },
  ];
}

function alertOf(burn: Readonly<Record<BurnWindow, number | null>>): BurnAlert {
  const areBothAbove = (short: number | null, long: number | null, threshold: number): boolean =>
    (short ?? 0) > threshold && (long ?? 0) > threshold;
  if (areBothAbove(burn.fastShort, burn.fastLong, fastBurnThreshold)) return BurnAlert.Fast;
  return areBothAbove(burn.slowShort, burn.slowLong, slowBurnThreshold)
    ? BurnAlert.Slow
    : BurnAlert.None;
}

/**
 * Projects when the misses use up the number that the requests of the last six hours allow, if
 * misses continue at the rate of the last hour.
 */
function projectExhaustion(
  counts: Readonly<Record<BurnWindow, SloCounts>>,
  allowedRatio: number,
  nowMs: number,
): number | null {
  const missesLeft = allowedRatio * counts.slowLong.total - counts.slowLong.bad;
  if (missesLeft <= 0) return nowMs;
  const badPerMs = counts.fastLong.bad / burnWindowsMs.fastLong;
  const allowedPerMs = (allowedRatio * counts.slowLong.total) / burnWindowsMs.slowLong;
  // At or below the allowed rate, old misses leave the window as fast as new ones arrive.
  if (badPerMs <= allowedPerMs) return null;
  const timeLeftMs = missesLeft / badPerMs;
  return timeLeftMs > maxProjectionMs ? null : nowMs + timeLeftMs;
}

function mergeHistograms(group: readonly BurnSeries[]): Histogram | undefined {
  const encoded = group.flatMap(({ histogram }) => (histogram === null ? [] : [histogram]));
  if (encoded.length === 0) return undefined;
  const merged = newHistogram();
  for (const text of encoded) merged.add(decodeHistogram(text));
  return merged;
}

function mergeSlots(group: readonly BurnSeries[]): SloSlot[] {
  const slots = new Map<number, SloCounts[]>();
  for (const { slots: daemonSlots } of group) {
    for (const slot of daemonSlots) {
      const startAtMs = Math.floor(slot.startAtMs / sloSlotMs) * sloSlotMs;
      slots.set(startAtMs, [...(slots.get(startAtMs) ?? []), slot]);
    }
  }
  return [...slots]
    .sort(([a], [b]) => a - b)
    .map(([startAtMs, counts]) => ({ startAtMs, ...addCounts(counts) }));
}

function addCounts(counts: readonly SloCounts[]): SloCounts {
  return counts.reduce<SloCounts>(
    (sum, one) => ({ total: sum.total + one.total, bad: sum.bad + one.bad }),
    { total: 0, bad: 0 },
  );
}
