import type { ChosenEndpoint } from './endpoint-chooser.js';

/** Migration of one generation's KV cache within a region. */
export interface KvMigration {
  /** Request id of the generation whose KV cache is migrated. */
  readonly requestId: string;
  readonly from: ChosenEndpoint;
  readonly to: ChosenEndpoint;
  readonly deadlineAtMs: number;
}

/**
 * Migrates KV caches between endpoints, within the daemon's rate limit for KV transfers.
 *
 * @example
 * ```ts
 * const handle = await migrator.migrate({ requestId, from, to, deadlineAtMs });
 * ```
 */
export abstract class KvMigrator {
  /**
   * Returns a handle that the target accepts as `kv_import` in a generation request, or undefined
   * if the migration failed; the text is then recomputed.
   */
  abstract migrate(migration: KvMigration): Promise<string | undefined>;
}
