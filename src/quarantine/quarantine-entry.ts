import { z } from 'zod';

const maxPartIdChars = 64;
const maxParts = 32;

/** Longest id that is exchanged; longer ones are cut. */
export const maxIdChars = 256;

export const idSchema = z.string().min(1).max(maxIdChars);

/** Endpoints that an entry names. */
const maxEndpoints = 16;

/** Parts of prompts as they cross processes. */
export const partIdsSchema = z.array(z.string().min(1).max(maxPartIdChars)).min(1).max(maxParts);

/** Those of a prompt's parts that are exchanged; callers choose their ids and their number. */
export function exchangedParts(partIds: readonly string[]): readonly string[] {
  return partIds.filter(({ length }) => length > 0 && length <= maxPartIdChars).slice(0, maxParts);
}

/** Those of an entry's endpoints that are exchanged; others cannot be told to other daemons. */
export function exchangedEndpoints(endpointIds: readonly string[]): string[] {
  return endpointIds
    .filter(({ length }) => length > 0 && length <= maxIdChars)
    .slice(0, maxEndpoints);
}

/** A quarantine as it crosses processes and is stored. */
export const quarantineEntrySchema = z.object({
  /** Requests whose prompts hold all of these parts are refused; sorted. */
  partIds: partIdsSchema,
  /** Increases with each change; the highest is in force. */
  version: z.int().positive(),
  /** Endpoints that had crashed when the quarantine began. */
  crashes: z.int().nonnegative(),
  /** These endpoints; an earlier build names none. */
  endpointIds: z.array(idSchema).max(maxEndpoints).optional(),
  /** Whether the reports of all daemons had arrived, so that these crashes had no other cause. */
  isByAllReports: z.boolean().optional(),
  /** The first of these crashes, in epoch milliseconds on the clock of the daemon that named it. */
  firstCrashAtMs: z.number(),
  /** Whether it was lifted. */
  isReleased: z.boolean(),
  /** Requests that were let through since, to see whether endpoints still crash. */
  trials: z.int().nonnegative(),
  /** Time from which the next request may be let through, in epoch milliseconds. */
  nextTrialAtMs: z.number(),
});

/** Parts of prompts that are kept from endpoints, or were. */
export type QuarantineEntry = z.output<typeof quarantineEntrySchema>;

/** Who an entry came from, for the log. */
export enum EntrySource {
  Evidence = 'evidence',
  Answer = 'answer',
  Peer = 'peer',
  Store = 'store',
  Trial = 'trial',
}

/** Names an entry by its parts. */
export function quarantineKey(partIds: readonly string[]): string {
  return partIds.join(',');
}

/** Whether `entry` is to replace `known`. Of two changes at once, an end of the quarantine wins. */
export function isNewer(entry: QuarantineEntry, known: QuarantineEntry | undefined): boolean {
  if (!known) return true;
  if (entry.version !== known.version) return entry.version > known.version;
  return entry.isReleased && !known.isReleased;
}
