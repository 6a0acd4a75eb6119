import { z } from 'zod';
import { hash64 } from '../core/index.js';
import { SetHash } from '../membership/index.js';

/** Origin of the first signal that a VM or process is leaving. */
export enum LeavingSource {
  /** Reclaim notice of the cloud. */
  Notice = 'notice',
  /** The cloud's list shows the VM as leaving, or no longer contains it. */
  List = 'list',
  /** The endpoint itself reported that it is draining. */
  Draining = 'draining',
  /** An operator drains the endpoint. */
  Operator = 'operator',
  /** The endpoint said so in a response. */
  Response = 'response',
}

/** Marks the incarnations of a VM's processes, or of one process, up to a time as leaving. */
export const leavingEntrySchema = z.object({
  /** A VM id, or {@link processSubject} for a single process of a VM. */
  subject: z.string().min(1).max(300),
  /** Incarnations at or below this are leaving; epoch milliseconds. */
  upToIncarnation: z.number().nonnegative(),
  /** Latest time at which the VM may still run, in epoch milliseconds. */
  leavingAtMs: z.number().nonnegative(),
  source: z.enum(LeavingSource),
  /** Time of the first signal by the clock of the daemon that received it; epoch milliseconds. */
  signalledAtMs: z.number().nonnegative(),
});

/** See {@link leavingEntrySchema}. */
export type LeavingEntry = z.output<typeof leavingEntrySchema>;

/** A VM in the cloud's list. */
export interface ListedVm {
  readonly vmId: string;
  /** Start time in epoch milliseconds. */
  readonly startedAtMs: number;
  /** Time of the reclaim in epoch milliseconds; undefined unless the VM is leaving. */
  readonly leavingAtMs: number | undefined;
}

/** The cloud's list of live and leaving VMs, which may be out of date. */
export interface VmList {
  /** Time that the list describes, in epoch milliseconds. */
  readonly asOfMs: number;
  readonly vms: readonly ListedVm[];
}

const sources = Object.values(LeavingSource);

/** An entry on the wire, as an array: a mass reclaim sends hundreds of entries to each daemon. */
export const leavingTupleSchema = z.tuple([
  leavingEntrySchema.shape.subject,
  z.number().nonnegative(),
  z.number().nonnegative(),
  z.number().int().nonnegative(),
  z.number().nonnegative(),
]);

/** See {@link leavingTupleSchema}. */
export type LeavingTuple = z.output<typeof leavingTupleSchema>;

/** @internal */
export function encodeLeaving(entry: LeavingEntry): LeavingTuple {
  const { subject, upToIncarnation, leavingAtMs, source, signalledAtMs } = entry;
  return [subject, upToIncarnation, leavingAtMs, sources.indexOf(source), signalledAtMs];
}

/** @internal */
export function decodeLeaving(tuple: LeavingTuple): LeavingEntry {
  const [subject, upToIncarnation, leavingAtMs, source, signalledAtMs] = tuple;
  return {
    subject,
    upToIncarnation,
    leavingAtMs,
    source: sources[source] ?? LeavingSource.Notice,
    signalledAtMs,
  };
}

/** Called with entries that changed the set. `isLocal` is false for entries from a peer. */
export type LeavingListener = (entries: readonly LeavingEntry[], isLocal: boolean) => void;

/** Number of hash buckets by which two daemons find the part in which their sets differ. */
export const leavingBucketCount = 64;

/** Longer than any list lags; entries of VMs that are still configured are kept for longer. */
const retentionMs = 6 * 3_600_000;

/**
 * The leaving VMs and processes, as a join of all signals: entries only grow, so the order in which
 * signals arrive does not matter and a stale list cannot bring an identity back.
 *
 * @example
 * ```ts
 * leaving.mergeLocal([vmLeavingEntry(vmId, leavingAtMs, LeavingSource.Notice, clock.nowMs())]);
 * leaving.findEntry(vmId, incarnation) !== undefined; // leaving
 * ```
 */
export class LeavingSet {
  readonly #entries = new Map<string, LeavingEntry>();
  readonly #bucketHashes = Array.from({ length: leavingBucketCount }, () => new SetHash());
  readonly #totalHash = new SetHash();
  readonly #listeners: LeavingListener[] = [];
  /** Set by the last {@link expire}, so that a peer that expires later does not undo it. */
  #isExpired: (entry: LeavingEntry) => boolean = () => false;
  #listed = new Map<string, ListedVm>();
  #listAsOfMs = 0;

  /** Merges signals that this daemon received itself. */
  mergeLocal(entries: readonly LeavingEntry[]): void {
    this.#merge(entries, true);
  }

  /** Merges entries from a peer. @returns the entries that changed the set. */
  mergeFromPeer(entries: readonly LeavingEntry[]): readonly LeavingEntry[] {
    return this.#merge(
      entries.filter((entry) => !this.#isExpired(entry)),
      false,
    );
  }

