import { beforeEach, describe, expect, it } from 'vitest';
import { EndpointPauses, maxPauseMs } from '../../src/fleet/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import { PrometheusMetrics } from '../../src/telemetry/prometheus-metrics.js';

describe('EndpointPauses', () => {
  let pauses: EndpointPauses;

  beforeEach(() => {
    pauses = new EndpointPauses({ events: new NullEventLog(), metrics: new PrometheusMetrics() });
  });

  describe('a pause', () => {
    it('lasts to its deadline, for its endpoint only', () => {
      pauses.record('a', 4_000, 0);
      expect(pauses.isPaused('a', 3_999)).toBe(true);
      expect(pauses.nextTryAtMs('a', 0)).toBe(4_000);
      expect(pauses.isPaused('a', 4_000)).toBe(false);
      expect(pauses.nextTryAtMs('b', 0)).toBeUndefined();
    });

    it('is extended by a longer one and not cut by a shorter one, as refusals come out of order', () => {
      pauses.record('a', 4_000, 0);
      pauses.record('a', 1_000, 100);
      expect(pauses.nextTryAtMs('a', 200)).toBe(4_000);
      pauses.record('a', 6_000, 300);
      expect(pauses.nextTryAtMs('a', 400)).toBe(6_000);
    });

    it('is bounded, so that an absurd one does not keep an endpoint idle for good', () => {
      pauses.record('a', 1e15, 1_000);
      expect(pauses.nextTryAtMs('a', 1_000)).toBe(1_000 + maxPauseMs);
    });

    it('of no time is none', () => {
      pauses.record('a', 1_000, 1_000);
      pauses.began('a', 1_001);
      expect(pauses.nextTryAtMs('a', 1_002)).toBeUndefined();
    });

    it('goes with the identity of its endpoint', () => {
      pauses.record('a', 4_000, 0);
      pauses.remove('a');
      expect(pauses.nextTryAtMs('a', 0)).toBeUndefined();
    });
  });

  describe('a later start of the process', () => {
    it('keeps what was asked for since, and nothing that the earlier process asked for', () => {
      pauses.record('a', 9_000, 0);
      pauses.record('a', 4_000, 2_000);
      pauses.record('a', 3_000, 2_100);
      pauses.carryOver('a', 'a2', 1_000);
      pauses.remove('a');
      expect(pauses.nextTryAtMs('a2', 2_200)).toBe(4_000);
    });

    it('has no pause when only the earlier process asked for one', () => {
      pauses.record('a', 9_000, 0);
      pauses.carryOver('a', 'a2', 1_000);
      expect(pauses.nextTryAtMs('a2', 1_000)).toBeUndefined();
    });
  });

  describe('the end of a pause', () => {
    beforeEach(() => {
      pauses.record('a', 4_000, 0);
    });

    it('lets one request go first, not all that have waited', () => {
      expect(pauses.nextTryAtMs('a', 4_000)).toBeUndefined();
      pauses.began('a', 4_000);
      expect(pauses.nextTryAtMs('a', 4_010)).toBeGreaterThan(4_010);
    });

    it('lets the others follow once that one was accepted', () => {
      pauses.began('a', 4_000);
      pauses.accepted('a', 4_000, 4_050);
      expect(pauses.nextTryAtMs('a', 4_060)).toBeUndefined();
      pauses.began('a', 4_060);
      expect(pauses.nextTryAtMs('a', 4_061)).toBeUndefined();
    });

    it('is not shown by the response to a request that was sent before it', () => {
      pauses.accepted('a', 3_000, 4_050);
      pauses.began('a', 4_060);
      expect(pauses.nextTryAtMs('a', 4_061)).toBeDefined();
    });

    it('lets another request try when the first one failed, and when it gets no response', () => {
      const end = pauses.began('a', 4_000);
      end();
      expect(pauses.nextTryAtMs('a', 4_100)).toBeUndefined();
      pauses.began('a', 4_100);
      expect(pauses.nextTryAtMs('a', 4_200)).toBeDefined();
      expect(pauses.nextTryAtMs('a', 5_200)).toBeUndefined();
    });

    it('begins a new pause when the first request is refused like that again', () => {
      const end = pauses.began('a', 4_000);
      pauses.record('a', 9_000, 4_050);
      end();
      expect(pauses.isPaused('a', 8_999)).toBe(true);
    });
  });
});
