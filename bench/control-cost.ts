import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { Random, SystemClock, VirtualClock } from '../src/core/index.js';
import { EndpointRegistry, LeavingSet, LeavingSource, vmLeavingEntry } from '../src/fleet/index.js';
import { RpcClient, RpcServer, sharedSecretAuthenticator } from '../src/rpc/index.js';
import { Deployment } from '../src/settings/index.js';
import { encodeEnvelope, EntryKind } from '../src/state/index.js';
import { MemoryFleet, type FleetDaemon } from '../src/standins/index.js';
import { BenchSuite, type BenchRow } from './suite.js';

const bytesTarget = { limit: 13_000, isUpperBound: true };
const cpuTarget = { limit: 3.5, isUpperBound: true };
const knownTarget = { limit: 3, isUpperBound: true };
const warmUpMs = 120_000;
const measuredMs = 60_000;
const rounds = 20;
/** As long as 32 random bytes in base64. */
const secret = 's'.repeat(43);
const waves = 5;
const secondsADay = 86_400;

interface CallCost {
  /** CPU of one side of a call over an open connection, in microseconds. */
  readonly cpuUs: number;
  /** The same with a new client and connection for each call, an upper bound of a cold peer. */
  readonly coldCpuUs: number;
  /** Bytes on the wire beyond the two bodies. */
  readonly headerBytes: number;
}

/**
 * Control traffic and CPU per daemon. Membership and leaving notices run for many daemons on the
 * virtual clock, where bytes of HTTP are counted without those of TCP and IP; the CPU of HTTP is
 * measured per call over loopback and added for each message.
 *
 * @example
 * ```ts
 * const rows = await new ControlCostSuite().run();
 * ```
 */
export class ControlCostSuite extends BenchSuite {
  override readonly name = 'control-cost';

  override async run(): Promise<BenchRow[]> {
    const call = await measureCall();
    const rows: BenchRow[] = [
      { name: 'CPU of one side of an RPC, open connection', value: call.cpuUs, unit: 'us' },
      { name: 'CPU of one side of an RPC, new connection', value: call.coldCpuUs, unit: 'us' },
      { name: 'header bytes of an RPC, both ways', value: call.headerBytes, unit: 'B' },
    ];
    for (const [daemons, endpoints] of [
      [7, 10],
      [46, 360],
      [46, 3_600],
      [460, 3_600],
    ] as const) {
      rows.push(...(await measureFleet(daemons, endpoints, call)));
    }
    for (const endpoints of [10, 360, 3_600]) rows.push(...measureSettings(endpoints));
    return rows;
  }
}

async function measureCall(): Promise<CallCost> {
  const clock = new SystemClock();
  const server = new RpcServer({ authenticator: sharedSecretAuthenticator(secret) });
  server.register('echo', (params) => Promise.resolve(params));
  const http = createServer(server.handle);
  const sockets = new Set<Socket>();
  http.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => http.listen(0, '127.0.0.1', resolve));
  const url = `http://127.0.0.1:${(http.address() as AddressInfo).port}`;
  const client = new RpcClient({ clock, secret });
  const params = { text: 'x'.repeat(1_000) };
  const round = async (calls: number): Promise<void> => {
    for (let index = 0; index < calls; index++) {
      await client.call(url, 'echo', params, { deadlineAtMs: clock.nowMs() + 5_000 });
    }
  };
  const wireBytes = (): number =>
    [...sockets].reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0);
  await round(1_000);
  const calls = 4_000;
  const bytesBefore = wireBytes();
  const cpuBefore = process.cpuUsage();
  await round(calls);
  const { user, system } = process.cpuUsage(cpuBefore);
  const bodies =
    JSON.stringify({ jsonrpc: '2.0', id: 1_000, method: 'echo', params }).length +
    JSON.stringify({ jsonrpc: '2.0', id: 1_000, result: params }).length;
  const headerBytes = (wireBytes() - bytesBefore) / calls - bodies;
  const coldCalls = 1_000;
  const coldBefore = process.cpuUsage();
  for (let index = 0; index < coldCalls; index++) {
    const cold = new RpcClient({ clock, secret });
    await cold.call(url, 'echo', params, { deadlineAtMs: clock.nowMs() + 5_000 });
    await cold.close();
  }
  const coldCpu = process.cpuUsage(coldBefore);
  await client.close();
  http.closeAllConnections();
  await new Promise((resolve) => http.close(resolve));
  // Both sides ran in this process.
  return {
    cpuUs: (user + system) / calls / 2,
    coldCpuUs: (coldCpu.user + coldCpu.system) / coldCalls / 2,
    headerBytes,
  };
}

