import { beforeEach, describe, expect, it } from 'vitest';
import { OutageDetector } from '../../src/log/outage-detector.js';

describe('OutageDetector', () => {
  let detector: OutageDetector;

  beforeEach(() => {
    detector = new OutageDetector({ minOutageMs: 1_200 });
    detector.recordSuccess(0);
  });

  it('takes one lost call for no outage, however long it was waited for', () => {
    detector.recordFailure(100);
    detector.recordSuccess(1_900);
    expect(detector.endedAtMs).toBe(-Infinity);
  });

  it('takes calls that failed within less than the shortest outage for none', () => {
    detector.recordFailure(100);
    detector.recordFailure(200);
    detector.recordFailure(400);
    detector.recordSuccess(1_200);
    expect(detector.endedAtMs).toBe(-Infinity);
  });

  it('ends an outage with the first call that succeeds', () => {
    detector.recordFailure(100);
    detector.recordFailure(900);
    expect(detector.endedAtMs).toBe(-Infinity);
    detector.recordSuccess(1_300);
    detector.recordSuccess(1_400);
    expect(detector.endedAtMs).toBe(1_300);
  });

  it('takes calls that fail right after a start for no outage, so that ended registrations are not kept', () => {
    const started = new OutageDetector({ minOutageMs: 1_200 });
    started.recordFailure(0);
    started.recordFailure(1_600);
    started.recordSuccess(4_700);
    expect(started.endedAtMs).toBe(-Infinity);
  });

  it('counts each outage from its own first failed call', () => {
    detector.recordFailure(100);
    detector.recordSuccess(200);
    detector.recordFailure(1_500);
    detector.recordFailure(1_600);
    detector.recordSuccess(1_700);
    expect(detector.endedAtMs).toBe(-Infinity);
  });
});
