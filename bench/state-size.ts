import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { AdmissionController } from '../src/admission/index.js';
import {
  Random,
  SystemClock,
  VirtualClock,
  WorkClass,
  sha256Hex,
  type Clock,
} from '../src/core/index.js';
import { RegionLinks } from '../src/daemon/region-links.js';
import { EnginePool } from '../src/daemon/engine-pool.js';
import { EndpointPoller } from '../src/daemon/endpoint-poller.js';
import { PrefixCacheIndex } from '../src/fleet/prefix-cache-index.js';
import {
  EndpointNotices,
  EndpointPauses,
  EndpointRegistry,
  LeavingSet,
} from '../src/fleet/index.js';
import { NullEventLog, NullMetrics } from '../src/telemetry/index.js';
import { SpeedEstimator } from '../src/fleet/speed-estimator.js';
import { SigningKey } from '../src/security/signing-key.js';
import { Deployment, type SectionValues } from '../src/settings/index.js';
import { EngineServer } from '../src/standins/index.js';
import {
  ClaimFold,
  ConfigFold,
  EntryKind,
  JobFold,
  signedBytes,
  type Fold,
} from '../src/state/index.js';
import { measureClaims } from './log-catch-up.js';
import { BenchSuite, type BenchRow } from './suite.js';

const endpointCount = 3_600;
const claimCount = 50_000;
const jobCount = 5_000;
const startMs = 1_800_000_000_000;
const dayMs = 86_400_000;
const rootKey = SigningKey.fromSecret('bench-secret-bench-secret-bench-secret');

/**
 * Memory and CPU of the state that grows with the deployment: endpoints, sections, claims, jobs and
 * polls of endpoints. Memory is the heap after a collection, so run it with `--expose-gc`.
 *
 * @example
 * ```ts
 * const rows = await new StateSizeSuite().run();
 * ```
 */
export class StateSizeSuite extends BenchSuite {
  override readonly name = 'state-size';

  override async run(): Promise<BenchRow[]> {
    return [
      ...measureEndpoints(),
      ...measureSections(),
      ...measureReplay(),
      ...measureClaimState(),
      ...measureJobState(),
      ...(await measurePolls()),
      // The homes of 4 shards get the same share of the append rate as the 456 other daemons.
      ...(await measureClaims(4, 460)),
      ...(await measureClaims(290, 460)),
    ];
  }
}

