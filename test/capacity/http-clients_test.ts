import { afterEach, describe, expect, it } from 'vitest';
import {
  CloudUnavailableError,
  HttpCloudApi,
  HttpWeightStore,
  StartRefusedError,
  WeightStoreBusyError,
} from '../../src/capacity/index.js';
import { SystemClock } from '../../src/core/index.js';
import {
  CloudServer,
  MemoryCloud,
  MemoryWeightStore,
  WeightStoreServer,
} from '../../src/standins/index.js';

const clock = new SystemClock();
const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

const request = {
  token: 't1',
  serviceId: 'a/chat',
  region: 'seoul',
  failureDomain: 'seoul-a',
  vmClass: 'standard',
  reclaimable: true,
};

async function startCloud() {
  const offer = { ...request, priceUsdPerHour: 1 };
  const cloud = new MemoryCloud({ clock, offers: [offer], listLagMs: 0 });
  const server = new CloudServer(cloud);
  closers.push(() => server.close());
  const api = new HttpCloudApi({ baseUrl: await server.listen() });
  closers.push(() => api.close());
  return { cloud, api };
}

describe('HttpCloudApi with CloudServer', () => {
  it('supports all operations', async () => {
    const { cloud, api } = await startCloud();
    const vmId = await api.createVm(request);
    expect(await api.createVm(request)).toBe(vmId);
    const { vms } = await api.listVms('seoul');
    expect(vms).toMatchObject([{ ...request, vmId }]);
    expect(vms[0]?.leavingAtMs).toBeUndefined();
    expect(await api.offers('seoul')).toHaveLength(1);
    const waiting = api.notices('seoul', 0, 5_000);
    cloud.reclaim(vmId, 60_000);
    expect(await waiting).toMatchObject([{ sequence: 1, vmId }]);
    await api.deleteVm(vmId);
    expect(cloud.running()).toEqual([]);
  });

  it('distinguishes a refused start, which is final, from a failed request', async () => {
    const { cloud, api } = await startCloud();
    cloud.faults.refuses = () => true;
    await expect(api.createVm(request)).rejects.toBeInstanceOf(StartRefusedError);
    cloud.faults.isDown = true;
    await expect(api.createVm(request)).rejects.toBeInstanceOf(CloudUnavailableError);
  });
});

describe('HttpWeightStore with WeightStoreServer', () => {
  it('supports all operations and reports when a busy store accepts a retry', async () => {
    const store = new MemoryWeightStore({
      clock,
      rateBytesPerS: 1,
      modelBytes: 100,
      maxBacklogMs: 0,
    });
    const server = new WeightStoreServer(store, clock);
    closers.push(() => server.close());
    const client = new HttpWeightStore({ baseUrl: await server.listen(), clock });
    closers.push(() => client.close());
    const load = { token: 'l/1', endpointId: 'e', failureDomain: 'f', model: 'm', version: '1' };
    expect(await client.bytesOf('m/x', '1')).toBe(100);
    expect((await client.begin(load)).bytes).toBe(100);
    expect((await client.status('l/1')).loadedBytes).toBeLessThan(100);
    const refused: unknown = await client.begin({ ...load, token: 'l/2' }).catch((e: unknown) => e);
    expect(refused).toBeInstanceOf(WeightStoreBusyError);
    expect((refused as WeightStoreBusyError).retryAtMs).toBeGreaterThan(clock.nowMs() + 50_000);
  });
});
