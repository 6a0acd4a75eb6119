import { describe, expect, it } from 'vitest';
import {
  EndpointOrderClient,
  OrderError,
  OrderKind,
  RolloutPhase,
  type EndpointOrder,
} from '../../src/capacity/index.js';
import { Random, VirtualClock, countingIds } from '../../src/core/index.js';
import { CapacityService } from '../../src/daemon/capacity-service.js';
import { EndpointRegistry, LeavingSet } from '../../src/fleet/index.js';
import { AppendBudget, Appender, CircuitBreaker } from '../../src/log/index.js';
import { RpcPeerTransport, SwimProtocol } from '../../src/membership/index.js';
import { Deployment } from '../../src/settings/index.js';
import {
  MemoryCloud,
  MemoryLogService,
  MemoryPeerNetwork,
  MemoryWeightStore,
} from '../../src/standins/index.js';
import { StreamReplica, type ControlFold } from '../../src/state/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';

const offers = ['seoul-a', 'seoul-b'].map((failureDomain) => ({
  failureDomain,
  vmClass: 'standard',
  reclaimable: false,
  priceUsdPerHour: 1,
}));

/** Engines that load an ordered version or model at once; orders of broken versions fail. */
class FakeOrderClient extends EndpointOrderClient {
  readonly sent: { readonly order: EndpointOrder; readonly loadsStarted: number }[] = [];
  readonly broken = new Set<string>();
  onOrder: (baseUrl: string, order: EndpointOrder) => void = () => undefined;
  loadsStarted: () => number = () => 0;

  override async send(baseUrl: string, order: EndpointOrder): Promise<void> {
    this.sent.push({ order, loadsStarted: this.loadsStarted() });
    if ('version' in order && this.broken.has(order.version)) {
      throw new OrderError('cannot load', baseUrl, false);
    }
    this.onOrder(baseUrl, order);
  }
}

class TestRegion {
  readonly clock = new VirtualClock(1_700_000_000_000);
  readonly cloud = new MemoryCloud({ clock: this.clock, offers, listLagMs: 1_000 });
  readonly log = new MemoryLogService({ clock: this.clock });
  readonly network = new MemoryPeerNetwork({ clock: this.clock });
  readonly store = new MemoryWeightStore({
    clock: this.clock,
    rateBytesPerS: 1e9,
    modelBytes: 1e9,
  });
  readonly orders = new FakeOrderClient();
  readonly registries: EndpointRegistry[] = [];
  deployment = deploymentWith('1', 2, 0);
  #incarnation = 0;

  constructor() {
    this.orders.loadsStarted = () => this.store.loads.length;
    this.orders.onOrder = (baseUrl, order) => {
      for (const registry of this.registries) {
        const view = registry.all().find((each) => each.baseUrl === baseUrl);
        if (!view) continue;
        const models = order.kind === OrderKind.LoadModel ? [order.model] : view.loadedModels;
        const version = order.kind === OrderKind.SetVersion ? order.version : view.version;
        registry.recordLoadedModels(view.id, models, version);
      }
    };
  }

  deploy(deployment: Deployment): void {
    this.deployment = deployment;
    for (const registry of this.registries) registry.applyDeployment(deployment);
  }

