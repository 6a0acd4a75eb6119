import { setImmediate } from 'node:timers/promises';
import { encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import { z } from 'zod';
import type { Clock } from '../core/index.js';
import { serviceSchema, ServiceKind, type Deployment } from '../settings/index.js';
import { sloRetentionMs, SloWindow, type SloCounts } from './slo-window.js';

/** Service-level objectives; each has its own error budget. */
export enum Objective {
  /** Time from receipt of the complete request to the first token, in milliseconds. */
  FirstToken = 'first_token',
  /** Time between two tokens, in milliseconds; each gap counts separately. */
  BetweenTokens = 'between_tokens',
  /** Time from receipt of the complete request to the end of the response, in milliseconds. */
  Completion = 'completion',
  /** Requests refused as `not_run` or answered as `unknown`. */
  Refusals = 'refusals',
}

/** Objectives of a service, from its settings section. */
export interface ServiceObjectives {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
  readonly completionMs: number;
  /** Share of requests or gaps that may miss a latency objective. */
  readonly lateRatio: number;
  /** Share of requests that may be refused. */
  readonly refusalRatio: number;
}

/** Lengths of the four windows of the burn-rate rules, in milliseconds. */
export const burnWindowsMs = {
  fastShort: 5 * 60_000,
  fastLong: 60 * 60_000,
  slowShort: 30 * 60_000,
  slowLong: sloRetentionMs,
} as const;

/** Names of the windows. */
export type BurnWindow = keyof typeof burnWindowsMs;

const countsSchema = z.object({ total: z.number().nonnegative(), bad: z.number().nonnegative() });

/** One objective of one workspace and service on one daemon, as sent between daemons. */
export const burnSeriesSchema = z.object({
  workspaceId: z.string().max(200),
  serviceId: z.string().max(200),
  objective: z.enum(Objective),
  /** Limit of a latency objective in milliseconds; null for refusals. */
  limitMs: z.number().nullable(),
  /** Share that may miss the objective. */
  allowedRatio: z.number(),
  windows: z.object({
    fastShort: countsSchema,
    fastLong: countsSchema,
    slowShort: countsSchema,
    slowLong: countsSchema,
  }),
  slots: z.array(countsSchema.extend({ startAtMs: z.number() })).max(64),
  /** Latencies of the last hour as a compressed histogram in base64; null when there are none. */
  histogram: z.string().max(65_536).nullable(),
});

/** All series of one daemon. */
export const burnSnapshotSchema = z.object({
  takenAtMs: z.number(),
  series: z.array(burnSeriesSchema).max(10_000),
});

export type BurnSeries = z.output<typeof burnSeriesSchema>;
export type BurnSnapshot = z.output<typeof burnSnapshotSchema>;

/** Restricts a snapshot; an undefined field matches everything. */
export interface BurnFilter {
  /** `team/name`. */
  readonly workspaceId?: string | undefined;
  /** `team/name`. */
  readonly serviceId?: string | undefined;
}

/**
 * Objectives in force for a service; the defaults of the schema when the service is unknown.
 *
 * @example
 * ```ts
 * objectivesOf(deployment, 'tejidos/sales-assistant').firstTokenMs; // 1900
 * ```
 */
export function objectivesOf(deployment: Deployment, serviceId: string): ServiceObjectives {
  const values =
    deployment.services.get(serviceId)?.values ?? serviceSchema.parse({ kind: ServiceKind.Engine });
  return {
    firstTokenMs: values.objective_first_token_ms,
    betweenTokensMs: values.objective_between_tokens_ms,
    completionMs: values.objective_completion_ms,
    lateRatio: 1 - values.objective_ratio,
    refusalRatio: values.objective_refusal_ratio,
  };
}

/**
 * Records the requests of one workspace at one service. Callers obtain a recorder once per request,
 * so that recording a token needs neither a map look-up nor a new key string.
 */
export class SeriesRecorder {
  readonly workspaceId: string;
  readonly serviceId: string;
  readonly #clock: Clock;
  readonly #windows: Readonly<Record<Objective, SloWindow>> = {
    [Objective.FirstToken]: new SloWindow(),
    [Objective.BetweenTokens]: new SloWindow(),
    [Objective.Completion]: new SloWindow(),
    [Objective.Refusals]: new SloWindow(),
  };
  #objectives: ServiceObjectives;

  /** @internal */
  constructor(workspaceId: string, serviceId: string, objectives: ServiceObjectives, clock: Clock) {
    this.workspaceId = workspaceId;
    this.serviceId = serviceId;
    this.#objectives = objectives;
    this.#clock = clock;
  }

  /** @param valueMs - time from receipt of the complete request to the first token. */
  recordFirstToken(valueMs: number): void {
    this.#record(Objective.FirstToken, valueMs, valueMs > this.#objectives.firstTokenMs);
  }

  /**
   * @param valueMs - time from one token to the next.
   * @param atMs - epoch milliseconds of the second token; default: now. The relay passes the time
   *   that it has already read for each token.
   */
  recordTokenGap(valueMs: number, atMs = this.#clock.nowMs()): void {
    const isLate = valueMs > this.#objectives.betweenTokensMs;
    this.#windows[Objective.BetweenTokens].record(atMs, valueMs, isLate);
  }

  /**
   * Counts a complete response.
   *
   * @param valueMs - time from receipt of the complete request to the end of the response.
   */
  recordCompletion(valueMs: number): void {
    this.#record(Objective.Completion, valueMs, valueMs > this.#objectives.completionMs);
    this.#record(Objective.Refusals, undefined, false);
  }

  /** Counts a request that ended without a complete response, as `not_run` or `unknown`. */
  recordRefusal(): void {
    this.#record(Objective.Refusals, undefined, true);
  }

  /** @internal Changed objectives apply from the next request on. */
  setObjectives(objectives: ServiceObjectives): void {
    this.#objectives = objectives;
  }

  /** @internal Returns the non-empty series of the four objectives. */
  snapshot(): BurnSeries[] {
    const nowMs = this.#clock.nowMs();
    const series: BurnSeries[] = [];
    for (const objective of Object.values(Objective)) {
      const window = this.#windows[objective];
      const counts = (name: BurnWindow): SloCounts => window.counts(nowMs, burnWindowsMs[name]);
      const slowLong = counts('slowLong');
      if (slowLong.total === 0) continue;
      const histogram = window.lastHourHistogram(nowMs);
      series.push({
        workspaceId: this.workspaceId,
        serviceId: this.serviceId,
        objective,
        ...this.#limitsOf(objective),
        windows: {
          fastShort: counts('fastShort'),
          fastLong: counts('fastLong'),
          slowShort: counts('slowShort'),
          slowLong,
        },
        slots: window.slots(nowMs),
        histogram: histogram ? encodeIntoCompressedBase64(histogram) : null,
      });
    }
    return series;
  }

  #record(objective: Objective, valueMs: number | undefined, bad: boolean): void {
    this.#windows[objective].record(this.#clock.nowMs(), valueMs, bad);
  }

  #limitsOf(objective: Objective): { limitMs: number | null; allowedRatio: number } {
    const { firstTokenMs, betweenTokensMs, completionMs, lateRatio, refusalRatio } =
      this.#objectives;
    switch (objective) {
      case Objective.FirstToken:
        return { limitMs: firstTokenMs, allowedRatio: lateRatio };
      case Objective.BetweenTokens:
        return { limitMs: betweenTokensMs, allowedRatio: lateRatio };
      case Objective.Completion:
        return { limitMs: completionMs, allowedRatio: lateRatio };
      case Objective.Refusals:
        return { limitMs: null, allowedRatio: refusalRatio };
    }
  }
}

