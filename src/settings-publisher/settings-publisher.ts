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
  /** Replica of the configuration stream; must have been started. */
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
  /** Revision that the edit is based on; default: the revision in force. */
  readonly expectedRevision?: number;
}

/**
 * Publishes signed settings changes and waits for the verdict, which every daemon derives
 * identically from the configuration stream.
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
   * Publishes one atomic change and resolves with its verdict.
   *
   * @throws AppendFailedError when the change was not read back by `deadlineAtMs`; its
   *   `mayBeStored` says whether it may still take effect later.
   * @throws OrioleError (step `settings`) when the replica did not catch up by `deadlineAtMs` and
   *   nothing was sent, or when the verdict is no longer retained.
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
      'the change was stored, but its verdict is no longer retained; check the settings in force',
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
      'the configuration stream was not read to its end by the deadline; nothing was sent, retry later',
      { step: Step.Settings, peer: replica.stream },
    );
  }
}
