import type { Fence } from '../state/index.js';
import type { VmRequest } from './cloud-api.js';

/** Progress of a VM creation. */
export enum IntentState {
  /** Recorded; the cloud may or may not have started the VM. */
  Open = 'open',
  Created = 'created',
  /** The cloud refused; no VM was started. */
  Refused = 'refused',
}

/** Record of a VM that a controller decided to create. */
export interface CreateIntent {
  readonly request: VmRequest;
  readonly slot: number;
  readonly recordedAtMs: number;
  readonly state: IntentState;
  readonly vmId: string | undefined;
}

/**
 * Stores VM creations in the control stream, so that the next controller repeats an unanswered
 * request with its original token instead of starting a second VM.
 *
 * @example
 * ```ts
 * await intents.record('control/chat/seoul', intent, fence);
 * ```
 */
export abstract class CreateIntentStore {
  /** Stored intents of a lease name. */
  abstract intentsOf(name: string): readonly CreateIntent[];

  /**
   * Stores an intent or its new state under the token of its request.
   *
   * @throws OrioleError when `fence` is not the current fence of the lease or the log is
   * unavailable.
   */
  abstract recordIntent(name: string, intent: CreateIntent, fence: Fence): Promise<void>;

  /**
   * Deletes an intent whose VM is gone or was refused.
   *
   * @throws OrioleError as {@link recordIntent} does.
   */
  abstract deleteIntent(name: string, token: string, fence: Fence): Promise<void>;
}
