import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MetricsListener } from '../../src/telemetry/metrics-listener.js';
import { PrometheusMetrics } from '../../src/telemetry/prometheus-metrics.js';

describe('MetricsListener', () => {
  const metrics = new PrometheusMetrics();
  const listener = new MetricsListener({
    metrics,
    path: '/metrics',
    measure: () => {
      metrics.gauge('measured', 3);
    },
  });

  beforeEach(async () => {
    await listener.listen('127.0.0.1', 0);
  });

  afterEach(async () => {
    await listener.close();
  });

  it('serves up-to-date counters, gauges and histograms as text', async () => {
    metrics.count('ends', 2, { outcome: '200' });
    metrics.timing('took_ms', 40, { service: 'orders' });
    const answer = await fetch(`http://127.0.0.1:${listener.port}/metrics`);
    expect(answer.headers.get('content-type')).toContain('text/plain');
    const lines = (await answer.text()).split('\n');
    expect(lines).toContain('oriolestack_ends{outcome="200"} 2');
    expect(lines).toContain('oriolestack_measured 3');
    expect(lines).toContain('oriolestack_took_ms_bucket{le="50",service="orders"} 1');
    expect(lines).toContain('oriolestack_took_ms_bucket{le="25",service="orders"} 0');
  });

  it('answers 404 for other paths', async () => {
    expect((await fetch(`http://127.0.0.1:${listener.port}/`)).status).toBe(404);
  });
});
