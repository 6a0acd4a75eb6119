import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  LeavingSet,
  LeavingSource,
  vmLeavingEntry,
  type LeavingEntry,
} from '../../src/fleet/index.js';

const entryArbitrary: fc.Arbitrary<LeavingEntry> = fc.record({
  subject: fc.constantFrom('a', 'b', 'c'),
  upToIncarnation: fc.integer({ min: 0, max: 5 }),
  leavingAtMs: fc.integer({ min: 0, max: 5 }),
  source: fc.constant(LeavingSource.Notice),
  signalledAtMs: fc.constant(1),
});

describe('LeavingSet', () => {
  it('reaches the same set in any order and with repeats', () => {
    fc.assert(
      fc.property(
        fc.array(entryArbitrary).chain((entries) =>
          fc.tuple(
            fc.constant(entries),
            fc.shuffledSubarray([...entries, ...entries], {
              minLength: 2 * entries.length,
            }),
          ),
        ),
        ([entries, shuffled]) => {
          const left = new LeavingSet();
          const right = new LeavingSet();
          left.mergeLocal(entries);
          for (const entry of shuffled) right.mergeFromPeer([entry]);
          expect(right.hash).toBe(left.hash);
          expect(right.entriesInDifferingBuckets(left.bucketHashes())).toEqual([]);
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });

  it('keeps an identity leaving once it is marked', () => {
    fc.assert(
      fc.property(fc.array(entryArbitrary), (entries) => {
        const leaving = new LeavingSet();
        const gone = new Set<string>();
        for (const entry of entries) {
          leaving.mergeLocal([entry]);
          for (let at = 0; at <= entry.upToIncarnation; at++) gone.add(`${entry.subject} ${at}`);
          for (const identity of gone) {
            const [subject, at] = identity.split(' ');
            expect(leaving.findEntry(subject ?? '', Number(at))).toBeDefined();
          }
        }
      }),
      { seed: 2, numRuns: 300 },
    );
  });

  describe('observeList', () => {
    const vm = { vmId: 'vm', startedAtMs: 100, leavingAtMs: undefined };

    it('keeps a VM leaving that a stale list shows as live', () => {
      const leaving = new LeavingSet();
      leaving.mergeLocal([vmLeavingEntry('vm', 5_000, LeavingSource.Notice, 1_000)]);
      leaving.observeList({ asOfMs: 900, vms: [vm] }, 1_100);
      expect(leaving.findEntry('vm', 100)).toBeDefined();
    });

    it('does not mark a VM as gone that the list does not contain yet', () => {
      const leaving = new LeavingSet();
      leaving.observeList({ asOfMs: 50, vms: [] }, 200);
      leaving.observeList({ asOfMs: 60, vms: [] }, 210);
      expect(leaving.findEntry('vm', 100)).toBeUndefined();
    });

    it('marks a VM as gone that a newer list no longer contains, but not on an older one', () => {
      const leaving = new LeavingSet();
      leaving.observeList({ asOfMs: 200, vms: [vm] }, 300);
      leaving.observeList({ asOfMs: 150, vms: [] }, 310);
      expect(leaving.findEntry('vm', 100)).toBeUndefined();
      leaving.observeList({ asOfMs: 250, vms: [] }, 320);
      expect(leaving.findEntry('vm', 100)).toBeDefined();
      expect(leaving.findEntry('vm', 260)).toBeUndefined();
    });
  });

  it('keeps old entries of VMs that are still configured', () => {
    const leaving = new LeavingSet();
    const entries = ['kept', 'dropped'].map((id) => vmLeavingEntry(id, 9, LeavingSource.List, 0));
    leaving.mergeLocal(entries);
    leaving.expire(86_400_000, (subject) => subject === 'kept');
    // Two daemons that expire at different times must not restore the entry in each other's set.
    leaving.mergeFromPeer(entries);
    expect(leaving.entries().map(({ subject }) => subject)).toEqual(['kept']);
  });
});
