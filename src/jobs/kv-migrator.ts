import type { ChosenEndpoint } from './endpoint-chooser.js';

/** A move of one generation's KV cache within a region. */
export interface KvMigration {
  /** Request id of the generation that is moved. */
  readonly requestId: string;
  readonly from: ChosenEndpoint;
  readonly to: ChosenEndpoint;
  readonly deadlineAtMs: number;
}

/**
 * Moves KV caches between endpoints, under the daemon's link budget.
 *
 * @example
 * ```ts
 * const handle = await mover.move({ requestId, from, to, deadlineAtMs });
 * ```
 */
export abstract class KvMigrator {
  /**
   * Returns a handle that the target accepts as `kv_import` in a generation request, or undefined
   * when the move failed; then the text is recomputed.
   */
  abstract migrate(migration: KvMigration): Promise<string | undefined>;
}
