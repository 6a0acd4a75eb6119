import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { EventId, EventLoopMonitor } from '../../src/telemetry/index.js';
import { PrometheusMetrics } from '../../src/telemetry/prometheus-metrics.js';
import { RecordingEventLog } from '../gateway/recording-event-log.js';

/** Keeps the event loop from running. */
function standStill(ms: number): void {
  const untilMs = Date.now() + ms;
  while (Date.now() < untilMs);
}

const turn = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 250));

describe('EventLoopMonitor', () => {
  let events: RecordingEventLog;
  let metrics: PrometheusMetrics;
  let monitor: EventLoopMonitor;

  beforeEach(async () => {
    events = new RecordingEventLog();
    metrics = new PrometheusMetrics();
    monitor = new EventLoopMonitor({ events, metrics });
    monitor.start();
    await turn();
  });

  afterEach(() => {
    monitor.stop();
  });

  it('logs a stall, so that requests that were read late can be told from others', async () => {
    standStill(600);
    await turn();
    monitor.check();
    const stalls = events.texts.filter((text) => text.includes(EventId[EventId.EventLoopStalled]));
    expect(stalls).toHaveLength(1);
  });

  it('keeps the longest stall for the next collection of the metrics', async () => {
    standStill(600);
    await turn();
    monitor.check();
    await turn();
    monitor.measure();
    const line = /^oriolestack_gateway_event_loop_stall_ms (\d+)/m.exec(await metrics.text());
    expect(Number(line?.[1])).toBeGreaterThanOrEqual(400);
  });
});