  /** Merges a list of the cloud; a list older than the last one is ignored. */
  observeList(list: VmList, nowMs: number): void {
    if (list.asOfMs < this.#listAsOfMs) return;
    const listed = new Map(list.vms.map((vm) => [vm.vmId, vm]));
    const entries: LeavingEntry[] = [];
    for (const vm of list.vms) {
      if (vm.leavingAtMs !== undefined) {
        entries.push(vmLeavingEntry(vm.vmId, vm.leavingAtMs, LeavingSource.List, nowMs));
      }
    }
    // Only a VM that an earlier list contained is gone: a list that lags lacks the newest VMs.
    if (list.asOfMs > this.#listAsOfMs) {
      for (const vmId of this.#listed.keys()) {
        if (!listed.has(vmId)) {
          entries.push(vmLeavingEntry(vmId, list.asOfMs, LeavingSource.List, nowMs));
        }
      }
    }
    this.#listed = listed;
    this.#listAsOfMs = list.asOfMs;
    this.mergeLocal(entries);
  }

  /** Entry that marks an incarnation of a subject as leaving; undefined if it is not leaving. */
  findEntry(subject: string, incarnation: number): LeavingEntry | undefined {
    const entry = this.#entries.get(subject);
    return entry && incarnation <= entry.upToIncarnation ? entry : undefined;
  }

  /** Calls `listener` with each batch of changed entries, after the merge. */
  onChange(listener: LeavingListener): void {
    this.#listeners.push(listener);
  }

  /** Hash of the whole set. */
  get hash(): string {
    return this.#totalHash.toString();
  }

  /** Hashes of the buckets, in order. */
  bucketHashes(): string[] {
    return this.#bucketHashes.map(String);
  }

  /** Entries of the buckets whose hash differs from the peer's in `hashes`. */
  entriesInDifferingBuckets(hashes: readonly string[]): LeavingEntry[] {
    const differs = this.#bucketHashes.map((hash, bucket) => hash.toString() !== hashes[bucket]);
    return [...this.#entries.values()].filter(({ subject }) => differs[bucketOf(subject)]);
  }

  entries(): LeavingEntry[] {
    return [...this.#entries.values()];
  }

  /** Removes old entries of VMs that are no longer configured. Call it about once a minute. */
  expire(nowMs: number, isConfigured: (subject: string) => boolean): void {
    this.#isExpired = (entry) =>
      entry.signalledAtMs + retentionMs < nowMs && !isConfigured(entry.subject);
    for (const entry of this.#entries.values()) {
      if (!this.#isExpired(entry)) continue;
      this.#entries.delete(entry.subject);
      this.#toggle(entry);
    }
  }

  #merge(entries: readonly LeavingEntry[], isLocal: boolean): readonly LeavingEntry[] {
    const changed = entries.filter((entry) => this.#add(entry));
    if (changed.length > 0) for (const listener of this.#listeners) listener(changed, isLocal);
    return changed;
  }

  #add(entry: LeavingEntry): boolean {
    const known = this.#entries.get(entry.subject);
    if (known && !supersedes(entry, known)) return false;
    if (known) this.#toggle(known);
    this.#entries.set(entry.subject, entry);
    this.#toggle(entry);
    return true;
  }

  #toggle(entry: LeavingEntry): void {
    const text = `${entry.subject} ${entry.upToIncarnation} ${entry.leavingAtMs}`;
    this.#totalHash.toggle(text);
    this.#bucketHashes[bucketOf(entry.subject)]?.toggle(text);
  }
}

/**
 * Whether `entry` replaces `known`: more incarnations win, then the earlier deadline. The order is
 * total, so that all daemons keep the same entry.
 */
function supersedes(entry: LeavingEntry, known: LeavingEntry): boolean {
  return entry.upToIncarnation === known.upToIncarnation
    ? entry.leavingAtMs < known.leavingAtMs
    : entry.upToIncarnation > known.upToIncarnation;
}

/**
 * Entry for a VM that is reclaimed at `leavingAtMs`. It covers every process started until then;
 * one that starts later under the same VM id is a new identity.
 */
export function vmLeavingEntry(
  vmId: string,
  leavingAtMs: number,
  source: LeavingSource,
  signalledAtMs: number,
): LeavingEntry {
  return { subject: vmId, upToIncarnation: leavingAtMs, leavingAtMs, source, signalledAtMs };
}

function bucketOf(subject: string): number {
  return Number(hash64(subject) % BigInt(leavingBucketCount));
}

/** Subject of a leaving entry for a single process, as several may run on a VM. */
export function processSubject(vmId: string, name: string): string {
  return `${vmId}:${name}`;
}
