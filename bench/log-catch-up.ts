import { quantileSorted } from 'simple-statistics';
import { Random, SystemClock, VirtualClock, countingIds } from '../src/core/index.js';
import {
  AppendBudget,
  Appender,
  CircuitBreaker,
  EntryKind,
  EntryPriority,
  LogService,
  encodeEnvelope,
  encodeSnapshot,
  type NewRecord,
  type Offset,
  type ReadOptions,
  type ReadPage,
} from '../src/log/index.js';
import { SigningKey } from '../src/security/signing-key.js';
import { MemoryLogService, SeededLogFaults } from '../src/standins/index.js';
import {
  ConfigFold,
  Fold,
  StreamReplica,
  signedBytes,
  type SettingsChange,
} from '../src/state/index.js';
import { NullEventLog } from '../src/telemetry/index.js';
import { BenchSuite, type BenchRow } from './suite.js';

const stream = 'prod.config';
const rootKey = SigningKey.fromSecret('bench-secret-bench-secret-bench-secret');
const bytesPerRecordEnvelope = 80;

/** Counts the payload of every page, as a client would receive it. */
class CountingLog extends LogService {
  readBytes = 0;

  constructor(readonly inner: LogService) {
    super();
  }

  override append(name: string, record: NewRecord): Promise<{ readonly offset: Offset }> {
    return this.inner.append(name, record);
  }

  override async read(name: string, from: Offset, options: ReadOptions): Promise<ReadPage> {
    const page = await this.inner.read(name, from, options);
    for (const { data } of page.records) {
      this.readBytes += Buffer.byteLength(data) + bytesPerRecordEnvelope;
    }
    return page;
  }
}

/** Applies nothing, so that only the log client is measured. */
class EmptyFold extends Fold {
  override apply(): void {
    // Intentionally empty.
  }

  override snapshot(): unknown {
    return {};
  }

  override restore(): void {
    // Intentionally empty.
  }
}

function configFold(): ConfigFold {
  return new ConfigFold({ deployment: 'prod', rootPublicKey: rootKey.publicKey });
}

/** A change of one of 5,000 sections, each changed in turn. */
function change(n: number, revisions: Map<string, number>): SettingsChange {
  const path = `prod/tejidos/limits/w${n % 5_000}`;
  const expectedRevision = revisions.get(path) ?? 0;
  const values = { rate_per_s: String(1 + (n % 900)), burst_requests: '50', max_tokens: '4096' };
  const unsigned = {
    changeId: `change-${n}`,
    keyId: 'root',
    at: 1_760_000_000_000 + n,
    edits: [{ path, expectedRevision, values }],
  };
  revisions.set(path, n * 1_024 + 1);
  const signature = rootKey.sign(signedBytes('prod', unsigned));
  return { kind: EntryKind.SettingsChange, ...unsigned, signature };
}

/**
 * Time and bytes for a new daemon to read the configuration stream, and the rate and added latency
 * of small entries through the group commit. The second part runs on virtual time against the
 * stand-in of the log (append 2 to 6 ms, 300 appends/s in all), so it measures the protocol and not
 * this machine.
 */
export class LogCatchUpSuite extends BenchSuite {
  override readonly name = 'log-catch-up';

  override async run(): Promise<BenchRow[]> {
    const rows: BenchRow[] = [];
    for (const records of [1_000, 10_000, 100_000]) rows.push(...(await catchUp(records)));
    for (const writers of [1, 8, 32]) rows.push(...(await measureClaims(writers)));
    return rows;
  }
}

async function catchUp(records: number): Promise<BenchRow[]> {
  const clock = new SystemClock();
  const memory = new MemoryLogService({ clock });
  const revisions = new Map<string, number>();
  const source = configFold();
  for (let n = 0; n < records; n++) {
    const entry = change(n, revisions);
    await memory.append(stream, { id: `r${n}`, data: encodeEnvelope('bench', [entry]) });
    source.apply({ offset: n, index: 0 }, entry);
  }
  const whole = await readAll(memory, configFold());
  const client = await readAll(memory, new EmptyFold());
  const snapshot = { snapshotId: 's', throughOffset: records - 1, state: source.snapshot() };
  for (const [n, entry] of encodeSnapshot(snapshot).entries()) {
    await memory.append(stream, { id: `s${n}`, data: encodeEnvelope('bench', [entry]) });
  }
  const bridged = await readAll(memory, configFold());
  const label = `${records} records`;
  return [
    {
      name: `catch-up, ${label}`,
      value: whole.elapsedMs,
      unit: 'ms',
      target: { limit: 20_000, isUpperBound: true },
    },
    { name: `catch-up without the fold, ${label}`, value: client.elapsedMs, unit: 'ms' },
    { name: `bytes read, ${label}`, value: whole.readBytes, unit: 'bytes' },
    { name: `catch-up, ${label} and a snapshot at the end`, value: bridged.elapsedMs, unit: 'ms' },
    {
      name: `bytes read, ${label} and a snapshot at the end`,
      value: bridged.readBytes,
      unit: 'bytes',
    },
  ];
}

