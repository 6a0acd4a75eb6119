import { setTimeout as sleep } from 'node:timers/promises';
import { topics } from '../../platform/names.js';
import { poisonPart } from '../../platform/standins/endpoint-server.js';
import { StoreClient } from '../../platform/store-client.js';
import { Random } from '../../src/core/index.js';
import { QuarantineAdmin } from '../../src/quarantine/quarantine-admin.js';
import { playFaults, playNotices } from './fault-script.js';
import { CallKind } from './ledger.js';
import { OwnStalls } from './own-stalls.js';
import { promises } from './promises.js';
import { SoakWorld } from './soak-world.js';

/** Result of {@link runSoak}. */
export interface SoakResult {
  readonly seed: number;
  readonly broken: readonly string[];
  /** Calls that ended, and those that were served. */
  readonly calls: number;
  readonly served: number;
  /** Endpoints that crashed under poison prompts. */
  readonly crashes: number;
  readonly faults: readonly string[];
  /** Where the logs and settings of the processes are. */
  readonly directory: string;
}

/** After all faults, each kind of call must be served within this time. */
const recoveryMs = 20_000;

/** Sets the notices of endpoints apart from the faults of the same seed. */
const noticeSeedMask = 0x5eed;

/** Plays the faults of a seed against real processes and checks the promises. */
export async function runSoak(seed: number, lengthMs: number): Promise<SoakResult> {
  const random = new Random(seed);
  const world = new SoakWorld(random.fork());
  const { ledger } = world;
  const ownStalls = new OwnStalls(ledger);
  try {
    await world.start();
    const endAtMs = Date.now() + lengthMs;
    // Its own random numbers: the faults of a seed stay what they were.
    const notices = playNotices(world, new Random(seed ^ noticeSeedMask), endAtMs);
    await playFaults(world, random.fork(), endAtMs);
    await notices;
    const lost = await unservedKinds(world);
    const wrong = await soundQuarantines(world);
    const broken = [...promises].flatMap(([name, check]) =>
      check(ledger).map((line) => `${name}: ${line}`),
    );
    return {
      seed,
      broken: [
        ...broken,
        ...lost.map((kind) => `recovery: no ${kind} call is served`),
        ...wrong.map((parts) => `nothing sound is held back: ${parts}`),
      ],
      calls: ledger.ends.length,
      served: ledger.ends.filter(({ status, isWhole }) => status === 200 && isWhole).length,
      crashes: ledger.crashesAtMs.length,
      faults: ledger.faults.map(({ what }) => what),
      directory: world.directory,
    };
  } finally {
    ownStalls.stop();
    await world.stop();
  }
}

/** Parts of prompts that are held back at the end although no endpoint ends under them. */
async function soundQuarantines({ store }: SoakWorld): Promise<string[]> {
  const client = new StoreClient({ host: '127.0.0.1', port: store.port });
  const entries = await new QuarantineAdmin(client, topics.duties).list();
  return entries
    .filter(({ partIds }) => !partIds.includes(poisonPart))
    .map(({ partIds }) => partIds.join(', '));
}

/** Waits until each kind of call is served again. @returns the kinds that are not. */
async function unservedKinds({ ledger }: SoakWorld): Promise<CallKind[]> {
  const sinceMs = Date.now();
  const unserved = (): CallKind[] =>
    Object.values(CallKind).filter(
      (kind) =>
        !ledger.ends.some(
          (end) => end.kind === kind && end.sentAtMs > sinceMs && end.status === 200 && end.isWhole,
        ),
    );
  while (unserved().length > 0 && Date.now() < sinceMs + recoveryMs) {
    await sleep(100);
  }
  return unserved();
}
