import { z } from 'zod';
import { sha256Hex } from '../core/index.js';
import { EntryKind, type RawEntry } from './envelope.js';
import type { Offset } from './log-service.js';

const offset = z.number().int().min(-1);
const beginSchema = z.looseObject({
  kind: z.literal(EntryKind.SnapshotBegin),
  snapshotId: z.string(),
  /** Last offset that the state covers; -1 for an empty prefix. */
  throughOffset: offset,
});
const partSchema = z.looseObject({
  kind: z.literal(EntryKind.SnapshotPart),
  snapshotId: z.string(),
  index: z.number().int().nonnegative(),
  data: z.string(),
});
const endSchema = z.looseObject({
  kind: z.literal(EntryKind.SnapshotEnd),
  snapshotId: z.string(),
  parts: z.number().int().nonnegative(),
  digest: z.string(),
});
const entrySchema = z.union([beginSchema, partSchema, endSchema]);

/** A complete snapshot with a correct digest. */
export interface CompleteSnapshot {
  readonly snapshotId: string;
  readonly throughOffset: Offset;
  readonly state: unknown;
}

/** A snapshot read from the log. */
export interface AssembledSnapshot extends CompleteSnapshot {
  /** Append time of its first record, which is trimmed before the others. */
  readonly beganAtMs: number;
}

/**
 * Splits a state into the entries of one snapshot. The digest also covers the offset, so that parts
 * of two snapshots cannot be mixed up.
 *
 * @param partLength - characters of JSON per part.
 */
export function encodeSnapshot(
  snapshot: CompleteSnapshot,
  partLength = 32_768,
): readonly RawEntry[] {
  const { snapshotId, throughOffset } = snapshot;
  const text = JSON.stringify(snapshot.state);
  const parts: RawEntry[] = [];
  for (let start = 0; start < text.length; start += partLength) {
    const data = text.slice(start, start + partLength);
    parts.push({ kind: EntryKind.SnapshotPart, snapshotId, index: parts.length, data });
  }
  return [
    { kind: EntryKind.SnapshotBegin, snapshotId, throughOffset },
    ...parts,
    {
      kind: EntryKind.SnapshotEnd,
      snapshotId,
      parts: parts.length,
      digest: digestOf(throughOffset, text),
    },
  ];
}

/** True for the entries of snapshots, which do not change the state. */
export function isSnapshotEntry(entry: RawEntry): boolean {
  return (
    entry.kind === EntryKind.SnapshotBegin ||
    entry.kind === EntryKind.SnapshotPart ||
    entry.kind === EntryKind.SnapshotEnd
  );
}

interface OpenSnapshot {
  readonly throughOffset: Offset;
  readonly beganAtMs: number;
  readonly parts: Map<number, string>;
}

/**
 * Limit of incomplete snapshots in memory, since a writer that stops midway never completes its
 * own.
 */
const maxOpenSnapshots = 8;

/**
 * Assembles snapshots from entries that may be interleaved, repeated or incomplete.
 *
 * @example
 * ```ts
 * const complete = assembler.add(entry, record.appendedAtMs);
 * ```
 */
export class SnapshotAssembler {
  readonly #open = new Map<string, OpenSnapshot>();

  /** Returns the snapshot that `entry` completes; undefined for anything else. */
  add(entry: unknown, appendedAtMs: number): AssembledSnapshot | undefined {
    const decoded = entrySchema.safeParse(entry).data;
    if (!decoded) return undefined;
    const { snapshotId } = decoded;
    if (decoded.kind === EntryKind.SnapshotBegin) {
      this.#begin(snapshotId, {
        throughOffset: decoded.throughOffset,
        beganAtMs: appendedAtMs,
        parts: new Map(),
      });
      return undefined;
    }
    const open = this.#open.get(snapshotId);
    if (!open) return undefined;
    if (decoded.kind === EntryKind.SnapshotPart) {
      open.parts.set(decoded.index, decoded.data);
      return undefined;
    }
    this.#open.delete(snapshotId);
    return assemble(snapshotId, open, decoded.parts, decoded.digest);
  }

  #begin(snapshotId: string, snapshot: OpenSnapshot): void {
    if (this.#open.has(snapshotId)) return;
    this.#open.set(snapshotId, snapshot);
    const [oldest] = this.#open.keys();
    if (this.#open.size > maxOpenSnapshots && oldest !== undefined) this.#open.delete(oldest);
  }
}

function assemble(
  snapshotId: string,
  open: OpenSnapshot,
  partCount: number,
  digest: string,
): AssembledSnapshot | undefined {
  if (open.parts.size < partCount) return undefined;
  let text = '';
  for (let index = 0; index < partCount; index++) {
    const part = open.parts.get(index);
    if (part === undefined) return undefined;
    text += part;
  }
  if (digestOf(open.throughOffset, text) !== digest) return undefined;
  try {
    const state: unknown = JSON.parse(text);
    const { throughOffset, beganAtMs } = open;
    return { snapshotId, throughOffset, beganAtMs, state };
  } catch {
    return undefined;
  }
}

function digestOf(throughOffset: Offset, text: string): string {
  return sha256Hex(`${throughOffset}\n${text}`);
}
