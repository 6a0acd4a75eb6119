import { quantile } from 'simple-statistics';
import { SystemClock } from '../../src/core/index.js';
import {
  createBearerKey,
  formatBearerKey,
  hashSecret,
  createOperatorSecret,
  SigningKey,
} from '../../src/security/index.js';
import { LogServer } from '../../src/standins/index.js';
import { BenchSuite, type BenchRow } from '../suite.js';
import { EventSource } from './event-source.js';
import { RelayLoad } from './relay-load.js';
import { RelayProcess } from './relay-process.js';
import { publishBenchSettings } from './bench-settings.js';

const deployment = 'bench';

/** Streams and pace of the throughput measurement: 12,500 events/s, far from saturation. */
const throughput = { streams: 250, stepMs: 20, seconds: 8 };
/** Probes for the latency, against a background of a tenth of what one core relays. */
const latency = { saturationRatio: 0.1, stepMs: 20, probes: 400, warmUpRequests: 5_000 };
const openStreams = 5_000;
const growthRequests = 100_000;
const growthConcurrency = 64;

interface RelayPair {
  readonly bare: RelayProcess;
  readonly daemon: RelayProcess;
  readonly load: (process: RelayProcess) => RelayLoad;
}

/** Cost of the relay against a bare pass-through in the same run. */
export class RelaySuite extends BenchSuite {
  override readonly name = 'relay';

  override async run(): Promise<BenchRow[]> {
    const source = new EventSource();
    const log = new LogServer();
    const engineUrl = await source.listen();
    await log.listen();
    const rootSecret = createOperatorSecret();
    const key = createBearerKey('bench/caller');
    await publishBenchSettings({
      deployment,
      logUrl: log.baseUrl,
      engineUrl,
      rootSecret,
      secretHash: await hashSecret(key.secret),
      clock: new SystemClock(),
    });
    const daemonIni = daemonSettings(log.baseUrl, SigningKey.fromSecret(rootSecret).publicKey);
    const pair: RelayPair = {
      bare: await RelayProcess.start({ kind: 'bare', engineUrl, daemonIni }),
      daemon: await RelayProcess.start({ kind: 'daemon', engineUrl, daemonIni }),
      load: ({ url }) =>
        new RelayLoad({ url, headers: { authorization: `Bearer ${formatBearerKey(key)}` } }),
    };
    try {
      const { rows, daemonPerCpuS } = await measureThroughput(pair);
      return [
        ...rows,
        ...(await measureLatency(pair, daemonPerCpuS)),
        ...(await measureOpenStreams(pair)),
        ...(await measureGrowth(pair)),
      ];
    } finally {
      await Promise.all([pair.bare.stop(), pair.daemon.stop()]);
      await Promise.all([source.close(), log.close()]);
    }
  }
}

async function measureThroughput(
  pair: RelayPair,
): Promise<{ rows: BenchRow[]; daemonPerCpuS: number }> {
  // Alternating rounds, so that a busy machine slows both alike.
  const perCpuS = { bare: [] as number[], daemon: [] as number[] };
  for (let round = 0; round < 3; round++) {
    perCpuS.bare.push(await eventsPerCpuS(pair, pair.bare));
    perCpuS.daemon.push(await eventsPerCpuS(pair, pair.daemon));
  }
  const bare = quantile(perCpuS.bare, 0.5);
  const daemon = quantile(perCpuS.daemon, 0.5);
  const rows: BenchRow[] = [
    { name: 'bare pass-through', value: bare, unit: 'events/CPU s' },
    { name: 'daemon', value: daemon, unit: 'events/CPU s' },
    {
      name: 'daemon to bare',
      value: daemon / bare,
      unit: 'ratio',
      target: { limit: 0.6, isUpperBound: false },
    },
  ];
  return { rows, daemonPerCpuS: daemon };
}

async function eventsPerCpuS(pair: RelayPair, process: RelayProcess): Promise<number> {
  const load = pair.load(process);
  const { streams, stepMs, seconds } = throughput;
  const events = Math.ceil(((seconds + 2) * 1_000) / stepMs);
  const running = Array.from({ length: streams }, () => load.stream(events, stepMs));
  await sleep(1_000);
  const before = await process.usage();
  const receivedBefore = load.receivedEvents;
  await sleep(seconds * 1_000);
  const received = load.receivedEvents - receivedBefore;
  const after = await process.usage();
  await Promise.all(running);
  await load.close();
  return received / ((after.cpuUs - before.cpuUs) / 1e6);
}

