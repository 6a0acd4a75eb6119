import { describe, expect, it } from 'vitest';
import { Random, WorkClass } from '../../src/core/index.js';
import { PrefixCacheIndex } from '../../src/fleet/prefix-cache-index.js';
import { SpeedEstimator } from '../../src/fleet/speed-estimator.js';
import { EndpointState, type EndpointView } from '../../src/fleet/index.js';
import { ExplanationStore, Router, type RouterOptions } from '../../src/routing/index.js';
import { noRequests, request, view } from './route-fixtures.js';

function newRouter(changes: Partial<RouterOptions> = {}): Router {
  return new Router({
    daemonId: 'entry-1',
    region: 'litoral',
    random: new Random(7),
    caches: new PrefixCacheIndex(),
    ...changes,
  });
}

const busyReport = (requests: number, atMs = 0) => ({
  runningRequests: requests,
  queuedRequests: 0,
  kvUsedRatio: 0.5,
  observedAtMs: atMs,
  receivedAtMs: atMs,
});

describe('Router', () => {
  describe('choose', () => {
    it('never chooses an endpoint that a requirement excludes', () => {
      const views = [
        view('leaving', { state: EndpointState.Leaving }),
        view('noticed', { leavingAtMs: 5 }),
        view('suspect', { state: EndpointState.Suspect }),
        view('starting', { state: EndpointState.Starting }),
        view('unloaded', { loadedModels: [] }),
        view('broken', { circuitOpenUntilMs: 10 }),
        view('unfenced', { checksFence: false }),
        view('tried'),
        view('remote', { region: 'cuyo' }),
        view('good', { priceUsdPerHour: 50 }),
      ];
      const routeRequest = request({
        requiresFence: true,
        spillOver: false,
        excludedEndpoints: ['tried'],
      });
      const router = newRouter();
      for (let draw = 0; draw < 50; draw++) {
        const decision = router.choose(routeRequest, views, 0);
        expect(decision.endpoint?.id).toBe('good');
        expect(decision.explanation.candidates().map((c) => c.excludedBecause)).toEqual([
          'leaving',
          'leaving',
          'not live',
          'not live',
          'model not loaded',
          'circuit open',
          'does not check fencing tokens',
          'already tried',
          'in another region',
          undefined,
        ]);
      }
    });

    it('returns no endpoint when all are excluded, with the reasons', () => {
      const { endpoint, explanation } = newRouter().choose(
        request(),
        [view('a', { state: EndpointState.Leaving })],
        0,
      );
      expect(endpoint).toBeUndefined();
      expect(explanation.candidates()[0]?.excludedBecause).toBe('leaving');
    });

    it('repeats its decisions from the same seed', () => {
      const views = ['a', 'b', 'c', 'd'].map((id) => view(id));
      const run = (): (string | undefined)[] => {
        const router = newRouter();
        return Array.from({ length: 30 }, () => router.choose(request(), views, 0).endpoint?.id);
      };
      expect(run()).toEqual(run());
    });

    it('spreads requests over equal endpoints instead of choosing the first', () => {
      const views = ['a', 'b', 'c', 'd'].map((id) => view(id));
      const router = newRouter();
      const counts = new Map<string, number>();
      for (let draw = 0; draw < 400; draw++) {
        const id = router.choose(request(), views, 0).endpoint?.id ?? '';
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
      expect(Math.min(...counts.values())).toBeGreaterThan(60);
      expect(counts.size).toBe(4);
    });

    it('changes the decision with the weights of the workspace', () => {
      const caches = new PrefixCacheIndex();
      const prefix = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25];
      caches.recordSent('warm-dear', prefix, 0);
      const views = [
        view('warm-dear', { priceUsdPerHour: 6, report: busyReport(6) }),
        view('cold-cheap', { report: busyReport(6) }),
        view('cold-idle', { priceUsdPerHour: 12, report: busyReport(0) }),
      ];
      const router = newRouter({ caches, temperatureRatio: 0 });
      const choose = (weights: object): string | undefined =>
        router.choose(request({ prefix, weights: { ...request().weights, ...weights } }), views, 0)
          .endpoint?.id;
      expect(choose({ weight_recompute: 20 })).toBe('warm-dear');
      expect(choose({ weight_recompute: 0, weight_cost: 20 })).toBe('cold-cheap');
      const waitWeights = { weight_recompute: 0, weight_cost: 0, weight_wait: 50, weight_tail: 50 };
      caches.remove('warm-dear');
      expect(choose(waitWeights)).toBe('cold-idle');
    });

    it('keeps the reserve free of long work, unless no endpoint has other capacity', () => {
      const views = [view('a', { report: busyReport(6) }), view('b', { report: busyReport(2) })];
      const router = newRouter();
      const long = request({ workClass: WorkClass.Long });
      const first = router.choose(long, views, 0);
      expect(first.endpoint?.id).toBe('b');
      const full = views.map((each) => ({ ...each, report: busyReport(7) }));
      const second = router.choose(long, full, 0);
      expect(second.endpoint).toBeDefined();
      expect(second.explanation.relaxed).toEqual(['no free capacity for the class']);
    });

    it('counts its own requests before any report shows them', () => {
      const router = newRouter({ temperatureRatio: 0 });
      const own = { requests: { ...noRequests, [WorkClass.Short]: 6 }, pendingTokens: 900 };
      const views = [view('own', { ownInFlight: own }), view('free')];
      expect(router.choose(request(), views, 0).endpoint?.id).toBe('free');
    });

    it('does not let a request sent after the report hide one of another daemon', () => {
      const router = newRouter();
      const before = view('a', { report: busyReport(5, 0) });
      expect(router.choose(request(), [before], 10).load?.requests).toBeCloseTo(5, 1);
      const own = { requests: { ...noRequests, [WorkClass.Short]: 1 }, pendingTokens: 0 };
      const after = { ...before, ownInFlight: own };
      expect(router.choose(request(), [after], 20).load?.requests).toBeCloseTo(6, 1);
      const reported = { ...after, report: busyReport(6, 30) };
      expect(router.choose(request(), [reported], 30).load?.requests).toBeCloseTo(6, 1);
    });

    it('does not treat an endpoint with an old report as idle', () => {
      const views = [
        view('old', { report: busyReport(0, -60_000) }),
        view('b', { report: busyReport(6) }),
      ];
      const decision = newRouter().choose(request(), views, 0);
      const [old] = decision.explanation.candidates();
      const load = newRouter().choose(request(), [views[0] ?? view('')], 0).load;
      expect(old?.totalUsd).toBeGreaterThan(0);
      expect(load?.requests).toBe(0);
      // Next to a busy endpoint, the old report decays towards the mean of the reports.
      const pair = newRouter({ temperatureRatio: 0 }).choose(request(), views, 0);
      expect(pair.load?.requests).toBeCloseTo(3, 1);
    });

    it('avoids slow endpoints and probes them once per period', () => {
      const speeds = new SpeedEstimator({ probePeriodMs: 1_000 });
      const ids = ['slow', 'b', 'c', 'd'];
      for (const id of ids) speeds.add(id, 'g');
      for (let step = 0; step < 40; step++) {
        for (const id of ids) speeds.observeTokens(id, 4, id === 'slow' ? 600 : 120, step * 120);
      }
      const nowMs = 10_000;
      const views: EndpointView[] = ids.map((id) => view(id, { speed: speeds.speed(id) }));
      const router = newRouter({ speeds });
      const decisions = Array.from({ length: 100 }, () => router.choose(request(), views, nowMs));
      const toSlow = decisions.filter(({ endpoint }) => endpoint?.id === 'slow');
      expect(toSlow.filter(({ isProbe }) => isProbe)).toHaveLength(1);
      const probed = decisions.findIndex(({ isProbe }) => isProbe);
      expect(probed).toBeGreaterThanOrEqual(20);
      expect(toSlow.length).toBeLessThan(5);
      const unrepeatable = router.choose(request({ repeatable: false }), views, nowMs + 2_000);
      expect(unrepeatable.isProbe).toBe(false);
    });

    it('promotes long work whose slack runs out', () => {
      const router = newRouter();
      const long = { workClass: WorkClass.Long, expectedOutputTokens: 1_000 };
      const late = router.choose(request({ ...long, deadlineAtMs: 35_000 }), [view('a')], 0);
      const early = router.choose(request({ ...long, deadlineAtMs: 900_000 }), [view('a')], 0);
      expect([late.engineClass, early.engineClass]).toEqual([WorkClass.Short, WorkClass.Long]);
    });

    it('considers a stable subset of a large fleet, spread over the failure domains', () => {
      const views = Array.from({ length: 600 }, (_, index) =>
        view(`e${index}`, { failureDomain: `d${index % 6}` }),
      );
      const router = newRouter();
      const considered = (all: readonly EndpointView[]): string[] =>
        router
          .choose(request(), all, 0)
          .explanation.candidates()
          .map(({ endpointId }) => endpointId);
      const before = considered(views);
      expect(before).toHaveLength(128);
      const domains = new Map<number, number>();
      for (const id of before) {
        const domain = Number(id.slice(1)) % 6;
        domains.set(domain, (domains.get(domain) ?? 0) + 1);
      }
      expect(Math.min(...domains.values())).toBeGreaterThanOrEqual(20);
      const after = new Set(considered(views.slice(1)));
      expect(before.filter((id) => after.has(id)).length).toBeGreaterThan(120);
    });
  });

  describe('explanations', () => {
    it('gives every candidate its terms and probabilities that sum to one', () => {
      const views = [
        view('a'),
        view('b', { report: busyReport(5) }),
        view('c', { loadedModels: [] }),
      ];
      const store = new ExplanationStore(2);
      const router = newRouter({ explanations: store });
      router.choose(request({ requestId: 'r1' }), views, 0);
      const candidates = store.find('r1')[0]?.candidates() ?? [];
      expect(candidates.map(({ excludedBecause }) => excludedBecause)).toEqual([
        undefined,
        undefined,
        'model not loaded',
      ]);
      expect(Object.keys(candidates[0]?.scoresUsd ?? {})).toEqual([
        'cost',
        'wait',
        'tail',
        'recompute',
        'link',
      ]);
      const sum = candidates.reduce((total, { probability }) => total + probability, 0);
      expect(sum).toBeCloseTo(1);
      expect(candidates.filter(({ isChosen }) => isChosen)).toHaveLength(1);
    });

    it('keeps only the newest explanations', () => {
      const store = new ExplanationStore(2);
      const router = newRouter({ explanations: store });
      for (const requestId of ['r1', 'r2', 'r3']) {
        router.choose(request({ requestId }), [view('a')], 0);
      }
      expect(store.find('r1')).toEqual([]);
      expect(store.latest(5).map(({ requestId }) => requestId)).toEqual(['r3', 'r2']);
    });
  });
});