async function readAll(
  memory: MemoryLogService,
  fold: Fold,
): Promise<{ elapsedMs: number; readBytes: number }> {
  const log = new CountingLog(memory);
  const clock = new SystemClock();
  const startMs = clock.nowMs();
  const replica = new StreamReplica({
    log,
    stream,
    fold,
    clock,
    random: new Random(1),
    events: new NullEventLog(),
  });
  replica.start();
  await replica.ready;
  const elapsedMs = clock.nowMs() - startMs;
  await replica.stop();
  return { elapsedMs, readBytes: log.readBytes };
}

interface Writer {
  readonly appender: Appender;
  readonly replica: StreamReplica;
}

/** Each writer is the home daemon of its own shard, as in a deployment. */
function startWriters(
  count: number,
  liveDaemons: number,
  clock: VirtualClock,
  random: Random,
): Writer[] {
  const faults = new SeededLogFaults({ clock, random: random.fork(), maxDelayMs: 4 });
  const log = new MemoryLogService({ clock, faults });
  const events = new NullEventLog();
  return Array.from({ length: count }, (_, n) => {
    const shard = `prod.claims.${n}`;
    const replica = new StreamReplica({
      log,
      stream: shard,
      fold: new EmptyFold(),
      clock,
      random: random.fork(),
      events,
    });
    replica.start();
    const appender = new Appender({
      log,
      stream: shard,
      writer: `entry-${n}`,
      feed: replica,
      clock,
      random: random.fork(),
      newId: countingIds(`entry-${n}`),
      budget: new AppendBudget({ clock, appendsPerS: 300, liveDaemons }),
      breaker: new CircuitBreaker({ clock, random: random.fork() }),
      events,
    });
    return { appender, replica };
  });
}

/**
 * Claims through the group commit of `count` home daemons.
 *
 * @param liveDaemons - daemons that share the append rate, homes or not.
 */
export async function measureClaims(count: number, liveDaemons = count): Promise<BenchRow[]> {
  const open = await drive(count, liveDaemons, async (writer, clock, random, record) => {
    // Poisson arrivals of 1,000 claims/s in all.
    const meanMs = count;
    await clock.sleepUntil(clock.nowMs() + random.exponential(meanMs));
    void record(writer);
  });
  const closed = await drive(count, liveDaemons, async (writer, _clock, _random, record) => {
    await Promise.all(Array.from({ length: 4_096 / count }, () => record(writer)));
  });
  const label =
    liveDaemons === count ? `${count} writers` : `${count} writers of ${liveDaemons} daemons`;
  const sorted = open.latenciesMs.sort((a, b) => a - b);
  return [
    { name: `claims per second, 4096 waiting, ${label}`, value: closed.perS, unit: '1/s' },
    { name: `appends per second, 4096 waiting, ${label}`, value: closed.appendsPerS, unit: '1/s' },
    {
      name: `added latency p50, 1000 claims/s, ${label}`,
      value: quantileSorted(sorted, 0.5),
      unit: 'ms',
    },
    {
      name: `added latency p99, 1000 claims/s, ${label}`,
      value: quantileSorted(sorted, 0.99),
      unit: 'ms',
    },
  ];
}

type Load = (
  writer: Writer,
  clock: VirtualClock,
  random: Random,
  record: (writer: Writer) => Promise<void>,
) => Promise<void>;

async function drive(
  count: number,
  liveDaemons: number,
  load: Load,
): Promise<{ perS: number; appendsPerS: number; latenciesMs: number[] }> {
  const clock = new VirtualClock();
  const random = new Random(7);
  const writers = startWriters(count, liveDaemons, clock, random);
  const latenciesMs: number[] = [];
  const endMs = clock.nowMs() + 5_000;
  let claimed = 0;
  const records = new Set<string>();
  const record = async (writer: Writer): Promise<void> => {
    const startMs = clock.nowMs();
    const entry = { kind: EntryKind.Claim, claimId: `claim-${++claimed}`, ...claimFields(startMs) };
    const deadlineAtMs = startMs + 60_000;
    const options = { deadlineAtMs, priority: EntryPriority.High };
    const { offset } = await writer.appender.append(entry, options);
    if (clock.nowMs() > endMs) return;
    latenciesMs.push(clock.nowMs() - startMs);
    records.add(`${writers.indexOf(writer)}/${offset}`);
  };
  const loops = writers.map(async (writer) => {
    while (clock.nowMs() < endMs) await load(writer, clock, random, record);
  });
  await clock.advance(endMs - clock.nowMs());
  await clock.advance(10_000);
  await Promise.all(loops);
  for (const { appender, replica } of writers) {
    appender.stop();
    const stopped = replica.stop();
    await clock.advance(0);
    await stopped;
  }
  return { perS: latenciesMs.length / 5, appendsPerS: records.size / 5, latenciesMs };
}

/** The other fields of a claim, for a realistic size. */
function claimFields(startMs: number): Record<string, string | number> {
  return {
    workspace: 'tejidos/licitaciones',
    service: 'tejidos/pedidos',
    keyHash: '0123456789abcdef0123456789abcdef',
    bodyDigest: '0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef',
    startByMs: startMs + 5_000,
    rememberUntilMs: startMs + 86_400_000,
  };
}
