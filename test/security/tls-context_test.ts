import { copyFile, mkdtemp, rm } from 'node:fs/promises';
import { createServer, type Server } from 'node:https';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { connect, type TLSSocket } from 'node:tls';
import { Agent, request } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import { TlsContext, type TlsFiles } from '../../src/security/index.js';
import { EventId, EventLog, NullMetrics, type Severity } from '../../src/telemetry/index.js';

const fixtures = join(import.meta.dirname, 'fixtures');

class RecordingEventLog extends EventLog {
  readonly events: EventId[] = [];

  override write(_severity: Severity, event: EventId): void {
    this.events.push(event);
  }
}

describe('TlsContext', () => {
  let directory = '';
  let files: TlsFiles;
  const log = new RecordingEventLog();
  const cleanups: (() => unknown)[] = [];

  async function install(name: string, part: 'pem' | 'key', to: string): Promise<void> {
    await copyFile(join(fixtures, `${name}.${part}`), to);
  }

  async function load(overrides: Partial<TlsFiles> = {}): Promise<TlsContext> {
    const context = await TlsContext.load({
      files: { ...files, ...overrides },
      clock: new VirtualClock(),
      log,
      metrics: new NullMetrics(),
    });
    cleanups.push(() => context.close());
    return context;
  }

  async function listen(context: TlsContext): Promise<number> {
    const server: Server = createServer(
      context.serverOptions({ requireClientCert: true }),
      (_request, response) => response.end('ok'),
    );
    cleanups.push(context.attach(server), () => server.close());
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return (server.address() as AddressInfo).port;
  }

  async function call(context: TlsContext, port: number): Promise<string> {
    const agent = new Agent({ connect: context.connector() });
    cleanups.push(() => agent.destroy());
    const response = await request(`https://127.0.0.1:${port}/`, { dispatcher: agent });
    return response.body.text();
  }

  /** Common name of the certificate that the server presents to a new connection. */
  async function presentedName(context: TlsContext, port: number): Promise<string> {
    const socket = await new Promise<TLSSocket>((resolve, reject) => {
      const opened = connect({ ...context.clientOptions(), host: '127.0.0.1', port }, () => {
        resolve(opened);
      });
      opened.on('error', reject);
    });
    const { CN } = socket.getPeerCertificate().subject;
    socket.destroy();
    return String(CN);
  }

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'oriole-tls-'));
    log.events.length = 0;
    files = {
      certFile: join(directory, 'daemon.pem'),
      keyFile: join(directory, 'daemon.key'),
      caFile: join(fixtures, 'first-ca.pem'),
    };
    await install('daemon-1', 'pem', files.certFile);
    await install('daemon-1', 'key', files.keyFile);
  });

  afterEach(async () => {
    for (const close of cleanups.splice(0)) await close();
    await rm(directory, { recursive: true });
  });

  it('accepts daemons of the same authority and refuses clients of another or without a certificate', async () => {
    const daemon = await load();
    const port = await listen(daemon);
    expect(await call(daemon, port)).toBe('ok');
    const stranger = await load({
      certFile: join(fixtures, 'stranger.pem'),
      keyFile: join(fixtures, 'stranger.key'),
    });
    await expect(call(stranger, port)).rejects.toThrow();
    const agentWithoutCert = new Agent({ connect: { rejectUnauthorized: false } });
    cleanups.push(() => agentWithoutCert.destroy());
    await expect(
      request(`https://127.0.0.1:${port}/`, { dispatcher: agentWithoutCert }),
    ).rejects.toThrow();
  });

  it('refuses a server of another authority', async () => {
    const other = await load({
      certFile: join(fixtures, 'stranger.pem'),
      keyFile: join(fixtures, 'stranger.key'),
    });
    const port = await listen(other);
    await expect(call(await load(), port)).rejects.toThrow();
  });

  it('presents changed certificates to new connections without a restart', async () => {
    const daemon = await load();
    const port = await listen(daemon);
    expect(await presentedName(daemon, port)).toBe('daemon-1');
    let changes = 0;
    daemon.onChange(() => changes++);
    expect(await daemon.reloadIfChanged()).toBe(false);
    await install('daemon-2', 'pem', files.certFile);
    await install('daemon-2', 'key', files.keyFile);
    expect(await daemon.reloadIfChanged()).toBe(true);
    expect(changes).toBe(1);
    expect(await presentedName(daemon, port)).toBe('daemon-2');
    expect(await call(daemon, port)).toBe('ok');
    expect(log.events).toEqual([EventId.CertificatesReloaded]);
  });

  it('still requires client certificates after a reload', async () => {
    const daemon = await load();
    const port = await listen(daemon);
    await install('daemon-2', 'pem', files.certFile);
    await install('daemon-2', 'key', files.keyFile);
    await daemon.reloadIfChanged();
    const agentWithoutCert = new Agent({ connect: { rejectUnauthorized: false } });
    cleanups.push(() => agentWithoutCert.destroy());
    await expect(
      request(`https://127.0.0.1:${port}/`, { dispatcher: agentWithoutCert }),
    ).rejects.toThrow();
  });

  it('keeps the current certificates while only one file of a new pair has been written', async () => {
    const daemon = await load();
    const port = await listen(daemon);
    await install('daemon-2', 'pem', files.certFile);
    expect(await daemon.reloadIfChanged()).toBe(false);
    expect(await daemon.reloadIfChanged()).toBe(false);
    expect(await presentedName(daemon, port)).toBe('daemon-1');
    await rm(files.keyFile);
    expect(await daemon.reloadIfChanged()).toBe(false);
    await install('daemon-2', 'key', files.keyFile);
    expect(await daemon.reloadIfChanged()).toBe(true);
    expect(log.events).toEqual([
      EventId.CertificatesRejected,
      EventId.CertificatesRejected,
      EventId.CertificatesReloaded,
    ]);
  });

  it('schedules the check of the files and cancels it on close', async () => {
    const clock = new VirtualClock();
    const context = await TlsContext.load({
      files,
      clock,
      log,
      metrics: new NullMetrics(),
      checkIntervalMs: 1_000,
    });
    expect(clock.pendingTimerCount).toBe(1);
    context.close();
    expect(clock.pendingTimerCount).toBe(0);
  });

  it('refuses to require client certificates without a CA file', async () => {
    const daemon = await load({ caFile: undefined });
    expect(daemon.serverOptions({ requireClientCert: false }).rejectUnauthorized).toBe(false);
    expect(() => daemon.serverOptions({ requireClientCert: true })).toThrow('ca_file');
  });

  it('names the files in the error when key and certificate do not match at start', async () => {
    await install('daemon-2', 'key', files.keyFile);
    await expect(load()).rejects.toThrow(files.certFile);
  });
});