async function measureFleet(
  daemons: number,
  endpoints: number,
  call: CallCost,
): Promise<BenchRow[]> {
  const clock = new VirtualClock();
  const fleet = new MemoryFleet({ clock, seed: 7, regions: daemons < 46 ? 2 : 6 });
  fleet.bootMany(daemons);
  const demand = new Map(
    Array.from({ length: 40 }, (_, index) => [`team-${index % 8}/workspace-${index}`, index + 1]),
  );
  for (const { membership } of fleet.daemons.values()) membership.setDemand(demand);
  await clock.advance(warmUpMs);
  const steady = await traffic(fleet, clock, () => clock.advance(measuredMs));
  // A whole failure domain is reclaimed: one of 24 holds a 24th of the endpoints.
  const wave = Math.max(1, Math.round(endpoints / 24));
  let knownAfterMs = 0;
  const withWave = await traffic(fleet, clock, async () => {
    knownAfterMs = await spreadWave(fleet, clock, wave, 0);
    await clock.advance(Math.max(0, measuredMs - knownAfterMs));
  });
  for (let index = 1; index < waves; index++) {
    knownAfterMs = Math.max(knownAfterMs, await spreadWave(fleet, clock, wave, index));
    await clock.advance(5_000);
  }
  const random = new Random(1);
  fleet.network.isCut = () => random.float() < 0.1;
  const lossyAfterMs = await spreadWave(fleet, clock, wave, waves);
  fleet.network.isCut = () => false;
  // A daemon sends one message in each call, as the client or as the server. A peer is met again
  // after about as many seconds as there are daemons, when its connection is closed.
  const httpCpuPercent = (call.coldCpuUs * steady.messagesPerS) / 10_000;
  const label = `${daemons} daemons, ${endpoints} endpoints`;
  const row = (
    name: string,
    value: number,
    unit: string,
    target?: BenchRow['target'],
  ): BenchRow => ({
    name: `${name}; ${label}`,
    value,
    unit,
    ...(target ? { target } : {}),
  });
  return [
    row('bytes sent and received, 2 min after all start', steady.bytesPerS, 'B/s', bytesTarget),
    row('the same on the busiest daemon', steady.busiestBytesPerS, 'B/s', bytesTarget),
    row(`the same in a minute with ${wave} notices`, withWave.bytesPerS, 'B/s', bytesTarget),
    row('busiest daemon in that minute', withWave.busiestBytesPerS, 'B/s', bytesTarget),
    row('CPU', steady.protocolCpuPercent + httpCpuPercent, '% of a core', cpuTarget),
    row(
      `until ${wave} notices are known everywhere, worst of ${waves}`,
      knownAfterMs / 1_000,
      's',
      knownTarget,
    ),
    row('the same with a tenth of messages lost', lossyAfterMs / 1_000, 's', knownTarget),
  ];
}

interface Traffic {
  readonly bytesPerS: number;
  readonly busiestBytesPerS: number;
  readonly messagesPerS: number;
  /** CPU of the simulation per daemon; it contains the clock's own cost. */
  readonly protocolCpuPercent: number;
}

async function traffic(
  fleet: MemoryFleet,
  clock: VirtualClock,
  action: () => Promise<void>,
): Promise<Traffic> {
  const read = ({ url }: FleetDaemon): { bytes: number; messages: number } => {
    const { sentBytes, receivedBytes, messages } = fleet.network.traffic(url);
    return { bytes: sentBytes + receivedBytes, messages };
  };
  const daemons = [...fleet.daemons.values()];
  const before = daemons.map(read);
  const startedAtMs = clock.nowMs();
  const cpuBefore = process.cpuUsage();
  await action();
  const { user, system } = process.cpuUsage(cpuBefore);
  const elapsedS = (clock.nowMs() - startedAtMs) / 1_000;
  const perS = daemons.map((daemon, index) => {
    const after = read(daemon);
    const start = before[index] ?? { bytes: 0, messages: 0 };
    return {
      bytes: (after.bytes - start.bytes) / elapsedS,
      messages: (after.messages - start.messages) / elapsedS,
    };
  });
  const mean = (values: number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    bytesPerS: mean(perS.map(({ bytes }) => bytes)),
    busiestBytesPerS: Math.max(...perS.map(({ bytes }) => bytes)),
    messagesPerS: mean(perS.map(({ messages }) => messages)),
    protocolCpuPercent: (user + system) / 10_000 / elapsedS / daemons.length,
  };
}

