import type { KvTransferQueue } from './kv-transfer-queue.js';

/** How a generation continues when its endpoint is being reclaimed. */
export enum HandoverKind {
  /** It finishes on the endpoint before the deadline. */
  Finish = 'finish',
  /** Its KV cache is migrated to another endpoint of the region; nothing is recomputed. */
  ExportKv = 'export_kv',
  /** Another endpoint recomputes the prompt and the recorded text, and continues from there. */
  Resume = 'resume',
}

/** Input of {@link HandoverPlanner.plan}. */
export interface HandoverInput {
  /** Request id of the generation. */
  readonly requestId: string;
  readonly nowMs: number;
  /** Epoch milliseconds of the reclaim. */
  readonly deadlineAtMs: number;
  /** Prompt and output tokens whose KV cache entries would be transferred. */
  readonly contextTokens: number;
  /** Upper bound of the tokens still to be generated. */
  readonly maxRemainingTokens: number;
  /** Observed time between tokens; undefined before the second token. */
  readonly tokenGapMs: number | undefined;
  /** Whether endpoint, target and daemon support KV export within the region. */
  readonly canExportKv: boolean;
}

/** Options of {@link HandoverPlanner}. */
export interface HandoverPlannerOptions {
  readonly kvBytesPerToken: number;
  /** Transfer rate within the region, in bytes per second. */
  readonly kvBytesPerS: number;
  readonly kvImportMs: number;
  /** Ratio of the remaining time that finishing or exporting may take by estimate. */
  readonly usableTimeRatio?: number;
  /** Queue of the transfers that share the rate; a planned export reserves a slot in it. */
  readonly transferQueue?: KvTransferQueue;
}

/**
 * Decides how a generation continues when its endpoint is being reclaimed.
 *
 * @example
 * ```ts
 * const planner = new HandoverPlanner({ kvBytesPerToken: 131_072, kvBytesPerS: 2e8, kvImportMs: 500 });
 * planner.plan(input); // HandoverKind.ExportKv
 * ```
 */
export class HandoverPlanner {
  readonly #options: HandoverPlannerOptions & { readonly usableTimeRatio: number };

  constructor(options: HandoverPlannerOptions) {
    // The rest of the time covers wrong estimates and streams that share the transfer rate.
    this.#options = { usableTimeRatio: 0.6, ...options };
  }

  /** Returns the decision and, for an export, reserves its transfer. */
  plan(input: HandoverInput): HandoverKind {
    const usableMs = this.#options.usableTimeRatio * (input.deadlineAtMs - input.nowMs);
    if (input.tokenGapMs !== undefined && input.maxRemainingTokens * input.tokenGapMs < usableMs) {
      return HandoverKind.Finish;
    }
    const canExport = input.canExportKv && this.estimateExportMs(input.contextTokens) < usableMs;
    if (!canExport) return HandoverKind.Resume;
    // Simultaneous reclaims are planned within one turn of the event loop: without the reservation,
    // each export would be estimated at the full rate.
    const bytes = input.contextTokens * this.#options.kvBytesPerToken;
    this.#options.transferQueue?.reserve(input.requestId, bytes);
    return HandoverKind.ExportKv;
  }

  /** Estimates the milliseconds to export, transfer and import a KV cache, after reserved ones. */
  estimateExportMs(contextTokens: number): number {
    const { kvBytesPerToken, kvBytesPerS, kvImportMs } = this.#options;
    const backlogMs = this.#options.transferQueue?.backlogMs() ?? 0;
    return backlogMs + (contextTokens * kvBytesPerToken * 1_000) / kvBytesPerS + kvImportMs;
  }
}
