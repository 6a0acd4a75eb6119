import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { KeyedLogFault } from '../../src/standins/memory-keyed-log.js';
import { trafficConfig } from './configs.js';
import { GatewayHarness, respondWith } from './gateway-harness.js';

describe('an endpoint whose registration ends', () => {
  let harness: GatewayHarness;

  beforeEach(() => {
    harness = new GatewayHarness();
  });

  afterEach(async () => {
    await harness.stop();
  });

  it('gets no more requests after a lost read, which no registration can have expired in', async () => {
    await harness.start(trafficConfig(), respondWith(200, 'ok'));
    await harness.wait(2_500);
    harness.store.fault = KeyedLogFault.Down;
    await harness.wait(500);
    harness.store.fault = KeyedLogFault.None;
    await harness.wait(1_000);
    harness.gateway.endpoints.remove('i-1');
    expect((await harness.call()).status).toBe(503);
  });
});
