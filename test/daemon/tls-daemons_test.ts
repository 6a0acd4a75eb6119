import { fileURLToPath } from 'node:url';
import { Agent, request } from 'undici';
import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/core/index.js';
import { Daemon, parseDaemonSettings } from '../../src/daemon/index.js';
import { createOperatorSecret, SigningKey } from '../../src/security/index.js';
import { LogServer } from '../../src/standins/index.js';
import { NullEventLog, NullMetrics } from '../../src/telemetry/index.js';

function fixture(name: string): string {
  return fileURLToPath(new URL(`../security/fixtures/${name}`, import.meta.url));
}

describe('daemons with certificates', () => {
  const log = new LogServer();
  const rootPublicKey = SigningKey.fromSecret(createOperatorSecret()).publicKey;
  const daemons: Daemon[] = [];

  async function start(name: string, seeds: string): Promise<Daemon> {
    const text = [
      '[daemon]',
      `name = ${name}`,
      'deployment = tls',
      'region = r1',
      'failure_domain = f1',
      'caller_listen = 127.0.0.1:0',
      'admin_listen = 127.0.0.1:0',
      'rpc_listen = 127.0.0.1:0',
      `seeds = ${seeds}`,
      'drain_notice_ms = 0',
      '[log]',
      `base_url = ${log.baseUrl}`,
      '[trust]',
      `root_public_key = "${rootPublicKey}"`,
      'peer_names = daemon-1',
      '[tls]',
      `certificate_file = ${fixture('daemon-1.pem')}`,
      `key_file = ${fixture('daemon-1.key')}`,
      `ca_file = ${fixture('first-ca.pem')}`,
      '',
    ].join('\n');
    const daemon = new Daemon({
      settings: parseDaemonSettings(text, `${name}.ini`),
      clock: new SystemClock(),
      events: new NullEventLog(),
      metrics: new NullMetrics(),
      seed: daemons.length,
    });
    await daemon.start();
    daemons.push(daemon);
    return daemon;
  }

  beforeAll(async () => {
    await log.listen();
    const first = await start('entry-1', '');
    await start('entry-2', new URL(first.urls.rpc).host);
  });

  afterAll(async () => {
    await Promise.all(daemons.map((daemon) => daemon.stop()));
    await log.close();
  });

  it('discover each other over mutual TLS', async () => {
    while (daemons.some(({ components }) => components.membership.members().length < 2))
      await sleep(50);
    expect(daemons.map(({ components }) => components.membership.members().length)).toEqual([2, 2]);
  });

  it('serve callers over TLS and refuse peers without a certificate', async () => {
    const dispatcher = new Agent({ connect: { ca: readFileSync(fixture('first-ca.pem')) } });
    const { caller, rpc } = daemons[0]!.urls;
    expect(caller).toMatch(/^https:/);
    const ready = await request(`${caller}/readyz`, { dispatcher });
    expect(ready.statusCode).toBe(200);
    await ready.body.dump();
    await expect(
      request(`${rpc}/rpc`, { method: 'POST', body: '{}', dispatcher }),
    ).rejects.toThrow();
    await dispatcher.destroy();
  });
});
