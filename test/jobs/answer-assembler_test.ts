import { describe, expect, it } from 'vitest';
import { VirtualClock, sha256Hex } from '../../src/core/index.js';
import {
  AnswerAssembler,
  HandoverKind,
  HandoverPlanner,
  JobFrameKind,
  KvTransferQueue,
  type JobFrame,
} from '../../src/jobs/index.js';

function frame(generation: number, offset: number, text: string, jobId = 'j'): JobFrame {
  return { kind: JobFrameKind.Text, jobId, generation, offset, text };
}

function end(text: string): JobFrame {
  return {
    kind: JobFrameKind.End,
    jobId: 'j',
    generation: 2,
    lengthChars: text.length,
    digest: sha256Hex(text),
    finishReason: 'stop',
  };
}

describe('AnswerAssembler', () => {
  it('drops frames of other jobs, of older generations, duplicates and frames after a gap', () => {
    const assembler = new AnswerAssembler('j');
    expect(assembler.accept(frame(1, 0, 'ab'))).toBe('ab');
    expect(assembler.accept(frame(1, 0, 'ab'))).toBeUndefined();
    expect(assembler.accept(frame(1, 2, 'zz', 'other'))).toBeUndefined();
    expect(assembler.accept(frame(1, 5, 'zz'))).toBeUndefined();
    expect(assembler.accept(frame(2, 1, 'bc'))).toBe('c');
    expect(assembler.accept(frame(1, 3, 'XX'))).toBeUndefined();
    assembler.accept(end('abcd'));
    expect(assembler.isComplete).toBe(false);
    assembler.accept(frame(2, 3, 'd'));
    assembler.accept(end('abcd'));
    expect(assembler).toMatchObject({ isComplete: true, text: 'abcd', finishReason: 'stop' });
  });

  it('rejects an answer whose digest does not match', () => {
    const assembler = new AnswerAssembler('j');
    assembler.accept(frame(2, 0, 'abcX'));
    expect(() => assembler.accept(end('abcd'))).toThrow(/digest/);
  });
});

describe('HandoverPlanner', () => {
  const planner = new HandoverPlanner({
    kvBytesPerToken: 1_000,
    kvBytesPerS: 1_000_000,
    kvImportMs: 500,
  });
  const input = {
    requestId: 'r',
    nowMs: 0,
    deadlineAtMs: 10_000,
    contextTokens: 5_000,
    maxRemainingTokens: 1_000,
    tokenGapMs: 50,
    canExportKv: true,
  };

  it('exports only if export and import fit into 0.6 of the remaining time', () => {
    expect(planner.plan(input)).toBe(HandoverKind.ExportKv);
    expect(planner.plan({ ...input, contextTokens: 5_500 })).toBe(HandoverKind.Resume);
    expect(planner.plan({ ...input, canExportKv: false })).toBe(HandoverKind.Resume);
  });

  it('queues simultaneous exports and resumes those that would be late', () => {
    const clock = new VirtualClock(0);
    const transferQueue = new KvTransferQueue({ clock, bytesPerS: () => 1_000_000 });
    const sharedPlanner = new HandoverPlanner({
      kvBytesPerToken: 1_000,
      kvBytesPerS: 1_000_000,
      kvImportMs: 500,
      transferQueue,
    });
    const plans = ['a', 'b', 'c'].map((requestId) =>
      sharedPlanner.plan({ ...input, requestId, contextTokens: 2_500 }),
    );
    expect(plans).toEqual([HandoverKind.ExportKv, HandoverKind.ExportKv, HandoverKind.Resume]);
    clock.runUntil(4_000);
    expect(transferQueue.backlogMs()).toBe(1_000);
  });

  it('lets a generation finish if its last token is due in time', () => {
    expect(planner.plan({ ...input, maxRemainingTokens: 100 })).toBe(HandoverKind.Finish);
  });
});
