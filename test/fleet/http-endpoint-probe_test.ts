import { afterEach, describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/core/index.js';
import { HttpEndpointProbe, type ProbeTarget } from '../../src/fleet/index.js';
import { JsonServer, type JsonHandler } from '../../src/standins/json-server.js';

const clock = new SystemClock();
const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function listen(handler: JsonHandler): Promise<ProbeTarget> {
  const server = new JsonServer(handler);
  closers.push(() => server.close());
  const baseUrl = await server.listen();
  return { id: 'a', name: 'team/a', serviceId: 'team/chat', baseUrl };
}

describe('HttpEndpointProbe', () => {
  const probe = new HttpEndpointProbe(clock);

  it('reads the start time and interprets 503 as draining', async () => {
    const live = await listen(async () => ({ status: 200, body: { startedAtMs: 5 } }));
    expect(await probe.probe(live, clock.nowMs() + 5_000)).toEqual({
      startedAtMs: 5,
      isDraining: false,
    });
    const draining = await listen(async () => ({ status: 503 }));
    expect(await probe.probe(draining, clock.nowMs() + 5_000)).toEqual({
      startedAtMs: undefined,
      isDraining: true,
    });
  });

  it('fails by its deadline when the endpoint accepts the connection but never answers', async () => {
    const silent = await listen(() => new Promise(() => undefined));
    await expect(probe.probe(silent, clock.nowMs() + 50)).rejects.toThrow('did not answer');
  });
});
