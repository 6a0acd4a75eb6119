import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { askEndpoint, shortQuestion } from '../../src/demo/ask-endpoint.js';
import { DemoCluster } from '../../src/demo/demo-cluster.js';
import { EndpointState, type EndpointView } from '../../src/fleet/index.js';
import { wholeAnswer } from '../../src/standins/index.js';

describe('capacity control over loopback', () => {
  const cluster = new DemoCluster(2);

  beforeAll(() => cluster.start(), 60_000);
  afterAll(() => cluster.stop(), 60_000);

  const viewsOf = (daemon: number): readonly EndpointView[] =>
    cluster.daemons[daemon]?.components.registry.views('tejidos/sales-assistant') ?? [];

  it('passes a reclaim notice to both daemons and serves from the replacement VM', async () => {
    const { platform } = cluster;
    const reclaimed = platform.cloud.engines.get('vm-sales-assistant-5');
    platform.cloud.reclaim('vm-sales-assistant-5', 2_000);
    for (const daemon of [0, 1]) {
      await expect
        .poll(() => viewsOf(daemon).find(({ baseUrl }) => baseUrl === reclaimed?.baseUrl)?.state, {
          timeout: 10_000,
        })
        .toBe(EndpointState.Leaving);
    }
    const ready = (daemon: number): EndpointView | undefined =>
      viewsOf(daemon).find(
        ({ name, state, region, loadedModels }) =>
          /^tejidos\/vm-\d+-1$/.test(name) &&
          region === 'litoral' &&
          state === EndpointState.Live &&
          loadedModels.includes('fence-1'),
      );
    for (const daemon of [0, 1]) {
      await expect.poll(() => ready(daemon), { timeout: 40_000 }).toBeDefined();
    }
    expect(ready(1)?.id).toBe(ready(0)?.id);
    for (const [index, daemon] of cluster.daemons.entries()) {
      const view = ready(index);
      const answer = view && (await askEndpoint(daemon, view, `r${index}`));
      expect(answer).toBe(wholeAnswer(shortQuestion));
    }
    const controllers = cluster.daemons.flatMap(
      ({ components }) => components.capacity?.status().controllers ?? [],
    );
    const names = controllers.map(({ serviceId }) => serviceId).sort();
    expect(names).toEqual(['planning/planner', 'tejidos/sales-assistant']);
  }, 90_000);
});
