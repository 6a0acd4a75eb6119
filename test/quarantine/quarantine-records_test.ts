import { describe, expect, it } from 'vitest';
import { Random, VirtualClock } from '../../src/core/index.js';
import { KeyedReplica } from '../../src/log/keyed-replica.js';
import type { QuarantineEntry } from '../../src/quarantine/quarantine-entry.js';
import { QuarantineRecords, storeQuarantine } from '../../src/quarantine/quarantine-records.js';
import { MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { EventId } from '../../src/telemetry/index.js';
import { RecordingEventLog } from '../gateway/recording-event-log.js';

const topic = 'duties';
const entry: QuarantineEntry = {
  partIds: ['dead'],
  version: 1,
  crashes: 3,
  firstCrashAtMs: 0,
  isReleased: false,
  trials: 0,
  nextTrialAtMs: 0,
};

describe('QuarantineRecords', () => {
  it('reads on past records that it cannot read, and says so', async () => {
    const clock = new VirtualClock(1_000_000);
    const log = new MemoryKeyedLog();
    const events = new RecordingEventLog();
    const random = new Random(1);
    const replica = new KeyedReplica({
      log,
      topic,
      clock,
      random,
      events,
      waitMs: 0,
      minReadIntervalMs: () => 100,
      minOutageMs: 1_200,
    });
    const read: QuarantineEntry[] = [];
    const onEntry = (found: QuarantineEntry): void => {
      read.push(found);
    };
    new QuarantineRecords({ log, topic, replica, clock, events, onEntry });
    log.put(topic, 'quarantine/1', 'not JSON');
    log.put(topic, 'quarantine/2', '{"partIds":[],"version":1}');
    log.put(topic, 'lease', 'of the duties');
    await storeQuarantine(log, topic, entry);
    replica.start();
    await clock.advance(500);
    replica.stop();
    expect(read).toEqual([entry]);
    const unreadable = events.lines.filter(({ event }) => event === EventId.QuarantineUnreadable);
    expect(unreadable.map(({ fields }) => fields.key)).toEqual(['quarantine/1', 'quarantine/2']);
  });
});
