import { describe, expect, it } from 'vitest';
import { Random, VirtualClock } from '../../src/core/index.js';
import { PrefixCacheIndex } from '../../src/fleet/prefix-cache-index.js';
import type { EndpointView } from '../../src/fleet/index.js';
import { PrefillBacklog } from '../../src/fleet/prefill-backlog.js';
import {
  PrefillInterferenceScorer,
  PrefillQueueScorer,
  PromptAffinityScorer,
  Router,
  standardScorers,
  type RouteRequest,
} from '../../src/routing/index.js';
import { request, view } from './route-fixtures.js';

const prompt = {
  promptTokens: 12_000,
  objectiveFirstTokenMs: 1_200,
  objectiveBetweenTokensMs: 500,
};
const weights = { weight_cost: 0, weight_wait: 1, weight_tail: 1, weight_recompute: 0.03 };

class Fixture {
  readonly clock = new VirtualClock();
  readonly backlog = new PrefillBacklog();
  readonly affinity = new PromptAffinityScorer();
  readonly views: EndpointView[];
  readonly router: Router;

  constructor(endpointIds: readonly string[]) {
    this.views = endpointIds.map((id) =>
      view(id, {
        batchSlots: 64,
        speed: { tokenGapMs: 25, prefillTokensPerS: 60_000, slowdownRatio: 1 },
      }),
    );
    this.router = new Router({
      daemonId: 'front-1',
      region: 'litoral',
      random: new Random(7),
      caches: new PrefixCacheIndex(),
      scorers: [
        ...standardScorers('litoral'),
        new PrefillQueueScorer(this.backlog, this.clock),
        new PrefillInterferenceScorer(this.backlog),
        this.affinity,
      ],
    });
  }

  choose(changes: Partial<RouteRequest>): string {
    const routeRequest = request({ weights, ...changes });
    const { endpoint } = this.router.choose(routeRequest, this.views, this.clock.nowMs());
    return endpoint?.id ?? '';
  }
}

describe('prompts that arrive together', () => {
  it('are spread over the endpoints although each batch has free slots', () => {
    const fixture = new Fixture(['a', 'b', 'c', 'd']);
    const counts = new Map<string, number>();
    for (let index = 0; index < 4; index++) {
      const id = fixture.choose(prompt);
      fixture.backlog.add(id, prompt.promptTokens, fixture.clock.nowMs());
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect([...counts.values()]).toEqual([1, 1, 1, 1]);
  });

  it('avoid an endpoint whose prefill queue another daemon has just filled', () => {
    const fixture = new Fixture(['a', 'b']);
    fixture.backlog.add('a', 60_000, fixture.clock.nowMs());
    for (let index = 0; index < 20; index++) {
      expect(fixture.choose({ ...prompt, promptTokens: 300 })).toBe('b');
    }
  });

  it('may use an endpoint again once its prefill queue is empty', async () => {
    const fixture = new Fixture(['a', 'b']);
    fixture.backlog.add('a', 30_000, fixture.clock.nowMs());
    await fixture.clock.advance(2_000);
    expect(fixture.backlog.waitMs('a', fixture.clock.nowMs())).toBe(0);
  });
});

describe('prompts with a common prefix', () => {
  const shared = { ...prompt, sharedPrompt: { key: 'tender-7', tokens: 5_000 } };

  it('are sent to the same two endpoints by each daemon', () => {
    const endpointIds = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
    const chosen = new Set<string>();
    for (let daemon = 0; daemon < 6; daemon++) {
      const fixture = new Fixture(endpointIds);
      fixture.affinity.setEndpoints(fixture.views[0]!.serviceId, endpointIds);
      for (let index = 0; index < 10; index++) chosen.add(fixture.choose(shared));
    }
    expect(chosen.size).toBeLessThanOrEqual(2);
  });

  it('are sent elsewhere when both are busy, since a late answer costs more than a prefill', () => {
    const endpointIds = ['a', 'b', 'c', 'd'];
    const fixture = new Fixture(endpointIds);
    fixture.affinity.setEndpoints(fixture.views[0]!.serviceId, endpointIds);
    const preferredIds = new Set(Array.from({ length: 30 }, () => fixture.choose(shared)));
    for (const id of preferredIds) fixture.backlog.add(id, 90_000, fixture.clock.nowMs());
    expect(preferredIds.has(fixture.choose(shared))).toBe(false);
  });
});