  startDaemon(name: string) {
    const { clock, log } = this;
    const random = new Random(++this.#incarnation);
    const events = new NullEventLog();
    const url = `http://${name}`;
    const { caller, methods } = this.network.listen(url);
    const membership = new SwimProtocol({
      self: { id: name, rpcUrl: url, adminUrl: url, region: 'seoul', failureDomain: 'seoul-a' },
      transport: new RpcPeerTransport(caller, methods),
      clock,
      random,
      seeds: () => [],
    });
    const leaving = new LeavingSet();
    const registry = new EndpointRegistry({ clock, leaving });
    registry.applyDeployment(this.deployment);
    for (const { id, version } of registry.all()) registry.recordLoadedModels(id, ['m'], version);
    this.registries.push(registry);
    const openStream = (fold: ControlFold) => {
      const stream = 'prod.control.seoul';
      const replica = new StreamReplica({ log, stream, fold, clock, random, events });
      const writer = new Appender({
        log,
        stream,
        writer: name,
        feed: replica,
        clock,
        random,
        newId: countingIds(`${name}-${this.#incarnation}`),
        budget: new AppendBudget({ clock, appendsPerS: 300 }),
        breaker: new CircuitBreaker({ clock, random }),
        events,
      });
      replica.start();
      const close = async (): Promise<void> => {
        writer.stop();
        await replica.stop();
      };
      return { fold, replica, writer, close };
    };
    const service = new CapacityService({
      daemon: name,
      region: 'seoul',
      incarnation: this.#incarnation * 1_000,
      cloud: this.cloud,
      weightStore: this.store,
      weightBytesPerS: 1e9,
      orders: this.orders,
      openStream,
      membership,
      registry,
      leaving,
      deployment: () => this.deployment,
      clock,
      random,
      events,
      onList: () => undefined,
    });
    service.start();
    return { service, registry, leaving };
  }
}

function deploymentWith(version: string, minVms: number, endpoints: number): Deployment {
  const sections = new Map<string, Record<string, string>>([
    [
      'prod/t/services/chat',
      { kind: 'engine', models: 'm', version, min_vms: String(minVms), max_vms: '8' },
    ],
  ]);
  for (let index = 0; index < endpoints; index++) {
    sections.set(`prod/t/endpoints/e${index}`, {
      service: 'chat',
      base_url: `http://e${index}`,
      region: 'seoul',
      failure_domain: 'seoul-a',
      vm_id: `v${index}`,
      checks_fence: 'true',
    });
  }
  return Deployment.from(sections);
}

describe('CapacityService', () => {
  // With two VMs in each of two failure domains, two remain after the loss of either domain.
  const plannedVms = 4;

  it('creates no duplicate VMs when the holder fails while create answers are lost', async () => {
    const testRegion = new TestRegion();
    testRegion.cloud.faults.losesCreateAnswers = true;
    const first = testRegion.startDaemon('d1');
    await testRegion.clock.advance(9_000);
    expect(testRegion.cloud.startedCount).toBe(plannedVms);
    await first.service.stop();
    testRegion.cloud.faults.losesCreateAnswers = false;
    const second = testRegion.startDaemon('d2');
    await testRegion.clock.advance(300_000);
    expect(second.service.status().controllers).toHaveLength(1);
    expect(testRegion.cloud.startedCount).toBe(plannedVms);
  });

  it('reports refused starts and starts the VMs once the cloud has capacity', async () => {
    const testRegion = new TestRegion();
    testRegion.cloud.faults.refuses = ({ failureDomain }) => failureDomain === 'seoul-b';
    const { service } = testRegion.startDaemon('d1');
    await testRegion.clock.advance(30_000);
    const [controller] = service.status().controllers;
    expect(controller?.refusedStarts).toMatchObject([{ failureDomain: 'seoul-b' }]);
    testRegion.cloud.faults.refuses = () => false;
    await testRegion.clock.advance(600_000);
    expect(testRegion.cloud.running()).toHaveLength(plannedVms);
    expect(service.status().controllers[0]?.refusedStarts).toEqual([]);
  });

  it('makes no large change on a stale list, and reports the list as stale', async () => {
    const testRegion = new TestRegion();
    const { service } = testRegion.startDaemon('d1');
    await testRegion.clock.advance(60_000);
    testRegion.cloud.faults.isListFrozen = true;
    await testRegion.clock.advance(40_000);
    testRegion.deploy(deploymentWith('1', 4, 0));
    await testRegion.clock.advance(60_000);
    expect(service.status().staleSources).toEqual(['list']);
    expect(testRegion.cloud.startedCount).toBe(plannedVms);
    testRegion.cloud.faults.isListFrozen = false;
    await testRegion.clock.advance(60_000);
    expect(service.status().staleSources).toEqual([]);
    expect(testRegion.cloud.startedCount).toBe(8);
  });

  it('rolls back a failed version, which the next holder does not try again', async () => {
    const testRegion = new TestRegion();
    testRegion.deployment = deploymentWith('1', 0, 4);
    testRegion.orders.broken.add('2');
    const first = testRegion.startDaemon('d1');
    await testRegion.clock.advance(10_000);
    testRegion.deploy(deploymentWith('2', 0, 4));
    for (const { id } of first.registry.all()) first.registry.recordLoadedModels(id, ['m'], '1');
    await testRegion.clock.advance(30_000);
    expect(first.service.status().controllers[0]?.rollout).toMatchObject({
      version: '1',
      failedVersion: '2',
    });
    const attemptCount = (): number =>
      testRegion.orders.sent.filter(({ order }) => 'version' in order && order.version === '2')
        .length;
    expect(attemptCount()).toBe(1);
    await first.service.stop();
    const second = testRegion.startDaemon('d2');
    for (const { id } of second.registry.all()) second.registry.recordLoadedModels(id, ['m'], '1');
    await testRegion.clock.advance(120_000);
    expect(second.service.status().controllers[0]?.rollout).toMatchObject({
      phase: RolloutPhase.Steady,
      version: '1',
      failedVersion: '2',
    });
    expect(attemptCount()).toBe(1);
  });

  it('orders a model or version only after the weight store has started its load', async () => {
    const testRegion = new TestRegion();
    testRegion.deployment = deploymentWith('1', 0, 2);
    const { registry } = testRegion.startDaemon('d1');
    const [unloaded] = registry.all();
    registry.recordLoadedModels(unloaded?.id ?? '', [], '1');
    await testRegion.clock.advance(20_000);
    testRegion.deploy(deploymentWith('2', 0, 2));
    for (const { id } of registry.all()) registry.recordLoadedModels(id, ['m'], '1');
    await testRegion.clock.advance(120_000);
    expect(testRegion.orders.sent.map(({ order }) => order.kind)).toEqual([
      OrderKind.LoadModel,
      OrderKind.SetVersion,
      OrderKind.SetVersion,
    ]);
    expect(testRegion.orders.sent.map(({ loadsStarted }) => loadsStarted)).toEqual([1, 2, 3]);
  });
});
