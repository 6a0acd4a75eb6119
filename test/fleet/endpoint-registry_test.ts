import { describe, expect, it } from 'vitest';
import { VirtualClock, WorkClass } from '../../src/core/index.js';
import { EngineFailure } from '../../src/engine/index.js';
import {
  EndpointRegistry,
  EndpointState,
  LeavingSet,
  LeavingSource,
  vmLeavingEntry,
} from '../../src/fleet/index.js';
import { Deployment } from '../../src/settings/index.js';

function deploymentOf(vmIds: Record<string, string>): Deployment {
  const sections = new Map<string, Record<string, string>>([
    ['prod/t/services/chat', { kind: 'engine', models: 'm1', version: '7' }],
  ]);
  for (const [name, vmId] of Object.entries(vmIds)) {
    sections.set(`prod/t/endpoints/${name}`, {
      service: 'chat',
      base_url: `http://10.0.0.1:80${name.length}`,
      region: 'r',
      failure_domain: 'f',
      vm_id: vmId,
    });
  }
  return Deployment.from(sections);
}

function setUp(vmIds: Record<string, string>) {
  const clock = new VirtualClock();
  const leaving = new LeavingSet();
  const registry = new EndpointRegistry({ clock, leaving });
  registry.applyDeployment(deploymentOf(vmIds));
  const first = () => registry.views('t/chat')[0]!;
  return { clock, leaving, registry, first };
}

describe('EndpointRegistry', () => {
  it('treats an address that returns under another VM as a new endpoint', () => {
    const { clock, leaving, registry, first } = setUp({ a: 'vm-1' });
    const retired: string[] = [];
    registry.onRetire((id) => retired.push(id));
    const old = first();
    registry.beginRequest(old.id, WorkClass.Long, 500);
    registry.recordFailure(old.id, EngineFailure.ConnectionFailed);
    leaving.mergeLocal([
      vmLeavingEntry('vm-1', clock.nowMs(), LeavingSource.Notice, clock.nowMs()),
    ]);
    expect(first().state).toBe(EndpointState.Leaving);
    registry.applyDeployment(deploymentOf({ a: 'vm-2' }));
    expect(first()).toMatchObject({
      state: EndpointState.Starting,
      baseUrl: old.baseUrl,
      ownInFlight: { pendingTokens: 0 },
    });
    expect(first().id).not.toBe(old.id);
    expect(retired).toEqual([old.id]);
  });

  it('treats a restarted process on the same VM as a new endpoint', () => {
    const { registry, first } = setUp({ a: 'vm-1' });
    registry.observeProcessStart('t/a', 10);
    const old = first();
    registry.recordDraining(old.id);
    expect(first().state).toBe(EndpointState.Leaving);
    registry.observeProcessStart('t/a', 5);
    expect(first().state).toBe(EndpointState.Leaving);
    registry.observeProcessStart('t/a', 20);
    expect(first().state).toBe(EndpointState.Starting);
    expect(first().id).not.toBe(old.id);
  });

  it('keeps another process on the same VM when one process drains', () => {
    const { registry } = setUp({ a: 'vm-1', bb: 'vm-1' });
    const [a, b] = registry.views('t/chat');
    registry.recordDraining(a!.id);
    expect(registry.view(a!.id)?.state).toBe(EndpointState.Leaving);
    expect(registry.view(b!.id)?.state).toBe(EndpointState.Starting);
  });

  it('keeps the observed state when unrelated settings change', () => {
    const { registry, first } = setUp({ a: 'vm-1' });
    registry.recordLoadedModels(first().id, ['m1', 'lora'], '6');
    registry.applyDeployment(deploymentOf({ a: 'vm-1', bb: 'vm-2' }));
    expect(first()).toMatchObject({
      state: EndpointState.Live,
      version: '6',
      loadedModels: ['m1', 'lora'],
    });
  });

  it('keeps an endpoint that refused a connection suspect until a new connection is answered', () => {
    const { registry, first } = setUp({ a: 'vm-1' });
    registry.recordFailure(first().id, EngineFailure.ConnectionFailed);
    registry.recordSuccess(first().id);
    expect(first().state).toBe(EndpointState.Suspect);
    registry.restore(first().id);
    expect(first().state).toBe(EndpointState.Live);
  });

  it('opens the circuit after three broken answers in a row, longer each time', () => {
    const { clock, registry, first } = setUp({ a: 'vm-1' });
    for (let count = 0; count < 3; count++) {
      expect(first().circuitOpenUntilMs).toBe(0);
      registry.recordFailure(first().id, EngineFailure.Broken);
    }
    expect(first().circuitOpenUntilMs).toBe(clock.nowMs() + 1_000);
    registry.recordFailure(first().id, EngineFailure.Broken);
    expect(first().circuitOpenUntilMs).toBe(clock.nowMs() + 2_000);
    registry.recordSuccess(first().id);
    expect(first().circuitOpenUntilMs).toBe(0);
  });

  it('counts own requests once, even if they end repeatedly', () => {
    const { registry, first } = setUp({ a: 'vm-1' });
    const request = registry.beginRequest(first().id, WorkClass.Short, 100);
    request.setPendingTokens(40);
    expect(first().ownInFlight).toMatchObject({ requests: { short: 1 }, pendingTokens: 40 });
    request.end();
    request.end();
    expect(first().ownInFlight).toMatchObject({ requests: { short: 0 }, pendingTokens: 0 });
  });

  it('returns the same views while nothing changed', () => {
    const { registry } = setUp({ a: 'vm-1', bb: 'vm-2' });
    expect(registry.views('t/chat')).toBe(registry.views('t/chat'));
  });
});
