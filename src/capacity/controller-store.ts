import { z } from 'zod';
import { OrioleError, Step, type Clock } from '../core/index.js';
import { EntryPriority, type EntryWriter } from '../log/index.js';
import { EntryKind, type ControlFold, type Fence } from '../state/index.js';
import { CreateIntentStore, IntentState, type CreateIntent } from './create-intent-store.js';
import { RolloutPhase, type RolloutState } from './rollout-planner.js';

/** Options of {@link ControllerStore}. */
export interface ControllerStoreOptions {
  readonly writer: EntryWriter;
  /** State read from the stream that `writer` appends to. */
  readonly fold: ControlFold;
  readonly clock: Clock;
}

const optionalString = z
  .string()
  .optional()
  .transform((value) => value);

const intentSchema = z.object({
  request: z.object({
    token: z.string(),
    serviceId: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    vmClass: z.string(),
    reclaimable: z.boolean(),
  }),
  slot: z.int(),
  recordedAtMs: z.number(),
  state: z.enum(IntentState),
  vmId: optionalString,
});

const rolloutSchema = z.object({
  phase: z.enum(RolloutPhase),
  version: z.string(),
  previousVersion: z.string(),
  canaryId: optionalString,
  canaryHealthySinceMs: z
    .number()
    .optional()
    .transform((value) => value),
  failedVersion: optionalString,
  reason: z.string(),
});

const rolloutKey = 'rollout';
const intentPrefix = 'intent/';
/** Equals the duration of a lease; an entry that arrives later would not be accepted. */
const appendTimeoutMs = 10_000;

/**
 * Stores the state of controllers in the control stream for the next holder of their lease: VM
 * creations in progress and the state of a rollout.
 *
 * @example
 * ```ts
 * const store = new ControllerStore({ writer, fold, clock });
 * store.rollout('control/t/chat/seoul')?.failedVersion;
 * ```
 */
export class ControllerStore extends CreateIntentStore {
  readonly #options: ControllerStoreOptions;
  /** Last sequence number used and its fence, by lease name. */
  readonly #sequences = new Map<string, { readonly fence: Fence; readonly sequence: number }>();

  constructor(options: ControllerStoreOptions) {
    super();
    this.#options = options;
  }

  override intentsOf(name: string): readonly CreateIntent[] {
    return [...this.#options.fold.values(name)].flatMap(([key, value]) => {
      if (!key.startsWith(intentPrefix)) return [];
      const intent = intentSchema.safeParse(value);
      return intent.success ? [{ ...intent.data, vmId: intent.data.vmId }] : [];
    });
  }

  override recordIntent(name: string, intent: CreateIntent, fence: Fence): Promise<void> {
    return this.#append(name, intentPrefix + intent.request.token, intent, fence);
  }

  override deleteIntent(name: string, token: string, fence: Fence): Promise<void> {
    return this.#append(name, intentPrefix + token, null, fence);
  }

  /** State of the rollout that the last holder stored; undefined when there is none. */
  rollout(name: string): RolloutState | undefined {
    const result = rolloutSchema.safeParse(this.#options.fold.values(name).get(rolloutKey));
    if (!result.success) return undefined;
    const { canaryId, canaryHealthySinceMs, failedVersion, ...rest } = result.data;
    return { ...rest, canaryId, canaryHealthySinceMs, failedVersion };
  }

  /**
   * Stores the state of a rollout.
   *
   * @throws OrioleError as {@link recordIntent} does.
   */
  recordRollout(name: string, state: RolloutState, fence: Fence): Promise<void> {
    return this.#append(name, rolloutKey, state, fence);
  }

  async #append(name: string, key: string, value: unknown, fence: Fence): Promise<void> {
    const { writer, fold, clock } = this.#options;
    const sequence = this.#nextSequence(name, fence);
    await writer.append(
      { kind: EntryKind.ControllerState, name, fence, sequence, key, value },
      { deadlineAtMs: clock.nowMs() + appendTimeoutMs, priority: EntryPriority.High },
    );
    // The entry has been read back, so the fold has accepted or rejected it: another fence or a
    // lower sequence number means that it was rejected.
    if (fold.leases.fence(name) !== fence || fold.sequence(name, fence) < sequence) {
      throw new OrioleError('controller state was not stored: another daemon holds the lease', {
        step: Step.Capacity,
        peer: name,
      });
    }
  }

  #nextSequence(name: string, fence: Fence): number {
    const last = this.#sequences.get(name);
    const own = last?.fence === fence ? last.sequence : 0;
    const sequence = Math.max(own, this.#options.fold.sequence(name, fence)) + 1;
    this.#sequences.set(name, { fence, sequence });
    return sequence;
  }
}
