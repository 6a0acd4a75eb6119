import { Random, VirtualClock, countingIds } from '../../src/core/index.js';
import {
  AppendBudget,
  Appender,
  CircuitBreaker,
  encodeEnvelope,
  EntryKind,
  type RawEntry,
} from '../../src/log/index.js';
import { MemoryLogService, type LogFaultSource } from '../../src/standins/index.js';
import { Fold, StreamReplica, fenceOf, type Position } from '../../src/state/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';

/** Keeps the position of the first entry of each id: the first one wins, as for a claim. */
export class FirstWinsFold extends Fold {
  winners = new Map<string, number>();
  last = 0;

  override apply(position: Position, entry: unknown): void {
    const fence = fenceOf(position);
    if (fence <= this.last) return;
    this.last = fence;
    const { claimId } = entry as { claimId?: unknown };
    if (typeof claimId === 'string' && !this.winners.has(claimId)) this.winners.set(claimId, fence);
  }

  override snapshot(): unknown {
    return { winners: [...this.winners], last: this.last };
  }

  override restore(snapshot: unknown): void {
    const state = snapshot as { winners: [string, number][]; last: number };
    this.winners = new Map(state.winners);
    this.last = state.last;
  }
}

export function claimEntry(claimId: string): RawEntry {
  return { kind: EntryKind.Claim, claimId };
}

/** A simulated deployment with one log and any number of daemons. */
export class LogHarness {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly log = new MemoryLogService({ clock: this.clock });
  readonly stream = 'prod.claims.0';

  constructor(seed = 1, faults?: LogFaultSource) {
    this.random = new Random(seed);
    if (faults) this.log.faults = faults;
  }

  replica<F extends Fold>(fold: F, minReadyOffset?: number): StreamReplica & { fold: F } {
    const { clock, log, stream } = this;
    const replica = new StreamReplica({
      log,
      stream,
      fold,
      clock,
      random: this.random.fork(),
      events: new NullEventLog(),
      ...(minReadyOffset === undefined ? {} : { minReadyOffset }),
    });
    replica.start();
    return replica as StreamReplica & { fold: F };
  }

  appender(writer: string, feed: StreamReplica, maxPendingBytes?: number): Appender {
    const { clock, log, stream } = this;
    return new Appender({
      log,
      stream,
      writer,
      feed,
      clock,
      random: this.random.fork(),
      newId: countingIds(writer),
      budget: new AppendBudget({ clock, appendsPerS: 300 }),
      breaker: new CircuitBreaker({ clock, random: this.random.fork() }),
      events: new NullEventLog(),
      ...(maxPendingBytes === undefined ? {} : { maxPendingBytes }),
    });
  }

  async store(...entries: RawEntry[]): Promise<void> {
    const id = `direct-${this.log.recordsOf(this.stream).length}-${this.random.int(0, 1e9)}`;
    await this.log.append(this.stream, { id, data: encodeEnvelope('test', entries) });
  }
}
