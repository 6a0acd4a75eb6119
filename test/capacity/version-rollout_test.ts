import { describe, expect, it } from 'vitest';
import {
  EndpointOrderClient,
  OrderError,
  OrderKind,
  RolloutPhase,
  VersionRollout,
  type EndpointOrder,
} from '../../src/capacity/index.js';
import { VirtualClock } from '../../src/core/index.js';
import { EngineFailure } from '../../src/engine/index.js';
import { EndpointRegistry, LeavingSet } from '../../src/fleet/index.js';
import { Deployment } from '../../src/settings/index.js';
import { MemoryControlStream, MemoryLeaseManager } from '../../src/standins/index.js';

/** Orders whose version an endpoint reports after 5 s. */
class FakeOrderClient extends EndpointOrderClient {
  readonly sent: { endpoint: string; version: string; fence: number }[] = [];
  readonly broken = new Set<string>();
  readonly #apply: (endpoint: string, version: string) => void;

  constructor(apply: (endpoint: string, version: string) => void) {
    super();
    this.#apply = apply;
  }

  override async send(baseUrl: string, order: EndpointOrder, fence: number): Promise<void> {
    if (order.kind !== OrderKind.SetVersion) return;
    this.sent.push({ endpoint: baseUrl, version: order.version, fence });
    if (this.broken.has(order.version)) throw new OrderError('cannot load', baseUrl, false);
    this.#apply(baseUrl, order.version);
  }
}

function setUp(options: { checksFence: boolean }) {
  const clock = new VirtualClock();
  const registry = new EndpointRegistry({ clock, leaving: new LeavingSet() });
  const deploy = (version: string): void => {
    const sections = new Map<string, Record<string, string>>([
      ['prod/t/services/chat', { kind: 'engine', models: 'm', version }],
    ]);
    for (let index = 0; index < 20; index++) {
      sections.set(`prod/t/endpoints/e${index}`, {
        service: 'chat',
        base_url: `http://e${index}`,
        region: 'r',
        failure_domain: 'f',
        vm_id: `v${index}`,
        checks_fence: String(options.checksFence),
      });
    }
    registry.applyDeployment(Deployment.from(sections));
  };
  deploy('7');
  const views = () => registry.views('t/chat');
  for (const { id } of views()) registry.recordLoadedModels(id, ['m'], '7');
  const orders = new FakeOrderClient((baseUrl, version) => {
    clock.schedule(clock.nowMs() + 5_000, () => {
      const id = views().find((view) => view.baseUrl === baseUrl)?.id ?? '';
      registry.recordLoadedModels(id, ['m'], version);
    });
  });
  const stream = new MemoryControlStream(clock);
  let desired = '7';
  const boot = () => {
    const leases = new MemoryLeaseManager(stream);
    const rollout = new VersionRollout({
      serviceId: 't/chat',
      region: 'r',
      leaseName: 'lease',
      clock,
      leases,
      orders,
      registry,
      desiredVersion: () => desired,
    });
    const stop = clock.every(1_000, () => {
      void (async () => {
        if (!leases.isHeld('lease')) await leases.acquire('lease');
        else await leases.renew('lease');
        await rollout.tick();
      })();
    });
    return { rollout, stop };
  };
  const setVersion = (version: string): void => {
    desired = version;
    deploy(version);
  };
  const versions = () => new Set(views().map((view) => view.version));
  return { clock, registry, orders, views, boot, setVersion, versions };
}

describe('VersionRollout', () => {
  it('changes one endpoint first, then at most a tenth at a time, until all run the version', async () => {
    const { clock, orders, boot, setVersion, versions } = setUp({ checksFence: true });
    const { rollout } = boot();
    await clock.advance(5_000);
    expect(orders.sent).toEqual([]);
    setVersion('8');
    await clock.advance(50_000);
    expect(orders.sent).toHaveLength(1);
    for (let second = 0; second < 120; second++) {
      const before = orders.sent.length;
      await clock.advance(5_000);
      expect(orders.sent.length - before).toBeLessThanOrEqual(2);
    }
    expect(versions()).toEqual(new Set(['8']));
    expect(rollout.state?.phase).toBe(RolloutPhase.Steady);
  });

  it('rolls back when the canary cannot load the version, and does not try it again', async () => {
    const { clock, orders, boot, setVersion, versions } = setUp({ checksFence: true });
    const { rollout } = boot();
    await clock.advance(5_000);
    orders.broken.add('8');
    setVersion('8');
    await clock.advance(300_000);
    expect(orders.sent.filter(({ version }) => version === '8')).toHaveLength(1);
    expect(versions()).toEqual(new Set(['7']));
    expect(rollout.state?.failedVersion).toBe('8');
    setVersion('9');
    await clock.advance(600_000);
    expect(versions()).toEqual(new Set(['9']));
  });

  it('rolls all endpoints back when two of them fail with the new version', async () => {
    const { clock, registry, views, boot, setVersion, versions } = setUp({ checksFence: true });
    boot();
    await clock.advance(5_000);
    setVersion('8');
    await clock.advance(100_000);
    const changed = views().filter(({ version }) => version === '8');
    expect(changed.length).toBeGreaterThan(3);
    for (const { id } of changed.slice(1, 3)) registry.recordFailure(id, EngineFailure.TimedOut);
    await clock.advance(10_000);
    for (const { id } of changed) registry.restore(id);
    await clock.advance(300_000);
    expect(versions()).toEqual(new Set(['7']));
  });

  it('lets the next holder finish with a higher fence, after a wait where fences are not checked', async () => {
    const { clock, orders, boot, setVersion, versions } = setUp({ checksFence: false });
    const first = boot();
    await clock.advance(20_000);
    setVersion('8');
    await clock.advance(80_000);
    first.stop();
    const before = orders.sent.length;
    const lastFence = orders.sent.at(-1)?.fence ?? 0;
    boot();
    // The lease expires after 10 s, and late orders of the last holder are allowed 15 s more.
    await clock.advance(24_000);
    expect(orders.sent).toHaveLength(before);
    await clock.advance(600_000);
    expect(versions()).toEqual(new Set(['8']));
    expect(orders.sent.at(-1)?.fence).toBeGreaterThan(lastFence);
  });
});