/** @returns milliseconds until all daemons know all entries, one that started meanwhile included. */
async function spreadWave(
  fleet: MemoryFleet,
  clock: VirtualClock,
  notices: number,
  index: number,
): Promise<number> {
  const startedAtMs = clock.nowMs();
  const vmIds = Array.from({ length: notices }, (_, vm) => `vm-${index}-${vm}`);
  const entries = vmIds.map((vmId) =>
    vmLeavingEntry(vmId, startedAtMs + 30_000, LeavingSource.Notice, startedAtMs),
  );
  const random = new Random(index + 1);
  const daemons = [...fleet.daemons.values()];
  // Two daemons of a region poll the cloud and see the notices at about the same time.
  random.pick(daemons).leaving.mergeLocal(entries);
  random.pick(daemons).leaving.mergeLocal(entries);
  await clock.advance(50);
  fleet.boot(daemons.length - 1);
  const isKnown = ({ leaving }: FleetDaemon): boolean =>
    vmIds.every((vmId) => leaving.findEntry(vmId, 0) !== undefined);
  while (![...fleet.daemons.values()].every(isKnown) && clock.nowMs() < startedAtMs + 30_000) {
    await clock.advance(10);
  }
  return clock.nowMs() - startedAtMs;
}

/** Cost of settings changes: reading each from the log and rebuilding the endpoint table. */
function measureSettings(endpoints: number): BenchRow[] {
  const sections = new Map<string, Record<string, string>>([
    ['prod/team/services/chat', { kind: 'engine', models: 'm' }],
  ]);
  for (let index = 0; index < endpoints; index++) {
    sections.set(`prod/team/endpoints/worker-${index}`, {
      service: 'chat',
      base_url: `http://10.0.${index >> 8}.${index & 255}:8000`,
      region: 'seoul',
      failure_domain: `seoul-${index % 4}`,
      vm_id: `vm-${index}`,
    });
  }
  const clock = new VirtualClock();
  const registry = new EndpointRegistry({ clock, leaving: new LeavingSet() });
  const apply = (times: number): void => {
    for (let index = 0; index < times; index++) registry.applyDeployment(Deployment.from(sections));
  };
  apply(5);
  const cpuOf = (action: () => void): number => {
    const cpuBefore = process.cpuUsage();
    for (let round = 0; round < rounds; round++) action();
    const { user, system } = process.cpuUsage(cpuBefore);
    return (user + system) / 1_000 / rounds;
  };
  const cpuMs = cpuOf(() => {
    apply(1);
  });
  const deployment = Deployment.from(sections);
  const tableCpuMs = cpuOf(() => {
    registry.applyDeployment(deployment);
  });
  const change = encodeEnvelope('oriolectl', [
    {
      kind: EntryKind.SettingsChange,
      changeId: 'c'.repeat(36),
      keyId: 'operator',
      at: 1_700_000_000_000,
      edits: [
        {
          path: 'prod/team/endpoints/worker-1',
          expectedRevision: 1,
          values: [...sections][1]?.[1],
        },
      ],
      signature: 's'.repeat(88),
    },
  ]);
  const changesPerDay = 8_700;
  const label = `${endpoints} endpoints, ${changesPerDay} changes a day`;
  return [
    { name: `CPU of one settings change; ${endpoints} endpoints`, value: cpuMs, unit: 'ms' },
    { name: `of it the endpoint table; ${endpoints} endpoints`, value: tableCpuMs, unit: 'ms' },
    {
      name: `CPU of settings changes; ${label}`,
      value: (cpuMs / 1_000 / secondsADay) * changesPerDay * 100,
      unit: '% of a core',
      target: cpuTarget,
    },
    {
      // A long poll answers each change once; its headers are those of the log service.
      name: `bytes of settings changes; ${label}`,
      value: ((change.length + 400) * changesPerDay) / secondsADay,
      unit: 'B/s',
      target: bytesTarget,
    },
  ];
}
