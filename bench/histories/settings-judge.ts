import { decodeEnvelope, SnapshotAssembler, isSnapshotEntry } from '../../src/log/index.js';
import type { MemoryLogService } from '../../src/standins/index.js';
import { decodeSettingsChange, fenceOf, type SettingsEdit } from '../../src/state/index.js';
import { HistoryKind, type HistoryRecorder } from './history.js';
import { configStream, editedSetting } from './simulated-settings.js';

/**
 * Reads the records that the log service stores, without faults, and decides by the design's rules
 * which changes are accepted. It shares no code with the product's fold beyond the entry format.
 */
export class SettingsJudge {
  readonly #log: MemoryLogService;
  readonly #history: HistoryRecorder;
  readonly #revisions = new Map<string, number>();
  readonly #seenIds = new Set<string>();
  readonly #assembler = new SnapshotAssembler();
  #nextOffset = 0;
  #coveredOffset = -1;

  constructor(log: MemoryLogService, history: HistoryRecorder) {
    this.#log = log;
    this.#history = history;
  }

  /** Takes the records stored since the last call. */
  observe(): void {
    for (const { offset, data, appendedAtMs } of this.#log.recordsOf(configStream)) {
      if (offset < this.#nextOffset) continue;
      this.#nextOffset = offset + 1;
      for (const [index, entry] of (decodeEnvelope(data)?.entries ?? []).entries()) {
        if (isSnapshotEntry(entry)) {
          const snapshot = this.#assembler.add(entry, appendedAtMs);
          this.#coveredOffset = Math.max(this.#coveredOffset, snapshot?.throughOffset ?? -1);
          continue;
        }
        const change = decodeSettingsChange(entry);
        if (!change || this.#seenIds.has(change.changeId)) continue;
        this.#seenIds.add(change.changeId);
        if (!change.edits.every((edit) => this.#isAcceptable(edit))) continue;
        const revision = fenceOf({ offset, index });
        for (const { path, values } of change.edits) {
          this.#revisions.set(path, revision);
          const value = values?.[editedSetting] ?? '';
          this.#history.record(
            { kind: HistoryKind.SettingAccepted, path, revision, value },
            appendedAtMs,
          );
        }
      }
    }
  }

  /** Drops records that the newest complete snapshot covers, as the end of retention does. */
  trim(share: number): void {
    this.observe();
    this.#log.trim(configStream, Math.floor((this.#coveredOffset + 1) * share));
  }

  #isAcceptable({ path, expectedRevision, values }: SettingsEdit): boolean {
    const isValid = values === null || Number(values[editedSetting]) > 0;
    return isValid && (this.#revisions.get(path) ?? 0) === expectedRevision;
  }
}