/** Options of {@link BurnRecorder}. */
export interface BurnRecorderOptions {
  readonly clock: Clock;
  /** Objectives in force, usually `(id) => objectivesOf(configFold.deployment, id)`. */
  readonly objectives: (serviceId: string) => ServiceObjectives;
  /** Maximum number of workspace and service pairs; the least recently used one is evicted. */
  readonly maxSeries?: number;
}

/**
 * Holds the service-level measurements of one daemon in memory for six hours.
 *
 * @example
 * ```ts
 * const series = recorder.series('tejidos/tenders', 'tejidos/sales-assistant');
 * series.recordFirstToken(820);
 * series.recordCompletion(14_300);
 * ```
 */
export class BurnRecorder {
  readonly #clock: Clock;
  readonly #objectives: (serviceId: string) => ServiceObjectives;
  readonly #maxSeries: number;
  readonly #series = new Map<string, SeriesRecorder>();

  constructor(options: BurnRecorderOptions) {
    this.#clock = options.clock;
    this.#objectives = options.objectives;
    this.#maxSeries = options.maxSeries ?? 256;
  }

  /**
   * Returns the recorder of a workspace at a service, to be used for one request.
   *
   * @param workspaceId - `team/name`.
   * @param serviceId - `team/name`.
   */
  series(workspaceId: string, serviceId: string): SeriesRecorder {
    const key = `${workspaceId}\u0000${serviceId}`;
    const objectives = this.#objectives(serviceId);
    let series = this.#series.get(key);
    if (series) {
      series.setObjectives(objectives);
      this.#series.delete(key);
    } else {
      series = new SeriesRecorder(workspaceId, serviceId, objectives, this.#clock);
    }
    // A map iterates in insertion order, so the first key is the least recently used one.
    this.#series.set(key, series);
    if (this.#series.size > this.#maxSeries) {
      const oldest = this.#series.keys().next().value;
      if (oldest !== undefined) this.#series.delete(oldest);
    }
    return series;
  }

  /**
   * Returns the current counts and histograms of this daemon.
   *
   * Yields to the event loop after each pair: 256 pairs take 250 ms, and all streams of the daemon
   * would stall for that time.
   */
  async snapshot(filter: BurnFilter = {}): Promise<BurnSnapshot> {
    const chosen = [...this.#series.values()].filter(
      (recorder) =>
        (filter.workspaceId ?? recorder.workspaceId) === recorder.workspaceId &&
        (filter.serviceId ?? recorder.serviceId) === recorder.serviceId,
    );
    const takenAtMs = this.#clock.nowMs();
    const series: BurnSeries[] = [];
    for (const recorder of chosen) {
      series.push(...recorder.snapshot());
      await setImmediate();
    }
    return { takenAtMs, series };
  }
}
