import { OrioleError, Step, type Clock, type IdSource } from '../core/index.js';
import { EntryPriority, type EntryWriter } from '../log/index.js';
import type { SigningKey } from '../security/signing-key.js';
import type { SectionValues } from '../settings/index.js';
import {
  EntryKind,
  signedBytes,
  type ConfigFold,
  type ConfigVerdict,
  type SettingsEdit,
  type StreamReplica,
} from '../state/index.js';

/** Options of {@link SettingsPublisher}. */
export interface SettingsPublisherOptions {
  readonly deployment: string;
  /** `team/name` of the operator's key, or `root`. */
  readonly keyId: string;
  readonly key: SigningKey;
  /** Replica of the configuration stream; must be started. */
  readonly replica: StreamReplica;
  readonly fold: ConfigFold;
  readonly writer: EntryWriter;
  readonly clock: Clock;
  readonly newId: IdSource;
}

/** One section to set, or to remove with `values: null`. */
export interface ProposedEdit {
  readonly path: string;
  readonly values: SectionValues | null;
  /** Revision that the author saw; by default the one in force now. */
  readonly expectedRevision?: number;
}

/**
 * Publishes signed settings changes and waits for the decision that every daemon makes alike.
 *
 * @example
 * ```ts
 * const verdict = await publisher.publish([{ path, values }], clock.nowMs() + 10_000);
 * if (!verdict.isAccepted) console.error(verdict.message);
 * ```
 */
export class SettingsPublisher {
  readonly #options: SettingsPublisherOptions;

  constructor(options: SettingsPublisherOptions) {
    this.#options = options;
  }

  /**
   * Publishes one atomic change.
   *
   * @throws AppendFailedError when the change was not read back by `deadlineAtMs`; its
   *   `mayBeStored` says whether it may still be decided later.
   * @throws OrioleError when the replica did not catch up by `deadlineAtMs`; nothing was sent.
   */
  async publish(edits: readonly ProposedEdit[], deadlineAtMs: number): Promise<ConfigVerdict> {
    const { deployment, keyId, key, fold, writer, clock, newId } = this.#options;
    await this.#waitUntilCaughtUp(deadlineAtMs);
    const change = {
      changeId: newId(),
      keyId,
      at: clock.nowMs(),
      edits: edits.map((edit): SettingsEdit => ({
        path: edit.path,
        expectedRevision: edit.expectedRevision ?? fold.revisionOf(edit.path),
        values: edit.values && { ...edit.values },
      })),
    };
    const signature = key.sign(signedBytes(deployment, change));
    const entry = { kind: EntryKind.SettingsChange, ...change, signature };
    await writer.append(entry, { deadlineAtMs, priority: EntryPriority.Normal });
    const verdict = fold.verdict(change.changeId);
    if (verdict) return verdict;
    throw new OrioleError(
      'the change was stored but its decision is no longer kept; read the settings in force',
      { step: Step.Settings, peer: change.changeId },
    );
  }

  async #waitUntilCaughtUp(deadlineAtMs: number): Promise<void> {
    const { replica, clock } = this.#options;
    const timerAbort = new AbortController();
    await Promise.race([replica.ready, clock.sleepUntil(deadlineAtMs, timerAbort.signal)]);
    timerAbort.abort();
    if (replica.isReady) return;
    throw new OrioleError(
      'the configuration stream could not be read to its end in time; nothing was sent, retry later',
      { step: Step.Settings, peer: replica.stream },
    );
  }
}
