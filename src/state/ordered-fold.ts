import { z } from 'zod';
import { OrioleError, Step } from '../core/index.js';
import { Fold, fenceOf, type Position } from './fold.js';

/**
 * Base of folds that follow one stream: ignores entries at or before the last position and entries
 * that do not match the fold's schema.
 *
 * @internal
 */
export abstract class OrderedFold<Entry, Snapshot> extends Fold {
  readonly #entrySchema: z.ZodType<Entry>;
  readonly #snapshotSchema: z.ZodType<Snapshot>;
  #lastFence = 0;

  protected constructor(entrySchema: z.ZodType<Entry>, snapshotSchema: z.ZodType<Snapshot>) {
    super();
    this.#entrySchema = entrySchema;
    this.#snapshotSchema = snapshotSchema;
  }

  override apply(position: Position, entry: unknown): void {
    const fence = fenceOf(position);
    if (fence <= this.#lastFence) return;
    this.#lastFence = fence;
    const result = this.#entrySchema.safeParse(entry);
    if (result.success) this.applyEntry(fence, result.data);
  }

  override snapshot(): unknown {
    return { lastFence: this.#lastFence, state: this.stateSnapshot() };
  }

  override restore(snapshot: unknown): void {
    const schema = z.object({ lastFence: z.int().nonnegative(), state: this.#snapshotSchema });
    const result = schema.safeParse(snapshot);
    if (!result.success) {
      throw new OrioleError('snapshot cannot be decoded; replay the stream or use an older one', {
        step: Step.State,
        peer: 'local',
        cause: result.error,
      });
    }
    this.#lastFence = result.data.lastFence;
    this.restoreState(result.data.state);
  }

  /** @param fence - position of the entry as a comparable number. */
  protected abstract applyEntry(fence: number, entry: Entry): void;
  protected abstract stateSnapshot(): Snapshot;
  protected abstract restoreState(state: Snapshot): void;
}
