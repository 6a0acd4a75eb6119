import { describe, expect, it } from 'vitest';
import { Random, VirtualClock } from '../../src/core/index.js';
import { DrainRecorder, LeavingSet, LeavingSource } from '../../src/fleet/index.js';
import {
  AppendFailedError,
  EntryWriter,
  type Position,
  type RawEntry,
} from '../../src/log/index.js';
import { DrainFold } from '../../src/state/index.js';

/** A log that persists when daemons restart; each fold is the copy of one daemon. */
class SharedLog extends EntryWriter {
  readonly entries: RawEntry[] = [];
  readonly #folds: DrainFold[] = [];
  isDown = false;

  follow(fold: DrainFold): void {
    this.entries.forEach((entry, offset) => {
      fold.apply({ offset, index: 0 }, entry);
    });
    this.#folds.push(fold);
  }

  override append(entry: RawEntry): Promise<Position> {
    if (this.isDown) return Promise.reject(new AppendFailedError('down', 'test', false));
    const position = { offset: this.entries.push(entry) - 1, index: 0 };
    for (const fold of this.#folds) fold.apply(position, entry);
    return Promise.resolve(position);
  }
}

function setUp() {
  const clock = new VirtualClock();
  const log = new SharedLog();
  const random = new Random(1);
  const boot = (): LeavingSet => {
    const leaving = new LeavingSet();
    const fold = new DrainFold();
    log.follow(fold);
    new DrainRecorder({ leaving, fold, writer: log, clock, random: random.fork() });
    return leaving;
  };
  return { clock, log, boot };
}

const entry = {
  subject: 'vm-1:engine',
  upToIncarnation: 7,
  leavingAtMs: 20_000,
  source: LeavingSource.Operator,
  signalledAtMs: 0,
};

describe('DrainRecorder', () => {
  it('restores a drain on a daemon that starts after all others have stopped', async () => {
    const { clock, boot } = setUp();
    boot().mergeLocal([entry]);
    await clock.advance(1_000);
    expect(boot().findEntry(entry.subject, 7)).toMatchObject({ source: LeavingSource.Operator });
  });

  it('appends a drain once for all daemons that receive it, not once per daemon', async () => {
    const { clock, log, boot } = setUp();
    const daemons = Array.from({ length: 50 }, boot);
    for (const leaving of daemons) leaving.mergeFromPeer([entry]);
    await clock.advance(2_000);
    expect(log.entries.length).toBe(1);
  });

  it('retries the append after a log outage, so that a drain is not kept in memory only', async () => {
    const { clock, log, boot } = setUp();
    log.isDown = true;
    boot().mergeLocal([entry]);
    await clock.advance(5_000);
    expect(log.entries).toEqual([]);
    log.isDown = false;
    await clock.advance(1_000);
    expect(log.entries.length).toBe(1);
  });

  it('does not record signals that the cloud or the endpoint repeats', async () => {
    const { clock, log, boot } = setUp();
    boot().mergeLocal([{ ...entry, source: LeavingSource.Notice }]);
    await clock.advance(2_000);
    expect(log.entries).toEqual([]);
  });
});
