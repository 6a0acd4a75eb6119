import type { Clock } from '../core/index.js';
import {
  EntryKind,
  EntryPriority,
  JobStatus,
  type EntryWriter,
  type Fence,
  type JobFold,
  type JobLeaseEntry,
} from '../state/index.js';

/** Options of {@link startLeaseRenewal}. */
export interface LeaseRenewalOptions {
  readonly clock: Clock;
  readonly fold: JobFold;
  readonly writer: EntryWriter;
  readonly jobId: string;
  readonly fence: Fence;
  readonly leaseMs: number;
}

/**
 * Renews a held lease every third of its duration until the returned function is called or the job
 * has a newer fence.
 *
 * @internal
 */
export function startLeaseRenewal(options: LeaseRenewalOptions): () => void {
  const { clock, fold, writer, jobId, fence, leaseMs } = options;
  return clock.every(leaseMs / 3, () => {
    const job = fold.job(jobId);
    if (job?.status !== JobStatus.Active || job.fence !== fence) return;
    const nowMs = clock.nowMs();
    const entry: JobLeaseEntry = {
      kind: EntryKind.JobLease,
      jobId,
      daemon: job.daemon,
      incarnation: job.incarnation,
      previousFence: fence,
      expiresAtMs: nowMs + leaseMs,
      isRenewal: true,
    };
    const appendOptions = { deadlineAtMs: nowMs + leaseMs / 3, priority: EntryPriority.High };
    // The next renewal tries again. If another daemon takes over first, the fence protects the job.
    writer.append(entry, appendOptions).catch(() => undefined);
  });
}
