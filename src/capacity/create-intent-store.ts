import type { Fence } from '../state/index.js';
import type { VmRequest } from './cloud-api.js';

/** How far a create has come. */
export enum IntentState {
  /** Recorded; the cloud may or may not have started the VM. */
  Open = 'open',
  Created = 'created',
  /** The cloud refused: no VM was started. */
  Refused = 'refused',
}

/** A VM that a controller decided to create. */
export interface CreateIntent {
  readonly request: VmRequest;
  readonly slot: number;
  readonly recordedAtMs: number;
  readonly state: IntentState;
  readonly vmId: string | undefined;
}

/**
 * Creates recorded in the control stream, so that the next controller repeats an unanswered create
 * with its own token instead of starting a second VM.
 *
 * @example
 * ```ts
 * await intents.record('control/chat/seoul', intent, fence);
 * ```
 */
export abstract class CreateIntentStore {
  /** Intents of a lease name that are not forgotten yet. */
  abstract intentsOf(name: string): readonly CreateIntent[];

  /**
   * Records an intent or its new state, by token.
   *
   * @throws OrioleError when `fence` is no longer the lease's or the log is unavailable.
   */
  abstract recordIntent(name: string, intent: CreateIntent, fence: Fence): Promise<void>;

  /** Forgets an intent whose VM is gone. @throws OrioleError as {@link recordIntent} does. */
  abstract deleteIntent(name: string, token: string, fence: Fence): Promise<void>;
}
