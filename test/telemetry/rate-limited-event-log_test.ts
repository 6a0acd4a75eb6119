import { describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import {
  RateLimitedEventLog,
  EventId,
  EventLog,
  LineWriter,
  type EventFields,
} from '../../src/telemetry/index.js';

class RecordingEventLog extends EventLog {
  readonly lines: { event: EventId; fields: EventFields | undefined }[] = [];

  override write(_severity: number, event: EventId, _message: string, fields?: EventFields): void {
    this.lines.push({ event, fields });
  }
}

describe('RateLimitedEventLog', () => {
  it('limits the lines of one event only and reports the dropped lines', async () => {
    const clock = new VirtualClock();
    const log = new RecordingEventLog();
    const events = new RateLimitedEventLog({ log, clock, maxLinesPerS: 3 });
    for (let index = 0; index < 100; index++) events.warn(EventId.RequestRefused, 'refused');
    events.info(EventId.ConfigInForce, 'in force');
    expect(log.lines).toHaveLength(4);
    await clock.advance(1_000);
    events.warn(EventId.RequestRefused, 'refused', { status: 503 });
    expect(log.lines.at(-1)?.fields).toEqual({ status: 503, droppedLines: 97 });
  });
});

describe('LineWriter', () => {
  it('does not wait for a stalled reader and counts the dropped lines', () => {
    const pendingWrites: (() => void)[] = [];
    const dropped: number[] = [];
    const writer = new LineWriter({
      write: (_bytes, done) => pendingWrites.push(() => done(null)),
      maxQueuedChars: 100,
      onDropped: (lines) => dropped.push(lines),
    });
    for (let index = 0; index < 50; index++) writer.write('0123456789');
    expect(pendingWrites).toHaveLength(1);
    pendingWrites[0]!();
    expect(dropped).toHaveLength(1);
    expect(dropped[0]).toBeGreaterThan(35);
  });

  it('writes complete lines in order', () => {
    const written: string[] = [];
    const done: (() => void)[] = [];
    const writer = new LineWriter({
      write: (bytes, callback) => {
        written.push(bytes);
        done.push(() => callback(null));
      },
    });
    for (const line of ['a', 'b', 'c']) writer.write(line);
    done[0]!();
    expect(written.join('')).toBe('a\nb\nc\n');
  });
});