/** Heap in bytes after a collection. */
function heapBytes(): number {
  if (!globalThis.gc) throw new Error('run with node --expose-gc, as npm run bench does');
  globalThis.gc();
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

/** CPU of an action in microseconds. */
function cpuUs(action: () => void): number {
  const before = process.cpuUsage();
  action();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

function endpointSections(): Map<string, SectionValues> {
  const sections = new Map<string, SectionValues>([
    ['prod/team/services/chat', { kind: 'engine', models: 'm' }],
  ]);
  for (let index = 0; index < endpointCount; index++) {
    sections.set(`prod/team/endpoints/worker-${index}`, {
      service: 'chat',
      base_url: `http://10.0.${index >> 8}.${index & 255}:8000`,
      region: 'seoul',
      failure_domain: `seoul-${index % 4}`,
      vm_id: `vm-${index}`,
    });
  }
  return sections;
}

/** Registry, speeds and cache view of all endpoints, beyond the settings themselves. */
function measureEndpoints(): BenchRow[] {
  const deployment = Deployment.from(endpointSections());
  const before = heapBytes();
  const clock = new VirtualClock();
  const registry = new EndpointRegistry({ clock, leaving: new LeavingSet() });
  registry.applyDeployment(deployment);
  const speeds = new SpeedEstimator();
  for (const { id, serviceId } of registry.all()) speeds.add(id, serviceId);
  registry.views('team/chat');
  const after = heapBytes();
  const caches = new PrefixCacheIndex();
  const cached = registry.all().slice(0, 128);
  const blocks = Array.from({ length: 8_192 }, (_, index) => index * 7_919);
  for (const { id } of cached) caches.recordSent(id, blocks, 1);
  const withCaches = heapBytes();
  const hit = caches.cachedTokens(cached[0]?.id ?? '', blocks, 1);
  if (hit === 0) throw new Error('the cache view is empty');
  return [
    {
      name: 'heap per endpoint in registry and speeds',
      value: (after - before) / registry.all().length,
      unit: 'B',
    },
    {
      name: 'heap per endpoint with a full cache view of 8,192 blocks',
      value: (withCaches - after) / cached.length,
      unit: 'B',
    },
  ];
}

function configFold(): ConfigFold {
  return new ConfigFold({ deployment: 'prod', rootPublicKey: rootKey.publicKey });
}

function change(n: number, edits: readonly { path: string; values: SectionValues }[]): object {
  const unsigned = {
    changeId: `change-${n}`,
    keyId: 'root',
    at: startMs + n,
    edits: edits.map(({ path, values }) => ({ path, expectedRevision: 0, values })),
  };
  const signature = rootKey.sign(signedBytes('prod', unsigned));
  return { kind: EntryKind.SettingsChange, ...unsigned, signature };
}

/** A fold in which each endpoint was set by a change of its own. */
function filledConfigFold(): ConfigFold {
  const fold = configFold();
  [...endpointSections()].forEach(([path, values], n) => {
    // As read from the log: strings of their own.
    const entry: unknown = JSON.parse(JSON.stringify(change(n, [{ path, values }])));
    fold.apply({ offset: n, index: 0 }, entry);
  });
  if (fold.sections().size <= endpointCount) throw new Error('a change was rejected');
  return fold;
}

/** Configuration fold with all endpoints, and the typed view made of it. */
function measureSections(): BenchRow[] {
  // The first fold compiles the schemas, whose memory does not grow with the sections.
  filledConfigFold();
  const before = heapBytes();
  const fold = filledConfigFold();
  const sections = fold.sections().size;
  const after = heapBytes();
  const { endpoints } = fold.deployment;
  const withView = heapBytes();
  return [
    {
      name: 'heap per section in the configuration fold',
      value: (after - before) / sections,
      unit: 'B',
    },
    {
      name: 'heap per endpoint in the typed view',
      value: (withView - after) / endpoints.size,
      unit: 'B',
    },
  ];
}

/** What a starting daemon does for each change that no snapshot covers, as DaemonComponents does it. */
function measureReplay(): BenchRow[] {
  const fold = filledConfigFold();
  const registry = new EndpointRegistry({ clock: new VirtualClock(), leaving: new LeavingSet() });
  const speeds = new SpeedEstimator();
  const replayed = 50;
  const entries = Array.from({ length: replayed }, (_, n) =>
    change(endpointCount + 1 + n, [
      { path: `prod/team/limits/w${n}`, values: { rate_per_s: '5' } },
    ]),
  );
  const us = cpuUs(() => {
    entries.forEach((entry, n) => {
      fold.apply({ offset: endpointCount + 1 + n, index: 0 }, entry);
      registry.applyDeployment(fold.deployment);
      for (const view of registry.all()) speeds.add(view.id, view.serviceId);
    });
  });
  if (fold.sections().size !== endpointCount + 1 + replayed) {
    throw new Error('a change was rejected');
  }
  const perChangeMs = us / 1_000 / replayed;
  const label = `${endpointCount} endpoints`;
  return [
    { name: `CPU of one change applied by a daemon; ${label}`, value: perChangeMs, unit: 'ms' },
    {
      name: `replay of 4,350 changes (half a day), derived; ${label}`,
      value: (perChangeMs * 4_350) / 1_000,
      unit: 's',
      target: { limit: 20, isUpperBound: true },
    },
  ];
}

/** Applies entries that are made on the way, so that only the fold's own state stays on the heap. */
function fill(fold: Fold, count: number, entriesOf: (n: number) => readonly object[]): number {
  const before = heapBytes();
  for (let n = 0; n < count; n++) {
    entriesOf(n).forEach((entry, index) => {
      // As read from the log: strings of their own.
      fold.apply({ offset: n, index }, JSON.parse(JSON.stringify(entry)));
    });
  }
  return (heapBytes() - before) / count;
}

function claimEntry(n: number): object {
  const atMs = startMs + n;
  return {
    kind: EntryKind.Claim,
    claimId: `12-${sha256Hex(String(n)).slice(0, 36)}`,
    workspace: 'tejidos/tenders',
    service: 'tejidos/orders',
    keyHash: sha256Hex(`key-${n}`),
    bodyDigest: sha256Hex(`body-${n}`),
    daemon: 'entry-123',
    claimedAtMs: atMs,
    startByMs: atMs + 5_000,
    finishByMs: atMs + 60_000,
    rememberUntilMs: atMs + dayMs,
    fingerprintUntilMs: atMs + 31 * dayMs,
  };
}

function outcomeEntry(n: number): object {
  return {
    kind: EntryKind.Outcome,
    claimId: `12-${sha256Hex(String(n)).slice(0, 36)}`,
    answer: {
      status: 200,
      headers: { 'content-type': 'application/json' },
      bodyDigest: sha256Hex(`answer-${n}`),
      bodyBase64: Buffer.from('a'.repeat(200)).toString('base64'),
    },
  };
}

function measureClaimState(): BenchRow[] {
  const fold = new ClaimFold();
  const heap = fill(fold, claimCount, (n) => [claimEntry(n), outcomeEntry(n)]);
  const snapshotBytes = JSON.stringify(fold.snapshot()).length / claimCount;
  const entries = Array.from({ length: 5_000 }, (_, n) => [
    claimEntry(claimCount + n),
    outcomeEntry(claimCount + n),
  ]);
  const us = cpuUs(() => {
    entries.forEach((pair, n) => {
      pair.forEach((entry, index) => {
        fold.apply({ offset: claimCount + n, index }, entry);
      });
    });
  });
  const claimBytes = JSON.stringify(claimEntry(0)).length + 1;
  const outcomeBytes = JSON.stringify(outcomeEntry(0)).length + 1;
  // A later claim of another day turns all claims into fingerprints. An entry moves the log's time
  // by a minute at most.
  const expired = new ClaimFold();
  const beforeExpiry = fill(expired, claimCount, (n) => [claimEntry(n)]);
  const full = heapBytes();
  for (let minute = 1; minute <= 1_500; minute++) {
    const atMs = startMs + claimCount + minute * 60_000;
    const late = { ...claimEntry(claimCount + minute), claimedAtMs: atMs };
    expired.apply({ offset: claimCount + minute, index: 0 }, late);
  }
  const released = (full - heapBytes()) / claimCount;
  return [
    { name: 'heap per answered claim, answer of 200 B', value: heap, unit: 'B' },
    { name: 'heap per fingerprint', value: beforeExpiry - released, unit: 'B' },
    {
      name: 'claims that are still remembered after a day',
      value: expired.claims().length,
      unit: 'claims',
    },
    { name: 'snapshot bytes per answered claim', value: snapshotBytes, unit: 'B' },
    { name: 'log bytes of a claim', value: claimBytes, unit: 'B' },
    { name: 'log bytes of an outcome, answer of 200 B', value: outcomeBytes, unit: 'B' },
    { name: 'CPU of the fold per claim and outcome', value: us / entries.length, unit: 'us' },
  ];
}

function jobEntries(n: number): readonly object[] {
  const jobId = `12-${sha256Hex(String(n)).slice(0, 36)}`;
  const atMs = startMs + n;
  const fence = n * 1_024 + 2;
  const text = 'word '.repeat(32);
  return [
    {
      kind: EntryKind.JobAccepted,
      jobId,
      workspace: 'tejidos/tenders',
      service: 'tejidos/sales-assistant',
      request: {
        model: 'm',
        messages: [{ role: 'user', content: `${n} `.padEnd(8_000, 'x') }],
        maxTokens: 1_024,
        passThrough: {},
      },
      workClass: WorkClass.Long,
      acceptedAtMs: atMs,
      deadlineAtMs: atMs + 600_000,
      rememberUntilMs: atMs + dayMs,
    },
    {
      kind: EntryKind.JobLease,
      jobId,
      daemon: 'entry-123',
      incarnation: startMs,
      previousFence: 0,
      expiresAtMs: atMs + 10_000,
      isRenewal: false,
    },
    ...Array.from({ length: 10 }, (_, part) => ({
      kind: EntryKind.JobProgress,
      jobId,
      fence,
      offsetTokens: part * 32,
      tokens: 32,
      text,
    })),
  ];
}

function measureJobState(): BenchRow[] {
  const fold = new JobFold();
  const heap = fill(fold, jobCount, jobEntries);
  const recorded = fold.jobs().at(-1)?.recordedTokens;
  if (recorded !== 320) throw new Error(`the job fold recorded ${recorded} tokens, not 320`);
  const snapshotBytes = JSON.stringify(fold.snapshot()).length / jobCount;
  const jobs = Array.from({ length: 500 }, (_, n) => jobEntries(jobCount + n));
  const entryCount = jobs.length * (jobs[0]?.length ?? 0);
  const us = cpuUs(() => {
    jobs.forEach((entries, n) => {
      entries.forEach((entry, index) => {
        fold.apply({ offset: jobCount + n, index }, entry);
      });
    });
  });
  const bytesOf = (index: number): number => JSON.stringify(jobEntries(0)[index]).length + 1;
  return [
    { name: 'heap per job, prompt of 8 kB, 320 tokens recorded', value: heap, unit: 'B' },
    { name: 'snapshot bytes per job', value: snapshotBytes, unit: 'B' },
    { name: 'log bytes of an accepted job, prompt of 8 kB', value: bytesOf(0), unit: 'B' },
    { name: 'log bytes of a lease or renewal', value: bytesOf(1), unit: 'B' },
    { name: 'log bytes of progress, 32 tokens', value: bytesOf(2), unit: 'B' },
    { name: 'CPU of the fold per job entry', value: us / entryCount, unit: 'us' },
  ];
}

/** Polls as EndpointPoller makes them, over loopback; the stand-in's CPU is counted half. */
async function measurePolls(): Promise<BenchRow[]> {
  const engines = Array.from(
    { length: 16 },
    (_, index) => new EngineServer({ name: `e${index}`, vmId: `vm-${index}`, models: ['m'] }),
  );
  await Promise.all(engines.map((engine) => engine.listen()));
  const sections = new Map<string, SectionValues>([
    ['prod/team/services/chat', { kind: 'engine', models: 'm' }],
  ]);
  for (const { name, vmId, baseUrl } of engines) {
    const values = {
      service: 'chat',
      base_url: baseUrl,
      region: 'r',
      failure_domain: 'f',
      vm_id: vmId,
    };
    sections.set(`prod/team/endpoints/${name}`, values);
  }
  const deployment = Deployment.from(sections);
  const clock = new SystemClock();
  const registry = new EndpointRegistry({ clock, leaving: new LeavingSet() });
  registry.applyDeployment(deployment);
  const events = new NullEventLog();
  const pauses = new EndpointPauses({ events, metrics: new NullMetrics() });
  const pool = new EnginePool({
    clock,
    idleTimeoutMs: () => 3_000,
    links: new OneRegion(clock),
    notices: new EndpointNotices({ registry, pauses, clock, events }),
  });
  const watch = new EndpointPoller({
    daemon: 'entry-1',
    registry,
    pauses,
    caches: new PrefixCacheIndex(),
    admission: new AdmissionController({ clock, random: new Random(1) }),
    engines: pool,
    deployment: () => deployment,
    clock,
    random: new Random(2),
  });
  const sockets = new Set<Socket>();
  const onConnected = (message: unknown): void => {
    sockets.add((message as { socket: Socket }).socket);
  };
  subscribe('undici:client:connected', onConnected);
  const wireBytes = (): number =>
    [...sockets].reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0);
  // start() polls every endpoint once before it schedules further polls.
  const pollAll = async (rounds: number): Promise<void> => {
    for (let round = 0; round < rounds; round++) {
      await watch.start();
      watch.stop();
    }
  };
  await pollAll(50);
  const rounds = 100;
  const bytesBefore = wireBytes();
  const before = process.cpuUsage();
  await pollAll(rounds);
  const { user, system } = process.cpuUsage(before);
  const polls = rounds * engines.length;
  const bytes = (wireBytes() - bytesBefore) / polls;
  const us = (user + system) / polls / 2;
  unsubscribe('undici:client:connected', onConnected);
  await pool.close();
  await Promise.all(engines.map((engine) => engine.close()));
  return [
    { name: 'CPU of one poll of an engine, three requests', value: us, unit: 'us' },
    { name: 'bytes of one poll of an engine, both ways', value: bytes, unit: 'B' },
    {
      name: 'CPU of 10 polls a second',
      value: us / 1_000,
      unit: '% of a core',
      target: { limit: 3.5, isUpperBound: true },
    },
    {
      name: 'bytes of 10 polls a second',
      value: bytes * 10,
      unit: 'B/s',
      target: { limit: 13_000, isUpperBound: true },
    },
  ];
}

/** Links of a daemon whose endpoints are all in its own region. */
class OneRegion extends RegionLinks {
  constructor(clock: Clock) {
    const membership = (): never => {
      throw new Error('nothing crosses between regions here');
    };
    super({ clock, membership, bitsPerS: 20_000_000 });
  }

  override isRemote(): boolean {
    return false;
  }
}
