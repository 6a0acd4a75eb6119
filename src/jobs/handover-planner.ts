import type { KvTransferQueue } from './kv-transfer-queue.js';

/** What becomes of a generation whose endpoint is reclaimed. */
export enum HandoverKind {
  /** It ends on the endpoint with time to spare. */
  Finish = 'finish',
  /** Its KV cache moves to another endpoint of the region; nothing is recomputed. */
  ExportKv = 'export_kv',
  /** Another endpoint recomputes prompt and recorded text and continues. */
  Resume = 'resume',
}

/** Facts on which {@link HandoverPlanner} decides. */
export interface HandoverInput {
  /** Request id of the generation. */
  readonly requestId: string;
  readonly nowMs: number;
  /** Epoch milliseconds of the reclaim. */
  readonly deadlineAtMs: number;
  /** Prompt and output tokens whose KV entries would move. */
  readonly contextTokens: number;
  /** Upper bound of the tokens still to come. */
  readonly maxRemainingTokens: number;
  /** Observed time between tokens; undefined before the second token. */
  readonly tokenGapMs: number | undefined;
  /** Whether endpoint, target and daemon support KV export within the region. */
  readonly canExportKv: boolean;
}

/** Options of {@link HandoverPlanner}. */
export interface HandoverPlannerOptions {
  readonly kvBytesPerToken: number;
  /** Transfer rate within the region. */
  readonly kvBytesPerS: number;
  readonly kvImportMs: number;
  /** Share of the time left that a move may take by estimate. */
  readonly usableTimeRatio?: number;
  /** Transfers that share the rate; a planned export reserves its turn there. */
  readonly transferQueue?: KvTransferQueue;
}

/**
 * Decides how a generation leaves a reclaimed endpoint.
 *
 * @example
 * ```ts
 * const planner = new HandoverPlanner({ kvBytesPerToken: 131_072, kvBytesPerS: 2e8, kvImportMs: 500 });
 * planner.plan(facts); // HandoverKind.ExportKv
 * ```
 */
export class HandoverPlanner {
  readonly #options: HandoverPlannerOptions & { readonly usableTimeRatio: number };

  constructor(options: HandoverPlannerOptions) {
    // The rest covers estimates that are wrong and streams that share the transfer.
    this.#options = { usableTimeRatio: 0.6, ...options };
  }

  /** Decides, and reserves the transfer of an export. */
  plan(input: HandoverInput): HandoverKind {
    const usableMs = this.#options.usableTimeRatio * (input.deadlineAtMs - input.nowMs);
    if (input.tokenGapMs !== undefined && input.maxRemainingTokens * input.tokenGapMs < usableMs) {
      return HandoverKind.Finish;
    }
    const canExport = input.canExportKv && this.estimateExportMs(input.contextTokens) < usableMs;
    if (!canExport) return HandoverKind.Resume;
    // A wave is planned within one turn: without the reservation each export would expect the whole
    // rate for itself.
    const bytes = input.contextTokens * this.#options.kvBytesPerToken;
    this.#options.transferQueue?.reserve(input.requestId, bytes);
    return HandoverKind.ExportKv;
  }

  /** Estimated milliseconds to export, transfer and import the KV cache, after those reserved. */
  estimateExportMs(contextTokens: number): number {
    const { kvBytesPerToken, kvBytesPerS, kvImportMs } = this.#options;
    const backlogMs = this.#options.transferQueue?.backlogMs() ?? 0;
    return backlogMs + (contextTokens * kvBytesPerToken * 1_000) / kvBytesPerS + kvImportMs;
  }
}
