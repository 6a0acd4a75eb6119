import { beforeEach, describe, expect, it } from 'vitest';
import { Random, VirtualClock } from '../../src/core/index.js';
import { RegisteredEndpoints, noNotice } from '../../src/fleet/index.js';
import { EndpointKnowledge } from '../../src/gateway/endpoint-knowledge.js';
import { NullEventLog, NullMetrics } from '../../src/telemetry/index.js';
import { request } from '../routing/route-fixtures.js';

const leaves = { ...noNotice, isLeaving: true };

describe('EndpointKnowledge', () => {
  let clock: VirtualClock;
  let known: EndpointKnowledge;
  let endpoints: RegisteredEndpoints;
  let told: string[];

  beforeEach(() => {
    clock = new VirtualClock();
    const events = new NullEventLog();
    told = [];
    known = new EndpointKnowledge({
      daemon: 'front-1',
      region: 'here',
      random: new Random(1),
      clock,
      events,
      metrics: new NullMetrics(),
      onLeaving: (endpointId) => told.push(endpointId),
    });
    endpoints = new RegisteredEndpoints({
      registry: known.registry,
      clock,
      events,
      knownAsOfMs: () => clock.nowMs(),
      outageEndedAtMs: () => -Infinity,
    });
  });

  function register(instanceId: string, isDraining = false, startedAtMs = 1): string {
    endpoints.register({
      instanceId,
      serviceName: 'orders',
      baseUrl: `http://${instanceId}`,
      region: 'here',
      failureDomain: 'here-a',
      batchSlots: 8,
      startedAtMs,
      isDraining,
      leavingAtMs: undefined,
      reclaimable: false,
    });
    return known.registry.viewByName(`registered/${instanceId}`)!.id;
  }

  function chosen(): Set<string> {
    const serviceId = endpoints.serviceId('orders');
    const choose = (): string | undefined =>
      known.router.choose(
        { ...request(), serviceId, model: '' },
        known.registry.views(serviceId),
        clock.nowMs(),
      ).endpoint?.id;
    return new Set(Array.from({ length: 50 }, choose).filter((id) => id !== undefined));
  }

  describe('an endpoint that says by a response that it leaves', () => {
    it('is told once, so that hundreds of responses are not as many datagrams', () => {
      const id = register('i-1');
      for (let count = 0; count < 5; count++) known.notices.apply(id, leaves);
      expect(told).toEqual([id]);
    });

    it('is not told when its registration says so already', () => {
      const id = register('i-1', true);
      known.notices.apply(id, leaves);
      expect(told).toEqual([]);
    });

    it('is told again for a later start of its process', () => {
      known.notices.apply(register('i-1'), leaves);
      known.notices.apply(register('i-1', false, 2), leaves);
      expect(told).toHaveLength(2);
    });
  });

  describe('an endpoint that told another daemon that it leaves', () => {
    it('gets nothing while there are others, and its later start is fresh', () => {
      const first = register('i-1');
      const second = register('i-2');
      expect(chosen()).toEqual(new Set([first, second]));
      known.peerLeavings.report(first, 'front-2', 0, clock.nowMs());
      expect(chosen()).toEqual(new Set([second]));
      const later = register('i-1', false, 2);
      expect(chosen()).toEqual(new Set([later, second]));
    });

    it('is used while there is no other, as a forged report must not end a service', () => {
      const first = register('i-1');
      known.peerLeavings.report(first, 'front-2', 0, clock.nowMs());
      expect(chosen()).toEqual(new Set([first]));
    });
  });

  describe('a process that starts again and answers before its registration is known', () => {
    const pause = { ...noNotice, pauseMs: 4_000 };

    beforeEach(async () => {
      register('i-1', false, clock.nowMs());
      await clock.advance(5_000);
    });

    it('keeps its pause when the registration comes', async () => {
      const startedAtMs = clock.nowMs();
      await clock.advance(500);
      known.notices.apply(register('i-1', false, startedAtMs - 5_000), pause);
      const later = register('i-1', false, startedAtMs);
      expect(known.pauses.nextTryAtMs(later, clock.nowMs())).toBe(startedAtMs + 4_500);
    });

    it('is fresh if what was said is from before its start', async () => {
      const earlier = register('i-1', false, clock.nowMs() - 5_000);
      known.notices.apply(earlier, { ...pause, isLeaving: true });
      await clock.advance(500);
      const later = register('i-1', false, clock.nowMs());
      register('i-2');
      expect(known.pauses.isPaused(later, clock.nowMs())).toBe(false);
      expect(chosen()).toContain(later);
    });

    it('is avoided if it said that it leaves, but not for good, as clocks differ', async () => {
      const startedAtMs = clock.nowMs();
      await clock.advance(500);
      known.notices.apply(register('i-1', false, startedAtMs - 5_000), leaves);
      const later = register('i-1', false, startedAtMs);
      const other = register('i-2');
      expect(chosen()).toEqual(new Set([other]));
      await clock.advance(30_000);
      expect(chosen()).toEqual(new Set([later, other]));
    });

    it('is fresh at a start that its clock puts far away, which says nothing', () => {
      known.notices.apply(register('i-9', false, 1), pause);
      const later = register('i-9', false, 2);
      expect(known.pauses.isPaused(later, clock.nowMs())).toBe(false);
    });
  });
});
