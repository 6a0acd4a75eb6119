import { describe, expect, it } from 'vitest';
import { WorkClass, sha256Hex } from '../../src/core/index.js';
import { EntryKind, JobFold, JobStatus } from '../../src/state/index.js';

const accepted = {
  kind: EntryKind.JobAccepted,
  jobId: 'j1',
  workspace: 'tejidos',
  service: 'tenders',
  request: { model: 'm', messages: [], maxTokens: 100, passThrough: {} },
  workClass: WorkClass.Long,
  acceptedAtMs: 1_000,
  deadlineAtMs: 50_000,
  rememberUntilMs: 10_000,
};

function lease(daemon: string, previousFence: number, isRenewal = false): object {
  const kind = EntryKind.JobLease;
  return { kind, jobId: 'j1', daemon, incarnation: 1, previousFence, expiresAtMs: 9, isRenewal };
}

function progress(fence: number, offsetTokens: number, text: string): object {
  const kind = EntryKind.JobProgress;
  return { kind, jobId: 'j1', fence, offsetTokens, tokens: text.length, text };
}

function done(fence: number, text: string): object {
  return {
    kind: EntryKind.JobDone,
    jobId: 'j1',
    fence,
    lengthChars: text.length,
    digest: sha256Hex(text),
    finishReason: 'stop',
    doneAtMs: 2_000,
  };
}

function foldOf(...entries: readonly unknown[]): JobFold {
  const fold = new JobFold();
  entries.forEach((entry, index) => {
    fold.apply({ offset: 0, index }, entry);
  });
  return fold;
}

describe('JobFold', () => {
  it('ignores progress under an old fence (else a paused daemon mixes two texts)', () => {
    const fold = foldOf(
      accepted,
      lease('a', 0),
      progress(2, 0, 'ab'),
      lease('b', 2),
      progress(2, 2, 'XX'),
      progress(4, 2, 'cd'),
    );
    expect(fold.job('j1')).toMatchObject({ text: 'abcd', fence: 4, recordedTokens: 4 });
  });

  it('ignores duplicates and gaps (else text is doubled or missing)', () => {
    const fold = foldOf(
      accepted,
      lease('a', 0),
      progress(2, 0, 'ab'),
      progress(2, 0, 'ab'),
      progress(2, 3, 'x'),
    );
    expect(fold.job('j1')?.text).toBe('ab');
  });

  it('completes only with the whole text (else a completion that overtakes progress loses text)', () => {
    const early = foldOf(accepted, lease('a', 0), done(2, 'ab'), progress(2, 0, 'ab'));
    expect(early.activeJobs()).toHaveLength(1);
    const whole = foldOf(accepted, lease('a', 0), progress(2, 0, 'ab'), done(2, 'ab'));
    expect(whole.job('j1')?.status).toBe(JobStatus.Done);
  });

  it('keeps who cancelled and why (else a lost quote cannot be traced to an operator)', () => {
    const cancelled = { kind: EntryKind.JobCancelled, jobId: 'j1', cancelledAtMs: 3_000 };
    const byOperator = foldOf(accepted, { ...cancelled, operator: 'tejidos/ops', note: 'void' });
    expect(byOperator.job('j1')?.cancellation).toEqual({ operator: 'tejidos/ops', note: 'void' });
    // Entries of earlier versions have no operator.
    expect(foldOf(accepted, cancelled).job('j1')?.status).toBe(JobStatus.Cancelled);
  });

  it('keeps the fence on renewal by the holder only', () => {
    const fold = foldOf(accepted, lease('a', 0), lease('a', 2, true), lease('b', 2, true));
    expect(fold.job('j1')).toMatchObject({ fence: 2, daemon: 'a' });
  });

  it('never expires an active job, and expires a finished one after rememberUntilMs', () => {
    const later = { ...accepted, jobId: 'j2', acceptedAtMs: 20_000, rememberUntilMs: 90_000 };
    expect(foldOf(accepted, later).activeJobs()).toHaveLength(2);
    const fold = foldOf(accepted, lease('a', 0), done(2, ''), later);
    expect(fold.job('j1')).toBeUndefined();
    const copy = new JobFold();
    copy.restore(JSON.parse(JSON.stringify(fold.snapshot())));
    expect(copy.activeJobs()).toEqual(fold.activeJobs());
  });
});
