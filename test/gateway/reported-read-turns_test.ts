import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import type { ChunkSource } from '../../src/core/read-turns.js';
import { reportedReadTurns } from '../../src/gateway/reported-read-turns.js';
import { EventId } from '../../src/telemetry/index.js';
import { PrometheusMetrics } from '../../src/telemetry/prometheus-metrics.js';
import { RecordingEventLog } from './recording-event-log.js';

/** A connection that is read as its share allows. */
class TestConnection extends EventEmitter {
  readonly destroyed = false;
  isReading = true;

  pause(): this {
    this.isReading = false;
    return this;
  }

  resume(): this {
    this.isReading = true;
    return this;
  }
}

const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

describe('reportedReadTurns', () => {
  // Operators see a machine that is slow to all, and have to find the peer that makes it so.
  it('counts each wait, and names the peer of a message that waits again and again once', async () => {
    const events = new RecordingEventLog();
    const metrics = new PrometheusMetrics();
    const turns = reportedReadTurns({ events, metrics });
    const connection = new TestConnection();
    const share = turns.share(connection as unknown as ChunkSource, () => 'i-7');
    while (share.waits < 40) {
      for (let chunk = 0; chunk < 10_000 && connection.isReading; chunk++) share.count();
      await turn();
    }
    expect(await metrics.text()).toContain('gateway_reads_deferred 40');
    const slowed = events.texts.filter((text) => text.includes(EventId[EventId.ConnectionSlowed]));
    expect(slowed).toHaveLength(1);
    expect(slowed[0]).toContain('i-7');
  });
});
