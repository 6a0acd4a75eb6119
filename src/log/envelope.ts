import { z } from 'zod';

/** Kinds of entries that the system keeps in the log. */
export enum EntryKind {
  SettingsChange = 'settings_change',
  Claim = 'claim',
  Outcome = 'outcome',
  Release = 'release',
  Resolution = 'resolution',
  JobAccepted = 'job_accepted',
  JobLease = 'job_lease',
  JobProgress = 'job_progress',
  JobDone = 'job_done',
  JobCancelled = 'job_cancelled',
  Lease = 'lease',
  ControllerState = 'controller_state',
  Drain = 'drain',
  SnapshotBegin = 'snapshot_begin',
  SnapshotPart = 'snapshot_part',
  SnapshotEnd = 'snapshot_end',
}

const envelopeSchema = z.object({
  v: z.literal(1),
  /** Name of the daemon or operator tool that wrote the batch. */
  writer: z.string(),
  entries: z.array(z.looseObject({ kind: z.enum(EntryKind) })).max(1_024),
});

/** One record of the log: a batch of entries, so that a group commit costs a single append. */
export type Envelope = z.output<typeof envelopeSchema>;

/** An entry before its own schema has been checked. */
export type RawEntry = Envelope['entries'][number];

/**
 * Encodes a batch as the data of one record.
 *
 * @example
 * ```ts
 * encodeEnvelope('entry-1', [{ kind: EntryKind.Release, claimId: 'c1' }]);
 * ```
 */
export function encodeEnvelope(writer: string, entries: readonly RawEntry[]): string {
  return JSON.stringify({ v: 1, writer, entries });
}

/**
 * Decodes a record's data. Returns undefined for anything that is not an envelope, since one
 * writer's bad record must not stop the stream for the others.
 */
export function decodeEnvelope(data: string): Envelope | undefined {
  try {
    const result = envelopeSchema.safeParse(JSON.parse(data));
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}
