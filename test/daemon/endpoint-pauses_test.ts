import { createServer, type Server } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { AdmissionController } from '../../src/admission/index.js';
import { Random, SystemClock, WorkClass } from '../../src/core/index.js';
import { closeServer, listen } from '../../src/core/listener.js';
import { EndpointPoller } from '../../src/daemon/endpoint-poller.js';
import { EnginePool } from '../../src/daemon/engine-pool.js';
import { RegionLinks } from '../../src/daemon/region-links.js';
import { PrefixCacheIndex } from '../../src/fleet/prefix-cache-index.js';
import {
  EndpointNotices,
  EndpointPauses,
  EndpointRegistry,
  LeavingSet,
} from '../../src/fleet/index.js';
import { Deployment, type SectionValues } from '../../src/settings/index.js';
import { NullEventLog, NullMetrics } from '../../src/telemetry/index.js';

class OneRegion extends RegionLinks {
  override isRemote(): boolean {
    return false;
  }
}

// An engine that asked a daemon for a pause went on getting its polls, each of which is a request.
describe('an engine that refuses with Retry-After', () => {
  let server: Server | undefined;

  afterEach(async () => {
    if (server) await closeServer(server);
  });

  it('gets neither requests nor polls from the daemon for so long', async () => {
    let arrivals = 0;
    server = createServer((_request, response) => {
      arrivals += 1;
      response.writeHead(503, { 'retry-after': '30' }).end('{}');
    });
    const port = await listen(server, '127.0.0.1', 0);
    const clock = new SystemClock();
    const events = new NullEventLog();
    const deployment = Deployment.from(
      new Map<string, SectionValues>([
        ['prod/t/services/chat', { kind: 'engine', models: 'm' }],
        [
          'prod/t/endpoints/a',
          {
            service: 'chat',
            base_url: `http://127.0.0.1:${port}`,
            region: 'r',
            failure_domain: 'f',
            vm_id: 'v',
          },
        ],
      ]),
    );
    const registry = new EndpointRegistry({ clock, leaving: new LeavingSet() });
    registry.applyDeployment(deployment);
    const pauses = new EndpointPauses({ events, metrics: new NullMetrics() });
    const engines = new EnginePool({
      clock,
      idleTimeoutMs: () => 3_000,
      links: new OneRegion({ clock, membership: () => undefined as never, bitsPerS: 1 }),
      notices: new EndpointNotices({ registry, pauses, clock, events }),
    });
    const [view] = registry.all();
    if (!view) throw new Error('the endpoint is not known');
    const generation = engines.client(view).generate(
      {
        requestId: 'r',
        model: 'm',
        messages: [{ role: 'user', content: 'x' }],
        resumeText: '',
        maxTokens: 1,
        workClass: WorkClass.Short,
        passThrough: {},
      },
      () => undefined,
      new AbortController().signal,
    );
    await expect(generation).rejects.toThrow();
    expect(pauses.isPaused(view.id, clock.nowMs())).toBe(true);
    const poller = new EndpointPoller({
      daemon: 'entry-1',
      registry,
      pauses,
      caches: new PrefixCacheIndex(),
      admission: new AdmissionController({ clock, random: new Random(1) }),
      engines,
      deployment: () => deployment,
      clock,
      random: new Random(2),
    });
    await poller.start();
    await clock.sleepUntil(clock.nowMs() + 1_500);
    poller.stop();
    expect(arrivals).toBe(1);
    await engines.close();
  });
});
