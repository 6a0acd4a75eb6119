import { z } from 'zod';
import { OrioleError, Step } from '../core/index.js';
import { EntryKind } from './envelope.js';
import { Fold, type Fence, type Position } from './fold.js';
import { LeaseFold } from './lease-fold.js';
import { OrderedFold } from './ordered-fold.js';

/** Schema of a `controller_state` entry. */
export const controllerStateEntrySchema = z.object({
  kind: z.literal(EntryKind.ControllerState),
  /** Name of the lease under which the controller works. */
  name: z.string().min(1),
  /** Fence of the lease that the writer held. */
  fence: z.int().positive(),
  /** Grows with each entry under a fence, so that a duplicated or late append has no effect. */
  sequence: z.int().positive(),
  /** Key of the value, such as `intent/{token}`. */
  key: z.string().min(1).max(512),
  /** JSON value; null removes the key. */
  value: z.unknown(),
});

/** Entry with which a controller stores a value for the next holder of its lease. */
export type ControllerStateEntry = z.output<typeof controllerStateEntrySchema>;

const controllerStateSchema = z.object({
  name: z.string(),
  fence: z.int(),
  sequence: z.int(),
  values: z.array(z.tuple([z.string(), z.unknown()])),
});

interface StoredControllerState {
  fence: Fence;
  sequence: number;
  readonly values: Map<string, unknown>;
}

type ControllerStateSnapshot = z.output<typeof controllerStateSchema>[];

/** Values stored by controllers, by lease name. */
class ControllerStateFold extends OrderedFold<ControllerStateEntry, ControllerStateSnapshot> {
  readonly #leases: LeaseFold;
  readonly #states = new Map<string, StoredControllerState>();

  constructor(leases: LeaseFold) {
    super(controllerStateEntrySchema, z.array(controllerStateSchema));
    this.#leases = leases;
  }

  current(name: string): StoredControllerState | undefined {
    return this.#states.get(name);
  }

  protected override applyEntry(_position: number, entry: ControllerStateEntry): void {
    const { name, fence, sequence, key, value } = entry;
    if (fence !== this.#leases.fence(name)) return;
    let current = this.#states.get(name);
    if (!current) {
      current = { fence, sequence: 0, values: new Map() };
      this.#states.set(name, current);
    }
    if (fence === current.fence && sequence <= current.sequence) return;
    current.fence = fence;
    current.sequence = sequence;
    if (value === null || value === undefined) current.values.delete(key);
    else current.values.set(key, value);
  }

  protected override stateSnapshot(): ControllerStateSnapshot {
    return [...this.#states].map(([name, { fence, sequence, values }]) => ({
      name,
      fence,
      sequence,
      values: [...values],
    }));
  }

  protected override restoreState(state: ControllerStateSnapshot): void {
    this.#states.clear();
    for (const { name, fence, sequence, values } of state) {
      this.#states.set(name, { fence, sequence, values: new Map(values) });
    }
  }
}

const snapshotSchema = z.object({ leases: z.unknown(), values: z.unknown() });

/**
 * State of a `control.{region}` stream: the controllers' leases and the values that each controller
 * stores for the next holder. A value is accepted if and only if its fence is the current one of
 * the lease, so that writes of a holder that was replaced while it was paused have no effect.
 *
 * @example
 * ```ts
 * fold.leases.fence('control/t/chat/seoul');
 * fold.values('control/t/chat/seoul').get('rollout');
 * ```
 */
export class ControlFold extends Fold {
  readonly leases = new LeaseFold();
  readonly #values = new ControllerStateFold(this.leases);

  /** Values of a lease name by key. They are not validated; check them with a schema before use. */
  values(name: string): ReadonlyMap<string, unknown> {
    return this.#values.current(name)?.values ?? new Map();
  }

  /** Sequence of the last accepted value under a fence; 0 when there is none. */
  sequence(name: string, fence: Fence): number {
    const current = this.#values.current(name);
    return current?.fence === fence ? current.sequence : 0;
  }

  override apply(position: Position, entry: unknown): void {
    this.leases.apply(position, entry);
    this.#values.apply(position, entry);
  }

  override snapshot(): unknown {
    return { leases: this.leases.snapshot(), values: this.#values.snapshot() };
  }

  override restore(snapshot: unknown): void {
    const result = snapshotSchema.safeParse(snapshot);
    if (!result.success) {
      throw new OrioleError('control snapshot cannot be decoded; replay the stream', {
        step: Step.State,
        peer: 'control',
        cause: result.error,
      });
    }
    this.leases.restore(result.data.leases);
    this.#values.restore(result.data.values);
  }
}
