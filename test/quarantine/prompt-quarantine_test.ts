import { describe, expect, it } from 'vitest';
import { PromptQuarantine } from '../../src/quarantine/prompt-quarantine.js';
import type { QuarantineEntry } from '../../src/quarantine/quarantine-entry.js';

const nowMs = 1_000_000;
const dayMs = 24 * 3_600_000;

function begin(quarantine: PromptQuarantine, ...partIds: string[]): QuarantineEntry {
  const entry = quarantine.begin({ partIds, crashes: 3, firstCrashAtMs: nowMs }, nowMs);
  if (!entry) throw new Error('already under quarantine');
  quarantine.merge(entry);
  return entry;
}

describe('PromptQuarantine', () => {
  it('holds back requests with all parts of an entry, and no others', () => {
    const quarantine = new PromptQuarantine();
    const entry = begin(quarantine, 'dead', 'first');
    expect(quarantine.match(['first', 'x', 'dead'])).toBe(entry);
    expect(quarantine.match(['first', 'x'])).toBeUndefined();
    expect(quarantine.match(['dead'])).toBeUndefined();
  });

  it('does not go back to an older version that arrives late', () => {
    const quarantine = new PromptQuarantine();
    const entry = begin(quarantine, 'dead');
    quarantine.merge(quarantine.release(entry));
    expect(quarantine.merge(entry)).toBe(false);
    expect(quarantine.match(['dead'])).toBeUndefined();
    begin(quarantine, 'dead');
    expect(quarantine.match(['dead'])?.version).toBe(entry.version + 2);
  });

  it('begins above the version of an earlier quarantine that it has forgotten', () => {
    const cause = { partIds: ['dead'], crashes: 3, firstCrashAtMs: nowMs };
    const first = new PromptQuarantine().begin(cause, nowMs);
    const later = new PromptQuarantine().begin(cause, nowMs + 60_000);
    // The first one may have been changed by trials and lifted meanwhile.
    expect(later!.version).toBeGreaterThan(first!.version + 5);
  });

  it('lets three requests through at most, ever further apart', () => {
    const quarantine = new PromptQuarantine();
    let entry = begin(quarantine, 'dead');
    const gapsMs: number[] = [];
    let lastAtMs = nowMs;
    for (let atMs = nowMs; atMs < nowMs + 7 * dayMs; atMs += 10_000) {
      const trial = quarantine.nextTrial(entry, atMs, false);
      if (!trial) continue;
      quarantine.merge(trial);
      entry = trial;
      gapsMs.push(atMs - lastAtMs);
      lastAtMs = atMs;
    }
    expect(gapsMs).toHaveLength(3);
    expect(gapsMs).toEqual(gapsMs.toSorted((a, b) => a - b));
    expect(gapsMs[0]).toBeGreaterThanOrEqual(60_000);
  });

  it('lets no more than three requests through when it stays doubtful', () => {
    const quarantine = new PromptQuarantine();
    let entry = begin(quarantine, 'dead');
    let trials = 0;
    for (let atMs = nowMs; atMs < nowMs + dayMs; atMs += 10_000) {
      const trial = quarantine.nextTrial(entry, atMs, true);
      if (!trial) continue;
      quarantine.merge(trial);
      entry = trial;
      trials += 1;
    }
    expect(trials).toBe(3);
  });

  it('keeps a bounded number of entries, those in force longest', () => {
    const quarantine = new PromptQuarantine();
    const lifted = begin(quarantine, 'lifted');
    quarantine.merge(quarantine.release(lifted));
    for (let at = 0; at < 64; at++) begin(quarantine, `dead${at}`);
    expect(quarantine.entries).toHaveLength(64);
    expect(quarantine.match(['dead0'])).toBeDefined();
  });
});
