import { describe, expect, it } from 'vitest';
import { ConfigFold, DrainFold, EntryKind, type DrainEntry } from '../../src/state/index.js';

const dayMs = 24 * 3_600_000;

function drain(subject: string, upToIncarnation: number, signalledAtMs = 1_000): DrainEntry {
  return { kind: EntryKind.Drain, subject, upToIncarnation, leavingAtMs: 5_000, signalledAtMs };
}

describe('DrainFold', () => {
  it('keeps the drain that covers more incarnations when one that covers fewer follows', () => {
    const fold = new DrainFold();
    fold.apply({ offset: 0, index: 0 }, drain('vm-1:a', 7));
    fold.apply({ offset: 1, index: 0 }, drain('vm-1:a', 3));
    expect(fold.drains()).toMatchObject([{ subject: 'vm-1:a', upToIncarnation: 7 }]);
    expect(fold.covers({ subject: 'vm-1:a', upToIncarnation: 7 })).toBe(true);
    expect(fold.covers({ subject: 'vm-1:a', upToIncarnation: 8 })).toBe(false);
  });

  it('reports each drain once, and all of them after a restore (else a snapshot hides drains)', () => {
    const notified: string[] = [];
    const source = new DrainFold();
    source.apply({ offset: 0, index: 0 }, drain('vm-1:a', 7));
    const fold = new DrainFold();
    fold.onNewDrains((drains) => notified.push(...drains.map(({ subject }) => subject)));
    fold.restore(source.snapshot());
    fold.apply({ offset: 1, index: 0 }, drain('vm-1:a', 7));
    fold.apply({ offset: 2, index: 0 }, drain('vm-2:a', 7));
    expect(notified).toEqual(['vm-1:a', 'vm-2:a']);
  });

  it('expires drains of processes replaced long ago (else the set only grows)', () => {
    const fold = new DrainFold();
    fold.apply({ offset: 0, index: 0 }, drain('vm-1:a', 7, 1_000));
    for (let day = 1; day <= 31 * 1_440; day++) {
      fold.apply({ offset: day, index: 0 }, drain('vm-2:a', 7, 1_000 + day * 60_000));
    }
    fold.apply({ offset: 50_000, index: 0 }, drain('vm-3:a', 7, 1_000 + 31 * dayMs));
    expect(fold.drains().map(({ subject }) => subject)).not.toContain('vm-1:a');
    expect(fold.drains().map(({ subject }) => subject)).toContain('vm-3:a');
  });

  it('is part of the settings snapshot (else a drain is lost when the log is trimmed)', () => {
    const options = { deployment: 'prod', rootPublicKey: '' };
    const source = new ConfigFold(options);
    source.apply({ offset: 0, index: 0 }, drain('vm-1:a', 7));
    const restored = new ConfigFold(options);
    restored.restore(source.snapshot());
    expect(restored.drains.covers({ subject: 'vm-1:a', upToIncarnation: 7 })).toBe(true);
  });

  it('restores snapshots of earlier versions, which kept drains in memory only', () => {
    const source = new ConfigFold({ deployment: 'prod', rootPublicKey: '' });
    const { drains, ...older } = source.snapshot() as Record<string, unknown>;
    expect(drains).toBeDefined();
    const restored = new ConfigFold({ deployment: 'prod', rootPublicKey: '' });
    restored.restore(older);
    expect(restored.drains.drains()).toEqual([]);
  });
});
