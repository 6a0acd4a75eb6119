import { z } from 'zod';
import { EntryKind } from './envelope.js';
import { LogTime } from './log-time.js';
import { OrderedFold } from './ordered-fold.js';

/** Schema of a `drain` entry. */
export const drainEntrySchema = z.object({
  kind: z.literal(EntryKind.Drain),
  /** A VM id, or the subject of one of its processes. */
  subject: z.string().min(1).max(300),
  /** Incarnations at or below this are drained; epoch milliseconds. */
  upToIncarnation: z.number().nonnegative(),
  /** Time at which work that is still running is moved away, in epoch milliseconds. */
  leavingAtMs: z.number().nonnegative(),
  /** Time of the operator's order, in epoch milliseconds. */
  signalledAtMs: z.number().nonnegative(),
});

/** Entry that records an operator's drain, so that it outlasts all daemons that received it. */
export type DrainEntry = z.output<typeof drainEntrySchema>;

const drainSchema = drainEntrySchema.omit({ kind: true });

/** Drain of all incarnations of a subject up to `upToIncarnation`. */
export type Drain = z.output<typeof drainSchema>;

const snapshotSchema = z.object({ logTimeMs: z.number(), drains: z.array(drainSchema) });

type DrainSnapshot = z.output<typeof snapshotSchema>;

/** A drained process is replaced long before its drain expires. */
const drainRetentionMs = 30 * 24 * 3_600_000;

/**
 * Operators' drains by subject. Of two drains of a subject, the one that covers more incarnations
 * is kept.
 *
 * @example
 * ```ts
 * fold.covers({ subject, upToIncarnation });
 * ```
 */
export class DrainFold extends OrderedFold<DrainEntry, DrainSnapshot> {
  /** In the order of acceptance, which is nearly the order of expiry. */
  readonly #drains = new Map<string, Drain>();
  readonly #listeners: ((drains: readonly Drain[]) => void)[] = [];
  #time = new LogTime();

  constructor() {
    super(drainEntrySchema, snapshotSchema);
  }

  /** True when a recorded drain of the subject covers at least these incarnations. */
  covers({ subject, upToIncarnation }: Pick<Drain, 'subject' | 'upToIncarnation'>): boolean {
    const known = this.#drains.get(subject);
    return known !== undefined && known.upToIncarnation >= upToIncarnation;
  }

  /** All drains that have not expired. */
  drains(): readonly Drain[] {
    return [...this.#drains.values()];
  }

  /** Calls `listener` with each newly accepted drain, and with all drains after a restore. */
  onNewDrains(listener: (drains: readonly Drain[]) => void): void {
    this.#listeners.push(listener);
  }

  protected override applyEntry(_position: number, entry: DrainEntry): void {
    this.#time.observe(entry.signalledAtMs);
    this.#expire();
    if (this.covers(entry)) return;
    const drain = drainSchema.parse(entry);
    this.#drains.delete(drain.subject);
    this.#drains.set(drain.subject, drain);
    this.#notify([drain]);
  }

  protected override stateSnapshot(): DrainSnapshot {
    return { logTimeMs: this.#time.nowMs, drains: [...this.#drains.values()] };
  }

  protected override restoreState(state: DrainSnapshot): void {
    this.#time = new LogTime(state.logTimeMs);
    this.#drains.clear();
    for (const drain of state.drains) this.#drains.set(drain.subject, drain);
    this.#notify(state.drains);
  }

  #expire(): void {
    for (const [subject, { signalledAtMs }] of this.#drains) {
      if (signalledAtMs + drainRetentionMs > this.#time.nowMs) break;
      this.#drains.delete(subject);
    }
  }

  #notify(drains: readonly Drain[]): void {
    for (const listener of this.#listeners) listener(drains);
  }
}