async function measureLatency(pair: RelayPair, saturation: number): Promise<BenchRow[]> {
  const streams = Math.ceil((saturation * latency.saturationRatio * latency.stepMs) / 1_000);
  const bare = await firstEventMs(pair, pair.bare, streams);
  const daemon = await firstEventMs(pair, pair.daemon, streams);
  return [
    {
      name: 'added first token, median',
      value: quantile(daemon, 0.5) - quantile(bare, 0.5),
      unit: 'ms',
      target: { limit: 1, isUpperBound: true },
    },
    {
      name: 'added first token, p99',
      value: quantile(daemon, 0.99) - quantile(bare, 0.99),
      unit: 'ms',
      target: { limit: 3, isUpperBound: true },
    },
  ];
}

async function firstEventMs(
  pair: RelayPair,
  process: RelayProcess,
  streams: number,
): Promise<number[]> {
  const load = pair.load(process);
  const { stepMs, probes, warmUpRequests } = latency;
  // A daemon that has served for a minute runs compiled code; the first hundreds of requests do not.
  await sendRequests(load, warmUpRequests);
  const events = Math.ceil((probes * 10 + 3_000) / stepMs);
  const background = Array.from({ length: streams }, () => load.stream(events, stepMs));
  await sleep(1_000);
  const times: number[] = [];
  for (let probe = 0; probe < probes; probe++) {
    times.push((await load.stream(1, 0)).firstEventMs);
    await sleep(5);
  }
  await Promise.all(background);
  await load.close();
  return times;
}

async function measureOpenStreams(pair: RelayPair): Promise<BenchRow[]> {
  const { daemon } = pair;
  const load = pair.load(daemon);
  const before = await daemon.usage();
  const slowStepMs = 4_000;
  let opened = 0;
  const running = Array.from({ length: openStreams }, () =>
    load.stream(8, slowStepMs, () => (opened += 1)).catch(() => undefined),
  );
  for (let waits = 0; opened < openStreams && waits < 200; waits++) await sleep(100);
  const after = await daemon.usage();
  await load.close();
  await Promise.all(running);
  return [
    { name: 'streams open at once', value: opened, unit: 'streams' },
    {
      name: 'memory per open stream',
      value: (after.rssBytes - before.rssBytes) / openStreams / 1_024,
      unit: 'KiB',
      target: { limit: 32, isUpperBound: true },
    },
  ];
}

async function measureGrowth(pair: RelayPair): Promise<BenchRow[]> {
  const { daemon } = pair;
  const load = pair.load(daemon);
  await sleep(1_000);
  const half = growthRequests / 2;
  // The first half fills caches and rings that are bounded; the second must add nothing.
  await sendRequests(load, half);
  const middle = await daemon.usage();
  await sendRequests(load, half);
  const end = await daemon.usage();
  await load.close();
  return [
    {
      name: `heap growth over the second ${half} requests`,
      value: (end.heapBytes - middle.heapBytes) / 1_048_576,
      unit: 'MiB',
      target: { limit: 1, isUpperBound: true },
    },
    { name: 'heap at the end', value: end.heapBytes / 1_048_576, unit: 'MiB' },
  ];
}

async function sendRequests(load: RelayLoad, count: number): Promise<void> {
  let left = count;
  const worker = async (): Promise<void> => {
    while (left-- > 0) await load.stream(2, 0);
  };
  await Promise.all(Array.from({ length: growthConcurrency }, worker));
}

function daemonSettings(logUrl: string, rootPublicKey: string): string {
  return [
    '[daemon]',
    'name = bench',
    `deployment = ${deployment}`,
    'region = r1',
    'failure_domain = f1',
    'caller_listen = 127.0.0.1:0',
    'admin_listen = 127.0.0.1:0',
    'rpc_listen = 127.0.0.1:0',
    '[log]',
    `base_url = ${logUrl}`,
    '[trust]',
    `root_public_key = "${rootPublicKey}"`,
    '',
  ].join('\n');
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
