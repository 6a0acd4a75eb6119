import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { QuotaUnit } from '../../src/gateway/traffic-config.js';
import { trafficConfig } from './configs.js';
import { GatewayHarness, respondWith } from './gateway-harness.js';

const workspace = {
  name: 'theirs',
  callerKeys: ['key-theirs'],
  priority: undefined,
  unit: QuotaUnit.Tokens,
  defaultTokens: 200,
  ratePerS: 36_000,
  burst: 36_000,
};

describe('a request that states more tokens than any endpoint has room for', () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = new GatewayHarness();
    await harness.start(trafficConfig({ workspaces: [workspace] }), respondWith(200, 'done'));
  });

  afterEach(async () => {
    await harness.stop();
  });

  function call(usage: string, parts = '5c1e:800,e440:250') {
    return harness.call({
      headers: {
        authorization: 'Bearer key-theirs',
        'oriolestack-token-usage': usage,
        'oriolestack-prompt-prefix': parts,
      },
    });
  }

  // Its workspace was refused at all daemons until they restarted, and their reports to each other lost.
  it.each([
    ['1e308,1e308', undefined],
    ['1e999,0', undefined],
    ['1460,80', '5c1e07a2:2000000000,e4402b7d:250'],
  ])(
    'is refused as not run and costs its workspace nothing: %s, parts %s',
    async (usage, parts) => {
      const { status, headers } = await call(usage, parts);
      expect(status).toBe(503);
      expect(headers['oriolestack-request-id']).toBeDefined();
      expect(harness.arrivals).toBe(0);
      expect((await call('1460,80')).status).toBe(200);
    },
  );

  it('has no answer that differs where the route or the key is unknown', async () => {
    const headers = { 'oriolestack-token-usage': '1e308,1e308' };
    expect((await harness.call({ headers })).status).toBe(401);
    const other = { ...headers, host: 'other.example' };
    expect((await harness.call({ headers: other })).status).toBe(404);
  });
});
